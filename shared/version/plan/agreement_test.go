package plan_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/plan"
)

var epoch = time.UnixMilli(1_700_000_000_000)

// streamLog simulates the plan stream, whose oldest records can be trimmed. The
// record at index i has the offset i+1; firstOffset is the lowest one retained.
type streamLog struct {
	records     []platform.Record
	firstOffset int64
}

func newLog() *streamLog {
	return &streamLog{
		firstOffset: 1,
	}
}

func (stream *streamLog) nextOffset() int64 { return int64(len(stream.records)) + 1 }

func (stream *streamLog) append(data []byte) int64 {
	offset := stream.nextOffset()
	stream.records = append(stream.records, platform.Record{
		Offset: offset,
		AtMs:   epoch.UnixMilli() + offset,
		Data:   data,
	})
	return offset
}

// readInto lets follower read at most limit records.
func (stream *streamLog) readInto(follower *plan.Follower, limit int) []plan.Outcome {
	if follower.Next() < stream.firstOffset {
		follower.Trimmed(stream.firstOffset)
	}
	from := follower.Next()
	to := min(from+int64(limit), stream.nextOffset())
	return follower.ApplyRead(epoch, platform.ReadResponse{
		FirstOffset: stream.firstOffset,
		NextOffset:  stream.nextOffset(),
		RetentionMs: 60_000,
		Records:     stream.records[min(from, to)-1 : to-1],
	})
}

func encode(t interface{ Fatal(...any) }, record plan.Record) []byte {
	data, err := plan.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func rule(team string, limit int) plan.Rule {
	return plan.Rule{
		Team:       team,
		Kind:       "quote",
		Domain:     "ege-izmir",
		Share:      1,
		Cap:        limit,
		DeadlineMs: 1000,
	}
}

func planOf(rules ...plan.Rule) *plan.Plan {
	return plan.Canonical(&plan.Plan{
		Format:  plan.Format,
		Rules:   rules,
		Domains: plan.Domains{"ege-izmir"},
	})
}

func publication(id string, base int64, from, to *plan.Plan) *plan.Publication {
	return &plan.Publication{
		PublishID: id,
		Base:      base,
		Author:    "ayla",
		Change:    plan.Diff(from, to),
		Digest:    plan.DigestOf(to),
	}
}

// fixture compares readers of one log with a reference that reads every record
// as soon as it is appended.
type fixture struct {
	stream    *streamLog
	reference *plan.Follower
	readers   []*plan.Follower
	// highestVersions holds the highest version that each reader has had.
	highestVersions []int64
	// versionAtOffset maps an offset to the version after all records below it.
	versionAtOffset map[int64]int64
	digestByVersion map[int64]plan.Digest
	publishCount    int
}

func newFixture(readers int) *fixture {
	fixture := &fixture{
		stream:          newLog(),
		reference:       plan.New(),
		highestVersions: make([]int64, readers),
		versionAtOffset: map[int64]int64{1: 0},
		digestByVersion: map[int64]plan.Digest{0: plan.DigestOf(plan.Empty())},
	}
	for range readers {
		fixture.readers = append(fixture.readers, plan.New())
	}
	return fixture
}

func (fixture *fixture) append(data []byte) {
	offset := fixture.stream.append(data)
	fixture.reference.Apply(epoch, fixture.stream.records[offset-1])
	version, digest, _ := fixture.reference.Current()
	fixture.versionAtOffset[offset+1] = version
	fixture.digestByVersion[version] = digest
}

func (fixture *fixture) newPublishID() string {
	fixture.publishCount++
	return fmt.Sprintf("publish-%04d", fixture.publishCount)
}

// checkReaders fails if a reader goes back to a lower version, or disagrees with
// the reference on the plan of a version or on the version at an offset.
func (fixture *fixture) checkReaders(t *rapid.T) {
	for i, reader := range fixture.readers {
		version, digest, content := reader.Current()
		if version < fixture.highestVersions[i] {
			t.Fatalf("reader %d went from version %d to %d", i, fixture.highestVersions[i], version)
		}
		fixture.highestVersions[i] = version
		expected, adopted := fixture.digestByVersion[version]
		if !adopted || digest != expected || plan.DigestOf(content) != expected {
			t.Fatalf("reader %d holds version %d with digest %s, the reference has digest %s", i, version, digest, expected)
		}
		if reader.Synced() && version != fixture.versionAtOffset[reader.Next()] {
			t.Fatalf("reader %d holds version %d at offset %d, the reference has version %d there",
				i, version, reader.Next(), fixture.versionAtOffset[reader.Next()])
		}
	}
}

func (fixture *fixture) publish(t *rapid.T) {
	version, _, current := fixture.reference.Current()
	base := rapid.SampledFrom([]int64{version, version, version, version - 1, version + 1, 0}).Draw(t, "base")
	changed := planOf(append([]plan.Rule{
		rule(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), rapid.IntRange(0, 5).Draw(t, "cap")),
	}, lastRule(current)...)...)
	proposal := publication(fixture.newPublishID(), max(base, 0), current, changed)
	if rapid.IntRange(0, 5).Draw(t, "wrong digest") == 0 {
		proposal.Digest++
	}
	data := encode(t, proposal)
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		fixture.append(data)
	}
}

// lastRule returns the last rule of a plan, or one of team d if there is none, so
// that plans have more than one rule.
func lastRule(current *plan.Plan) []plan.Rule {
	if len(current.Rules) == 0 {
		return []plan.Rule{rule("d", 1)}
	}
	return current.Rules[len(current.Rules)-1:]
}

// Guards against readers that arrive at different versions or plans because they
// start at different offsets, restart, lag, or adopt snapshots from the log and
// from peers.
func TestReadersAgreeOnVersionAndPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newFixture(4)
		readerIndex := rapid.IntRange(0, len(fixture.readers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"":        fixture.checkReaders,
			"publish": fixture.publish,
			"garbage": func(t *rapid.T) {
				fixture.append(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "data"))
			},
			"recover": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") > 0 {
					t.Skip("recoveries are rare")
				}
				content := planOf(rule("r", rapid.IntRange(0, 9).Draw(t, "cap")))
				fixture.append(encode(t, &plan.Recovery{
					PublishID: fixture.newPublishID(),
					Digest:    plan.DigestOf(content),
					Plan:      content,
				}))
			},
			"read": func(t *rapid.T) {
				fixture.stream.readInto(fixture.readers[readerIndex.Draw(t, "reader")], rapid.IntRange(0, 6).Draw(t, "limit"))
			},
			"snapshot": func(t *rapid.T) {
				snapshot, ok := fixture.readers[readerIndex.Draw(t, "writer")].Snapshot("w")
				if ok {
					fixture.append(encode(t, snapshot))
				}
			},
			"adopt": func(t *rapid.T) {
				snapshot, ok := fixture.readers[readerIndex.Draw(t, "from")].Snapshot("w")
				if ok {
					fixture.readers[readerIndex.Draw(t, "to")].AdoptPeerSnapshot(epoch, snapshot)
				}
			},
			"restart": func(t *rapid.T) {
				reader := readerIndex.Draw(t, "reader")
				fixture.readers[reader] = plan.New()
				fixture.highestVersions[reader] = 0
			},
			"trim": func(t *rapid.T) {
				fixture.stream.firstOffset = rapid.Int64Range(fixture.stream.firstOffset, fixture.stream.nextOffset()).Draw(t, "first")
			},
		})
		fixture.checkConvergence(t)
	})
}

// checkConvergence appends a snapshot of the current plan and fails unless all
// readers hold this plan after reading to the end of the log.
func (fixture *fixture) checkConvergence(t *rapid.T) {
	snapshot, ok := fixture.reference.Snapshot("w")
	if !ok {
		return
	}
	fixture.append(encode(t, snapshot))
	version, digest, _ := fixture.reference.Current()
	for i, reader := range fixture.readers {
		for rounds := 0; reader.Next() < fixture.stream.nextOffset() || !reader.Synced(); rounds++ {
			if rounds > len(fixture.stream.records)+4 {
				t.Fatalf("reader %d makes no progress: %+v", i, reader.DumpState())
			}
			fixture.stream.readInto(reader, 64)
		}
		gotVersion, gotDigest, _ := reader.Current()
		if gotVersion != version || gotDigest != digest {
			t.Fatalf("reader %d ended at version %d, expected %d", i, gotVersion, version)
		}
	}
	fixture.checkReaders(t)
}

// Guards against a plan that differs between the operator, who diffs two plans,
// and the readers, who apply the change.
func TestApplyReproducesDiffTarget(t *testing.T) {
	teams := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-d]`), 0, 4, rapid.ID[string])
	draw := func(t *rapid.T, label string) *plan.Plan {
		var rules []plan.Rule
		for _, team := range teams.Draw(t, label) {
			rules = append(rules, rule(team, rapid.IntRange(0, 1).Draw(t, "cap")))
		}
		content := planOf(rules...)
		content.Guards.NoEjection = rapid.Bool().Draw(t, "guard")
		return content
	}
	rapid.Check(t, func(t *rapid.T) {
		from, to := draw(t, "from"), draw(t, "to")
		change := plan.Diff(from, to)
		changed, digest, err := change.Apply(from, plan.DigestOf(from))
		if err != nil {
			t.Fatal(err)
		}
		if digest != plan.DigestOf(to) || plan.DigestOf(changed) != digest {
			t.Fatalf("the change from %v to %v gives %v", from, to, changed)
		}
	})
}
