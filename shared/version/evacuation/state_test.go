package evacuation_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/version/evacuation"
)

func snapshot(position int64, domains ...string) evacuation.Snapshot {
	return evacuation.Snapshot{
		Position: position,
		Domains:  domains,
	}
}

// Guards against an evacuation that comes back after it was taken back, or ends
// early, because a stale read or the snapshot of a peer that lags arrives late.
func TestOlderSnapshotsAreIgnored(t *testing.T) {
	var state evacuation.State
	assert.Assert(t, state.AdoptRead(snapshot(5, "a", "b")))
	assert.Assert(t, !state.AdoptRead(snapshot(4)), "a rewound read ends no evacuation")
	assert.Assert(t, state.Evacuated("a") && state.Evacuated("b") && !state.Evacuated("c"))
	assert.Assert(t, state.AdoptReceived(snapshot(8, "b")))
	assert.Assert(t, !state.AdoptRead(snapshot(5, "a", "b")), "an evacuation that was taken back does not return")
	assert.Assert(t, !state.Evacuated("a") && state.Evacuated("b"))
	assert.Assert(t, !state.AdoptRead(snapshot(9, "b")), "nothing changed")
	assert.Assert(t, state.AdoptRead(snapshot(10, "a")))
	assert.DeepEqual(t, state.Domains(), []string{"a"})
}

// Guards against a peer that is never told, or told again and again.
func TestPeersThatLackAChangeAreTold(t *testing.T) {
	var reader, peer evacuation.State
	reader.AdoptRead(snapshot(3))
	assert.Assert(t, !reader.NewerThan(0) && reader.Snapshot() == nil && reader.Position() == 0,
		"regions without evacuations exchange nothing")
	reader.AdoptRead(snapshot(5, "a"))
	reader.AdoptRead(snapshot(7, "a"))
	assert.Assert(t, reader.NewerThan(peer.Position()) && reader.NewerThan(4))
	assert.Assert(t, !reader.NewerThan(5), "the records since then changed no evacuation")
	assert.Assert(t, peer.AdoptReceived(*reader.Snapshot()))
	assert.Assert(t, !reader.NewerThan(peer.Position()))

	// A process that starts after the evacuation was taken back has seen none, and
	// learns from a peer that lags that it must be told.
	var started evacuation.State
	started.AdoptRead(snapshot(9))
	assert.Assert(t, !started.AdoptReceived(*peer.Snapshot()))
	assert.Assert(t, started.NewerThan(peer.Position()))
	assert.Assert(t, peer.AdoptReceived(*started.Snapshot()))
	assert.Equal(t, len(peer.Domains()), 0)
}

// Guards against a peer that is never told of a change because this process read the
// change and its opposite at once: the peer has only the first of them.
func TestPeersThatHaveHalfOfAChangeAreTold(t *testing.T) {
	for _, test := range []struct{ before, between []string }{
		{before: nil, between: []string{"a"}},
		{before: []string{"a"}, between: nil},
	} {
		var reader, peer evacuation.State
		for _, state := range []*evacuation.State{&reader, &peer} {
			state.AdoptReceived(snapshot(5, test.before...))
		}
		peer.AdoptRead(snapshot(7, test.between...))
		both := snapshot(9, test.before...)
		both.ChangedAt = 9
		assert.Assert(t, !reader.AdoptRead(both))
		assert.Assert(t, reader.NewerThan(peer.Position()))
		assert.Assert(t, peer.AdoptReceived(*reader.Snapshot()))
		assert.DeepEqual(t, peer.Domains(), reader.Domains())

		var third evacuation.State
		third.AdoptReceived(snapshot(5, test.before...))
		third.AdoptReceived(*reader.Snapshot())
		assert.Assert(t, third.NewerThan(7), "it tells others what it was told")
	}
}

// Guards against an evacuation that is missed because a peer sends the domains in another
// order.
func TestDomainsOfPeersAreSorted(t *testing.T) {
	var state evacuation.State
	state.AdoptReceived(snapshot(5, "c", "b", "a"))
	assert.Assert(t, state.Evacuated("a") && state.Evacuated("b") && state.Evacuated("c"))
}
