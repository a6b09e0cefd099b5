package dispatcher

import (
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

const (
	// routesInterval is the minimum time between copies of the routing table for a
	// peer. Before the first copy it gives the peer time to read the table itself.
	routesInterval = 500 * time.Millisecond
	// staleListAge is the age of the scheduler's list of upstreams above which
	// peers send it theirs.
	staleListAge = 1500 * time.Millisecond
	// minListAdvance is how much newer than the scheduler's a list of upstreams must
	// be to be worth sending. During an outage of the store a scheduler that took
	// over with an old list gets the newest one that a process has.
	minListAdvance = time.Second
	// membersInterval is the time between heartbeats that list all known processes.
	membersInterval = 2 * time.Second
	// unheardInterval is the time between resets of the stream to a peer that does not hear
	// this process. It exceeds the time in which a new stream is opened and heard.
	unheardInterval = time.Second
	// silentInterval is the time between resets of the stream to a peer that this process
	// does not hear. If the streams in both directions have become silent for good, neither
	// side learns that the other does not hear it.
	silentInterval = 2 * time.Second
	// divisionInterval is the minimum time between answers to a process of another
	// cell that does not know the division.
	divisionInterval = 200 * time.Millisecond
)

// handleHeartbeat updates the membership from a heartbeat that a peer sent delay ago. If the peer has
// restarted or follows another scheduler, its jobs are withdrawn from the Cell.
func (loop *loop) handleHeartbeat(heartbeat region.Heartbeat, delay time.Duration) {
	address := heartbeat.Member.Address
	wasLive := loop.view.Live(address)
	replaced := loop.view.HandleHeartbeat(heartbeat, delay)
	loop.addMembers(heartbeat.Members)
	loop.applyDivision(loop.view.AdoptDivision(heartbeat.Division))
	loop.reportDropped(heartbeat.Member)
	if heartbeat.Unheard && loop.sendDue("reset "+address, unheardInterval) {
		loop.log(logevent.StreamReset, "member", address)
		loop.dispatcher.links.Reset(address)
	}
	if !loop.view.InCell(address) {
		loop.foreignEntryVMRestarted(heartbeat)
		loop.answerForeignHeartbeat(heartbeat)
		return
	}
	loop.knownUpstreams.record(loop.now, heartbeat.UpstreamSet, heartbeat.UpstreamsOutside)
	loop.dispatcher.links.Open(loop.ctx, address)
	if !wasLive {
		loop.log(logevent.MemberJoined, "member", address, "name", heartbeat.Member.Name)
	}
	if replaced || !wasLive {
		loop.sendLeaving(address)
		loop.sendEvacuations(address, heartbeat.EvacuationsPosition)
	}
	if loop.cell != nil {
		entryVM := entryVMName(address, heartbeat.Member.Incarnation)
		previousEntryVM, hasJobs := loop.entryVMs[address]
		if hasJobs && (replaced || previousEntryVM != entryVM || heartbeat.Follows != loop.view.Self().Address) {
			delete(loop.entryVMs, address)
			loop.notifyCell(cell.EntryVMLost{
				EntryVM: previousEntryVM,
			})
		}
	}
	if address == loop.leader {
		if loop.cell == nil {
			loop.publishPendingJobs(heartbeat.PendingJobs)
		}
		if replaced {
			loop.follow("", "scheduler restarted")
		}
	}
	loop.sendNewerState(address, heartbeat)
	loop.elect()
}

// reportDropped tells an entry VM that is heard again that this scheduler has
// withdrawn its jobs while it was silent.
func (loop *loop) reportDropped(member region.Member) {
	entryVM, dropped := loop.droppedEntryVMs[member.Address]
	if !dropped {
		return
	}
	delete(loop.droppedEntryVMs, member.Address)
	if loop.cell == nil || entryVM.name != entryVMName(member.Address, member.Incarnation) {
		return
	}
	if !loop.view.InCell(member.Address) {
		loop.useForeignLink(member.Address)
	}
	loop.send(member.Address, link.Message{
		Dropped: &link.Dropped{
			Through: entryVM.through,
		},
	})
}

// sendLeaving tells a process that has started, or was not heard for a while, which
// upstreams have begun to leave.
func (loop *loop) sendLeaving(address string) {
	if leaving := loop.leavingUpstreams(); len(leaving.Incarnations) > 0 {
		loop.send(address, link.Message{
			Leaving: &leaving,
		})
	}
}

// answerForeignHeartbeat answers a process of another cell that does not know yet
// that the region is divided, as one that starts: it learns the division and the
// members of its own cell.
func (loop *loop) answerForeignHeartbeat(heartbeat region.Heartbeat) {
	address := heartbeat.Member.Address
	if heartbeat.Division == region.DividedByDomain || !loop.sendDue("division "+address, divisionInterval) {
		return
	}
	loop.dispatcher.links.Open(loop.ctx, address)
	loop.sendHeartbeat(address, true)
}

// sendNewerState sends a peer the routing table and the evacuations if the peer's are
// older, and a scheduler the list of upstreams if its list is stale.
func (loop *loop) sendNewerState(address string, heartbeat region.Heartbeat) {
	if loop.routes != nil && heartbeat.RoutesVersion < loop.routes.Version && loop.sendDue("routes "+address, routesInterval) {
		loop.send(address, link.Message{
			Routes: loop.routes,
		})
	}
	if loop.evacuations.NewerThan(heartbeat.EvacuationsPosition) && loop.sendDue("evacuations "+address, evacuationsInterval) {
		loop.sendEvacuations(address, heartbeat.EvacuationsPosition)
	}
	if heartbeat.ActiveFor > 0 && heartbeat.UpstreamListAge > staleListAge && !loop.listReadAt.IsZero() {
		age := loop.now.Sub(loop.listReadAt)
		if age+minListAdvance < heartbeat.UpstreamListAge && loop.sendDue("list "+address, staleListAge) {
			loop.send(address, link.Message{
				Upstreams: &link.UpstreamList{
					Upstreams: loop.upstreams,
					Age:       age,
				},
			})
		}
	}
}

// sendDue reports whether a message may be sent that is sent at most once in a
// period, and if so records it as sent. The first call for a subject only starts
// its period.
func (loop *loop) sendDue(subject string, period time.Duration) bool {
	last, known := loop.lastSentAt[subject]
	if known && loop.now.Sub(last) < period {
		return false
	}
	loop.lastSentAt[subject] = loop.now
	return known
}

// sendDueHeartbeats sends the periodic heartbeats and, as the scheduler, the
// learned speeds of upstreams.
func (loop *loop) sendDueHeartbeats() {
	if loop.now.Sub(loop.heartbeatsSentAt) < loop.view.HeartbeatInterval() {
		return
	}
	withMembers := loop.now.Sub(loop.membersSentAt) >= membersInterval
	if withMembers {
		loop.membersSentAt = loop.now
	}
	loop.resetSilentStreams()
	loop.sendHeartbeats(withMembers)
	loop.sendDueEstimates()
}

// resetSilentStreams replaces the streams to the peers that this process does not hear.
func (loop *loop) resetSilentStreams() {
	for _, address := range loop.view.PeerAddresses() {
		if !loop.view.Live(address) && loop.sendDue("silent "+address, silentInterval) {
			loop.dispatcher.links.Reset(address)
		}
	}
}

func (loop *loop) sendHeartbeats(withMembers bool) {
	loop.heartbeatsSentAt = loop.now
	for _, address := range loop.view.PeerAddresses() {
		loop.sendHeartbeat(address, withMembers)
	}
	for _, address := range loop.foreignPeers() {
		loop.useForeignLink(address)
		loop.sendHeartbeat(address, false)
	}
	if loop.cell != nil && loop.view.Division() == region.DividedByDomain {
		loop.sendCellStates()
	}
}

// sendCellStates sends the reports of all cells to the processes of the cell, which
// need them if this scheduler is lost or sheds jobs.
func (loop *loop) sendCellStates() {
	states := link.Message{
		Cells: &link.CellStates{
			Cells:       loop.cellStates(),
			Evacuations: loop.evacuations.Snapshot(),
		},
	}
	for _, address := range loop.view.PeerAddresses() {
		if loop.view.Live(address) {
			loop.send(address, states)
		}
	}
}

func (loop *loop) sendHeartbeat(address string, withMembers bool) {
	heartbeat := region.Heartbeat{
		Member:          loop.view.Self(),
		Leaving:         loop.view.Leaving(),
		ActiveFor:       loop.view.ActiveFor(),
		Follows:         loop.leader,
		Token:           loop.token,
		UpstreamListAge: loop.listAge(),
		Interval:        loop.view.HeartbeatInterval(),
		Eligible:        loop.view.Eligible(),
		ShedShare:       loop.loadMonitor.shedShare,
		Division:        loop.view.Division(),
		Unheard:         !loop.view.Live(address),
		ReceiverLost:    loop.view.TakesForLost(address),

		EvacuationsPosition: loop.evacuations.Position(),
	}
	if loop.routes != nil {
		heartbeat.RoutesVersion = loop.routes.Version
	}
	if withMembers {
		heartbeat.Members, heartbeat.ListsUnheard = loop.view.Introductions()
		if !loop.view.InCell(address) {
			heartbeat.Members = loop.view.Roster()
		}
	}
	if loop.cell != nil {
		heartbeat.PendingJobs = loop.regionPending()
		heartbeat.UpstreamSet, heartbeat.UpstreamsOutside = loop.reportedSet()
		if heartbeat.UpstreamSet == unknownSet {
			heartbeat.UpstreamsOutside = nil
		}
		heartbeat.Admission = loop.cell.AdmissionStates()
	}
	loop.send(address, link.Message{
		Heartbeat: &heartbeat,
	})
}
