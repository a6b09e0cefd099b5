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

// streamLog is a log whose oldest records can be trimmed.
type streamLog struct {
	records []platform.Record
	firstOffset   int64
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

// readInto lets a reader read at most limit records.
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

// fixture runs readers against the log and against a reference that has read
// every record from the first one on.
type fixture struct {
	stream    *streamLog
	reference *plan.Follower
	readers   []*plan.Follower
	// highestVersions is the highest version each reader has had.
	highestVersions []int64
	// versionAtOffset is the version after all records below an offset.
	versionAtOffset map[int64]int64
	digestByVersion   map[int64]plan.Digest
	publishCount int
}

func newFixture(readers int) *fixture {
	run := &fixture{
		stream:    newLog(),
		reference: plan.New(),
		highestVersions:     make([]int64, readers),
		versionAtOffset: map[int64]int64{1: 0},
		digestByVersion:   map[int64]plan.Digest{0: plan.DigestOf(plan.Empty())},
	}
	for range readers {
		run.readers = append(run.readers, plan.New())
	}
	return run
}

func (run *fixture) append(data []byte) {
	offset := run.stream.append(data)
	run.reference.Apply(epoch, run.stream.records[offset-1])
	version, digest, _ := run.reference.Current()
	run.versionAtOffset[offset+1] = version
	run.digestByVersion[version] = digest
}

func (run *fixture) newPublishID() string {
	run.publishCount++
	return fmt.Sprintf("publish-%04d", run.publishCount)
}

// checkReaders guards against readers that disagree on a version's plan, on the
// version at an offset, or that go back.
func (run *fixture) checkReaders(t *rapid.T) {
	for i, reader := range run.readers {
		version, digest, content := reader.Current()
		if version < run.highestVersions[i] {
			t.Fatalf("reader %d went from version %d to %d", i, run.highestVersions[i], version)
		}
		run.highestVersions[i] = version
		expected, won := run.digestByVersion[version]
		if !won || digest != expected || plan.DigestOf(content) != expected {
			t.Fatalf("reader %d holds version %d with digest %s, which never won (expected %s)", i, version, digest, expected)
		}
		if reader.Synced() && version != run.versionAtOffset[reader.Next()] {
			t.Fatalf("reader %d holds version %d at offset %d, all records below it give %d",
				i, version, reader.Next(), run.versionAtOffset[reader.Next()])
		}
	}
}

func (run *fixture) publish(t *rapid.T) {
	version, _, current := run.reference.Current()
	base := rapid.SampledFrom([]int64{version, version, version, version - 1, version + 1, 0}).Draw(t, "base")
	changed := planOf(append([]plan.Rule{
		rule(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), rapid.IntRange(0, 5).Draw(t, "cap")),
	}, lastRule(current)...)...)
	proposal := publication(run.newPublishID(), max(base, 0), current, changed)
	if rapid.IntRange(0, 5).Draw(t, "wrong digest") == 0 {
		proposal.Digest++
	}
	data := encode(t, proposal)
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		run.append(data)
	}
}

// lastRule keeps the rules of team d, so that plans have more than one row.
func lastRule(current *plan.Plan) []plan.Rule {
	if len(current.Rules) == 0 {
		return []plan.Rule{rule("d", 1)}
	}
	return current.Rules[len(current.Rules)-1:]
}

// Guards against readers that start at different offsets, restart, lag, or
// take plans from snapshots and peers, and come to different versions.
func TestReadersAgreeOnVersionAndPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newFixture(4)
		one := rapid.IntRange(0, len(run.readers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"":        run.checkReaders,
			"publish": run.publish,
			"garbage": func(t *rapid.T) {
				run.append(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "data"))
			},
			"recover": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") > 0 {
					t.Skip("kept rare")
				}
				content := planOf(rule("r", rapid.IntRange(0, 9).Draw(t, "cap")))
				run.append(encode(t, &plan.Recovery{
					PublishID: run.newPublishID(),
					Digest:    plan.DigestOf(content),
					Plan:      content,
				}))
			},
			"read": func(t *rapid.T) {
				run.stream.readInto(run.readers[one.Draw(t, "reader")], rapid.IntRange(0, 6).Draw(t, "limit"))
			},
			"snapshot": func(t *rapid.T) {
				snapshot, known := run.readers[one.Draw(t, "writer")].Snapshot("w")
				if known {
					run.append(encode(t, snapshot))
				}
			},
			"adopt": func(t *rapid.T) {
				snapshot, known := run.readers[one.Draw(t, "from")].Snapshot("w")
				if known {
					run.readers[one.Draw(t, "to")].AdoptPeerSnapshot(epoch, snapshot)
				}
			},
			"restart": func(t *rapid.T) {
				reader := one.Draw(t, "reader")
				run.readers[reader] = plan.New()
				run.highestVersions[reader] = 0
			},
			"trim": func(t *rapid.T) {
				run.stream.firstOffset = rapid.Int64Range(run.stream.firstOffset, run.stream.nextOffset()).Draw(t, "first")
			},
		})
		run.checkConvergence(t)
	})
}

// checkConvergence appends a snapshot of the current plan and lets all readers read to
// the end, where they must all hold that plan.
func (run *fixture) checkConvergence(t *rapid.T) {
	snapshot, known := run.reference.Snapshot("w")
	if !known {
		return
	}
	run.append(encode(t, snapshot))
	version, digest, _ := run.reference.Current()
	for i, reader := range run.readers {
		for rounds := 0; reader.Next() < run.stream.nextOffset() || !reader.Synced(); rounds++ {
			if rounds > len(run.stream.records)+4 {
				t.Fatalf("reader %d is stuck: %+v", i, reader.DumpState())
			}
			run.stream.readInto(reader, 64)
		}
		gotVersion, gotDigest, _ := reader.Current()
		if gotVersion != version || gotDigest != digest {
			t.Fatalf("reader %d ended at version %d, expected %d", i, gotVersion, version)
		}
	}
	run.checkReaders(t)
}

// Guards against a change that differs between the operator, who compares two
// plans, and the readers, who apply the change.
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
		got, digest, err := change.Apply(from, plan.DigestOf(from))
		if err != nil {
			t.Fatal(err)
		}
		if digest != plan.DigestOf(to) || plan.DigestOf(got) != digest {
			t.Fatalf("from %v to %v: got %v", from, to, got)
		}
	})
}
