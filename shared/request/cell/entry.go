package cell

import "slices"

// entryState compares the entry of an upstream on the platform's list with the
// incarnation that answered last. Labels, slots, capacity and failure domain belong to
// one incarnation: a worker that restarts may be of a different kind.
type entryState uint8

const (
	// entryCurrent means that the incarnation that answers wrote the entry.
	entryCurrent entryState = iota
	// entryOutdated means that an earlier incarnation wrote the entry. The list is read
	// at intervals, and can't be read while the platform's log is down.
	entryOutdated
	// entryAhead means that an incarnation wrote the entry that has not answered yet.
	entryAhead
)

// entryState returns the state of the upstream's entry.
func (upstream *upstreamState) entryState() entryState {
	switch {
	case upstream.listing.Incarnation < upstream.incarnation:
		return entryOutdated
	case upstream.listing.Incarnation > upstream.incarnation:
		return entryAhead
	default:
		return entryCurrent
	}
}

// entryAllows reports whether an upstream's entry allows a task of a step. With an
// outdated entry, the labels and the capacity of the upstream are not known. Its
// service is, because a worker that changes its service gets another ID. So a task
// may start if it requires no label and the upstream itself refuses what exceeds its
// capacity.
func (cell *Cell) entryAllows(upstream *upstreamState, step *Step) bool {
	switch upstream.entryState() {
	case entryCurrent:
		return step.Label == "" || slices.Contains(upstream.listing.Labels, step.Label)
	case entryOutdated:
		return step.Label == "" && cell.config.GuardsCapacity(upstream.listing.Service)
	default:
		return false
	}
}

// replaceEntry replaces the entry of an upstream by that of a new list, unless an
// earlier incarnation wrote that one: a peer's list may be older than it seems. If a
// later incarnation wrote it, the upstream is polled. Only its answer proves that the
// runs of the earlier one have ended, because an entry may be from another writer.
func (cell *Cell) replaceEntry(upstream *upstreamState, entry Upstream) {
	upstream.present = !entry.Removed
	if entry.Incarnation < upstream.listing.Incarnation && upstream.entryState() == entryCurrent {
		upstream.listing.Removed = entry.Removed
		return
	}
	upstream.listing = entry
	upstream.evacuated = cell.evacuatedDomains[entry.Domain]
	upstream.recomputeUsage()
	if upstream.entryState() == entryAhead && (upstream.status == upstreamOpen || upstream.status == upstreamSilent) {
		upstream.schedulePoll(cell.now)
	}
}
