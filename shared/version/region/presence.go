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
// the loss of any number of processes one after the other.
func (view *View) updateLost() {
	if 2*view.LiveCount() <= 1+view.presentPeerCount() {
		return
	}
	for _, peer := range view.peers {
		if peer.heartbeatReceived && !view.live(peer) && view.now.Sub(peer.lastHeartbeatAt) >= lostAfter {
			peer.lost = true
		}
	}
}

// absent reports whether a process is taken to be lost rather than to be cut off:
// either most others were live when it was silent, or it refuses connections, so that
// its VM can be reached, or neither this process nor a live one that reports to it has
// heard it since its own start.
func (view *View) absent(peer *peerState) bool {
	if view.live(peer) {
		return false
	}
	if peer.lost {
		return true
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
