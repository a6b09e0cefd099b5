package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/spill"
	"tanagerfall/shared/version/region"
)

const (
	// cellReportInterval is the time between the reports of a scheduler to the other
	// cells.
	cellReportInterval = 400 * time.Millisecond
	// contactsPerCell is the number of processes of a cell that get reports while
	// its scheduler is not known. Schedulers are among the strongest processes.
	contactsPerCell = 3
	// foreignSilence is the silence after which a scheduler of another cell counts
	// as lost. It is that of the processes of a small cell.
	foreignSilence = 700 * time.Millisecond
	// foreignLinkTime is how long an unused connection to a process of another cell
	// is kept.
	foreignLinkTime = 10 * time.Second
	// spillsPerTick bounds the jobs that are handed to other cells in one tick.
	spillsPerTick = 64
)

// neighbours is what this process knows of the other cells of a divided region.
type neighbours struct {
	planner *spill.Planner
	// states holds the last report of each cell, by failure domain, and when it was
	// made.
	states map[string]reportedState
	sentAt time.Time
	// usedAt holds, by address, when a connection to a process of another cell was
	// last needed.
	usedAt map[string]time.Time
	// brokenAt holds, by address, when such a connection last broke.
	brokenAt map[string]time.Time
}

// reportedState is the report of a cell's scheduler.
type reportedState struct {
	state      link.CellState
	reportedAt time.Time
}

func newNeighbours() *neighbours {
	return &neighbours{
		planner:  spill.NewPlanner(),
		states:   make(map[string]reportedState),
		usedAt:   make(map[string]time.Time),
		brokenAt: make(map[string]time.Time),
	}
}

// useForeignLink connects to a process of another cell, or keeps the connection.
func (loop *loop) useForeignLink(address string) {
	loop.neighbours.usedAt[address] = loop.now
	loop.dispatcher.links.Open(loop.ctx, address)
}

// closeForeignLinks closes the connections to processes of other cells that were
// not needed for a while.
func (loop *loop) closeForeignLinks() {
	for address, usedAt := range loop.neighbours.usedAt {
		if loop.now.Sub(usedAt) < foreignLinkTime {
			continue
		}
		delete(loop.neighbours.usedAt, address)
		delete(loop.neighbours.brokenAt, address)
		if !loop.view.InCell(address) {
			loop.dispatcher.links.Close(address)
		}
	}
}

// resubmitForeignJobs submits the jobs again that were sent to a scheduler of another
// cell on a connection that has broken since.
func (loop *loop) resubmitForeignJobs(scheduler string) {
	for _, heldJob := range inOrder(loop.heldJobs) {
		if heldJob.scheduler != scheduler || heldJob.submittedAt.After(loop.neighbours.brokenAt[scheduler]) {
			continue
		}
		loop.suspend(heldJob, resubmitStreamReplaced)
		loop.submit(heldJob)
	}
}

// reportCell sends the state of the Cell, and the reports of other cells that are
// known, to the schedulers of the other cells.
func (loop *loop) reportCell() {
	if loop.cell == nil || loop.view.Division() != region.DividedByDomain ||
		loop.now.Sub(loop.neighbours.sentAt) < cellReportInterval {
		return
	}
	loop.neighbours.sentAt = loop.now
	message := link.Message{
		Cells: &link.CellStates{
			Cells:       loop.cellStates(),
			Evacuations: loop.evacuations.Snapshot(),
		},
	}
	for _, address := range loop.foreignContacts() {
		loop.useForeignLink(address)
		loop.send(address, message)
	}
}

// cellStates returns the recent reports of all cells, that of this process's Cell
// included.
func (loop *loop) cellStates() []link.CellState {
	var states []link.CellState
	if loop.cell != nil {
		states = append(states, link.CellState{
			Scheduler:   loop.view.Self(),
			Headroom:    loop.headroom(),
			PendingJobs: loop.cell.Pending(),
		})
	}
	for _, report := range loop.neighbours.planner.Reports(loop.now) {
		known := loop.neighbours.states[report.Cell]
		known.state.Age = loop.now.Sub(known.reportedAt)
		states = append(states, known.state)
	}
	return states
}

// headroom returns the headroom that this process reports. A scheduler that sheds
// jobs has none, whatever its upstreams could run.
func (loop *loop) headroom() map[string]int {
	if loop.loadMonitor.shedShare > 0 || loop.view.Leaving() {
		return nil
	}
	return loop.cell.Headroom()
}

// foreignContacts returns the addresses that reports go to: the scheduler of each
// other cell, or the strongest members of a cell whose scheduler is not known.
func (loop *loop) foreignContacts() []string {
	self := loop.view.Self()
	schedulers := make(map[string]string)
	for _, report := range loop.neighbours.planner.Reports(loop.now) {
		schedulers[report.Cell] = report.Scheduler
	}
	membersByCell := make(map[string][]region.Member)
	for _, member := range loop.view.Roster() {
		if member.Domain != self.Domain && schedulers[member.Domain] == "" {
			membersByCell[member.Domain] = append(membersByCell[member.Domain], member)
		}
	}
	var contacts []string
	for _, address := range schedulers {
		contacts = append(contacts, address)
	}
	for _, members := range membersByCell {
		slices.SortFunc(members, func(a, b region.Member) int {
			return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(region.RendezvousScore(b, "leader"), region.RendezvousScore(a, "leader")))
		})
		for _, member := range members[:min(contactsPerCell, len(members))] {
			contacts = append(contacts, member.Address)
		}
	}
	slices.Sort(contacts)
	return contacts
}

// handleCellStates records the reports of other cells. A process that does not
// schedule passes a report from another cell on to its scheduler.
func (loop *loop) handleCellStates(from string, states []link.CellState) {
	if loop.view.Division() != region.DividedByDomain {
		return
	}
	isNew := false
	for _, state := range states {
		cellName := state.Scheduler.Domain
		if cellName == loop.view.Self().Domain || cellName == "" || state.Age < 0 {
			continue
		}
		reportedAt := loop.now.Add(-state.Age)
		recorded := loop.neighbours.planner.Update(spill.Report{
			Cell:       cellName,
			Scheduler:  state.Scheduler.Address,
			Headroom:   state.Headroom,
			ReportedAt: reportedAt,
		})
		if !recorded {
			continue
		}
		isNew = true
		loop.neighbours.states[cellName] = reportedState{
			state:      state,
			reportedAt: reportedAt,
		}
	}
	if isNew && loop.cell == nil && loop.leader != "" && !loop.view.InCell(from) {
		loop.send(loop.leader, link.Message{
			Cells: &link.CellStates{
				Cells:       loop.cellStates(),
				Evacuations: loop.evacuations.Snapshot(),
			},
		})
	}
}

// spillJobs hands jobs that wait in the Cell to cells with room.
func (loop *loop) spillJobs() {
	if loop.view.Division() != region.DividedByDomain {
		return
	}
	for number, surplus := range loop.cell.Surplus() {
		if number >= spillsPerTick {
			return
		}
		target, found := loop.neighbours.planner.Choose(loop.now, surplus.Service, surplus.MilliCores)
		if !found {
			return
		}
		loop.log(logevent.JobHandedOver, "job", surplus.ID, "scheduler", target, "cores", surplus.MilliCores)
		for _, holder := range loop.cell.HandOver(surplus.ID) {
			loop.redirect(holder.EntryVM, link.Decline{
				JobID:      surplus.ID,
				Target:     target,
				Submission: holder.Submission,
			})
		}
	}
}

// redirectRefused hands a refused job to another cell, if one has room, and reports
// whether it did.
func (loop *loop) redirectRefused(decision cell.AnswerJob) bool {
	if decision.Surplus == nil || decision.Answer.Result != cell.NotRun || loop.view.Division() != region.DividedByDomain {
		return false
	}
	target, found := loop.neighbours.planner.Choose(loop.now, decision.Surplus.Service, decision.Surplus.MilliCores)
	if !found {
		return false
	}
	loop.log(logevent.JobHandedOver, "job", decision.Answer.ID, "scheduler", target, "cores", decision.Surplus.MilliCores)
	loop.redirect(decision.EntryVM, link.Decline{
		JobID:      decision.Answer.ID,
		Target:     target,
		Submission: decision.Answer.Submission,
	})
	return true
}

// redirect tells an entry VM to submit a job to the scheduler of another cell.
func (loop *loop) redirect(entryVM string, decline link.Decline) {
	if entryVM == loop.selfName() {
		loop.handleDecline(loop.view.Self().Address, decline)
		return
	}
	for address, name := range loop.entryVMs {
		if name == entryVM {
			loop.send(address, link.Message{
				Decline: &decline,
			})
		}
	}
}

// chooseForeignScheduler sends a job that the own cell can't accept to another
// cell. It reports whether one has room.
func (loop *loop) chooseForeignScheduler(heldJob *heldJob) bool {
	if !loop.maySpill(&heldJob.job) {
		return false
	}
	target, found := loop.neighbours.planner.Choose(loop.now, heldJob.job.Service, spillNeed(&heldJob.job))
	if found {
		heldJob.assignForeign(target)
	}
	return found
}

// maySpill reports whether a job may go to another cell.
func (loop *loop) maySpill(job *cell.Job) bool {
	return loop.view.Division() == region.DividedByDomain && !job.Spilled
}

// spillNeed returns the thousandths of a core that the first steps of a job need.
func spillNeed(job *cell.Job) int {
	need := 0
	for _, step := range job.Steps {
		if len(step.DependsOn) == 0 {
			need += step.Count * step.Need.MilliCores
		}
	}
	return need
}

// assignForeign makes the scheduler of another cell the destination of a job. It
// stays there unless that scheduler declines it or is lost.
func (heldJob *heldJob) assignForeign(scheduler string) {
	heldJob.foreignScheduler = scheduler
	heldJob.job.Spilled = true
}

// foreignPeers returns the processes of other cells that this one exchanges
// heartbeats with: those whose jobs its Cell has, and the schedulers that have jobs
// of its callers.
func (loop *loop) foreignPeers() []string {
	if loop.view.Division() != region.DividedByDomain {
		return nil
	}
	addresses := make(map[string]bool)
	for address := range loop.entryVMs {
		addresses[address] = loop.cell != nil
	}
	for _, heldJob := range inOrder(loop.heldJobs) {
		if heldJob.foreignScheduler != "" {
			addresses[heldJob.foreignScheduler] = true
		}
	}
	var peers []string
	for address, needed := range addresses {
		if needed && !loop.view.InCell(address) {
			peers = append(peers, address)
		}
	}
	slices.Sort(peers)
	return peers
}

// checkForeignJobs takes the jobs back that a lost scheduler of another cell has.
// They may have run there.
func (loop *loop) checkForeignJobs() {
	for _, heldJob := range inOrder(loop.heldJobs) {
		scheduler := heldJob.foreignScheduler
		if scheduler == "" || heldJob.scheduler != scheduler || loop.view.Live(scheduler) ||
			loop.now.Sub(heldJob.submittedAt) < foreignSilence {
			continue
		}
		loop.log(logevent.SchedulerFollowed, "scheduler", loop.leader, "before", scheduler, "job", heldJob.job.ID, "reason", "silent")
		loop.withdrawFromScheduler(heldJob)
		loop.neighbours.planner.Forget(scheduler)
		loop.leaveScheduler(heldJob, resubmitLost)
	}
}

// leaveScheduler suspends a job and makes its next destination that of a new job.
func (loop *loop) leaveScheduler(heldJob *heldJob, reason string) {
	loop.suspend(heldJob, reason)
	heldJob.foreignScheduler = ""
}

// otherSchedulers returns the schedulers of the other cells.
func (loop *loop) otherSchedulers() []string {
	var schedulers []string
	for _, report := range loop.neighbours.planner.Reports(loop.now) {
		schedulers = append(schedulers, report.Scheduler)
	}
	return schedulers
}

// regionPending returns the pending jobs of all cells by kind.
func (loop *loop) regionPending() map[string]int {
	pending := loop.cell.Pending()
	for _, report := range loop.neighbours.planner.Reports(loop.now) {
		for kind, count := range loop.neighbours.states[report.Cell].state.PendingJobs {
			pending[kind] += count
		}
	}
	return pending
}

// foreignEntryVMRestarted withdraws the jobs of an earlier process of an entry VM of
// another cell.
func (loop *loop) foreignEntryVMRestarted(heartbeat region.Heartbeat) {
	address := heartbeat.Member.Address
	entryVM, hasJobs := loop.entryVMs[address]
	if loop.cell == nil || !hasJobs || entryVM == entryVMName(address, heartbeat.Member.Incarnation) {
		return
	}
	delete(loop.entryVMs, address)
	loop.notifyCell(cell.EntryVMLost{
		EntryVM: entryVM,
	})
}
