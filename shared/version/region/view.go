package region

import (
	"sort"
	"time"
)

const (
	// MinHeartbeatInterval is the period of heartbeats in a small region.
	MinHeartbeatInterval = 200 * time.Millisecond
	// heartbeatPerPeer stretches the period in a large region, so that the
	// messages of a process grow no faster than 100 a second.
	heartbeatPerPeer = 10 * time.Millisecond
	// silencePeriods is the number of periods after which a silent process
	// counts as gone. At 3.5 periods a process that runs five times slower
	// still passes.
	silencePeriods = 3.5
	// brokenLimit is the silence after which a process whose connections were
	// refused counts as gone.
	brokenLimit = 250 * time.Millisecond
	// settleTime is how long a new process listens before it takes over. It
	// hears the others within a few round trips of the connection to any of
	// them. At 600 ms a region was without a scheduler for 0.9 s after all
	// processes had started.
	settleTime = 250 * time.Millisecond
	// activateAfter is when a settled process begins to schedule. In between it
	// hears which of the others are settled; without that all processes of a
	// region that start together began at once.
	activateAfter = settleTime + 50*time.Millisecond
	// sameAge is the difference of two ages that delays of heartbeats explain.
	// Without it each of two processes could take itself for the older one.
	sameAge = 150 * time.Millisecond
	// forgetAfter is how long a process that is not heard counts as a member.
	// It exceeds the partitions that the rules are made for.
	forgetAfter = 60 * time.Second
)

// Member is a process that may schedule.
type Member struct {
	// Address is where it receives the messages of peers.
	Address string `cbor:"1,keyasint" json:"address"`
	Name    string `cbor:"2,keyasint" json:"name"`
	Domain  string `cbor:"3,keyasint" json:"failure-domain"`
	// Weight is its share of a core.
	Weight      float64 `cbor:"4,keyasint" json:"weight"`
	Incarnation uint64  `cbor:"5,keyasint" json:"incarnation"`
}

// Heartbeat is what a process tells its peers of itself.
type Heartbeat struct {
	Member Member `cbor:"1,keyasint"`
	// Leaving processes take no part in scheduling any more.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// ActiveFor is the time since the process began to schedule; 0 if it does
	// not.
	ActiveFor time.Duration `cbor:"3,keyasint,omitempty"`
	// Follows is the address of the process that the sender submits to.
	Follows string `cbor:"4,keyasint,omitempty"`
	// Token is the highest fencing token that the sender knows.
	Token int64 `cbor:"5,keyasint,omitempty"`
	// RoutesVersion is the version of the sender's routing table.
	RoutesVersion int64 `cbor:"6,keyasint,omitempty"`
	// UpstreamListAge is the age of the sender's list of upstreams.
	UpstreamListAge time.Duration `cbor:"7,keyasint,omitempty"`
	// Members lists the processes that the sender knows.
	Members []Member `cbor:"8,keyasint,omitempty"`
	// PendingJobs counts, by kind, the jobs of which no task has started. It is
	// told by a process that schedules.
	PendingJobs map[string]int `cbor:"9,keyasint,omitempty"`
	// Interval is the time until the sender's next heartbeat.
	Interval time.Duration `cbor:"10,keyasint"`
	// Eligible is set once the sender has listened long enough to take over.
	Eligible bool `cbor:"11,keyasint,omitempty"`
	// ShedShare is the share of new jobs that the sender, if it schedules, wants
	// turned away.
	ShedShare float64 `cbor:"12,keyasint,omitempty"`
}

// remote is what is known of another process.
type remote struct {
	beat    Heartbeat
	heardAt time.Time
	heard   bool
	learned time.Time
	refused time.Time
}

// View is what a process knows of the others. It is not safe for concurrent
// use.
type View struct {
	self    Member
	started time.Time
	now     time.Time
	remotes map[string]*remote
	leaving bool
	// activeSince is zero while this process does not schedule.
	activeSince time.Time
	follows     string
	// abstainUntil keeps a process that was paused from taking over.
	abstainUntil time.Time
}

// New returns the view of a process that knows no others.
func New(now time.Time, self Member) *View {
	return &View{
		self:    self,
		started: now,
		now:     now,
		remotes: make(map[string]*remote),
	}
}

// Self returns the process's own entry.
func (view *View) Self() Member { return view.self }

// Advance sets the time. A pause of this process must not look like the
// silence of all others, so it counts for none of them.
func (view *View) Advance(now time.Time, paused time.Duration) {
	view.now = now
	if paused <= 0 {
		return
	}
	for _, other := range view.remotes {
		other.heardAt = other.heardAt.Add(paused)
	}
}

// MayActivate reports whether this process may begin to schedule, if it is the
// leader.
func (view *View) MayActivate() bool {
	return view.Eligible() && view.now.Sub(view.started) >= activateAfter
}

// Abstain keeps this process from scheduling for a time, unless there is no
// other.
func (view *View) Abstain(length time.Duration) {
	view.abstainUntil = view.now.Add(length)
	view.activeSince = time.Time{}
}

// AddMembers adds processes that others told of, and returns the addresses that
// were not known.
func (view *View) AddMembers(members []Member) []string {
	var added []string
	for _, member := range members {
		if member.Address == view.self.Address || member.Address == "" {
			continue
		}
		if _, known := view.remotes[member.Address]; known {
			continue
		}
		view.remotes[member.Address] = &remote{
			beat: Heartbeat{
				Member: member,
			},
			learned: view.now,
		}
		added = append(added, member.Address)
	}
	return added
}

// HandleHeartbeat takes note of a heartbeat. It reports whether a process of an earlier
// incarnation was at the address.
func (view *View) HandleHeartbeat(beat Heartbeat) (replaced bool) {
	address := beat.Member.Address
	if address == view.self.Address {
		return false
	}
	held, known := view.remotes[address]
	if !known {
		held = &remote{
			learned: view.now,
		}
		view.remotes[address] = held
	}
	replaced = held.heard && held.beat.Member.Incarnation != beat.Member.Incarnation
	held.beat = beat
	held.heard = true
	held.heardAt = view.now
	held.refused = time.Time{}
	return replaced
}

// HandleRefusal takes note that no process listens at an address.
func (view *View) HandleRefusal(address string) {
	if held, known := view.remotes[address]; known && held.refused.IsZero() {
		held.refused = view.now
	}
}

// HandleStepDown takes note that a process schedules no longer, before its next
// heartbeat tells it.
func (view *View) HandleStepDown(address string) {
	if held, known := view.remotes[address]; known {
		held.beat.ActiveFor = 0
		held.beat.Eligible = false
	}
}

// RemoveExpired drops the processes that were not heard for long, and returns their
// addresses.
func (view *View) RemoveExpired() []string {
	var dropped []string
	for address, held := range view.remotes {
		last := held.learned
		if held.heard {
			last = held.heardAt
		}
		if view.now.Sub(last) > forgetAfter {
			delete(view.remotes, address)
			dropped = append(dropped, address)
		}
	}
	sort.Strings(dropped)
	return dropped
}

// HeartbeatInterval returns the time between this process's heartbeats.
func (view *View) HeartbeatInterval() time.Duration {
	return max(MinHeartbeatInterval, time.Duration(len(view.remotes))*heartbeatPerPeer)
}

// live reports whether a process was heard lately.
func (view *View) live(held *remote) bool {
	if !held.heard {
		return false
	}
	silence := view.now.Sub(held.heardAt)
	if !held.refused.IsZero() && silence > brokenLimit {
		return false
	}
	return silence < time.Duration(silencePeriods*float64(max(held.beat.Interval, MinHeartbeatInterval)))
}

// Live reports whether the process at an address was heard lately.
func (view *View) Live(address string) bool {
	if address == view.self.Address {
		return true
	}
	held, known := view.remotes[address]
	return known && view.live(held)
}

// LiveCount returns the number of live processes, this one included.
func (view *View) LiveCount() int {
	count := 1
	for _, held := range view.remotes {
		if view.live(held) {
			count++
		}
	}
	return count
}

// PeerAddresses returns all known addresses but this process's own, sorted.
func (view *View) PeerAddresses() []string {
	addresses := make([]string, 0, len(view.remotes))
	for address := range view.remotes {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	return addresses
}

// Members returns all known processes, this one included.
func (view *View) Members() []Member {
	members := []Member{view.self}
	for _, address := range view.PeerAddresses() {
		members = append(members, view.remotes[address].beat.Member)
	}
	return members
}

// RelayCandidates returns the other live processes that are not leaving, sorted by
// address.
func (view *View) RelayCandidates() []Member {
	var relays []Member
	for _, address := range view.PeerAddresses() {
		if held := view.remotes[address]; view.live(held) && !held.beat.Leaving {
			relays = append(relays, held.beat.Member)
		}
	}
	return relays
}

// LastHeartbeat returns the last heartbeat of a process.
func (view *View) LastHeartbeat(address string) (Heartbeat, bool) {
	held, known := view.remotes[address]
	if !known || !held.heard {
		return Heartbeat{}, false
	}
	return held.beat, true
}

// MaxToken returns the highest fencing token that any process told.
func (view *View) MaxToken() int64 {
	var highest int64
	for _, held := range view.remotes {
		highest = max(highest, held.beat.Token)
	}
	return highest
}

// Leave keeps this process from scheduling as long as there is another.
func (view *View) Leave() { view.leaving = true }

// Leaving reports whether Leave was called.
func (view *View) Leaving() bool { return view.leaving }

// Activate tells that this process schedules from now on.
func (view *View) Activate() { view.activeSince = view.now }

// Deactivate tells that this process schedules no longer.
func (view *View) Deactivate() { view.activeSince = time.Time{} }

// ActiveFor returns the time since Activate, or 0.
func (view *View) ActiveFor() time.Duration {
	if view.activeSince.IsZero() {
		return 0
	}
	return max(view.now.Sub(view.activeSince), time.Millisecond)
}

// Follow tells which process this one submits to.
func (view *View) Follow(address string) { view.follows = address }

// Eligible reports whether this process has listened long enough to take over,
// and does not abstain.
func (view *View) Eligible() bool {
	return view.now.Sub(view.started) >= settleTime && !view.now.Before(view.abstainUntil)
}
