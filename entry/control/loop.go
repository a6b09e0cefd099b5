package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/handover"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/fleet"
	"tanagerfall/shared/version/plan"
)

const (
	// eventQueueCapacity bounds the events that wait for the control goroutine.
	// Senders block while the queue is full.
	eventQueueCapacity = 8192
)

// Reasons why a VM cannot serve callers yet.
var (
	ErrNoPlan      = eris.New("this VM has no plan yet")
	ErrNoUpstreams = eris.New("this VM has no upstreams yet")
)

// ErrStopped is returned by the methods of a Loop whose Run has returned.
var ErrStopped = eris.New("control loop has stopped")

// Executor executes the decisions of the dispatch core: a dispatch.StartTask,
// dispatch.QueryUpstream or dispatch.DropConnection. Execute must not block. The
// events that follow go to Loop.NotifyDispatch.
type Executor interface {
	Execute(decision dispatch.Decision)
}

// PeerSender sends messages to peers. Its methods must not block. The results go
// to Loop.NotifyFleet, Loop.PlanPullEnded and Loop.BorrowEnded.
type PeerSender interface {
	// Send executes a fleet.SendHeartbeat or a fleet.PullPlan.
	Send(decision fleet.Decision)
	// Borrow requests slots and shares of team caps from a peer.
	Borrow(request fleet.BorrowRequest)
	// Return returns borrowed slots and shares to a peer.
	Return(request fleet.ReturnRequest)
	// Recall requests a borrower to return slots.
	Recall(recall fleet.RecallRequest)
}

// Config holds the state that a Loop owns and the functions that it calls. All
// fields are required.
type Config struct {
	// Identity and Self describe this VM to the ledger and to its peers.
	Identity submission.Identity
	Self     fleet.Self
	// Ledger records which submission IDs are spent and the answers of their jobs.
	Ledger *submission.Ledger
	// Core is the dispatch core, which places the tasks of this VM's jobs.
	Core *dispatch.Core
	// Scheduler is the scheduler of Core. The Loop only reads its counts.
	Scheduler *placement.Scheduler
	// View holds which entry VMs are live and which upstreams they own.
	View    *fleet.View
	Plans   *Plans
	Logger  *logevent.Logger
	Metrics *Metrics
	// Now returns the present time.
	Now func() time.Time
	// Stop is called if the platform's list of VMs marks this VM as leaving.
	Stop func()
	// AppendSnapshot starts to append a snapshot to the plan stream and does not
	// block. Loop.SnapshotAppendEnded must be called when the append has ended.
	AppendSnapshot func(snapshot *plan.Snapshot)
}

// Loop owns the control state. Its exported methods are safe for concurrent use.
// Except for Ready, those with a result wait until Run has handled their event.
type Loop struct {
	config     Config
	executor   Executor
	peerSender PeerSender
	events     chan event
	// waiters holds the requests that wait for the end of each running job.
	waiters map[submission.Key][]waiter
	stopped chan struct{}
	lending *lending
	// gracefulShutdown is the state of this VM's own graceful shutdown. receiver
	// receives the ledgers of peers that shut down.
	gracefulShutdown gracefulShutdown
	receiver         *handover.Receiver
	lastTick         time.Time
	// domainHasSlots is true while a live VM of the failure domain owns slots.
	domainHasSlots atomic.Bool
}

// waiter is a request that waits for the end of a job. Its channel has capacity for
// one reply, so that the Loop never blocks on it.
type waiter struct {
	reply chan<- Reply
	team  string
}

// New returns a Loop. Run starts it.
func New(config Config) *Loop {
	return &Loop{
		config:   config,
		events:   make(chan event, eventQueueCapacity),
		waiters:  make(map[submission.Key][]waiter),
		stopped:  make(chan struct{}),
		lending:  newLending(config.Self, config.View.FailureTimeout()),
		receiver: handover.NewReceiver(config.Identity.Incarnation),
	}
}

// Run handles events until ctx ends, and then returns nil. It must be called once.
func (loop *Loop) Run(ctx context.Context, executor Executor, peerSender PeerSender) error {
	defer close(loop.stopped)
	loop.executor = executor
	loop.peerSender = peerSender
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		loop.resetTimer(timer)
		select {
		case <-ctx.Done():
			return nil
		case event := <-loop.events:
			loop.handle(event)
		case <-timer.C:
			loop.tick()
		}
	}
}

// Ready returns nil if this VM can serve callers, otherwise ErrNoPlan or
// ErrNoUpstreams.
func (loop *Loop) Ready() error {
	if !loop.config.Plans.Ready() {
		return ErrNoPlan
	}
	if !loop.domainHasSlots.Load() {
		return ErrNoUpstreams
	}
	return nil
}

// resetTimer sets timer to the next tick or to the time at which the dispatch core
// must be called, whichever is earlier.
func (loop *Loop) resetTimer(timer *time.Timer) {
	next := loop.lastTick.Add(fleet.TickInterval)
	if wake, ok := loop.config.Core.Wake(); ok && wake.Before(next) {
		next = wake
	}
	timer.Reset(max(next.Sub(loop.config.Now()), 0))
}

// tick does the periodic work every fleet.TickInterval, and the work of the
// dispatch core in every call.
func (loop *Loop) tick() {
	now := loop.config.Now()
	if now.Sub(loop.lastTick) >= fleet.TickInterval {
		loop.lastTick = now
		loop.config.Ledger.Expire(now)
		loop.applyPlanInForce(now)
		loop.tickLending(now)
		loop.reportStatus(now)
		loop.appendDueSnapshot(now)
	}
	loop.dispatch(now, dispatch.Tick{})
}

// handle handles an event that another goroutine sent.
func (loop *Loop) handle(received event) {
	now := loop.config.Now()
	switch received := received.(type) {
	case issue:
		received.reply <- loop.issueIDs(now, received.team, received.count)
	case submit:
		loop.submit(now, received)
	case lookup:
		loop.lookup(now, received)
	case cancel:
		loop.cancel(now, received)
	case removeWaiter:
		loop.removeWaiter(received)
	case dispatchEvent:
		loop.handleDispatchEvent(now, received.coreEvent)
	case vmListRead:
		loop.handleVMList(now, received.response)
	case recordsRead:
		received.reply <- loop.config.Plans.ApplyRead(now, received.read)
		loop.applyPlanInForce(now)
	case recordsTrimmed:
		received.reply <- loop.config.Plans.RecordsTrimmed(received.firstOffset)
	case heartbeat:
		received.reply <- loop.handleHeartbeat(now, received.message)
	case fleetEvent:
		loop.handleFleetEvent(now, received.viewEvent)
	case slotsRequested:
		received.reply <- loop.lend(now, received.request)
	case slotsReturned:
		loop.handleReturn(now, received.request)
	case slotsRecalled:
		loop.handleRecall(now, received.request)
	case borrowEnded:
		loop.handleBorrowEnded(now, received.response, received.delivered)
	case planPull:
		received.reply <- loop.planSnapshotAbove(received.aboveVersion)
	case planPullEnded:
		loop.handlePlanPullEnded(now, received.snapshot)
	case dump:
		received.reply <- loop.dumpState(now)
	case functionCall:
		received.function(now)
		close(received.done)
	}
}

// issueIDs returns count new IDs, or none if the ledger is frozen.
func (loop *Loop) issueIDs(now time.Time, team string, count int) []submission.ID {
	if loop.config.Ledger.Stats().Frozen {
		return nil
	}
	return loop.config.Ledger.Issue(now, team, count)
}

// submit claims the submission ID of a job. A new job is started, a request for a
// running job waits for its end, and a job that has ended is answered at once.
func (loop *Loop) submit(now time.Time, request submit) {
	if reply, handedOver := loop.replyAfterHandover(request.id); handedOver {
		request.reply <- reply
		return
	}
	switch claim := loop.config.Ledger.Claim(now, request.id).(type) {
	case submission.ClaimNew:
		loop.addWaiter(request.id, request.reply)
		loop.startJob(now, request)
	case submission.ClaimRunning:
		loop.addWaiter(request.id, request.reply)
	case submission.ClaimFrozen:
		loop.gracefulShutdown.pendingSubmits = append(loop.gracefulShutdown.pendingSubmits, request)
	case submission.ClaimNotHeld, submission.ClaimAnswered, submission.ClaimEvicted, submission.ClaimExpired:
		request.reply <- loop.claimReply(now, request.id, claim)
	}
}

// addWaiter makes a request wait for the end of the job of id.
func (loop *Loop) addWaiter(id submission.ID, reply chan<- Reply) {
	loop.waiters[id.Key] = append(loop.waiters[id.Key], waiter{
		reply: reply,
		team:  id.Team,
	})
}

// startJob passes a new job to the dispatch core, or answers it with a refusal.
func (loop *Loop) startJob(now time.Time, request submit) {
	if request.refusal != nil {
		loop.finishJob(now, request.id.Key, *request.refusal)
		return
	}
	if loop.gracefulShutdown.refuseJobs {
		loop.finishJob(now, request.id.Key, job.Refusal(job.ReasonStopping, "the VM is stopping"))
		return
	}
	// A VM without slots accepts the job and lets it wait: after a pause of the
	// process, a VM owns no upstreams until its peers have received its heartbeats
	// again.
	if !loop.config.Plans.Ready() {
		loop.finishJob(now, request.id.Key, job.Refusal(job.ReasonNotReady, ErrNoPlan.Error()))
		return
	}
	loop.dispatch(now, dispatch.JobAccepted{
		Key:    request.id.Key,
		Job:    request.job,
		Single: request.single,
	})
	loop.requestSlots(now)
}

// lookup replies with the state of a submission.
func (loop *Loop) lookup(now time.Time, request lookup) {
	if reply, handedOver := loop.replyAfterHandover(request.id); handedOver {
		request.reply <- reply
		return
	}
	claim, spent := loop.config.Ledger.Lookup(now, request.id)
	if !spent {
		request.reply <- Reply{
			Unspent: true,
		}
		return
	}
	request.reply <- loop.claimReply(now, request.id, claim)
}

// cancel cancels a job. The request waits for the end of the job if it is running.
func (loop *Loop) cancel(now time.Time, request cancel) {
	if reply, handedOver := loop.replyAfterHandover(request.id); handedOver {
		request.reply <- reply
		return
	}
	claim, spent := loop.config.Ledger.Lookup(now, request.id)
	if !spent && loop.config.Ledger.Stats().Frozen {
		request.reply <- loop.claimReply(now, request.id, submission.ClaimFrozen{})
		return
	}
	if !spent {
		// The ID is spent, so that a copy of the submission that is still in
		// transit does not run after the cancellation has been confirmed.
		loop.config.Ledger.Claim(now, request.id)
		loop.finishJob(now, request.id.Key, job.Refusal(job.ReasonCancelled, "cancelled before the job arrived"))
		claim, _ = loop.config.Ledger.Lookup(now, request.id)
	}
	if _, running := claim.(submission.ClaimRunning); running {
		loop.addWaiter(request.id, request.reply)
		loop.dispatch(now, dispatch.JobCancelled{
			Key: request.id.Key,
		})
		return
	}
	request.reply <- loop.claimReply(now, request.id, claim)
}

// claimReply returns the reply to a request about an ID in the given state.
func (loop *Loop) claimReply(now time.Time, id submission.ID, claim submission.ClaimResult) Reply {
	switch claim := claim.(type) {
	case submission.ClaimAnswered:
		return Reply{
			Answer:   claim.Answer,
			FreshIDs: loop.issueIDs(now, id.Team, 1),
		}
	case submission.ClaimEvicted:
		return Reply{
			Answer: evictedAnswer(claim.Started),
		}
	case submission.ClaimExpired:
		return Reply{
			Answer: job.Failure(job.StartedUnknown, job.ReasonExpired, "the submission ID has expired"),
		}
	case submission.ClaimFrozen:
		return Reply{
			Answer: job.Failure(job.StartedUnknown, job.ReasonNotDelivered, "the VM is stopping"),
		}
	case submission.ClaimNotHeld:
		return Reply{
			OwnedElsewhere: true,
			Owner:          loop.ownerAddress(id),
		}
	case submission.ClaimRunning, submission.ClaimNew:
		return Reply{
			Running: true,
		}
	}
	return Reply{}
}

// evictedAnswer returns the answer for a job whose own answer is no longer kept.
func evictedAnswer(started job.Started) job.Answer {
	if started == job.StartedNo {
		return job.Refusal(job.ReasonAnswerEvicted, "the job was refused; why is no longer kept")
	}
	return job.Failure(started, job.ReasonAnswerEvicted, "the job ended and its answer is no longer kept")
}

func (loop *Loop) removeWaiter(request removeWaiter) {
	waiters := loop.waiters[request.key]
	for i := range waiters {
		if waiters[i].reply == request.reply {
			loop.waiters[request.key] = append(waiters[:i], waiters[i+1:]...)
			return
		}
	}
}

// handleDispatchEvent passes an event to the dispatch core. The drain signal of an
// upstream is also passed to the view of the fleet, which sends it to the peers of
// the failure domain.
func (loop *Loop) handleDispatchEvent(now time.Time, event dispatch.Event) {
	if draining, ok := event.(dispatch.UpstreamDraining); ok {
		loop.config.Logger.Log(logevent.UpstreamDraining, "upstream", draining.Upstream)
		loop.handleFleetEvent(now, fleet.UpstreamDraining{
			Upstream: draining.Upstream,
		})
	}
	loop.dispatch(now, event)
}

// dispatch passes an event to the dispatch core and executes the resulting
// decisions.
func (loop *Loop) dispatch(now time.Time, event dispatch.Event) {
	for _, decision := range loop.config.Core.Handle(now, event) {
		switch decision := decision.(type) {
		case dispatch.FinishJob:
			loop.finishJob(now, decision.Key, decision.Answer)
		case dispatch.StartTask, dispatch.QueryUpstream, dispatch.DropConnection:
			loop.executor.Execute(decision)
		}
	}
}

// finishJob records the answer of a job and sends it to the requests that wait for
// it. Each reply carries a new submission ID for the caller.
func (loop *Loop) finishJob(now time.Time, key submission.Key, answer job.Answer) {
	loop.config.Metrics.count(answer)
	loop.logJobEnd(key, &answer)
	loop.config.Ledger.Finish(key, answer, answerBytes(&answer))
	waiters := loop.waiters[key]
	delete(loop.waiters, key)
	for _, waiter := range waiters {
		waiter.reply <- Reply{
			Answer:   answer,
			FreshIDs: loop.issueIDs(now, waiter.team, 1),
		}
	}
}

// logJobEnd logs the end of a job that failed or was refused.
func (loop *Loop) logJobEnd(key submission.Key, answer *job.Answer) {
	switch answer.Outcome {
	case job.Failed:
		loop.config.Logger.Log(logevent.JobFailed, "submission", key.String(), "started", string(answer.Started),
			"reason", string(answer.Reason), "detail", answer.Detail)
	case job.Refused:
		loop.config.Logger.Log(logevent.JobRefused, "submission", key.String(), "reason", string(answer.Reason),
			"detail", answer.Detail)
	case job.Complete:
	}
}

// answerBytes estimates the memory that an answer occupies, in bytes.
func answerBytes(answer *job.Answer) int {
	const perAnswer, perResult = 256, 96
	bytes := perAnswer + len(answer.Detail)
	for i := range answer.Results {
		bytes += perResult + len(answer.Results[i].Output)
	}
	return bytes
}

// applyPlanInForce passes the rules in force to the dispatch core and the division
// of the team caps if they have changed.
func (loop *Loop) applyPlanInForce(now time.Time) {
	effective, changed := loop.config.Plans.InForce(now)
	if changed {
		loop.lending.setPlan(effective, loop.config.Identity.Domain)
		loop.dispatch(now, dispatch.PlanChanged{
			Plan: effective,
		})
	}
}
