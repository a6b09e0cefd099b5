package binding_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/binding"
	"tanagerfall/shared/request/submission"
)

// Guards against keys that two VMs parse differently, and against UUIDs of
// other versions, which do not contain the time of the key.
func TestParseKey(t *testing.T) {
	validText := binding.NewUUID(start, [10]byte{}).String()
	cases := []struct {
		name, team, text string
		valid            bool
	}{
		{name: "version 7", team: team, text: validText, valid: true},
		{name: "upper case", team: team, text: strings.ToUpper(validText), valid: true},
		{name: "no team", text: validText},
		{name: "long team", team: strings.Repeat("t", binding.MaxTeamBytes+1), text: validText},
		{name: "version 4", team: team, text: validText[:14] + "4" + validText[15:]},
		{name: "other variant", team: team, text: validText[:19] + "c" + validText[20:]},
		{name: "no hyphens", team: team, text: strings.ReplaceAll(validText, "-", "") + "0000"},
		{name: "not hexadecimal", team: team, text: validText[:35] + "g"},
		{name: "empty", team: team},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			key, err := binding.ParseKey(test.team, test.text)
			if test.valid {
				assert.NilError(t, err)
				assert.Equal(t, key.UUID.String(), strings.ToLower(test.text))
				return
			}
			assert.ErrorIs(t, err, binding.ErrMalformedKey)
		})
	}
}

func newKeyAt(timestamp time.Time) binding.Key {
	return binding.Key{Team: team, UUID: binding.NewUUID(timestamp, [10]byte{})}
}

func newEntry(key binding.Key, counter uint64) binding.Entry {
	return binding.Entry{
		UUID: key.UUID,
		Team: key.Team,
		SubmissionID: newKeyring().Encode(submission.ID{
			Key:    submission.Key{Incarnation: 7, Counter: counter},
			Team:   key.Team,
			Expiry: start,
		}),
	}
}

// Guards against an invalid entry that binds a key and against a later entry
// that replaces the first. An entry is invalid if it is forged, if its ID
// belongs to another team, or if it is appended too long after or before the
// time of its key, when a reader cannot know whether it is the first.
func TestFirstValidEntryBinds(t *testing.T) {
	key := newKeyAt(start)
	otherTeamKey := binding.Key{Team: "office", UUID: key.UUID}
	forged, otherTeamID := newEntry(key, 1), newEntry(otherTeamKey, 1)
	forged.SubmissionID = "A" + forged.SubmissionID[1:]
	otherTeamID.Team = key.Team
	tooOld := newKeyAt(start.Add(-retention/2 - time.Second))
	inFuture := newKeyAt(start.Add(binding.MaxFutureSkew + time.Second))
	cases := []struct {
		name      string
		lookupKey binding.Key
		record    []byte
		bound     bool
	}{
		{name: "first of two", lookupKey: key, record: binding.Encode([]binding.Entry{newEntry(key, 1), newEntry(key, 2)}), bound: true},
		{name: "same key of another team", lookupKey: key, record: binding.Encode([]binding.Entry{newEntry(otherTeamKey, 1)})},
		{name: "forged", lookupKey: key, record: binding.Encode([]binding.Entry{forged})},
		{name: "ID of another team", lookupKey: key, record: binding.Encode([]binding.Entry{otherTeamID})},
		{name: "appended too late", lookupKey: tooOld, record: binding.Encode([]binding.Entry{newEntry(tooOld, 1)})},
		{name: "appended too early", lookupKey: inFuture, record: binding.Encode([]binding.Entry{newEntry(inFuture, 1)})},
		{name: "malformed", lookupKey: key, record: []byte("x")},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			log, binder := stream{firstOffset: 1}, binding.New(binding.Config{Keyring: newKeyring})
			log.append(start, test.record)
			log.serveRead(start, binder, binding.Read{}, 1)
			bound, isBound := binder.Lookup(start, test.lookupKey).(binding.Bound)
			assert.Equal(t, isBound, test.bound)
			if test.bound {
				assert.Equal(t, bound.ID.Key.Counter, uint64(1))
			}
		})
	}
}

// Guards against a key that is bound again after its binding was evicted, and
// possibly to another ID. The limit on bindings, a gap in the records read and a
// clock that goes back could cause it.
func TestEvictedKeysAreNotBoundAgain(t *testing.T) {
	key := newKeyAt(start)
	cases := []struct {
		name  string
		evict func(log *stream, binder *binding.Binder) time.Time
	}{
		{name: "limit on bindings", evict: func(log *stream, binder *binding.Binder) time.Time {
			log.append(start, binding.Encode([]binding.Entry{newEntry(newKeyAt(start.Add(2*time.Second)), 2)}))
			log.serveRead(start, binder, binding.Read{From: 2}, 1)
			return start
		}},
		{name: "gap", evict: func(_ *stream, binder *binding.Binder) time.Time {
			binder.Trimmed(start, 9)
			return start
		}},
		{name: "clock goes back", evict: func(_ *stream, binder *binding.Binder) time.Time {
			binder.Expire(start.Add(retention))
			return start
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			log, binder := &stream{firstOffset: 1}, binding.New(binding.Config{Keyring: newKeyring, MaxBindings: 1})
			log.append(start, binding.Encode([]binding.Entry{newEntry(key, 1)}))
			log.serveRead(start, binder, binding.Read{}, 1)
			_, bound := binder.Lookup(start, key).(binding.Bound)
			assert.Assert(t, bound)
			now := test.evict(log, binder)
			assert.Equal(t, binder.Lookup(now, key), binding.Resolution(binding.Unbound{Cause: binding.CauseKeyTooOld}))
		})
	}
}

// Guards against proposals that stay pending for ever while the log is
// unavailable, and against a refused append that is repeated for ever.
func TestProposalsEndWithoutTheLog(t *testing.T) {
	binder := binding.New(binding.Config{Keyring: newKeyring})
	ticket := binder.Propose(start, newKeyAt(start), submission.ID{Team: team})
	binder.Expire(start.Add(binding.DefaultTimeout - time.Millisecond))
	assert.Equal(t, len(binder.TakeResults()), 0)
	binder.Expire(start.Add(binding.DefaultTimeout))
	assert.DeepEqual(t, binder.TakeResults(), []binding.ProposalResult{{Ticket: ticket, Resolution: binding.Unbound{Cause: binding.CauseLogUnavailable}}})

	log := stream{firstOffset: 1}
	log.serveRead(start, binder, binding.Read{}, 1)
	ticket = binder.Propose(start, newKeyAt(start), submission.ID{Team: team})
	_, appending := binder.Next(start).(binding.Append)
	assert.Assert(t, appending)
	binder.AppendRefused()
	assert.DeepEqual(t, binder.TakeResults(), []binding.ProposalResult{{Ticket: ticket, Resolution: binding.Unbound{Cause: binding.CauseRejected}}})
}

// Guards against a decoder that panics, and against one that accepts entries
// that the encoder would not write: they change in another round trip.
func FuzzDecode(f *testing.F) {
	f.Add(binding.Encode([]binding.Entry{newEntry(newKeyAt(start), 1), newEntry(newKeyAt(start), 2)}))
	f.Add(binding.Encode(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := binding.Decode(data)
		if err != nil {
			assert.ErrorIs(t, err, binding.ErrMalformedRecord)
			return
		}
		decoded, err := binding.Decode(binding.Encode(entries))
		assert.NilError(t, err)
		assert.Equal(t, len(decoded), len(entries))
		for i := range entries {
			assert.Equal(t, decoded[i], entries[i])
		}
	})
}

// BenchmarkHeapOfBindings reports the heap in MB that DefaultMaxBindings bindings
// take.
func BenchmarkHeapOfBindings(b *testing.B) {
	for range b.N {
		before := heapInUse()
		binder := binding.New(binding.Config{Keyring: newKeyring})
		offset := int64(1)
		for number := 0; number < binding.DefaultMaxBindings; offset++ {
			var entries []binding.Entry
			for range binding.MaxBatch {
				var random [10]byte
				binary.BigEndian.PutUint64(random[2:], uint64(number))
				key := binding.Key{
					Team: fmt.Sprintf("team-%d", number%180),
					UUID: binding.NewUUID(start.Add(time.Duration(number)*time.Millisecond), random),
				}
				entries = append(entries, newEntry(key, uint64(number)))
				number++
			}
			binder.RecordsRead(start, offset, platform.ReadResponse{
				FirstOffset: 1,
				NextOffset:  offset + 1,
				RetentionMs: time.Hour.Milliseconds(),
				Records:     []platform.Record{{Offset: offset, AtMs: start.Add(6 * time.Minute).UnixMilli(), Data: binding.Encode(entries)}},
			})
		}
		b.ReportMetric(float64(heapInUse()-before)/(1<<20), "MB")
		b.ReportMetric(float64(binder.Bindings()), "bindings")
		runtime.KeepAlive(binder)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
