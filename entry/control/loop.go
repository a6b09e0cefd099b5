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
	// Senders block while it is full.
	eventQueueCapacity = 8192
)

// The reasons why a VM can't serve callers yet.
var (
	ErrNoPlan      = eris.New("this VM has no plan yet")
	ErrNoUpstreams = eris.New("this VM has no upstreams yet")
)

// ErrStopped is returned to requests that the Loop no longer takes.
var ErrStopped = eris.New("control loop has stopped")

// Executor carries out the decisions of the dispatch core. Carry must not
// block.
type Executor interface {
	Execute(decision dispatch.Decision)
}

// PeerSender carries out the decisions of the fleet's view that need a message
// to a peer. Its methods must not block.
type PeerSender interface {
	Send(decision fleet.Decision)
	Borrow(request fleet.BorrowRequest)
	Return(request fleet.ReturnRequest)
	Recall(recall fleet.RecallRequest)
}

// Config is what a Loop needs.
type Config struct {
	Identity submission.Identity
	Self     fleet.Self
	Ledger   *submission.Ledger
	Core     *dispatch.Core
	// Scheduler is the Core's, for counts.
	Scheduler *placement.Scheduler
	View      *fleet.View
	Plans     *Plans
	Logger    *logevent.Logger
	Metrics   *Metrics
	Now       func() time.Time
	// Stop is called where the platform's list names this VM as leaving.
	Stop func()
	// AppendSnapshot appends a snapshot to the plan stream without blocking.
	// Loop.EndSnapshot must follow.
	AppendSnapshot func(snapshot *plan.Snapshot)
}

// Loop owns the control state. Its exported methods are safe for concurrent
// use.
type Loop struct {
	config     Config
	executor   Executor
	peerSender PeerSender
	events     chan event
	waiters    map[submission.Key][]waiter
	stopped    chan struct{}
	lending    *lending
	// plannedStop is about this VM's own planned stop, receiver about those of
	// its peers.
	plannedStop plannedStop
	receiver    *handover.Receiver
	lastTick    time.Time
	// domainHasSlots is set while a live VM of the failure domain owns slots.
	domainHasSlots atomic.Bool
}

// waiter is a request that waits for the end of a job. Its channel has room
// for one reply, so that the Loop never blocks on it.
type waiter struct {
	reply chan<- Reply
	team  string
}

// New returns a Loop that has not started.
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

// Run handles events until ctx ends. carrier and courier carry out the
// decisions.
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

// Ready returns nil, ErrNoPlan or ErrNoUpstreams. It is safe for concurrent
// use.
func (loop *Loop) Ready() error {
	if !loop.config.Plans.Ready() {
		return ErrNoPlan
	}
	if !loop.domainHasSlots.Load() {
		return ErrNoUpstreams
	}
	return nil
}

func (loop *Loop) resetTimer(timer *time.Timer) {
	next := loop.lastTick.Add(fleet.TickInterval)
	if wake, set := loop.config.Core.Wake(); set && wake.Before(next) {
		next = wake
	}
	timer.Reset(max(next.Sub(loop.config.Now()), 0))
}

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

// issueIDs returns fresh IDs, or none once the ledger is frozen.
func (loop *Loop) issueIDs(now time.Time, team string, count int) []submission.ID {
	if loop.config.Ledger.Stats().Frozen {
		return nil
	}
	return loop.config.Ledger.Issue(now, team, count)
}

func (loop *Loop) submit(now time.Time, received submit) {
	if reply, over := loop.replyAfterHandover(received.id); over {
		received.reply <- reply
		return
	}
	switch claim := loop.config.Ledger.Claim(now, received.id).(type) {
	case submission.ClaimNew:
		loop.addWaiter(received.id, received.reply)
		loop.startJob(now, received)
	case submission.ClaimRunning:
		loop.addWaiter(received.id, received.reply)
	case submission.ClaimFrozen:
		loop.plannedStop.pendingSubmits = append(loop.plannedStop.pendingSubmits, received)
	case submission.ClaimNotHeld, submission.ClaimAnswered, submission.ClaimEvicted, submission.ClaimExpired:
		received.reply <- loop.claimReply(now, received.id, claim)
	}
}

func (loop *Loop) addWaiter(id submission.ID, reply chan<- Reply) {
	loop.waiters[id.Key] = append(loop.waiters[id.Key], waiter{
		reply: reply,
		team:  id.Team,
	})
}

func (loop *Loop) startJob(now time.Time, received submit) {
	if received.refusal != nil {
		loop.finishJob(now, received.id.Key, *received.refusal)
		return
	}
	if loop.plannedStop.refuseJobs {
		loop.finishJob(now, received.id.Key, job.Refusal(job.ReasonStopping, "the VM is stopping"))
		return
	}
	// Without slots the job waits: after a pause a VM owns nothing until its
	// peers know of it again.
	if !loop.config.Plans.Ready() {
		loop.finishJob(now, received.id.Key, job.Refusal(job.ReasonNotReady, ErrNoPlan.Error()))
		return
	}
	loop.dispatch(now, dispatch.JobAccepted{
		Key:    received.id.Key,
		Job:    received.job,
		Single: received.single,
	})
	loop.requestSlots(now)
}

func (loop *Loop) lookup(now time.Time, received lookup) {
	if reply, over := loop.replyAfterHandover(received.id); over {
		received.reply <- reply
		return
	}
	claim, spent := loop.config.Ledger.Lookup(now, received.id)
	if !spent {
		received.reply <- Reply{
			Unspent: true,
		}
		return
	}
	received.reply <- loop.claimReply(now, received.id, claim)
}

func (loop *Loop) cancel(now time.Time, received cancel) {
	if reply, over := loop.replyAfterHandover(received.id); over {
		received.reply <- reply
		return
	}
	claim, spent := loop.config.Ledger.Lookup(now, received.id)
	if !spent && loop.config.Ledger.Stats().Frozen {
		received.reply <- loop.claimReply(now, received.id, submission.ClaimFrozen{})
		return
	}
	if !spent {
		// Spends the ID, so that a copy of the submission that is still on its
		// way does not run after the cancellation was confirmed.
		loop.config.Ledger.Claim(now, received.id)
		loop.finishJob(now, received.id.Key, job.Refusal(job.ReasonCancelled, "cancelled before the job arrived"))
		claim, _ = loop.config.Ledger.Lookup(now, received.id)
	}
	if _, running := claim.(submission.ClaimRunning); running {
		loop.addWaiter(received.id, received.reply)
		loop.dispatch(now, dispatch.JobCancelled{
			Key: received.id.Key,
		})
		return
	}
	received.reply <- loop.claimReply(now, received.id, claim)
}

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

// evictedAnswer answers for a job whose answer is no longer kept.
func evictedAnswer(started job.Started) job.Answer {
	if started == job.StartedNo {
		return job.Refusal(job.ReasonAnswerEvicted, "the job was refused; why is no longer kept")
	}
	return job.Failure(started, job.ReasonAnswerEvicted, "the job ended and its answer is no longer kept")
}

func (loop *Loop) removeWaiter(received removeWaiter) {
	waiting := loop.waiters[received.key]
	for i := range waiting {
		if waiting[i].reply == received.reply {
			loop.waiters[received.key] = append(waiting[:i], waiting[i+1:]...)
			return
		}
	}
}

// handleDispatchEvent passes an event of the traffic on. A drain signal also goes to the
// peers of the domain.
func (loop *Loop) handleDispatchEvent(now time.Time, event dispatch.Event) {
	if draining, told := event.(dispatch.UpstreamDraining); told {
		loop.config.Logger.Log(logevent.UpstreamDraining, "upstream", draining.Upstream)
		loop.handleFleetEvent(now, fleet.UpstreamDraining{
			Upstream: draining.Upstream,
		})
	}
	loop.dispatch(now, event)
}

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

func (loop *Loop) finishJob(now time.Time, key submission.Key, answer job.Answer) {
	loop.config.Metrics.count(answer)
	loop.logJobEnd(key, &answer)
	loop.config.Ledger.Finish(key, answer, answerBytes(&answer))
	waiting := loop.waiters[key]
	delete(loop.waiters, key)
	for _, waiter := range waiting {
		waiter.reply <- Reply{
			Answer:   answer,
			FreshIDs: loop.issueIDs(now, waiter.team, 1),
		}
	}
}

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

// answerBytes estimates the memory that an answer takes.
func answerBytes(answer *job.Answer) int {
	const perAnswer, perResult = 256, 96
	bytes := perAnswer + len(answer.Detail)
	for i := range answer.Results {
		bytes += perResult + len(answer.Results[i].Output)
	}
	return bytes
}

func (loop *Loop) applyPlanInForce(now time.Time) {
	effective, changed := loop.config.Plans.InForce(now)
	if changed {
		loop.lending.setPlan(effective, loop.config.Identity.Domain)
		loop.dispatch(now, dispatch.PlanChanged{
			Plan: effective,
		})
	}
}
