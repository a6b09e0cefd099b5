package binding_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/binding"
	"tanagerfall/shared/request/submission"
)

const (
	team      = "workshop"
	retention = 20 * time.Minute
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func newKeyring() *submission.Keyring {
	return submission.NewKeyring(submission.MacKey{ID: 1, Secret: []byte("a secret for tests")})
}

// stream is a stream of a log that trims records by the clock of the log.
type stream struct {
	firstOffset int64
	records     []platform.Record
}

func (stream *stream) append(now time.Time, data []byte) int64 {
	offset := stream.firstOffset + int64(len(stream.records))
	stream.records = append(stream.records, platform.Record{Offset: offset, AtMs: now.UnixMilli(), Data: data})
	return offset
}

func (stream *stream) trim(now time.Time) {
	for len(stream.records) > 0 && stream.records[0].AtMs < now.Add(-retention).UnixMilli() {
		stream.records = stream.records[1:]
		stream.firstOffset++
	}
}

// serveRead reports to binder the result of a read, with at most limit records.
func (stream *stream) serveRead(now time.Time, binder *binding.Binder, read binding.Read, limit int) {
	if read.From < stream.firstOffset && stream.firstOffset > 1 {
		binder.Trimmed(now, stream.firstOffset)
		return
	}
	response := platform.ReadResponse{
		FirstOffset: stream.firstOffset,
		NextOffset:  stream.firstOffset + int64(len(stream.records)),
		RetentionMs: retention.Milliseconds(),
	}
	for _, record := range stream.records {
		if record.Offset >= read.From && len(response.Records) < limit {
			response.Records = append(response.Records, record)
		}
	}
	binder.RecordsRead(now, read.From, response)
}

// vm is a VM with a binder and its own clock skew. pendingTickets holds the
// keys of its pending proposals.
type vm struct {
	binder         *binding.Binder
	skew           time.Duration
	pendingTickets map[uint64]binding.Key
}

// simulation runs the binders of several VMs that share one log on virtual time.
type simulation struct {
	*rapid.T
	now            time.Time
	log            stream
	delayedAppends [][]byte
	vms            []*vm
	lastCounter    uint64
	boundIDs       map[binding.Key]submission.Key
	boundResults   int
}

func (simulation *simulation) restart(i int) {
	simulation.vms[i] = &vm{
		binder: binding.New(binding.Config{
			Keyring:     newKeyring,
			MaxBindings: 6,
		}),
		skew:           time.Duration(rapid.IntRange(-60, 60).Draw(simulation.T, "skew")) * time.Second,
		pendingTickets: make(map[uint64]binding.Key),
	}
}

func (simulation *simulation) propose(i int, key binding.Key) {
	simulation.lastCounter++
	vm := simulation.vms[i]
	ticket := vm.binder.Propose(simulation.now.Add(vm.skew), key, submission.ID{
		Key:    submission.Key{Incarnation: uint64(i + 1), Counter: simulation.lastCounter},
		Team:   key.Team,
		Expiry: simulation.now.Add(submission.Lifetime),
	})
	vm.pendingTickets[ticket] = key
}

// step carries out the next step of a VM. fate selects what happens to its call
// of the log.
func (simulation *simulation) step(i int, fate string) {
	vm := simulation.vms[i]
	now := simulation.now.Add(vm.skew)
	simulation.log.trim(simulation.now)
	switch step := vm.binder.Next(now).(type) {
	case binding.Append:
		simulation.append(vm, step.Data, fate)
	case binding.Read:
		if fate != "out" && fate != "lost" {
			simulation.log.serveRead(now, vm.binder, step, 2)
		}
	case binding.Idle:
	}
	simulation.checkResults(vm)
}

func (simulation *simulation) append(vm *vm, data []byte, fate string) {
	switch fate {
	case "out":
		vm.binder.AppendFailed(false)
	case "lost":
		simulation.log.append(simulation.now, data)
		vm.binder.AppendFailed(true)
	case "delayed":
		simulation.delayedAppends = append(simulation.delayedAppends, data)
		vm.binder.AppendFailed(true)
	case "twice":
		simulation.log.append(simulation.now, data)
		vm.binder.Appended(simulation.log.append(simulation.now, data))
	default:
		vm.binder.Appended(simulation.log.append(simulation.now, data))
	}
}

// checkResults checks that each result belongs to a pending proposal and that a
// key is never bound to two IDs.
func (simulation *simulation) checkResults(vm *vm) {
	for _, result := range vm.binder.TakeResults() {
		key, isPending := vm.pendingTickets[result.Ticket]
		assert.Assert(simulation, isPending, "a result belongs to no pending proposal")
		delete(vm.pendingTickets, result.Ticket)
		bound, isBound := result.Resolution.(binding.Bound)
		if !isBound {
			continue
		}
		simulation.boundResults++
		assert.Equal(simulation, bound.ID.Team, key.Team)
		if earlierKey, known := simulation.boundIDs[key]; known {
			assert.Equal(simulation, bound.ID.Key, earlierKey, "key %v is bound to two IDs", key.UUID)
		}
		simulation.boundIDs[key] = bound.ID.Key
	}
}

func (simulation *simulation) runUntilSettled() {
	for range 40 {
		for i := range simulation.vms {
			simulation.step(i, "ok")
		}
	}
}

// Guards against two VMs that bind one key to two submission IDs. Lost replies,
// late and repeated appends, outages, restarts, trimmed records, clock skew and
// evicted bindings could cause it.
func TestAllVMsAgreeOnOneIDPerKey(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		simulation := &simulation{
			T:        t,
			now:      start,
			log:      stream{firstOffset: 1},
			vms:      make([]*vm, 3),
			boundIDs: make(map[binding.Key]submission.Key),
		}
		for i := range simulation.vms {
			simulation.restart(i)
		}
		var keys []binding.Key
		newKey := func() {
			timestamp := simulation.now.Add(time.Duration(rapid.IntRange(-120, 50).Draw(t, "age")) * time.Second)
			keys = append(keys, binding.Key{
				Team: rapid.SampledFrom([]string{team, "office"}).Draw(t, "team"),
				UUID: binding.NewUUID(timestamp, [10]byte{9: byte(len(keys) / 2)}),
			})
		}
		newKey()
		index := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"key": func(*rapid.T) { newKey() },
			"propose": func(t *rapid.T) {
				simulation.propose(index.Draw(t, "vm"), rapid.SampledFrom(keys).Draw(t, "key"))
			},
			"propose everywhere": func(t *rapid.T) {
				for i := range simulation.vms {
					simulation.propose(i, keys[len(keys)-1])
				}
			},
			"step": func(t *rapid.T) {
				fates := []string{"ok", "ok", "out", "lost", "delayed", "twice"}
				simulation.step(index.Draw(t, "vm"), rapid.SampledFrom(fates).Draw(t, "fate"))
			},
			"late append": func(t *rapid.T) {
				if len(simulation.delayedAppends) > 0 {
					simulation.log.append(simulation.now, simulation.delayedAppends[len(simulation.delayedAppends)-1])
					simulation.delayedAppends = simulation.delayedAppends[:len(simulation.delayedAppends)-1]
				}
			},
			"restart": func(t *rapid.T) { simulation.restart(index.Draw(t, "vm")) },
			"settle":  func(*rapid.T) { simulation.runUntilSettled() },
			"wait": func(t *rapid.T) {
				simulation.now = simulation.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
			},
			"": func(*rapid.T) {},
		})
		simulation.runUntilSettled()
		for i := range simulation.vms {
			simulation.propose(i, keys[len(keys)-1])
		}
		simulation.runUntilSettled()
		for i := range simulation.vms {
			assert.Equal(t, simulation.vms[i].binder.PendingKeys(), 0, "a proposal is still pending although the log is available")
		}
		total += simulation.boundResults
	})
	assert.Assert(t, total > 0, "no key was ever bound")
}
