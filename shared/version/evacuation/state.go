package evacuation

import "slices"

// Snapshot holds the evacuated failure domains according to the operators' log.
type Snapshot struct {
	// Position is the offset after the last record of the log that the snapshot
	// takes into account.
	Position int64 `cbor:"1,keyasint" json:"position"`
	// Domains holds the evacuated failure domains, sorted.
	Domains []string `cbor:"2,keyasint,omitempty" json:"domains"`
	// ChangedAt is the position after the last record that may have changed the domains,
	// 0 if it is not known. Between two snapshots with the same domains, others may have
	// been evacuated.
	ChangedAt int64 `cbor:"3,keyasint,omitempty" json:"changed-at"`
}

// State is the newest Snapshot that a process knows. The zero State knows none. It is
// not safe for concurrent use.
type State struct {
	snapshot Snapshot
	// changedAt is the lowest position from which on the domains are known to be
	// those of the snapshot.
	changedAt int64
	// inUse is set once an evacuation, or a peer's snapshot, was seen.
	inUse bool
}

// AdoptRead puts a snapshot in force that was read from the log, and reports whether
// the evacuated domains changed. A snapshot that is not newer than the present one,
// as that of a stale read, is ignored.
func (state *State) AdoptRead(snapshot Snapshot) bool {
	if snapshot.Position <= state.snapshot.Position {
		return false
	}
	changed := !slices.Equal(snapshot.Domains, state.snapshot.Domains)
	if changed || state.snapshot.Position == 0 {
		state.changedAt = snapshot.Position
	}
	state.changedAt = max(state.changedAt, min(snapshot.ChangedAt, snapshot.Position))
	state.inUse = state.inUse || len(snapshot.Domains) > 0
	state.snapshot = snapshot
	return changed
}

// AdoptReceived does the same for the snapshot of a peer.
func (state *State) AdoptReceived(snapshot Snapshot) bool {
	// A peer that sends one has seen an evacuation. From then on this process reports
	// its position, so that the peer learns of a newer snapshot.
	state.inUse = true
	snapshot.Domains = slices.Sorted(slices.Values(snapshot.Domains))
	return state.AdoptRead(snapshot)
}

// Evacuated reports whether a failure domain is evacuated.
func (state *State) Evacuated(domain string) bool {
	_, found := slices.BinarySearch(state.snapshot.Domains, domain)
	return found
}

// Domains returns the evacuated failure domains, sorted. The caller must not change
// them.
func (state *State) Domains() []string { return state.snapshot.Domains }

// Position returns the position to report to peers; 0 as long as no evacuation has
// been seen, so that regions without evacuations exchange nothing.
func (state *State) Position() int64 {
	if !state.inUse {
		return 0
	}
	return state.snapshot.Position
}

// Snapshot returns the snapshot to send to peers; nil as long as no evacuation has
// been seen.
func (state *State) Snapshot() *Snapshot {
	if !state.inUse || state.snapshot.Position == 0 {
		return nil
	}
	snapshot := state.snapshot
	snapshot.ChangedAt = state.changedAt
	return &snapshot
}

// NewerThan reports whether the domains may have changed since the position that a
// peer reports.
func (state *State) NewerThan(position int64) bool {
	return state.inUse && position < state.changedAt
}
