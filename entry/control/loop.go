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
	// eventBacklog bounds the events that wait for the control goroutine.
	// Senders block while it is full.
	eventBacklog = 8192
)

// The reasons why a VM can't serve callers yet.
var (
	ErrNoPlan      = eris.New("this VM has no plan yet")
	ErrNoUpstreams = eris.New("this VM has no upstreams yet")
)

// ErrStopped is returned to requests that the Loop no longer takes.
var ErrStopped = eris.New("control loop has stopped")

// Carrier carries out the decisions of the dispatch core. Carry must not
// block.
type Carrier interface {
	Carry(decision dispatch.Decision)
}

// Courier carries out the decisions of the fleet's view that need a message
// to a peer. Its methods must not block.
type Courier interface {
	Deliver(decision fleet.Decision)
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
	config  Config
	carrier Carrier
	courier Courier
	events  chan event
	waiters map[submission.Key][]waiter
	stopped chan struct{}
	lending *lending
	// stopping is about this VM's own planned stop, receiver about those of
	// its peers.
	stopping stopping
	receiver *handover.Receiver
	ticked   time.Time
	// owns is set while a live VM of the failure domain owns slots.
	owns atomic.Bool
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
		events:   make(chan event, eventBacklog),
		waiters:  make(map[submission.Key][]waiter),
		stopped:  make(chan struct{}),
		lending:  newLending(config.Self, config.View.FailureTimeout()),
		receiver: handover.NewReceiver(config.Identity.Incarnation),
	}
}

// Run handles events until ctx ends. carrier and courier carry out the
// decisions.
func (loop *Loop) Run(ctx context.Context, carrier Carrier, courier Courier) error {
	defer close(loop.stopped)
	loop.carrier = carrier
	loop.courier = courier
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		loop.arm(timer)
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
	if !loop.owns.Load() {
		return ErrNoUpstreams
	}
	return nil
}

func (loop *Loop) arm(timer *time.Timer) {
	next := loop.ticked.Add(fleet.TickInterval)
	if wake, set := loop.config.Core.Wake(); set && wake.Before(next) {
		next = wake
	}
	timer.Reset(max(next.Sub(loop.config.Now()), 0))
}

func (loop *Loop) tick() {
	now := loop.config.Now()
	if now.Sub(loop.ticked) >= fleet.TickInterval {
		loop.ticked = now
		loop.config.Ledger.Expire(now)
		loop.refreshPlan(now)
		loop.tickLending(now)
		loop.fleetTick(now)
		loop.writeSnapshot(now)
	}
	loop.dispatch(now, dispatch.Tick{})
}

func (loop *Loop) handle(received event) {
	now := loop.config.Now()
	switch received := received.(type) {
	case issue:
		received.reply <- loop.issue(now, received.team, received.count)
	case submit:
		loop.submit(now, received)
	case look:
		loop.look(now, received)
	case cancel:
		loop.cancel(now, received)
	case forgetWaiter:
		loop.forgetWaiter(received)
	case traffic:
		loop.observe(now, received.occurred)
	case vmsRead:
		loop.readVms(now, received.response)
	case recordsRead:
		received.reply <- loop.config.Plans.Read(now, received.read)
		loop.refreshPlan(now)
	case recordsTrimmed:
		received.reply <- loop.config.Plans.Trimmed(received.first)
	case heartbeat:
		received.reply <- loop.answerHeartbeat(now, received.message)
	case fleetEvent:
		loop.fleet(now, received.occurred)
	case borrow:
		received.reply <- loop.lend(now, received.request)
	case returned:
		loop.takeBack(now, received.request)
	case recalled:
		loop.endLoan(now, received.request)
	case borrowEnded:
		loop.endBorrowing(now, received.response, received.delivered)
	case pull:
		received.reply <- loop.answerPull(received.after)
	case pullEnded:
		loop.endPull(now, received.snapshot)
	case dump:
		received.reply <- loop.dumpState(now)
	case barrier:
		received.run(now)
		close(received.done)
	}
}

// issue returns fresh IDs, or none once the ledger is frozen.
func (loop *Loop) issue(now time.Time, team string, count int) []submission.ID {
	if loop.config.Ledger.Stats().Frozen {
		return nil
	}
	return loop.config.Ledger.Issue(now, team, count)
}

func (loop *Loop) submit(now time.Time, received submit) {
	if reply, over := loop.handedOver(received.id); over {
		received.reply <- reply
		return
	}
	switch claim := loop.config.Ledger.Claim(now, received.id).(type) {
	case submission.ClaimNew:
		loop.wait(received.id, received.reply)
		loop.start(now, received)
	case submission.ClaimRunning:
		loop.wait(received.id, received.reply)
	case submission.ClaimFrozen:
		loop.stopping.parked = append(loop.stopping.parked, received)
	case submission.ClaimNotHeld, submission.ClaimAnswered, submission.ClaimEvicted, submission.ClaimExpired:
		received.reply <- loop.replyTo(now, received.id, claim)
	}
}

func (loop *Loop) wait(id submission.ID, reply chan<- Reply) {
	loop.waiters[id.Key] = append(loop.waiters[id.Key], waiter{
		reply: reply,
		team:  id.Team,
	})
}

func (loop *Loop) start(now time.Time, received submit) {
	if received.refusal != nil {
		loop.finish(now, received.id.Key, *received.refusal)
		return
	}
	if loop.stopping.refusing {
		loop.finish(now, received.id.Key, job.Refusal(job.ReasonStopping, "the VM is stopping"))
		return
	}
	// Without slots the job waits: after a pause a VM owns nothing until its
	// peers know of it again.
	if !loop.config.Plans.Ready() {
		loop.finish(now, received.id.Key, job.Refusal(job.ReasonNotReady, ErrNoPlan.Error()))
		return
	}
	loop.dispatch(now, dispatch.JobAccepted{
		Key:    received.id.Key,
		Job:    received.job,
		Single: received.single,
	})
	loop.askSlots(now)
}

func (loop *Loop) look(now time.Time, received look) {
	if reply, over := loop.handedOver(received.id); over {
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
	received.reply <- loop.replyTo(now, received.id, claim)
}

func (loop *Loop) cancel(now time.Time, received cancel) {
	if reply, over := loop.handedOver(received.id); over {
		received.reply <- reply
		return
	}
	claim, spent := loop.config.Ledger.Lookup(now, received.id)
	if !spent && loop.config.Ledger.Stats().Frozen {
		received.reply <- loop.replyTo(now, received.id, submission.ClaimFrozen{})
		return
	}
	if !spent {
		// Spends the ID, so that a copy of the submission that is still on its
		// way does not run after the cancellation was confirmed.
		loop.config.Ledger.Claim(now, received.id)
		loop.finish(now, received.id.Key, job.Refusal(job.ReasonCancelled, "cancelled before the job arrived"))
		claim, _ = loop.config.Ledger.Lookup(now, received.id)
	}
	if _, running := claim.(submission.ClaimRunning); running {
		loop.wait(received.id, received.reply)
		loop.dispatch(now, dispatch.JobCancelled{
			Key: received.id.Key,
		})
		return
	}
	received.reply <- loop.replyTo(now, received.id, claim)
}

func (loop *Loop) replyTo(now time.Time, id submission.ID, claim submission.ClaimResult) Reply {
	switch claim := claim.(type) {
	case submission.ClaimAnswered:
		return Reply{
			Answer: claim.Answer,
			Fresh:  loop.issue(now, id.Team, 1),
		}
	case submission.ClaimEvicted:
		return Reply{
			Answer: evicted(claim.Started),
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
			Foreign: true,
			Owner:   loop.owner(id),
		}
	case submission.ClaimRunning, submission.ClaimNew:
		return Reply{
			Running: true,
		}
	}
	return Reply{}
}

// evicted answers for a job whose answer is no longer kept.
func evicted(started job.Started) job.Answer {
	if started == job.StartedNo {
		return job.Refusal(job.ReasonAnswerEvicted, "the job was refused; why is no longer kept")
	}
	return job.Failure(started, job.ReasonAnswerEvicted, "the job ended and its answer is no longer kept")
}

func (loop *Loop) forgetWaiter(received forgetWaiter) {
	waiting := loop.waiters[received.key]
	for i := range waiting {
		if waiting[i].reply == received.reply {
			loop.waiters[received.key] = append(waiting[:i], waiting[i+1:]...)
			return
		}
	}
}

// observe passes an event of the traffic on. A drain signal also goes to the
// peers of the domain.
func (loop *Loop) observe(now time.Time, event dispatch.Event) {
	if draining, told := event.(dispatch.UpstreamDraining); told {
		loop.config.Logger.Log(logevent.UpstreamDraining, "upstream", draining.Upstream)
		loop.fleet(now, fleet.UpstreamDraining{
			Upstream: draining.Upstream,
		})
	}
	loop.dispatch(now, event)
}

func (loop *Loop) dispatch(now time.Time, event dispatch.Event) {
	for _, decision := range loop.config.Core.Handle(now, event) {
		switch decision := decision.(type) {
		case dispatch.FinishJob:
			loop.finish(now, decision.Key, decision.Answer)
		case dispatch.StartTask, dispatch.QueryUpstream, dispatch.DropConnection:
			loop.carrier.Carry(decision)
		}
	}
}

func (loop *Loop) finish(now time.Time, key submission.Key, answer job.Answer) {
	loop.config.Metrics.count(answer)
	loop.logEnd(key, &answer)
	loop.config.Ledger.Finish(key, answer, answerBytes(&answer))
	waiting := loop.waiters[key]
	delete(loop.waiters, key)
	for _, waiter := range waiting {
		waiter.reply <- Reply{
			Answer: answer,
			Fresh:  loop.issue(now, waiter.team, 1),
		}
	}
}

func (loop *Loop) logEnd(key submission.Key, answer *job.Answer) {
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

func (loop *Loop) refreshPlan(now time.Time) {
	effective, changed := loop.config.Plans.InForce(now)
	if changed {
		loop.lending.setPlan(effective, loop.config.Identity.Domain)
		loop.dispatch(now, dispatch.PlanChanged{
			Plan: effective,
		})
	}
}
