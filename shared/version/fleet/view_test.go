package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/fleet"
)

var startTime = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// mesh runs the Views of several entry VMs on virtual time and delivers their
// heartbeats without delay.
type mesh struct {
	now time.Time
	// timeOutWhenDown makes exchanges with a VM that is down fail by a timeout
	// instead of a refused connection.
	timeOutWhenDown bool
	addresses       []string
	views           map[string]*fleet.View
	down            map[string]bool
	owned           map[string]map[string]bool
	leaving         map[string][]string
	decisions       map[string][]fleet.Decision
	messages        map[string]int
	bytes           map[string]int
}

func entryAddress(domain, i int) string { return fmt.Sprintf("10.%d.0.%d:7000", domain, i) }

func domainName(domain int) string { return fmt.Sprintf("domain-%02d", domain) }

// vmList returns a VM list with entries entry VMs and workers upstreams in each
// domain.
func vmList(version int64, domains, entries, workers int) platform.VMsResponse {
	list := platform.VMsResponse{Version: version}
	for domain := range domains {
		for i := range entries {
			list.VMs = append(list.VMs, platform.VM{
				Address: entryAddress(domain, i),
				Domain:  domainName(domain),
				Role:    platform.RoleEntry,
				State:   platform.VMLive,
				Size:    1,
			})
		}
		for i := range workers {
			list.VMs = append(list.VMs, platform.VM{
				Address: fmt.Sprintf("10.%d.1.%d:80", domain, i),
				Domain:  domainName(domain),
				Role:    platform.RoleWorker,
				State:   platform.VMLive,
				Slots:   8,
			})
		}
	}
	return list
}

func newMesh(domains, entries, workers int) *mesh {
	mesh := &mesh{
		now:       startTime,
		views:     make(map[string]*fleet.View),
		down:      make(map[string]bool),
		owned:     make(map[string]map[string]bool),
		leaving:   make(map[string][]string),
		decisions: make(map[string][]fleet.Decision),
		messages:  make(map[string]int),
		bytes:     make(map[string]int),
	}
	for domain := range domains {
		for i := range entries {
			mesh.addresses = append(mesh.addresses, entryAddress(domain, i))
			mesh.startVM(domain, i, uint64(domain*1000+i+1))
		}
	}
	mesh.handleAll(fleet.ListReceived{List: vmList(1, domains, entries, workers)})
	return mesh
}

// startVM starts a new incarnation of an entry VM.
func (mesh *mesh) startVM(domain, i int, incarnation uint64) {
	address := entryAddress(domain, i)
	mesh.down[address] = false
	mesh.views[address] = fleet.New(mesh.now, fleet.Self{
		Address:     address,
		Domain:      domainName(domain),
		Size:        1,
		Incarnation: incarnation,
		Started:     mesh.now,
	})
}

func (mesh *mesh) handleAll(event fleet.Event) {
	for _, address := range mesh.addresses {
		mesh.handle(address, event)
	}
}

func (mesh *mesh) handle(address string, event fleet.Event) {
	if !mesh.down[address] {
		mesh.carryOut(address, mesh.views[address].Handle(mesh.now, event))
	}
}

func (mesh *mesh) carryOut(from string, decisions []fleet.Decision) {
	for _, decision := range decisions {
		mesh.decisions[from] = append(mesh.decisions[from], decision)
		switch decision := decision.(type) {
		case fleet.SendHeartbeat:
			mesh.exchangeHeartbeat(from, decision)
		case fleet.UpstreamsChanged:
			mesh.owned[from] = make(map[string]bool)
			for _, upstream := range decision.Owned {
				mesh.owned[from][upstream.ID] = true
			}
			mesh.leaving[from] = decision.Leaving
		}
	}
}

func (mesh *mesh) exchangeHeartbeat(from string, send fleet.SendHeartbeat) {
	if mesh.down[send.Address] {
		mesh.handle(from, fleet.HeartbeatFailed{
			Address:     send.Address,
			Undelivered: !mesh.timeOutWhenDown,
		})
		return
	}
	mesh.countMessage(from, send.Address, send.Message)
	response, decisions := mesh.views[send.Address].HandleHeartbeat(mesh.now, send.Message)
	mesh.carryOut(send.Address, decisions)
	mesh.countMessage(send.Address, from, response)
	mesh.handle(from, fleet.HeartbeatReceived{Message: response})
}

func (mesh *mesh) countMessage(from, to string, message peer.HeartbeatMessage) {
	data, err := peer.Encoding{}.Marshal(&message)
	if err != nil {
		panic(err)
	}
	for _, address := range []string{from, to} {
		mesh.messages[address]++
		mesh.bytes[address] += len(data)
	}
}

func (mesh *mesh) advance(duration time.Duration) {
	for end := mesh.now.Add(duration); mesh.now.Before(end); {
		mesh.now = mesh.now.Add(100 * time.Millisecond)
		mesh.handleAll(fleet.Tick{})
	}
}

// assertSingleOwners fails unless want upstreams, of all domains together, each
// have exactly one owner among the VMs that are up.
func (mesh *mesh) assertSingleOwners(t assert.TestingT, want int) {
	owner := make(map[string]string)
	for _, address := range mesh.addresses {
		if mesh.down[address] {
			continue
		}
		for upstream := range mesh.owned[address] {
			assert.Assert(t, owner[upstream] == "", "%s is owned by %s and %s", upstream, owner[upstream], address)
			owner[upstream] = address
		}
	}
	assert.Equal(t, len(owner), want)
}

// Guards against upstreams with two owners or none after VMs died, restarted or
// released their slots.
func TestEachUpstreamHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries, workers = 4, 30
		mesh := newMesh(1, entries, workers)
		mesh.advance(2 * time.Second)
		mesh.assertSingleOwners(t, workers)
		for step := range rapid.IntRange(1, 4).Draw(t, "steps") {
			i := rapid.IntRange(1, entries-1).Draw(t, "vm")
			address := entryAddress(0, i)
			switch rapid.SampledFrom([]string{"kill", "restart", "release"}).Draw(t, "what") {
			case "kill":
				mesh.down[address] = true
			case "restart":
				mesh.startVM(0, i, uint64(5000+step))
				mesh.owned[address] = nil
				mesh.handle(address, fleet.ListReceived{List: vmList(1, 1, entries, workers)})
			case "release":
				mesh.handle(address, fleet.SlotsReleased{})
			}
			mesh.advance(time.Duration(rapid.IntRange(3000, 5000).Draw(t, "ms")) * time.Millisecond)
			mesh.assertSingleOwners(t, workers)
		}
	})
}

// Guards against a leaving upstream that gets new tasks again, and against a new
// upstream that gets none because a leaving upstream had its address before.
func TestLeavingUpstreamStaysLeaving(t *testing.T) {
	const upstream = "10.0.1.0:80"
	listed := func(version int64, state platform.VMState) fleet.Event {
		list := vmList(version, 1, 1, 1)
		list.VMs[1].State = state
		return fleet.ListReceived{List: list}
	}
	unlisted := func(version int64) fleet.Event { return fleet.ListReceived{List: vmList(version, 1, 1, 0)} }
	reported := func(sequence uint64, listVersion int64) fleet.Event {
		return fleet.HeartbeatReceived{Message: peer.HeartbeatMessage{
			Address:     "10.0.0.9:7000",
			Domain:      domainName(0),
			Incarnation: 99,
			Sequence:    sequence,
			Released:    true,
			Drains:      []peer.Drain{{Upstream: upstream, ListVersion: listVersion}},
		}}
	}
	signal := fleet.UpstreamDraining{Upstream: upstream}
	live, leaving := platform.VMLive, platform.VMLeaving
	cases := []struct {
		name   string
		events []fleet.Event
		owned  bool
	}{
		{name: "live", events: []fleet.Event{listed(1, live)}, owned: true},
		{name: "listed as leaving", events: []fleet.Event{listed(1, live), listed(2, leaving)}},
		{name: "signal to this VM", events: []fleet.Event{listed(1, live), signal}},
		{name: "signal reported by a peer", events: []fleet.Event{listed(1, live), reported(1, 1)}},
		{name: "older list after the newer", events: []fleet.Event{listed(1, live), listed(3, leaving), listed(2, live)}},
		{name: "later list still shows it live", events: []fleet.Event{listed(1, live), signal, listed(2, live)}},
		{name: "reported, then a later list shows it live", events: []fleet.Event{listed(1, live), reported(1, 1), listed(2, live)}},
		{name: "signal before the upstream is listed", events: []fleet.Event{signal, listed(2, live)}},
		{name: "older list after the upstream disappeared", events: []fleet.Event{listed(1, live), signal, unlisted(3), listed(2, live)}},
		{name: "new upstream at the address", events: []fleet.Event{listed(1, live), signal, unlisted(2), listed(3, live)}, owned: true},
		{name: "old signal reported for a new upstream", events: []fleet.Event{listed(1, live), signal, unlisted(2), listed(3, live), reported(1, 1)}, owned: true},
		{name: "new signal reported for a new upstream", events: []fleet.Event{listed(1, live), signal, unlisted(2), listed(3, live), reported(1, 3)}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			mesh := newMesh(1, 1, 0)
			mesh.views[entryAddress(0, 0)] = fleet.New(startTime, fleet.Self{
				Address: entryAddress(0, 0),
				Domain:  domainName(0),
				Size:    1,
			})
			mesh.down["10.0.0.9:7000"] = true
			mesh.advance(time.Second)
			for _, event := range test.events {
				mesh.handleAll(event)
			}
			mesh.advance(200 * time.Millisecond)
			assert.Equal(t, mesh.owned[entryAddress(0, 0)][upstream], test.owned)
		})
	}
}

// Guards against a drain signal that takes more than 2 s to reach the peers of
// the domain: after that time a leaving upstream must get no new tasks.
func TestDrainSignalReachesPeers(t *testing.T) {
	const upstream = "10.0.1.5:80"
	mesh := newMesh(2, 3, 10)
	mesh.advance(3 * time.Second)
	mesh.handle(entryAddress(0, 0), fleet.UpstreamDraining{Upstream: upstream})
	mesh.advance(2 * time.Second)
	for i := range 3 {
		assert.DeepEqual(t, mesh.leaving[entryAddress(0, i)], []string{upstream})
	}
}

// Guards against a stale entry of the VM list that makes the next incarnation of
// an entry VM leave, and against one that makes a leaving VM available again.
func TestLeavingEntryVM(t *testing.T) {
	view := fleet.New(startTime, fleet.Self{
		Address: entryAddress(0, 0),
		Domain:  domainName(0),
	})
	address := entryAddress(0, 1)
	now := startTime
	sendHeartbeat := func(incarnation, sequence uint64, leaving bool) {
		now = now.Add(100 * time.Millisecond)
		view.Handle(now, fleet.HeartbeatReceived{Message: peer.HeartbeatMessage{
			Address:     address,
			Domain:      domainName(0),
			Incarnation: incarnation,
			StartedMs:   int64(incarnation),
			Sequence:    sequence,
			Leaving:     leaving,
		}})
	}
	list := vmList(1, 1, 2, 0)
	view.Handle(now, fleet.ListReceived{List: list})
	sendHeartbeat(1, 1, false)
	assert.DeepEqual(t, view.Successors(), []string{address})
	list = vmList(2, 1, 2, 0)
	list.VMs[1].State = platform.VMLeaving
	view.Handle(now, fleet.ListReceived{List: list})
	assert.Equal(t, len(view.Successors()), 0)
	sendHeartbeat(1, 2, false)
	view.Handle(now, fleet.ListReceived{List: vmList(3, 1, 2, 0)})
	assert.Equal(t, len(view.Successors()), 0, "a list made the leaving VM available again")
	list.Version = 4
	view.Handle(now, fleet.ListReceived{List: list})
	sendHeartbeat(2, 1, false)
	list.Version = 5
	view.Handle(now, fleet.ListReceived{List: list})
	assert.DeepEqual(t, view.Successors(), []string{address})
	sendHeartbeat(1, 3, true)
	assert.DeepEqual(t, view.Successors(), []string{address})
}

// Guards against slots that remain assigned to a killed VM for more than 3 s, the
// time within which the other VMs must take them over.
func TestKilledVMIsReplaced(t *testing.T) {
	for _, entries := range []int{3, 20} {
		for _, silent := range []bool{false, true} {
			mesh := newMesh(1, entries, 60)
			mesh.advance(5 * time.Second)
			mesh.timeOutWhenDown = silent
			mesh.down[entryAddress(0, 1)] = true
			mesh.advance(3 * time.Second)
			mesh.assertSingleOwners(t, 60)
		}
	}
}

// Guards against a process that, after a pause, continues to use the slots that
// its peers took over.
func TestPausedProcessReleasesOwnership(t *testing.T) {
	mesh := newMesh(1, 3, 30)
	mesh.advance(3 * time.Second)
	paused := entryAddress(0, 0)
	mesh.down[paused] = true
	mesh.advance(4 * time.Second)
	mesh.down[paused] = false
	mesh.decisions[paused] = nil
	mesh.handle(paused, fleet.Tick{})
	_, expired := mesh.decisions[paused][0].(fleet.MembershipExpired)
	assert.Assert(t, expired, "%T", mesh.decisions[paused][0])
	assert.Equal(t, len(mesh.owned[paused]), 0)
	mesh.advance(2 * time.Second)
	mesh.assertSingleOwners(t, 30)
}

// Guards against submissions of a stopped VM that can't be found, and against
// redirects that heartbeats carry forever.
func TestRedirectsSpreadOnce(t *testing.T) {
	mesh := newMesh(3, 3, 0)
	mesh.advance(3 * time.Second)
	expiry := mesh.now.Add(time.Minute).Unix()
	mesh.handle(entryAddress(0, 1), fleet.RedirectsReceived{Redirects: []peer.Redirect{
		{Incarnation: 7, Successor: 8, Address: "b", ExpiryUnix: expiry},
		{Incarnation: 8, Successor: 9, Address: "c", ExpiryUnix: expiry},
	}})
	mesh.handle(entryAddress(2, 0), fleet.RedirectsReceived{Redirects: []peer.Redirect{
		{Incarnation: 7, Successor: 9, Address: "c", ExpiryUnix: expiry},
	}})
	mesh.advance(4 * time.Second)
	for _, address := range mesh.addresses {
		redirect, exists := mesh.views[address].ResolveRedirects(7)
		assert.Assert(t, exists, address)
		assert.Equal(t, redirect.Address, "c")
		mesh.decisions[address] = nil
	}
	mesh.advance(2 * time.Second)
	for _, address := range mesh.addresses {
		for _, decision := range mesh.decisions[address] {
			if send, ok := decision.(fleet.SendHeartbeat); ok {
				assert.Equal(t, len(send.Message.Redirects), 0)
			}
		}
	}
	mesh.advance(time.Minute)
	_, exists := mesh.views[entryAddress(2, 2)].ResolveRedirects(7)
	assert.Assert(t, !exists)
}

// Guards against a VM that keeps an old plan although a peer reports a newer one,
// and against several pulls at a time.
func TestPlanIsPulledOnce(t *testing.T) {
	mesh := newMesh(1, 3, 0)
	mesh.advance(3 * time.Second)
	source := entryAddress(0, 1)
	mesh.handle(source, fleet.StatusChanged{Status: fleet.Status{PlanVersion: 5}})
	mesh.decisions[entryAddress(0, 0)] = nil
	mesh.advance(2 * time.Second)
	var pulls []fleet.Decision
	for _, decision := range mesh.decisions[entryAddress(0, 0)] {
		if _, ok := decision.(fleet.PullPlan); ok {
			pulls = append(pulls, decision)
		}
	}
	assert.DeepEqual(t, pulls, []fleet.Decision{fleet.PullPlan{Address: source, Version: 5}})
	assert.DeepEqual(t, mesh.views[source].PeersWithOlderPlan(), []string{entryAddress(0, 0), entryAddress(0, 2)})
}

// Guards against heartbeats beyond 10 control messages/s per VM in a deployment
// of the current size.
func TestHeartbeatRate(t *testing.T) {
	const seconds = 60
	mesh := newMesh(3, 3, 17)
	mesh.advance(5 * time.Second)
	clear(mesh.messages)
	mesh.advance(seconds * time.Second)
	for address, messages := range mesh.messages {
		assert.Assert(t, messages <= 10*seconds, "%s: %d messages in %d s", address, messages, seconds)
	}
}

// Guards against two domains that lose contact because the VMs that linked them
// died: the plan would not spread between them during a log outage.
func TestLinksMoveToLiveVMs(t *testing.T) {
	for survivor := range 3 {
		mesh := newMesh(2, 3, 0)
		mesh.advance(3 * time.Second)
		for i := range 3 {
			mesh.down[entryAddress(1, i)] = i != survivor
		}
		mesh.advance(10 * time.Second)
		reachable := false
		for i := range 3 {
			for _, member := range mesh.views[entryAddress(0, i)].Members(mesh.now) {
				recent := member.LastHeartbeatAgoMs >= 0 && member.LastHeartbeatAgoMs < 2000
				reachable = reachable || member.Address == entryAddress(1, survivor) && recent
			}
		}
		assert.Assert(t, reachable, "no VM of the other domain received a heartbeat of %s", entryAddress(1, survivor))
	}
}
