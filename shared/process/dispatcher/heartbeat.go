package dispatcher

import (
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

const (
	// routesEvery spaces the copies of the routing table for one peer, and
	// gives it time to read the table itself.
	routesEvery = 500 * time.Millisecond
	// listStale is the age of the scheduler's list of upstreams from which
	// peers send it theirs, and listFresh the age of a list worth sending.
	listStale = 1500 * time.Millisecond
	listFresh = time.Second
	// speedsEvery spaces the messages that tell the learned speeds.
	speedsEvery = 5 * time.Second
	// membersEvery spaces the heartbeats that carry all known processes.
	membersEvery = 2 * time.Second
)

func (loop *loop) heard(beat region.Heartbeat) {
	address := beat.Member.Address
	known := loop.view.Live(address)
	replaced := loop.view.HandleHeartbeat(beat)
	loop.dispatcher.links.Open(loop.ctx, address)
	loop.learn(beat.Members)
	if !known {
		loop.log(logevent.MemberJoined, "member", address, "name", beat.Member.Name)
	}
	if loop.cell != nil {
		front := frontName(address, beat.Member.Incarnation)
		held, has := loop.fronts[address]
		if has && (replaced || held != front || beat.Follows != loop.view.Self().Address) {
			delete(loop.fronts, address)
			loop.tell(cell.EntryVMLost{
				EntryVM: held,
			})
		}
	}
	if address == loop.leader {
		if loop.cell == nil {
			loop.publishPending(beat.PendingJobs)
		}
		if replaced {
			loop.follow("", "scheduler restarted")
		}
	}
	loop.helpOut(address, beat)
	loop.elect()
}

// helpOut sends a peer what it lacks.
func (loop *loop) helpOut(address string, beat region.Heartbeat) {
	if loop.routes != nil && beat.RoutesVersion < loop.routes.Version && loop.due("routes "+address, routesEvery) {
		loop.send(address, link.Message{
			Routes: loop.routes,
		})
	}
	if beat.ActiveFor > 0 && beat.UpstreamListAge > listStale && !loop.listedAt.IsZero() {
		age := loop.now.Sub(loop.listedAt)
		if age < listFresh && loop.due("list "+address, listStale) {
			loop.send(address, link.Message{
				Upstreams: &link.UpstreamList{
					Upstreams: loop.upstreams,
					Age:       age,
				},
			})
		}
	}
}

// due reports whether something was last done longer ago than a period, and
// counts it as done now.
func (loop *loop) due(what string, period time.Duration) bool {
	last, known := loop.told[what]
	if known && loop.now.Sub(last) < period {
		return false
	}
	loop.told[what] = loop.now
	return known
}

func (loop *loop) beat() {
	if loop.now.Sub(loop.beatAt) < loop.view.HeartbeatInterval() {
		return
	}
	withMembers := loop.now.Sub(loop.membersAt) >= membersEvery
	if withMembers {
		loop.membersAt = loop.now
	}
	loop.beatAll(withMembers)
	if loop.cell != nil && loop.now.Sub(loop.speedsAt) >= speedsEvery {
		loop.speedsAt = loop.now
		loop.tellSpeeds()
	}
}

func (loop *loop) beatAll(withMembers bool) {
	loop.beatAt = loop.now
	for _, address := range loop.view.PeerAddresses() {
		loop.sendBeat(address, withMembers)
	}
}

func (loop *loop) sendBeat(address string, withMembers bool) {
	beat := region.Heartbeat{
		Member:          loop.view.Self(),
		Leaving:         loop.view.Leaving(),
		ActiveFor:       loop.view.ActiveFor(),
		Follows:         loop.leader,
		Token:           loop.token,
		UpstreamListAge: loop.listAge(),
		Interval:        loop.view.HeartbeatInterval(),
		Eligible:        loop.view.Eligible(),
		ShedShare:       loop.pace.turned,
	}
	if loop.routes != nil {
		beat.RoutesVersion = loop.routes.Version
	}
	if withMembers {
		beat.Members = loop.view.Members()
	}
	if loop.cell != nil {
		beat.PendingJobs = loop.cell.Pending()
	}
	loop.send(address, link.Message{
		Heartbeat: &beat,
	})
}

func (loop *loop) tellSpeeds() {
	speeds := make(map[string]float64, len(loop.upstreams))
	for _, row := range loop.upstreams {
		speeds[row.ID] = loop.estimator.Speed(row.ID)
	}
	for _, address := range loop.view.PeerAddresses() {
		if loop.view.Live(address) {
			loop.send(address, link.Message{
				Speeds: &link.Speeds{
					Upstreams: speeds,
				},
			})
		}
	}
}
