package region

import "time"

const (
	// introductionTime is how long after its start a process lists others that it has not
	// heard itself, so that the processes of a region that start together find each other.
	introductionTime = 1500 * time.Millisecond
	// absentAfter is how long after it was learned of a process is taken to be absent that
	// has not been heard. Within this time the lists of processes that have heard it arrive,
	// which are sent when a stream opens.
	absentAfter = 2 * time.Second
	// reportMemory is how long the list of a process that has heard another one counts. Lists
	// are sent every 2 s.
	reportMemory = 5 * time.Second
	// lostAfter is the silence after which a process is taken to be lost while most of the
	// others are live.
	lostAfter = 2 * time.Second
	// refusalMemory is how long a refused connection counts. Links connect again within
	// 150 ms.
	refusalMemory = time.Second
)

// Introductions returns the processes of the cell that this one reports to others:
// itself and those that it has heard since its start and doesn't take to be lost. One that
// has just started also reports those that it knows from elsewhere; unheard is set then.
// Processes that are lost for good are therefore forgotten after a while, although each
// process reports what others do.
func (view *View) Introductions() (members []Member, unheard bool) {
	members = append(members, view.self)
	isNew := view.now.Sub(view.startedAt) < introductionTime
	for _, address := range view.PeerAddresses() {
		if peer := view.peers[address]; (peer.heartbeatReceived || isNew) && !view.absent(peer) {
			members = append(members, peer.heartbeat.Member)
		}
	}
	return members, isNew
}

// recordReports records which processes the sender of a heartbeat has heard.
func (view *View) recordReports(heartbeat Heartbeat) {
	if heartbeat.ListsUnheard {
		return
	}
	for _, member := range heartbeat.Members {
		if peer, known := view.peers[member.Address]; known {
			peer.reportedAt = view.now
		}
	}
}

// updateLost marks the silent peers as lost while most of the processes that are present
// are live. Of two sides of a partition only one can have that majority, and only that
// one reduces the number of which it needs the majority later. So the claims survive
// the loss of any number of processes one after the other. A lost process that is heard
// again counts once at least half of those present have been heard since: otherwise the
// others, who may not hear it, may be the majority.
func (view *View) updateLost() {
	present := 1 + view.presentPeerCount()
	hasMajority := 2*view.votesSince(time.Time{}) > present
	var returned []*peerState
	for _, peer := range view.peers {
		switch {
		case peer.lost && view.live(peer):
			if 2*view.votesSince(peer.silentAt) >= present {
				returned = append(returned, peer)
			}
		case peer.heartbeatReceived && !view.live(peer):
			peer.silentAt = view.now
			isLong := view.now.Sub(peer.lastHeartbeatAt) >= lostAfter
			peer.lost = peer.lost || (isLong && hasMajority)
		}
	}
	for _, peer := range returned {
		peer.lost = false
	}
}

// votesSince returns the number of live processes, this one included, that count for its
// majority and were heard at a time or later.
func (view *View) votesSince(start time.Time) int {
	votes := 1
	for _, peer := range view.peers {
		if view.live(peer) && view.inCell(peer.heartbeat.Member) && view.votesHere(peer) && !peer.lastHeartbeatAt.Before(start) {
			votes++
		}
	}
	return votes
}

// votesHere reports whether a live process counts for a majority of this one: neither
// takes the other to be lost.
func (view *View) votesHere(peer *peerState) bool { return !peer.lost && !peer.heartbeat.ReceiverLost }

// TakesForLost reports whether the process at an address is taken to be lost, also if it
// is heard again and does not count yet.
func (view *View) TakesForLost(address string) bool {
	peer, known := view.peers[address]
	return known && peer.lost
}

// absent reports whether a process does not count because it is taken to be lost rather
// than to be cut off: either most others were live when it was silent, or it refuses
// connections, so that its VM can be reached, or neither this process nor a live one that
// reports to it has heard it since its own start.
func (view *View) absent(peer *peerState) bool {
	if peer.lost {
		return true
	}
	if view.live(peer) {
		return false
	}
	if !peer.lastRefusedAt.IsZero() && view.now.Sub(peer.lastRefusedAt) < refusalMemory {
		return true
	}
	wasReported := !peer.reportedAt.IsZero() && view.now.Sub(peer.reportedAt) < reportMemory
	return !peer.heartbeatReceived && !wasReported && view.now.Sub(peer.learnedAt) >= absentAfter
}

// presentPeerCount returns the number of known processes of the cell without this one
// and without those that are absent.
func (view *View) presentPeerCount() int {
	count := 0
	for _, peer := range view.peers {
		if view.inCell(peer.heartbeat.Member) && !view.absent(peer) {
			count++
		}
	}
	return count
}

// AbsentCount returns the number of known processes of the cell that are taken to be
// lost.
func (view *View) AbsentCount() int { return view.cellPeerCount() - view.presentPeerCount() }

// presentRoster returns the members of the roster without the peers that are absent.
func (view *View) presentRoster() []Member {
	var members []Member
	for _, member := range view.rosterMembers() {
		if peer, known := view.peers[member.Address]; !known || !view.absent(peer) {
			members = append(members, member)
		}
	}
	return members
}
