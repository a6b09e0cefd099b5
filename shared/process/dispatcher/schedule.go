package dispatcher

import (
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
)

// elect follows the process that schedules, or begins to schedule.
func (loop *loop) elect() {
	leader, active, found := loop.view.Leader()
	self := loop.view.Self().Address
	switch {
	case !found:
		loop.follow("", "no process to follow")
		loop.standDown("not a candidate")
	case leader.Address == self && loop.cell != nil:
		loop.follow(self, "this process schedules")
	case leader.Address == self:
		if loop.view.MayActivate() {
			loop.activate()
		}
	default:
		loop.standDown("follows " + leader.Address)
		if active {
			loop.follow(leader.Address, "schedules")
		} else {
			loop.follow("", "no process schedules")
		}
	}
}

// activate begins to schedule with an empty Cell.
func (loop *loop) activate() {
	loop.activation++
	loop.view.Activate()
	loop.dispatcher.meters.count(metricTakeovers)
	loop.fronts = make(map[string]string)
	loop.relays = relay.New(loop.activation, loop.options.RelayFrom)
	loop.relays.SetUpstreams(loop.upstreams)
	loop.relays.SetMembers(loop.now, loop.view.RelayCandidates())
	loop.suspects = nil
	loop.cell = cell.New(loop.now, cell.Config{
		Estimator: loop.estimator,
		Claims:    loop.view.Claim,
		NextToken: loop.nextToken,
		Limits:    loop.options.Limits,
	})
	loop.pace = pace{
		since:    loop.now,
		turnedAt: loop.now,
		turned:   loop.turned(),
	}
	loop.log(logevent.SchedulerStarted, "token", loop.token, "live", loop.view.LiveCount(),
		"upstreams", len(loop.upstreams), "list-age", loop.listAge())
	if loop.options.OnSchedulingChange != nil {
		loop.options.OnSchedulingChange(true)
	}
	loop.tell(cell.UpstreamsListed{
		Upstreams: loop.upstreams,
	})
	loop.follow(loop.view.Self().Address, "this process schedules")
	loop.beatAll(false)
}

// nextToken returns a token that is higher than any that is known. It begins
// with the time of day, so that a restarted process needs no memory; where
// that jumps back, the tokens that peers tell keep it rising.
func (loop *loop) nextToken() int64 {
	self := loop.view.Self()
	known := max(loop.token, loop.view.MaxToken())
	next := max(loop.now.UnixMilli(), known/tokenStep+1)
	loop.token = next*tokenStep + int64(self.Incarnation%tokenStep)
	return loop.token
}

// standDown drops the Cell. Entry VMs submit their jobs elsewhere, and what
// runs is adopted or lapses.
func (loop *loop) standDown(reason string) {
	if loop.cell == nil {
		return
	}
	loop.log(logevent.SchedulerStopped, "reason", reason)
	loop.release(loop.cell.Release())
	loop.flush()
	loop.cell = nil
	loop.relays = nil
	loop.activation++
	loop.view.Deactivate()
	if loop.options.OnSchedulingChange != nil {
		loop.options.OnSchedulingChange(false)
	}
	if loop.leader == loop.view.Self().Address {
		loop.follow("", "this process stood down")
	}
	loop.beatAll(false)
}

// release tells the entry VMs what the Cell leaves of their jobs.
func (loop *loop) release(jobs []cell.Release) {
	byFront := make(map[string][]cell.Release)
	for _, job := range jobs {
		byFront[job.EntryVM] = append(byFront[job.EntryVM], job)
	}
	for _, job := range byFront[loop.selfName()] {
		loop.released(loop.view.Self().Address, job)
	}
	for address, front := range loop.fronts {
		if told := byFront[front]; len(told) > 0 {
			loop.send(address, link.Message{
				Released: &link.Released{
					Jobs: told,
				},
			})
		}
	}
}

// act carries decisions of the Cell out.
func (loop *loop) act(decisions []cell.Decision) {
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case cell.StartRun:
			loop.logPlaced(decision)
			loop.order(relay.Order{
				Start: &decision,
			})
		case cell.StopRun:
			loop.log(logevent.RunStopped, "upstream", decision.Order.Upstream, "job", decision.Run.Task.Job,
				"task", decision.Run.Task.Index, "run", decision.Run.Number, "reason", decision.Reason)
			loop.order(relay.Order{
				Stop: &decision,
			})
		case cell.Poll:
			loop.order(relay.Order{
				Poll: &decision,
			})
		case cell.AnswerJob:
			loop.sendAnswer(decision)
		case cell.UpstreamChanged:
			loop.log(logevent.UpstreamState, "upstream", decision.Upstream, "state", decision.State, "reason", decision.Reason)
		case cell.RunLost:
			loop.dispatcher.meters.count(metricRunsLost)
			loop.log(logevent.RunLost, "upstream", decision.Upstream, "job", decision.Run.Task.Job,
				"task", decision.Run.Task.Index, "run", decision.Run.Number, "reason", decision.Reason)
		}
	}
}

func (loop *loop) logPlaced(decision cell.StartRun) {
	loop.log(logevent.RunPlaced, "job", decision.Run.Task.Job, "task", decision.Run.Task.Index,
		"run", decision.Run.Number, "upstream", decision.Order.Upstream, "expected-ms", int(decision.ExpectedMs))
}

func (loop *loop) sendAnswer(decision cell.AnswerJob) {
	if decision.EntryVM == loop.selfName() {
		loop.answered(loop.view.Self().Address, decision.Answer)
		return
	}
	for address, name := range loop.fronts {
		if name == decision.EntryVM {
			loop.send(address, link.Message{
				Answer: &decision.Answer,
			})
			return
		}
	}
}

// submitted takes a job of a peer's caller.
func (loop *loop) submitted(from string, incarnation uint64, job cell.Job) {
	if loop.cell == nil {
		loop.decline(from, job.ID)
		return
	}
	front := frontName(from, incarnation)
	loop.fronts[from] = front
	loop.tell(cell.JobSubmitted{
		EntryVM: front,
		Job:     job,
	})
}

// decline tells an entry VM that this process does not take a job.
func (loop *loop) decline(front, id string) {
	loop.send(front, link.Message{
		Decline: &link.Decline{
			JobID: id,
		},
	})
}

// dropLostFronts withdraws the jobs of entry VMs that went silent.
func (loop *loop) dropLostFronts() {
	for address, front := range loop.fronts {
		if loop.view.Live(address) {
			continue
		}
		delete(loop.fronts, address)
		loop.log(logevent.MemberLost, "member", address)
		loop.dispatcher.links.Reset(address)
		loop.tell(cell.EntryVMLost{
			EntryVM: front,
		})
	}
}

// cancel passes a caller's cancellation to the scheduler.
func (loop *loop) cancel(event cancelAsked) {
	if loop.cell != nil {
		event.known <- loop.cancelHere(event.id)
		return
	}
	loop.cancelNumber++
	loop.cancels[loop.cancelNumber] = pendingCancel{
		known: event.known,
		until: loop.now.Add(cancelWait),
	}
	loop.send(loop.leader, link.Message{
		Cancel: &link.Cancel{
			JobID:         event.id,
			RequestNumber: loop.cancelNumber,
		},
	})
}

func (loop *loop) cancelHere(id string) bool {
	known, decisions := loop.cell.Cancel(loop.now, id)
	loop.act(decisions)
	return known
}

func (loop *loop) cancelFor(from string, asked link.Cancel) {
	if loop.cell == nil {
		return
	}
	loop.send(from, link.Message{
		Cancelled: &link.Cancelled{
			RequestNumber: asked.RequestNumber,
			Found:         loop.cancelHere(asked.JobID),
		},
	})
}

func (loop *loop) cancelled(told link.Cancelled) {
	if waiting, known := loop.cancels[told.RequestNumber]; known {
		waiting.known <- told.Found
		delete(loop.cancels, told.RequestNumber)
	}
}

func (loop *loop) expireCancels() {
	for number, waiting := range loop.cancels {
		if loop.now.After(waiting.until) {
			delete(loop.cancels, number)
		}
	}
}

// takeover times.
const (
	// quarantine is how long a scheduler that lost contact with this process
	// may still act on its jobs: its silence limit, and the stop.
	quarantine = 1200 * time.Millisecond
)
