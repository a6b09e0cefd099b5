package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
)

const (
	// eventBacklog bounds the events that wait for the control goroutine.
	// Senders block while it is full.
	eventBacklog = 8192
	// expireInterval is the time between two clean-ups of the ledger.
	expireInterval = time.Second
)

// ErrStopped is returned to requests that the Loop no longer takes.
var ErrStopped = eris.New("control loop has stopped")

// Carrier carries out the decisions of the dispatch core. Carry must not
// block.
type Carrier interface {
	Carry(decision dispatch.Decision)
}

// Config is what a Loop needs.
type Config struct {
	Ledger  *submission.Ledger
	Core    *dispatch.Core
	Fleet   *Fleet
	Plans   *Plans
	Logger  *logevent.Logger
	Metrics *Metrics
	Now     func() time.Time
}

// Loop owns the control state. Its exported methods are safe for concurrent
// use.
type Loop struct {
	config  Config
	carrier Carrier
	events  chan event
	waiters map[submission.Key][]waiter
	stopped chan struct{}
	expired time.Time
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
		config:  config,
		events:  make(chan event, eventBacklog),
		waiters: make(map[submission.Key][]waiter),
		stopped: make(chan struct{}),
	}
}

// Run handles events until ctx ends. carrier carries out the decisions.
func (loop *Loop) Run(ctx context.Context, carrier Carrier) error {
	defer close(loop.stopped)
	loop.carrier = carrier
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

func (loop *Loop) arm(timer *time.Timer) {
	next := loop.expired.Add(expireInterval)
	if wake, set := loop.config.Core.Wake(); set && wake.Before(next) {
		next = wake
	}
	timer.Reset(max(next.Sub(loop.config.Now()), 0))
}

func (loop *Loop) tick() {
	now := loop.config.Now()
	if now.Sub(loop.expired) >= expireInterval {
		loop.expired = now
		loop.config.Ledger.Expire(now)
		loop.refreshPlan(now)
	}
	loop.dispatch(now, dispatch.Tick{})
}

func (loop *Loop) handle(received event) {
	now := loop.config.Now()
	switch received := received.(type) {
	case issue:
		received.reply <- loop.config.Ledger.Issue(now, received.team, received.count)
	case submit:
		loop.submit(now, received)
	case look:
		loop.look(now, received)
	case cancel:
		loop.cancel(now, received)
	case forgetWaiter:
		loop.forgetWaiter(received)
	case traffic:
		loop.dispatch(now, received.occurred)
	case vmsRead:
		loop.readVms(now, received.response)
	case recordsRead:
		received.reply <- loop.config.Plans.Read(now, received.response)
		loop.refreshPlan(now)
	case recordsTrimmed:
		received.reply <- loop.config.Plans.Trimmed(received.first)
	case dump:
		received.reply <- loop.dumpState(now)
	case barrier:
		received.run(now)
		close(received.done)
	}
}

func (loop *Loop) submit(now time.Time, received submit) {
	switch claim := loop.config.Ledger.Claim(now, received.id).(type) {
	case submission.ClaimNew:
		loop.wait(received.id, received.reply)
		loop.start(now, received)
	case submission.ClaimRunning:
		loop.wait(received.id, received.reply)
	case submission.ClaimForeign, submission.ClaimAnswered, submission.ClaimGone, submission.ClaimExpired, submission.ClaimFrozen:
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
	if !loop.config.Plans.Ready() {
		loop.finish(now, received.id.Key, job.Refusal(job.ReasonNotReady, "this VM has no plan yet"))
		return
	}
	loop.dispatch(now, dispatch.JobAccepted{
		Key: received.id.Key,
		Job: received.job,
	})
}

func (loop *Loop) look(now time.Time, received look) {
	claim, spent := loop.config.Ledger.Look(now, received.id)
	if !spent {
		received.reply <- Reply{
			Unspent: true,
		}
		return
	}
	received.reply <- loop.replyTo(now, received.id, claim)
}

func (loop *Loop) cancel(now time.Time, received cancel) {
	claim, spent := loop.config.Ledger.Look(now, received.id)
	if !spent {
		// Spends the ID, so that a copy of the submission that is still on its
		// way does not run after the cancellation was confirmed.
		loop.config.Ledger.Claim(now, received.id)
		loop.finish(now, received.id.Key, job.Refusal(job.ReasonCancelled, "cancelled before the job arrived"))
		claim, _ = loop.config.Ledger.Look(now, received.id)
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

func (loop *Loop) replyTo(now time.Time, id submission.ID, claim submission.Claim) Reply {
	switch claim := claim.(type) {
	case submission.ClaimAnswered:
		return Reply{
			Answer: claim.Answer,
			Fresh:  loop.config.Ledger.Issue(now, id.Team, 1),
		}
	case submission.ClaimGone:
		return Reply{
			Answer: job.Failure(job.StartedYes, job.ReasonAnswerEvicted, "the job ended and its answer is no longer kept"),
		}
	case submission.ClaimExpired:
		return Reply{
			Answer: job.Failure(job.StartedUnknown, job.ReasonExpired, "the submission ID has expired"),
		}
	case submission.ClaimFrozen:
		return Reply{
			Answer: job.Failure(job.StartedUnknown, job.ReasonNotDelivered, "the VM is stopping"),
		}
	case submission.ClaimForeign:
		return Reply{
			Foreign: true,
			Owner:   loop.config.Fleet.Owner(id),
		}
	case submission.ClaimRunning, submission.ClaimNew:
		return Reply{
			Running: true,
		}
	}
	return Reply{}
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

func (loop *Loop) dispatch(now time.Time, event dispatch.Event) {
	for _, decision := range loop.config.Core.Handle(now, event) {
		switch decision := decision.(type) {
		case dispatch.FinishJob:
			loop.finish(now, decision.Key, decision.Answer)
		case dispatch.StartTask, dispatch.AskUpstream, dispatch.DropConnection:
			loop.carrier.Carry(decision)
		}
	}
}

func (loop *Loop) finish(now time.Time, key submission.Key, answer job.Answer) {
	loop.config.Metrics.count(answer)
	loop.config.Ledger.Finish(key, answer, answerBytes(&answer))
	waiting := loop.waiters[key]
	delete(loop.waiters, key)
	for _, waiter := range waiting {
		waiter.reply <- Reply{
			Answer: answer,
			Fresh:  loop.config.Ledger.Issue(now, waiter.team, 1),
		}
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

func (loop *Loop) readVms(now time.Time, response platform.VmsResponse) {
	changed, event := loop.config.Fleet.Read(now, response)
	if !changed {
		return
	}
	loop.config.Logger.Log(logevent.FleetChanged, "version", response.Version, "upstreams", len(event.Upstreams))
	loop.dispatch(now, event)
}

func (loop *Loop) refreshPlan(now time.Time) {
	plan, changed := loop.config.Plans.InForce(now)
	if changed {
		loop.dispatch(now, dispatch.PlanChanged{
			Plan: plan,
		})
	}
}
