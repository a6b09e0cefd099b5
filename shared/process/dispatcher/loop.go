package dispatcher

import (
	"context"
	"strconv"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/admission"
	"tanagerfall/shared/request/cancellation"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/version/evacuation"
	"tanagerfall/shared/version/region"
	"tanagerfall/shared/version/routing"
)

const (
	// tokenStep is the distance between successive fencing tokens of a process.
	// The remainder of a token modulo tokenStep is derived from the incarnation,
	// so that the tokens of different processes differ.
	tokenStep = 1024
	// staleMessageDelay is the delay above which a message counts as stale. It is
	// below the silence after which a process counts as lost, and above the time
	// for which a busy process leaves messages unread.
	staleMessageDelay = 600 * time.Millisecond
)

// loop is the state of the control loop. Only the control goroutine uses it.
type loop struct {
	dispatcher *Dispatcher
	options    Options
	ctx        context.Context
	// now is when the current event is handled.
	now time.Time
	// timeOfDayOffset is added to now for the time of day. Only a simulation sets it; the
	// times of a process hold both the elapsed time and the time of day.
	timeOfDayOffset time.Duration

	lastTick time.Time

	view      *region.View
	estimator *estimate.Estimator
	// leader is the address of the scheduler that this process submits jobs to;
	// empty if none is known.
	leader string
	// heldJobs holds the jobs of this VM's callers by job ID, and submissionCount counts the
	// submissions to schedulers.
	heldJobs        map[string]*heldJob
	submissionCount uint64
	// withdrawals holds, by the address of the scheduler, the withdrawals that it may not
	// have received.
	withdrawals map[string][]withdrawal

	// cell is nil while this process does not schedule.
	cell *cell.Cell
	// activation changes with each start and end of scheduling. It identifies
	// replies to orders of an earlier Cell.
	activation int
	// token is the last fencing token that this process issued.
	token int64
	// droppedEntryVMs holds the entry VMs, by address, whose jobs were withdrawn because they
	// were silent.
	droppedEntryVMs map[string]droppedEntryVM
	// receivedSubmissions holds, by the name of an entry VM, the number of the last
	// submission that the Cell received from it.
	receivedSubmissions map[string]uint64
	// leavingIncarnations holds, by ID, the highest incarnation of an upstream that
	// has begun to leave. It never becomes available again.
	leavingIncarnations map[string]int64
	// entryVMs holds the names of the entry VMs with jobs in the Cell, by address.
	entryVMs map[string]string
	// relays is nil while this process does not schedule.
	relays *relay.Tracker
	// suspectedRelays are the suspected relays that were logged last.
	suspectedRelays []string
	// relayedOrders counts the orders that are being executed for schedulers
	// elsewhere.
	relayedOrders int
	// queuedReplies holds the replies to relayed orders that are not sent yet.
	queuedReplies map[remoteScheduler][]relay.Reply
	// queuedCount counts the queued replies and the orders queued for relays.
	queuedCount int

	// role is the role that was last reported to the options.
	role        Role
	routes      *routing.Table
	evacuations evacuation.State
	// passedMayHandOver is the value that was last passed to the Cell.
	passedMayHandOver bool
	upstreams         []cell.Upstream
	knownUpstreams    upstreamSets
	// formerSets holds the sets of the schedulers that this process followed lately.
	formerSets []formerSet
	// listReadAt is when the list of upstreams was read; zero before the first.
	listReadAt time.Time
	listWait   listWait
	// shedding holds, by service, the planner that ranks the jobs of this VM's callers.
	shedding map[string]*admission.Planner
	// overloaded holds the services whose overload was logged last.
	overloaded map[string]bool
	// overloadSentAt is when the entry VMs were last told of it beside the regular
	// heartbeats.
	overloadSentAt time.Time
	// removedAt holds when upstreams left the list, by ID.
	removedAt  map[string]time.Time
	neighbours *neighbours
	// pendingCancels holds the cancellations sent to the scheduler, by number, and cancelCount
	// counts those of this process.
	pendingCancels map[uint64]pendingCancel
	cancelCount    uint64
	// cancellations holds the jobs that callers have cancelled lately, and
	// cancellationsSent counts those that the peers were told of.
	cancellations     *cancellation.Set
	cancellationsSent int
	// lastSentAt holds, for the messages that sendDue limits, when each was last
	// due.
	lastSentAt  map[string]time.Time
	loadMonitor loadMonitor
	// sentEligible is the value of Eligible that tick last sent in heartbeats.
	sentEligible     bool
	gaugesUpdatedAt  time.Time
	heartbeatsSentAt time.Time
	membersSentAt    time.Time
	// estimatesSentAt is when this process last sent its estimates, and
	// estimatesAdoptedAt when it last adopted those of a scheduler; zero if it has not.
	estimatesSentAt    time.Time
	estimatesAdoptedAt time.Time
}

// droppedEntryVM is an entry VM that has to learn that its jobs were withdrawn.
type droppedEntryVM struct {
	name string
	// through is the last submission received before that.
	through uint64
}

// entryVMName returns the name of one incarnation of an entry VM, by which the
// Cell distinguishes it from earlier processes at the same address.
func entryVMName(address string, incarnation uint64) string {
	return address + "#" + strconv.FormatUint(incarnation, 36)
}

// selfName returns the entryVMName of this process.
func (loop *loop) selfName() string {
	self := loop.view.Self()
	return entryVMName(self.Address, self.Incarnation)
}

// addConfiguredPeers adds the peers of the options to the membership.
func (loop *loop) addConfiguredPeers() {
	for _, address := range loop.options.Peers {
		loop.addMembers([]region.Member{{
			Address: address,
		}})
	}
}

// handle handles one event at the given time.
func (loop *loop) handle(now time.Time, event event) {
	if _, isTick := event.(ticked); !isTick && now.Sub(loop.lastTick) > pauseThreshold+tickInterval {
		// What happened during the pause must be noticed before this process acts
		// on what it knew before.
		loop.handle(now, ticked{})
	}
	loop.now = now
	switch event := event.(type) {
	case linkEvent:
		loop.handleLinkEvent(event.event)
	case jobAccepted:
		loop.acceptCallerJob(event)
	case callerLeft:
		loop.handleCallerLeft(event)
	case cancelRequested:
		loop.handleCancelRequest(event)
	case routesRead:
		loop.adoptRoutes(event.table, "platform")
	case evacuationsRead:
		loop.adoptEvacuations(loop.evacuations.AdoptRead(event.snapshot), "platform")
	case upstreamsRead:
		loop.listWait.unread = 0
		loop.adoptUpstreams(event.upstreams, loop.now.Sub(event.readAt))
	case upstreamsUnread:
		loop.recordUnreadList()
	case membersRead:
		loop.addMembers(event.members)
	case orderReplied:
		if loop.cell != nil && event.activation == loop.activation {
			loop.handleOrderReply(event.event, event.sentAt)
		}
	case relayedOrderDone:
		loop.relayedOrders--
		loop.queueReply(event.scheduler, event.reply)
	case leaveRequested:
		loop.leave()
	case abandonRequested:
		for _, heldJob := range inOrder(loop.heldJobs) {
			loop.abandon(heldJob, "stopping")
		}
	case stateRequested:
		event.state <- loop.state()
	case explanationRequested:
		event.explanation <- loop.explain(event.job)
	case ticked:
		loop.tick()
	}
}

// tick does the periodic work of the loop, and detects pauses of this process.
func (loop *loop) tick() {
	gap := loop.now.Sub(loop.lastTick) - tickInterval
	loop.lastTick = loop.now
	if gap <= pauseThreshold {
		gap = 0
	}
	loop.view.Advance(loop.now, gap)
	if gap > 0 {
		loop.log(logevent.ProcessPaused, "pause", gap)
		loop.view.Abstain(pauseAbstention)
		loop.stepDown("paused")
	}
	for _, address := range loop.view.RemoveExpired() {
		loop.dispatcher.links.Close(address)
	}
	loop.updateDivision()
	if eligible := loop.view.Eligible(); eligible != loop.sentEligible {
		loop.sentEligible = eligible
		loop.sendHeartbeats(false)
	}
	loop.elect()
	loop.sendDueHeartbeats()
	loop.updateHeldJobs()
	loop.updateCancellations()
	loop.expireWithdrawals()
	loop.yield()
	if loop.cell != nil {
		loop.loadMonitor.slack = loop.cell.TightestSlack()
		loop.loadMonitor.isIdle = !loop.cell.HasWaitingJobs()
		loop.loadMonitor.updateShedShare(loop.now)
		loop.removeLostEntryVMs()
		loop.updateRelays()
		loop.updateEvacuations()
		loop.updateListWait()
		loop.executeDecisions(loop.cell.Handle(loop.now, cell.Tick{}))
		loop.reportOverload()
		loop.spillJobs()
		loop.publishPendingJobs(loop.regionPending())
	}
	loop.checkForeignJobs()
	loop.reportCell()
	loop.closeForeignLinks()
	loop.updateGauges()
	loop.dispatcher.ready.Store(!loop.view.Leaving() && loop.routes != nil && loop.leader != "")
}

// updateDivision decides whether the region is divided, once enough is known.
func (loop *loop) updateDivision() {
	loop.applyDivision(loop.view.UpdateDivision(len(loop.upstreams)))
}

// applyDivision leaves the peers that are no longer in the cell of this process, and
// connects to the members of the cell.
func (loop *loop) applyDivision(removed []string, changed bool) {
	if !changed {
		return
	}
	loop.log(logevent.RegionDivided, "division", loop.view.Division().String(), "members", len(loop.view.Roster()),
		"upstreams", len(loop.upstreams))
	for _, address := range removed {
		// The links stay for a while, so that withdrawals and the division arrive.
		loop.useForeignLink(address)
		loop.sendHeartbeat(address, false)
	}
	loop.leaveForeignSchedulers()
	loop.addMembers(loop.view.CellMembers())
	loop.passUpstreams()
}

// leaveForeignSchedulers takes the jobs back that a process outside the cell has, and
// withdraws the jobs of entry VMs outside it from the own Cell, after a division.
func (loop *loop) leaveForeignSchedulers() {
	for _, heldJob := range inOrder(loop.heldJobs) {
		if heldJob.scheduler == "" || loop.view.InCell(heldJob.scheduler) {
			continue
		}
		loop.withdrawFromScheduler(heldJob)
		loop.leaveScheduler(heldJob, resubmitDivided)
	}
	for address, entryVM := range inOrder(loop.entryVMs) {
		if !loop.view.InCell(address) {
			delete(loop.entryVMs, address)
			loop.notifyCell(cell.EntryVMLost{
				EntryVM: entryVM,
			})
		}
	}
}

// publishPendingJobs makes the counts of pending jobs available to PendingJobs.
func (loop *loop) publishPendingJobs(countsByKind map[string]int) {
	loop.dispatcher.pendingJobs.Store(&countsByKind)
}

// addMembers adds processes to the membership and connects to the new ones.
func (loop *loop) addMembers(members []region.Member) {
	for _, address := range loop.view.AddMembers(members) {
		loop.dispatcher.links.Open(loop.ctx, address)
	}
}

// handleLinkEvent handles a message from a peer or a change of a connection.
func (loop *loop) handleLinkEvent(event link.Event) {
	switch event := event.(type) {
	case link.Received:
		delay := event.Delay + max(loop.now.Sub(event.ReceivedAt), 0)
		if delay > staleMessageDelay {
			loop.handleStaleMessage(event.Message, delay)
			return
		}
		loop.handleMessage(event.Message, delay)
	case link.Up:
		loop.sendHeartbeat(event.Address, true)
		loop.sendKnownCancellations(event.Address)
		loop.repeatWithdrawals(event.Address)
		if event.Address == loop.leader {
			loop.resubmitAll()
		} else if !loop.view.InCell(event.Address) {
			loop.resubmitForeignJobs(event.Address)
		}
	case link.Down:
		if _, isForeign := loop.neighbours.usedAt[event.Address]; isForeign {
			loop.neighbours.brokenAt[event.Address] = loop.now
		}
		loop.handleRelayDisconnect(event.Address)
		if event.Refused {
			loop.view.HandleRefusal(event.Address)
			loop.elect()
		}
	}
}

// handleMessage handles a message of a peer. delay is how long ago the peer sent it.
func (loop *loop) handleMessage(message link.Message, delay time.Duration) {
	switch {
	case message.Heartbeat != nil:
		loop.handleHeartbeat(*message.Heartbeat, delay)
	case message.Submit != nil:
		loop.handleSubmission(message.From, message.Incarnation, *message.Submit)
	case message.Withdraw != nil:
		loop.notifyCell(cell.JobWithdrawn{
			EntryVM: entryVMName(message.From, message.Incarnation),
			ID:      message.Withdraw.JobID,
			Through: message.Withdraw.Through,
		})
	case message.Answer != nil:
		loop.handleAnswer(message.From, *message.Answer)
	case message.Decline != nil:
		loop.handleDecline(message.From, *message.Decline)
	case message.Cancel != nil:
		loop.handlePeerCancel(message.From, *message.Cancel, delay)
	case message.Cancelled != nil:
		loop.handleCancelResult(*message.Cancelled)
	case message.Cancellations != nil:
		loop.handleCancellations(message.Cancellations.Jobs, delay)
	case message.Routes != nil:
		loop.adoptRoutes(message.Routes.Index(), message.From)
	case message.Evacuations != nil:
		loop.adoptEvacuations(loop.evacuations.AdoptReceived(*message.Evacuations), message.From)
	case message.Upstreams != nil:
		loop.adoptUpstreams(message.Upstreams.Upstreams, message.Upstreams.Age+delay)
	case message.Released != nil:
		for _, release := range message.Released.Jobs {
			loop.handleRelease(message.From, release)
		}
		loop.view.HandleStepDown(message.From)
		loop.elect()
	case message.Orders != nil:
		loop.executeRelayedOrders(message.From, message.Incarnation,
			relay.Unpack(message.Orders.Orders, message.Orders.Specs))
	case message.Replies != nil:
		loop.handleRelayReplies(*message.Replies)
	case message.Cells != nil:
		if snapshot := message.Cells.Evacuations; snapshot != nil {
			loop.adoptEvacuations(loop.evacuations.AdoptReceived(*snapshot), message.From)
		}
		loop.handleCellStates(message.From, message.Cells.Cells)
	case message.Dropped != nil:
		loop.handleDropped(message.From, message.Dropped.Through)
	case message.Leaving != nil:
		loop.recordLeaving(message.Leaving.Incarnations)
	case message.Estimates != nil:
		loop.adoptEstimates(message.From, *message.Estimates, delay)
	}
}

// handleStaleMessage handles a message that a network partition or a pause
// delayed. The state or the intent of its sender may have changed since: a stale
// heartbeat or release is ignored, a job is declined, so that its entry VM
// submits it again if it still wants to, and orders are not executed.
func (loop *loop) handleStaleMessage(message link.Message, delay time.Duration) {
	loop.dispatcher.instruments.increment(metricStaleMessages)
	switch {
	case message.Heartbeat != nil, message.Released != nil, message.Cells != nil, message.Estimates != nil:
	case message.Submit != nil:
		loop.log(logevent.MessageStale, "member", message.From, "job", message.Submit.ID, "delay", delay)
		loop.sendDecline(message.From, message.Submit)
	case message.Orders != nil:
		loop.log(logevent.MessageStale, "member", message.From, "orders", len(message.Orders.Orders), "delay", delay)
		scheduler := remoteScheduler{
			address:     message.From,
			incarnation: message.Incarnation,
		}
		for _, order := range message.Orders.Orders {
			loop.queueReply(scheduler, relay.NewReply(order.Number, nil))
		}
	default:
		loop.handleMessage(message, delay)
	}
}

// notifyCell passes an event to the Cell, if this process schedules.
func (loop *loop) notifyCell(event cell.Event) {
	if loop.cell != nil {
		loop.executeDecisions(loop.cell.Handle(loop.now, event))
	}
}

// send queues a message to a peer, with this process as the sender.
func (loop *loop) send(address string, message link.Message) {
	self := loop.view.Self()
	message.From = self.Address
	message.Incarnation = self.Incarnation
	loop.dispatcher.links.Send(address, message)
}

// leave begins the drain, the first phase of a graceful shutdown of this process.
func (loop *loop) leave() {
	if loop.view.Leaving() {
		return
	}
	loop.log(logevent.ProcessStopping)
	loop.view.Leave()
	loop.dispatcher.ready.Store(false)
	loop.elect()
	loop.sendHeartbeats(false)
}

func (loop *loop) log(event logevent.Event, pairs ...any) {
	loop.options.Logger.Log(event, pairs...)
}
