package plan_test

import (
	"bytes"
	"compress/flate"
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/plan"
)

// Guards against records that decode to other content than was encoded, and
// against a decoder that panics on damaged records or accepts an invalid plan.
func FuzzDecode(f *testing.F) {
	content := planOf(rule("a", 1), rule("b", 2))
	records := []plan.Record{
		publication("publish-1", 3, planOf(rule("a", 2)), content),
		&plan.Snapshot{Version: 3, ReadUpTo: 4, PublishID: "publish-1", Digest: plan.DigestOf(content), Plan: content},
		&plan.Recovery{PublishID: "publish-1", Digest: plan.DigestOf(content), Plan: content},
	}
	for _, record := range records {
		data := encode(f, record)
		f.Add(data)
		f.Add(data[:len(data)-3])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		follower := plan.New()
		follower.Apply(epoch, platform.Record{
			Offset: 1,
			Data:   data,
		})
		decoded, err := plan.Decode(data)
		if err != nil {
			if !errors.Is(err, plan.ErrMalformedRecord) && !errors.Is(err, plan.ErrInvalidPlan) {
				t.Fatalf("error wraps neither ErrMalformedRecord nor ErrInvalidPlan: %v", err)
			}
			return
		}
		again, err := plan.Decode(encode(t, decoded))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, decoded)
		if snapshot, ok := decoded.(*plan.Snapshot); ok {
			assert.NilError(t, plan.Validate(snapshot.Plan))
			assert.Equal(t, plan.DigestOf(snapshot.Plan), snapshot.Digest)
		}
	})
}

// Guards against a small record that exhausts the reader's memory when it is
// decompressed.
func TestDecodeRejectsOversizedDecompressedBody(t *testing.T) {
	var body bytes.Buffer
	writer, err := flate.NewWriter(&body, flate.BestCompression)
	assert.NilError(t, err)
	zeros := make([]byte, 1<<20)
	_, err = writer.Write(zeros)
	assert.NilError(t, err)
	assert.NilError(t, writer.Flush())
	first := body.Len()
	_, err = writer.Write(zeros)
	assert.NilError(t, err)
	assert.NilError(t, writer.Flush())
	// A flushed block of zeros that follows zeros decompresses alike wherever it
	// is repeated, so 63 copies stand for compressing 63 MB of zeros.
	block := bytes.Clone(body.Bytes()[first:])
	for range 63 {
		body.Write(block)
	}
	assert.NilError(t, writer.Close())
	data, err := cbor.Marshal(map[int]any{1: "tanagerfall-plan-record", 2: 1, 3: body.Bytes()})
	assert.NilError(t, err)
	_, err = plan.Decode(data)
	assert.ErrorIs(t, err, plan.ErrMalformedRecord)
	assert.ErrorContains(t, err, "larger than")
}

// Guards against evacuations that a change or its digest leaves out, that a plan of an
// earlier version with the same rules has another digest, and against evacuations of
// failure domains that the plan does not list.
func TestChangesCarryEvacuations(t *testing.T) {
	before := &plan.Plan{
		Format:  plan.Format,
		Domains: plan.Domains{"a", "b"},
	}
	after := *before
	after.Evacuated = plan.Domains{"b"}
	for _, pair := range [][2]*plan.Plan{{before, &after}, {&after, before}} {
		change := plan.Diff(pair[0], pair[1])
		assert.Assert(t, !change.IsEmpty())
		changed, digest, err := change.Apply(pair[0], plan.DigestOf(pair[0]))
		assert.NilError(t, err)
		assert.Equal(t, len(changed.Evacuated), len(pair[1].Evacuated))
		assert.Equal(t, digest, plan.DigestOf(pair[1]))
	}
	assert.Assert(t, plan.DigestOf(before) != plan.DigestOf(&after))
	for _, evacuated := range []plan.Domains{{"c"}, {"b", "a"}, {"a", "a"}} {
		after.Evacuated = evacuated
		assert.ErrorIs(t, plan.Validate(&after), plan.ErrInvalidPlan)
	}
}
