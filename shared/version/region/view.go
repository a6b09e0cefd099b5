package region

import (
	"math"
	"sort"
	"time"

	"tanagerfall/shared/request/cell"
)

const (
	// MinHeartbeatInterval is the time between the heartbeats of a process in a
	// small region.
	MinHeartbeatInterval = 200 * time.Millisecond
	// heartbeatIntervalPerPeer lengthens the interval in a large region, so that
	// a process sends at most 100 heartbeats a second.
	heartbeatIntervalPerPeer = 10 * time.Millisecond
	// livenessTimeoutIntervals is the number of its heartbeat intervals after
	// which a silent process is no longer live. At 3.5 a process that runs five
	// times slower than usual remains live.
	livenessTimeoutIntervals = 3.5
	// refusedTimeout is the silence after which a process that refused a
	// connection is no longer live.
	refusedTimeout = 250 * time.Millisecond
	// startupListenTime is how long a new process listens to heartbeats before
	// it is eligible as scheduler. It receives those of all others within a few
	// round trips of its first connection. At 600 ms a region had no scheduler
	// for 0.9 s after all its processes had started.
	startupListenTime = 250 * time.Millisecond
	// activationDelay is the time from its start after which a process may begin
	// to schedule. The 50 ms after startupListenTime let it learn which other
	// processes are eligible; without them all processes of a region that
	// started together began to schedule at once.
	activationDelay = startupListenTime + 50*time.Millisecond
	// activeForTolerance is the difference of two ActiveFor times that the delays
	// of heartbeats can cause. Without it each of two processes could conclude
	// that it has scheduled longer than the other.
	activeForTolerance = 150 * time.Millisecond
	// removeAfter is the silence after which a process is no longer a member. It
	// is longer than the partitions that the election is designed for.
	removeAfter = 60 * time.Second
	// intervalMemory is how long an announced interval between heartbeats counts. It exceeds
	// the liveness timeouts of all regions.
	intervalMemory = 10 * time.Second
	// removeForeignAfter is the silence after which a process of another cell is no
	// longer a peer. Heartbeats cross cells only while one of the two holds jobs of
	// the other, or starts.
	removeForeignAfter = 3 * time.Second
)

// Member is a process that may schedule.
type Member struct {
	// Address is where the process accepts the streams of its peers.
	Address string `cbor:"1,keyasint" json:"address"`
	Name    string `cbor:"2,keyasint" json:"name"`
	Domain  string `cbor:"3,keyasint" json:"failure-domain"`
	// Weight is the process's share of a core.
	Weight float64 `cbor:"4,keyasint" json:"weight"`
	// Incarnation distinguishes the process from earlier ones at the same address.
	Incarnation uint64 `cbor:"5,keyasint" json:"incarnation"`
	// LinkMbps is the bandwidth of the process's network link in Mbit/s; 0 if it is
	// not known.
	LinkMbps float64 `cbor:"6,keyasint,omitempty" json:"link-mbps,omitempty"`
}

// Heartbeat is the state that a process reports to its peers at intervals.
type Heartbeat struct {
	// Member describes the sender.
	Member Member `cbor:"1,keyasint"`
	// Leaving is set if the sender is stopping. It is elected scheduler only if
	// all other live processes are leaving too.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// ActiveFor is the time since the sender began to schedule; 0 if it does not
	// schedule.
	ActiveFor time.Duration `cbor:"3,keyasint,omitempty"`
	// Follows is the address of the scheduler that the sender submits jobs to;
	// empty if there is none.
	Follows string `cbor:"4,keyasint,omitempty"`
	// Token is the highest fencing token that the sender knows.
	Token int64 `cbor:"5,keyasint,omitempty"`
	// RoutesVersion is the version of the sender's routing table.
	RoutesVersion int64 `cbor:"6,keyasint,omitempty"`
	// UpstreamListAge is the age of the sender's list of upstreams.
	UpstreamListAge time.Duration `cbor:"7,keyasint,omitempty"`
	// Members lists the processes that the sender knows. Not every heartbeat
	// carries it.
	Members []Member `cbor:"8,keyasint,omitempty"`
	// ListsUnheard is set if the sender may not have heard all Members itself.
	ListsUnheard bool `cbor:"28,keyasint,omitempty"`
	// ReceiverLost is set if the sender takes the receiver to be lost, until it counts
	// again.
	ReceiverLost bool `cbor:"29,keyasint,omitempty"`
	// PendingJobs counts, by kind, the jobs of which no task has started. Only a
	// scheduler sets it.
	PendingJobs map[string]int `cbor:"9,keyasint,omitempty"`
	// Interval is the time until the sender's next heartbeat.
	Interval time.Duration `cbor:"10,keyasint"`
	// Eligible is set if the sender may become scheduler: it has listened long
	// enough since its start and does not abstain.
	Eligible bool `cbor:"11,keyasint,omitempty"`
	// ShedShare is the share of new jobs, from 0 to 1, that entry VMs are to shed
	// on behalf of the sender. Only a scheduler sets it.
	ShedShare float64 `cbor:"12,keyasint,omitempty"`
	// Division is how the sender takes the region to be divided.
	Division Division `cbor:"13,keyasint,omitempty"`
	// UpstreamSet identifies the set of upstreams on which the sender may have runs: those on
	// its list, and UpstreamsOutside. It is 0 if the set is not known. Only a scheduler sets it.
	UpstreamSet uint64 `cbor:"14,keyasint,omitempty"`
	// UpstreamsOutside holds the IDs of the upstreams that left the sender's list and may have
	// runs of it.
	UpstreamsOutside []string `cbor:"31,keyasint,omitempty"`
	// Unheard is set if the sender does not hear the receiver. The stream from the receiver
	// may have become silent for good without breaking.
	Unheard bool `cbor:"15,keyasint,omitempty"`
	// EvacuationsPosition is the position of the sender's evacuation.Snapshot; 0 if it
	// has seen no evacuation.
	EvacuationsPosition int64 `cbor:"18,keyasint,omitempty"`
	// Admission holds, by service, by which state the sender refuses jobs. Only a
	// scheduler sets it.
	Admission map[string]cell.AdmissionState `cbor:"16,keyasint,omitempty"`
}

// peerState is what this process knows of another one.
type peerState struct {
	// heartbeat is the last one received. Until there is one, it holds the Member
	// only. lastHeartbeatAt is when it was sent, moved by the time for which this process
	// was paused since.
	heartbeat         Heartbeat
	lastHeartbeatAt   time.Time
	pausedSince       time.Duration
	heartbeatReceived bool
	// learnedAt is when this process first learned of the peer.
	learnedAt time.Time
	// refusedAt is when the peer first refused a connection after its last
	// heartbeat, lastRefusedAt when it last did; zero if it has not.
	refusedAt     time.Time
	lastRefusedAt time.Time
	// reportedAt is when another process last reported that it has heard the peer.
	reportedAt time.Time
	// lost is set and reset by updateLost, which last found the peer silent at silentAt.
	lost     bool
	silentAt time.Time
}

// View is one process's view of the membership of its region. It is not safe
// for concurrent use.
type View struct {
	self      Member
	startedAt time.Time
	now       time.Time
	// peers holds the other processes by address.
	peers   map[string]*peerState
	leaving bool
	// activeSince is zero while this process does not schedule.
	activeSince time.Time
	follows     string
	// abstainUntil keeps a process that was paused or slow from becoming
	// scheduler.
	abstainUntil time.Time
	division     Division
	// dividedAt is when the division was last decided.
	dividedAt time.Time
	// roster holds all members of the region that this process has heard of, in
	// its cell or not, by address.
	roster map[string]Member
	// rosterChangedAt is when the roster last changed.
	rosterChangedAt time.Time
	// longestInterval is the longest interval between heartbeats that this process has
	// lately announced, and longestIntervalAt when it did so last.
	longestInterval   time.Duration
	longestIntervalAt time.Time
	// homes caches the homes of upstreams by ID. It is discarded when the members
	// of the cell change.
	homes map[string]string
}

// New returns the view of a process that knows no others.
func New(now time.Time, self Member) *View {
	return &View{
		self:            self,
		startedAt:       now,
		now:             now,
		peers:           make(map[string]*peerState),
		roster:          make(map[string]Member),
		rosterChangedAt: now,
		homes:           make(map[string]string),
	}
}

// Self returns this process as a Member.
func (view *View) Self() Member { return view.self }

// Advance sets the time that all other methods use. paused is how long this
// process was paused since the last call; it does not count as silence of the
// other processes, which would otherwise all appear to have failed.
func (view *View) Advance(now time.Time, paused time.Duration) {
	view.now = now
	interval := view.HeartbeatInterval()
	if interval >= view.longestInterval || now.Sub(view.longestIntervalAt) > intervalMemory {
		view.longestInterval = interval
		view.longestIntervalAt = now
	}
	if paused > 0 {
		for _, peer := range view.peers {
			peer.lastHeartbeatAt = peer.lastHeartbeatAt.Add(paused)
			peer.pausedSince += paused
		}
	}
	view.updateLost()
}

// MayActivate reports whether this process may begin to schedule if Leader
// returns it: it is eligible, was started at least 300 ms ago, and has known for
// 50 ms how the region is divided.
func (view *View) MayActivate() bool {
	return view.Eligible() && view.now.Sub(view.startedAt) >= activationDelay &&
		view.division != DivisionUnknown && view.now.Sub(view.dividedAt) >= activationDelay-startupListenTime
}

// Abstain makes this process ineligible as scheduler for a time, and records
// that it does not schedule. The caller steps down.
func (view *View) Abstain(length time.Duration) {
	view.abstainUntil = view.now.Add(length)
	view.activeSince = time.Time{}
}

// AddMembers adds processes that others have reported, and returns the addresses
// of those that are new peers of this process. Processes of other cells are
// recorded in the roster only.
func (view *View) AddMembers(members []Member) []string {
	var added []string
	for _, member := range members {
		if member.Address == view.self.Address || member.Address == "" {
			continue
		}
		view.recordInRoster(member)
		if _, ok := view.peers[member.Address]; ok || !view.inCell(member) {
			continue
		}
		clear(view.homes)
		view.peers[member.Address] = &peerState{
			heartbeat: Heartbeat{
				Member: member,
			},
			learnedAt: view.now,
		}
		added = append(added, member.Address)
	}
	return added
}

// HandleHeartbeat records a heartbeat that another process sent delay ago. The silence
// of the process counts from then, because others rely on it that a scheduler stops
// the runs of a lost process within a quarantine. It reports whether
// heartbeats from this address were last received from another incarnation, so
// that the process has restarted. Heartbeats from this process's own address are
// ignored.
func (view *View) HandleHeartbeat(heartbeat Heartbeat, delay time.Duration) (restarted bool) {
	address := heartbeat.Member.Address
	if address == view.self.Address {
		return false
	}
	view.recordInRoster(heartbeat.Member)
	sender, ok := view.peers[address]
	if !ok {
		sender = &peerState{
			learnedAt: view.now,
		}
		view.peers[address] = sender
	}
	if sender.heartbeat.Member != heartbeat.Member {
		clear(view.homes)
	}
	restarted = sender.heartbeatReceived && sender.heartbeat.Member.Incarnation != heartbeat.Member.Incarnation
	sender.heartbeat = heartbeat
	sender.heartbeatReceived = true
	view.recordReports(heartbeat)
	if sentAt := view.now.Add(-delay); restarted || sentAt.After(sender.lastHeartbeatAt) {
		sender.lastHeartbeatAt = sentAt
		sender.pausedSince = 0
	}
	sender.refusedAt = time.Time{}
	sender.lastRefusedAt = time.Time{}
	return restarted
}

// HandleRefusal records that a connection to an address was refused, so that no
// process listens there.
func (view *View) HandleRefusal(address string) {
	peer, ok := view.peers[address]
	if !ok {
		return
	}
	peer.lastRefusedAt = view.now
	if peer.refusedAt.IsZero() {
		peer.refusedAt = view.now
	}
}

// HandleStepDown records that a process has stepped down as scheduler, which its
// next heartbeat would report later.
func (view *View) HandleStepDown(address string) {
	if peer, ok := view.peers[address]; ok {
		peer.heartbeat.ActiveFor = 0
		peer.heartbeat.Eligible = false
	}
}

// RemoveExpired removes the peers of the cell that have been silent for more than
// 60 s and those of other cells that have been silent for more than 3 s. It returns
// their addresses, sorted.
func (view *View) RemoveExpired() []string {
	var removed []string
	for address, peer := range view.peers {
		lastContactAt := peer.learnedAt
		if peer.heartbeatReceived {
			lastContactAt = peer.lastHeartbeatAt
		}
		retention := removeAfter
		if !view.inCell(peer.heartbeat.Member) {
			retention = removeForeignAfter
		}
		if view.now.Sub(lastContactAt) > retention {
			delete(view.peers, address)
			removed = append(removed, address)
			if retention == removeAfter {
				view.removeFromRoster(address)
			}
		}
	}
	if len(removed) > 0 {
		clear(view.homes)
	}
	sort.Strings(removed)
	return removed
}

// HeartbeatInterval returns the time between this process's heartbeats, which
// grows with the number of known processes of the cell.
func (view *View) HeartbeatInterval() time.Duration {
	return max(MinHeartbeatInterval, time.Duration(view.cellPeerCount())*heartbeatIntervalPerPeer)
}

// LivenessTimeout returns the silence after which no other process considers this one live,
// by the intervals that it has lately announced. The interval falls when the region is
// divided or peers expire, and processes that no longer hear this one know only the earlier
// one.
func (view *View) LivenessTimeout() time.Duration {
	return livenessTimeout(max(view.longestInterval, view.HeartbeatInterval()))
}

// livenessTimeout returns the silence after which a process that announced an interval
// between its heartbeats is no longer live.
func livenessTimeout(interval time.Duration) time.Duration {
	return time.Duration(livenessTimeoutIntervals * float64(max(interval, MinHeartbeatInterval)))
}

// cellPeerCount returns the number of known processes of the cell without this
// one.
func (view *View) cellPeerCount() int {
	count := 0
	for _, peer := range view.peers {
		if view.inCell(peer.heartbeat.Member) {
			count++
		}
	}
	return count
}

// live reports whether the last heartbeat of a peer is recent enough.
func (view *View) live(peer *peerState) bool {
	if !peer.heartbeatReceived {
		return false
	}
	silence := view.now.Sub(peer.lastHeartbeatAt)
	if !peer.refusedAt.IsZero() && silence > refusedTimeout {
		return false
	}
	return silence < livenessTimeout(peer.heartbeat.Interval)
}

// Live reports whether the process at an address is live: a heartbeat of it has
// been received within its timeout. This process itself is always live.
func (view *View) Live(address string) bool {
	if address == view.self.Address {
		return true
	}
	peer, ok := view.peers[address]
	return ok && view.live(peer)
}

// LiveCount returns the number of live processes of the cell, this one included.
func (view *View) LiveCount() int {
	count := 1
	for _, peer := range view.peers {
		if view.live(peer) && view.inCell(peer.heartbeat.Member) {
			count++
		}
	}
	return count
}

// PeerAddresses returns the addresses of all other known processes of the cell,
// live or not, sorted.
func (view *View) PeerAddresses() []string {
	addresses := make([]string, 0, len(view.peers))
	for address, peer := range view.peers {
		if view.inCell(peer.heartbeat.Member) {
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	return addresses
}

// Members returns all known processes of the cell, live or not: this one first,
// then the others sorted by address.
func (view *View) Members() []Member {
	members := []Member{view.self}
	for _, address := range view.PeerAddresses() {
		members = append(members, view.peers[address].heartbeat.Member)
	}
	return members
}

// RelayCandidates returns the processes that may act as relays for this one: the
// other live processes that are not leaving, sorted by address.
func (view *View) RelayCandidates() []Member {
	var members []Member
	for _, address := range view.PeerAddresses() {
		if peer := view.peers[address]; view.live(peer) && !peer.heartbeat.Leaving {
			members = append(members, peer.heartbeat.Member)
		}
	}
	return members
}

// LastHeartbeat returns the last heartbeat received from an address, or false if
// there was none.
func (view *View) LastHeartbeat(address string) (Heartbeat, bool) {
	peer, ok := view.peers[address]
	if !ok || !peer.heartbeatReceived {
		return Heartbeat{}, false
	}
	return peer.heartbeat, true
}

// HeartbeatAge returns the time since the last heartbeat from an address was sent.
func (view *View) HeartbeatAge(address string) time.Duration {
	peer, ok := view.peers[address]
	if !ok || !peer.heartbeatReceived {
		return math.MaxInt64
	}
	return view.now.Sub(peer.lastHeartbeatAt) + peer.pausedSince
}

// MaxToken returns the highest fencing token that any other process has
// reported; 0 if none has.
func (view *View) MaxToken() int64 {
	var highest int64
	for _, peer := range view.peers {
		highest = max(highest, peer.heartbeat.Token)
	}
	return highest
}

// Leave marks this process as leaving. It is elected scheduler only if all other
// live processes are leaving too.
func (view *View) Leave() { view.leaving = true }

// Leaving reports whether Leave was called.
func (view *View) Leaving() bool { return view.leaving }

// Activate records that this process schedules from now on.
func (view *View) Activate() { view.activeSince = view.now }

// Deactivate records that this process no longer schedules.
func (view *View) Deactivate() { view.activeSince = time.Time{} }

// ActiveFor returns the time since Activate, at least 1 ms; 0 if this process
// does not schedule.
func (view *View) ActiveFor() time.Duration {
	if view.activeSince.IsZero() {
		return 0
	}
	return max(view.now.Sub(view.activeSince), time.Millisecond)
}

// Follow records the address of the scheduler that this process submits jobs to;
// empty if there is none.
func (view *View) Follow(address string) { view.follows = address }

// Eligible reports whether this process may become scheduler: it has listened to
// heartbeats for 250 ms since its start and does not abstain.
func (view *View) Eligible() bool {
	return view.now.Sub(view.startedAt) >= startupListenTime && !view.now.Before(view.abstainUntil)
}
