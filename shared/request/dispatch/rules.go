package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/version/plan"
)

// ruleKey identifies the rules of a team for a kind, in the Core's failure domain.
type ruleKey struct {
	team string
	kind string
}

// schedulerShare is the share and cap that the scheduler uses for a rule.
type schedulerShare struct {
	weight float64
	cap    int
}

// queueName returns the name under which the scheduler queues the jobs of a rule.
func (key ruleKey) queueName() string {
	return key.team + "/" + key.kind
}

func ruleKeyOf(spec *job.Job) ruleKey {
	return ruleKey{
		team: spec.Team,
		kind: spec.Kind,
	}
}

// applyPlan applies the plan in force. Jobs that were accepted earlier keep
// running.
func (core *Core) applyPlan(newPlan *plan.Plan) {
	if newPlan == nil {
		return
	}
	core.hasPlan = true
	core.rules = make(map[ruleKey][]plan.Rule)
	for _, rule := range newPlan.Rules {
		if rule.Domain != core.config.Domain {
			continue
		}
		key := ruleKey{
			team: rule.Team,
			kind: rule.Kind,
		}
		core.rules[key] = append(core.rules[key], rule)
	}
	for key := range core.rules {
		if latest, exists := core.rule(key); exists {
			core.setSchedulerShare(key, latest)
		}
	}
	core.evacuated = slices.Contains(newPlan.Evacuated, core.config.Domain)
	core.applyGuards(newPlan.Guards)
	if core.evacuated {
		core.refuseWaiting()
	}
	core.mayPlace = true
}

// refuseWaiting refuses the jobs that wait although nothing of them was started. Jobs with
// attempts go on; if all attempts turn out not to have started, they are refused then.
func (core *Core) refuseWaiting() {
	var waiting []*jobState
	for _, acceptedJob := range core.jobs {
		if acceptedJob.waitsUnstarted() {
			waiting = append(waiting, acceptedJob)
		}
	}
	slices.SortFunc(waiting, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(a.key.Incarnation, b.key.Incarnation), cmp.Compare(a.key.Counter, b.key.Counter))
	})
	for _, acceptedJob := range waiting {
		core.close(acceptedJob, job.ReasonEvacuated, evacuatedDetail)
	}
}

// waitsUnstarted reports whether nothing of a job was started or is being started.
func (jobState *jobState) waitsUnstarted() bool {
	return !jobState.started && !jobState.ambiguous && jobState.unsettledAttempts == 0
}

// evacuatedDetail explains ReasonEvacuated to people.
const evacuatedDetail = "operators have evacuated the failure domain"

// evacuationRefusal returns the refusal of a job in an evacuated failure domain. Nobody can
// say when the evacuation ends.
func (core *Core) evacuationRefusal() job.Answer {
	answer := job.Refusal(job.ReasonEvacuated, evacuatedDetail)
	answer.RetryAfterMs = core.config.Limits.MaxRetryAfter.Milliseconds()
	return answer
}

// setSchedulerShare sets the scheduler's share and cap of a rule. The sheet gives
// both for each team and kind, so the scheduler has one queue per team and kind.
func (core *Core) setSchedulerShare(key ruleKey, rule plan.Rule) {
	weight := rule.Share
	if weight <= 0 {
		weight = core.config.Team.Weight
	}
	updated := schedulerShare{
		weight: weight,
		cap:    core.schedulerCap(key, rule),
	}
	if core.schedulerShares[key] == updated {
		return
	}
	core.schedulerShares[key] = updated
	core.config.Scheduler.SetTeam(key.queueName(), updated.weight, updated.cap)
}

// schedulerCap returns the scheduler's cap for a rule: this VM's allowance, or the
// plan's cap if there is no allowance.
func (core *Core) schedulerCap(key ruleKey, rule plan.Rule) int {
	allowance, exists := core.allowances[key]
	if !exists || rule.Cap == 0 {
		return rule.Cap
	}
	if allowance <= 0 {
		return placement.NoSlots
	}
	return allowance
}

func (core *Core) applyAllowances(event AllowancesChanged) {
	core.allowances = make(map[ruleKey]int, len(event.Allowances))
	for _, allowance := range event.Allowances {
		key := ruleKey{
			team: allowance.Team,
			kind: allowance.Kind,
		}
		core.allowances[key] = allowance.Slots
	}
	for key := range core.rules {
		if latest, exists := core.rule(key); exists {
			core.setSchedulerShare(key, latest)
		}
	}
	core.mayPlace = true
}

func (core *Core) applyGuards(guards plan.Guards) {
	core.guards = guards
	for _, upstream := range core.upstreamOrder {
		if guards.NoEjection {
			core.clearEjection(upstream)
		}
		if guards.NoOccupancyCheck {
			upstream.occupiedElsewhere = 0
			upstream.occupancyKnown = true
		}
		core.syncScheduler(upstream)
		core.rearmTimer(upstream)
	}
}

// rule returns the rule for a team and kind: the latest of those in force.
func (core *Core) rule(key ruleKey) (plan.Rule, bool) {
	var latest plan.Rule
	exists := false
	for _, rule := range core.rules[key] {
		inForce := rule.InForceFromMs <= core.now.UnixMilli()
		if inForce && (!exists || rule.InForceFromMs >= latest.InForceFromMs) {
			latest = rule
			exists = true
		}
	}
	return latest, exists
}

// deadlineOf returns how long a job may take: the deadline that it names, limited
// by the rule, or the default.
func (core *Core) deadlineOf(spec *job.Job, rule plan.Rule) time.Duration {
	deadlineMs := spec.DeadlineMs
	if rule.DeadlineMs > 0 && (deadlineMs <= 0 || deadlineMs > rule.DeadlineMs) {
		deadlineMs = rule.DeadlineMs
	}
	if deadlineMs <= 0 {
		deadlineMs = core.config.Team.DeadlineMs
	}
	return time.Duration(deadlineMs) * time.Millisecond
}

// ruleRefusal refuses a job that the plan does not allow. Without a plan every job
// is allowed; the daemon is not ready then.
func (core *Core) ruleRefusal(candidate *jobState) (job.Answer, bool) {
	if !core.hasPlan {
		return job.Answer{}, false
	}
	if !candidate.hasRule {
		detail := fmt.Sprintf("the plan has no rule for team %q and kind %q in %s",
			candidate.spec.Team, candidate.spec.Kind, core.config.Domain)
		return job.Refusal(job.ReasonUnknownKind, detail), true
	}
	for i := range candidate.spec.Tasks {
		if exceedsRule(candidate.rule, &candidate.spec.Tasks[i]) {
			detail := fmt.Sprintf("tasks[%d] asks for more than the plan allows", i)
			return job.Refusal(job.ReasonQuota, detail), true
		}
	}
	return job.Answer{}, false
}

func exceedsRule(rule plan.Rule, task *job.Task) bool {
	return exceedsBound(task.Cores, rule.Cores) ||
		exceedsBound(task.MemoryMb, rule.MemoryMb) ||
		exceedsBound(task.Accelerators, rule.Accelerators)
}

// exceedsBound reports whether value exceeds the bound; 0 means no bound.
func exceedsBound(value, bound int) bool {
	return bound > 0 && value > bound
}
