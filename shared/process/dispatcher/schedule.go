package dispatcher

import (
	"fmt"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
	"tanagerfall/shared/version/routing"
)

// elect follows the elected scheduler. If that is this process, it starts to
// schedule; if it is not, this process steps down.
func (loop *loop) elect() {
	leader, active, hasLeader := loop.view.Leader()
	self := loop.view.Self().Address
	switch {
	case !hasLeader:
		loop.follow("", "no candidate is known")
		loop.stepDown("not a candidate")
	case leader.Address == self && loop.cell != nil:
		loop.follow(self, "this process schedules")
	case leader.Address == self:
		if loop.view.MayActivate() {
			loop.startScheduling()
		}
	default:
		loop.stepDown("follows " + leader.Address)
		if active {
			loop.follow(leader.Address, "schedules")
		} else {
			loop.follow("", "no process schedules")
		}
	}
}

// startScheduling begins to schedule with an empty Cell.
func (loop *loop) startScheduling() {
	loop.activation++
	loop.view.Activate()
	loop.dispatcher.instruments.increment(metricTakeovers)
	loop.entryVMs = make(map[string]string)
	loop.droppedEntryVMs = make(map[string]droppedEntryVM)
	loop.receivedSubmissions = make(map[string]uint64)
	loop.relays = relay.New(loop.activation, relayThreshold(loop.options.RelayFrom, loop.view.Self()))
	loop.relays.SetMembers(loop.now, loop.view.RelayCandidates())
	loop.suspectedRelays = nil
	loop.ageEstimates()
	loop.cell = cell.New(loop.now, cell.Config{
		Estimator:      loop.estimator,
		Claims:         loop.view.Claim,
		NextToken:      loop.nextToken,
		GuardsCapacity: loop.guardsCapacity,
		WarmUp:         loop.warmUp,
		KnowsUpstreams: func(sets []uint64) bool { return loop.knownUpstreams.covers(loop.now, sets) },
		MayHoldRuns: func(upstream string, sets []uint64) bool {
			return loop.knownUpstreams.mayContain(loop.now, sets, upstream)
		},
		Limits: loop.options.Limits,
	})
	loop.overloaded = make(map[string]bool)
	loop.loadMonitor = loadMonitor{
		schedulingSince: loop.now,
		shedUpdatedAt:   loop.now,
		shedShare:       loop.shedShare(),
	}
	loop.log(logevent.SchedulerStarted, "token", loop.token, "live", loop.view.LiveCount(),
		"upstreams", len(loop.upstreams), "list-age", loop.listAge())
	loop.updateRole()
	loop.beginListWait()
	loop.passUpstreams()
	loop.follow(loop.view.Self().Address, "this process schedules")
	loop.sendHeartbeats(false)
}

// guardsCapacity reports whether the upstreams of a service refuse runs that exceed
// their capacity, according to the routing table in force.
func (loop *loop) guardsCapacity(service string) bool {
	return loop.routes != nil && loop.routes.EnforcesCapacity(service)
}

// warmUp returns how the upstreams of a service start, according to the routing table in
// force.
func (loop *loop) warmUp(service string) routing.WarmUp {
	if loop.routes == nil {
		return routing.WarmUp{}
	}
	return loop.routes.WarmUp(service)
}

// relayThreshold returns the number of upstreams from which on a scheduler uses
// relays. limit is the number for a scheduler with 0.4 of a core and a link of 50
// Mbit/s or more; it falls in proportion to what the scheduler lacks.
func relayThreshold(limit int, scheduler region.Member) int {
	const fullWeight, fullMbps = 0.4, 50
	share := 1.0
	if scheduler.Weight > 0 {
		share = min(share, scheduler.Weight/fullWeight)
	}
	if scheduler.LinkMbps > 0 {
		share = min(share, scheduler.LinkMbps/fullMbps)
	}
	if share >= 1 {
		return limit
	}
	return max(int(float64(limit)*share), 1)
}

// updateRole reports a change of this process's role. A process counts as standby
// until it has found that enough others come before it.
func (loop *loop) updateRole() {
	role := RoleMember
	count := standbys
	if loop.view.Division() == region.DividedByDomain {
		count = dividedStandbys
	}
	switch {
	case loop.cell != nil:
		role = RoleScheduler
	case loop.view.IsStandby(count):
		role = RoleStandby
	}
	if role == loop.role {
		return
	}
	loop.role = role
	if loop.options.OnRoleChange != nil {
		loop.options.OnRoleChange(role)
	}
}

// nextToken returns a fencing token that is higher than all known ones. It is
// derived from the time of day, so that a restarted process needs no stored
// state; if the clock jumps back, the tokens that peers report keep it rising.
func (loop *loop) nextToken() int64 {
	self := loop.view.Self()
	highestToken := max(loop.token, loop.view.MaxToken())
	next := max(loop.now.Add(loop.timeOfDayOffset).UnixMilli(), highestToken/tokenStep+1)
	loop.token = next*tokenStep + int64(self.Incarnation%tokenStep)
	return loop.token
}

// stepDown ends scheduling and discards the Cell, if there is one. Entry VMs submit
// their jobs to the next scheduler, which adopts the existing runs. Runs that no
// scheduler adopts end when their lease expires.
func (loop *loop) stepDown(reason string) {
	if loop.cell == nil {
		return
	}
	loop.log(logevent.SchedulerStopped, "reason", reason)
	loop.sendReleases(loop.cell.Release())
	loop.flush()
	loop.cell = nil
	loop.relays = nil
	loop.activation++
	loop.view.Deactivate()
	loop.updateRole()
	if loop.leader == loop.view.Self().Address {
		loop.follow("", "this process stepped down")
	}
	loop.sendHeartbeats(false)
}

// sendReleases reports to the entry VMs which runs the Cell leaves of their jobs.
func (loop *loop) sendReleases(releases []cell.Release) {
	releasesByEntryVM := make(map[string][]cell.Release)
	for _, jobRelease := range releases {
		releasesByEntryVM[jobRelease.EntryVM] = append(releasesByEntryVM[jobRelease.EntryVM], jobRelease)
	}
	for _, jobRelease := range releasesByEntryVM[loop.selfName()] {
		loop.handleRelease(loop.view.Self().Address, jobRelease)
	}
	for address, entryVM := range inOrder(loop.entryVMs) {
		if entryVMReleases := releasesByEntryVM[entryVM]; len(entryVMReleases) > 0 {
			loop.send(address, link.Message{
				Released: &link.Released{
					Jobs: entryVMReleases,
				},
			})
		}
	}
}

// executeDecisions executes decisions of the Cell.
func (loop *loop) executeDecisions(decisions []cell.Decision) {
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case cell.StartRun:
			loop.logRunPlaced(decision)
			loop.sendOrder(relay.Order{
				Start: &decision,
			})
		case cell.StopRun:
			loop.log(logevent.RunStopped, "upstream", decision.Order.Upstream, "job", decision.Run.Task.Job,
				"task", decision.Run.Task.Index, "run", decision.Run.Number, "reason", decision.Reason)
			loop.sendOrder(relay.Order{
				Stop: &decision,
			})
		case cell.Poll:
			loop.sendOrder(relay.Order{
				Poll: &decision,
			})
		case cell.AnswerJob:
			if !loop.redirectRefused(decision) {
				loop.sendAnswer(decision)
			}
		case cell.UpstreamChanged:
			loop.log(logevent.UpstreamState, "upstream", decision.Upstream, "state", decision.State, "reason", decision.Reason)
		case cell.RunLost:
			loop.dispatcher.instruments.increment(metricRunsLost)
			loop.log(logevent.RunLost, "upstream", decision.Upstream, "job", decision.Run.Task.Job,
				"task", decision.Run.Task.Index, "run", decision.Run.Number, "reason", decision.Reason)
		default:
			loop.recordEvidence(decision)
		}
	}
}

// recordEvidence logs and counts what the Cell takes as proof that runs are over.
func (loop *loop) recordEvidence(decision cell.Decision) {
	switch decision := decision.(type) {
	case cell.StartsAllowed:
		loop.dispatcher.instruments.increment(fmt.Sprintf("%s{because=%q}", metricStartsAllowed, string(decision.Because)))
		loop.log(logevent.StartsAllowed, "job", decision.Job, "generation", decision.Generation,
			"because", string(decision.Because), "waited", decision.Waited, "quarantine-left", decision.QuarantineLeft)
	case cell.LeaseExpired:
		loop.dispatcher.instruments.increment(metricLeasesExpired)
		loop.log(logevent.LeaseExpired, "upstream", decision.Upstream, "incarnation", decision.Incarnation,
			"clock", decision.Clock, "clock-age", decision.ClockAge, "lease-end", decision.LeaseEnd, "runs", decision.Runs)
	case cell.RunSettled:
		loop.log(logevent.RunSettled, "upstream", decision.Upstream, "job", decision.Run.Task.Job,
			"task", decision.Run.Task.Index, "run", decision.Run.Number, "because", decision.Because, "reason", decision.Reason)
	}
}

// logRunPlaced logs the start of a run that is ordered.
func (loop *loop) logRunPlaced(decision cell.StartRun) {
	loop.log(logevent.RunPlaced, "job", decision.Run.Task.Job, "task", decision.Run.Task.Index,
		"run", decision.Run.Number, "upstream", decision.Order.Upstream, "expected-ms", int(decision.ExpectedMs))
}

// sendAnswer sends the answer of a job to the entry VM that holds the job.
func (loop *loop) sendAnswer(decision cell.AnswerJob) {
	if decision.EntryVM == loop.selfName() {
		loop.handleAnswer(loop.view.Self().Address, decision.Answer)
		return
	}
	for address, name := range loop.entryVMs {
		if name == decision.EntryVM {
			loop.send(address, link.Message{
				Answer: &decision.Answer,
			})
			return
		}
	}
}

// handleSubmission passes a job of a peer's caller to the Cell, or declines it if
// this process does not schedule.
func (loop *loop) handleSubmission(address string, incarnation uint64, job cell.Job) {
	if loop.cell == nil {
		loop.sendDecline(address, &job)
		return
	}
	if err := job.Validate(); err != nil {
		loop.dispatcher.instruments.increment(metricInvalidMessages)
		loop.log(logevent.MessageInvalid, "member", address, "job", job.ID, "error", err)
		loop.sendDecline(address, &job)
		return
	}
	if loop.refuseCancelled(job.ID) {
		answer := cancelledAnswer(job.ID)
		answer.Submission = job.Submission
		loop.send(address, link.Message{
			Answer: &answer,
		})
		return
	}
	if job.Generation > 0 {
		loop.log(logevent.EarlierJobReceived, "job", job.ID, "member", address, "generation", job.Generation,
			"submission", job.Submission, "first", job.FirstSubmission, "quarantine", job.Quarantine, "known", loop.cell.HasJob(job.ID))
	}
	entryVM := entryVMName(address, incarnation)
	_, known := loop.entryVMs[address]
	loop.entryVMs[address] = entryVM
	loop.receivedSubmissions[entryVM] = max(loop.receivedSubmissions[entryVM], job.Submission)
	if !known && !loop.view.InCell(address) {
		loop.useForeignLink(address)
		loop.sendHeartbeat(address, false)
	}
	loop.notifyCell(cell.JobSubmitted{
		EntryVM: entryVM,
		Job:     job,
	})
}

// sendDecline reports to an entry VM that this process does not accept a job.
func (loop *loop) sendDecline(address string, job *cell.Job) {
	loop.send(address, link.Message{
		Decline: &link.Decline{
			JobID:      job.ID,
			Submission: job.Submission,
		},
	})
}

// removeLostEntryVMs withdraws the jobs of entry VMs whose heartbeats stopped.
func (loop *loop) removeLostEntryVMs() {
	for address, entryVM := range inOrder(loop.entryVMs) {
		if loop.view.Live(address) {
			continue
		}
		delete(loop.entryVMs, address)
		if loop.view.InCell(address) {
			loop.log(logevent.MemberLost, "member", address)
			loop.dispatcher.links.Reset(address)
		}
		// Answers to submissions since an earlier notice may have been lost with their stream.
		if _, pending := loop.droppedEntryVMs[address]; pending || loop.cell.HoldsJobsOf(entryVM) {
			loop.droppedEntryVMs[address] = droppedEntryVM{
				name:    entryVM,
				through: loop.receivedSubmissions[entryVM],
			}
		}
		delete(loop.receivedSubmissions, entryVM)
		loop.notifyCell(cell.EntryVMLost{
			EntryVM: entryVM,
		})
	}
}

// quarantine returns how long an earlier scheduler may act on a job after this process
// has left it without a release. That scheduler withdraws the job when it has not heard
// this process for its liveness timeout. An upstream that it can't reach any more runs
// the job until the lease ends, by a clock that may be slow.
func (loop *loop) quarantine() time.Duration {
	return loop.view.LivenessTimeout() + tickInterval + loop.options.Limits.LeaseTime()
}
