package dispatch

import (
	"fmt"
	"time"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/version/plan"
)

// ruleKey names the rules of a team for a kind, in the Core's domain.
type ruleKey struct {
	team string
	kind string
}

// share is what the scheduler was told of a rule.
type share struct {
	weight float64
	cap    int
}

// queue returns the scheduler's name for what it shares out and caps.
func (key ruleKey) queue() string {
	return key.team + "/" + key.kind
}

func keyOf(spec *job.Job) ruleKey {
	return ruleKey{
		team: spec.Team,
		kind: spec.Kind,
	}
}

// changePlan applies the plan in force. Jobs that were accepted before keep
// running.
func (core *Core) changePlan(changed *plan.Plan) {
	if changed == nil {
		return
	}
	core.planned = true
	core.rules = make(map[ruleKey][]plan.Rule)
	for _, rule := range changed.Rules {
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
		if latest, found := core.rule(key); found {
			core.shareOut(key, latest)
		}
	}
	core.changeGuards(changed.Guards)
	core.placeable = true
}

// shareOut tells the scheduler the share and cap of a rule. The sheet gives
// both for each team and kind, so that is what the scheduler queues by.
func (core *Core) shareOut(key ruleKey, rule plan.Rule) {
	weight := rule.Share
	if weight <= 0 {
		weight = core.config.Team.Weight
	}
	told := share{
		weight: weight,
		cap:    core.capOf(key, rule),
	}
	if core.shares[key] == told {
		return
	}
	core.shares[key] = told
	core.config.Scheduler.SetTeam(key.queue(), told.weight, told.cap)
}

// capOf returns the scheduler's cap for a rule: this VM's allowance, or the
// plan's cap where no allowance is known.
func (core *Core) capOf(key ruleKey, rule plan.Rule) int {
	allowed, known := core.allowances[key]
	if !known || rule.Cap == 0 {
		return rule.Cap
	}
	if allowed <= 0 {
		return placement.NoSlots
	}
	return allowed
}

func (core *Core) changeAllowances(event AllowancesChanged) {
	core.allowances = make(map[ruleKey]int, len(event.Allowances))
	for _, allowance := range event.Allowances {
		key := ruleKey{
			team: allowance.Team,
			kind: allowance.Kind,
		}
		core.allowances[key] = allowance.Slots
	}
	for key := range core.rules {
		if latest, found := core.rule(key); found {
			core.shareOut(key, latest)
		}
	}
	core.placeable = true
}

func (core *Core) changeGuards(guards plan.Guards) {
	core.guards = guards
	for _, at := range core.order {
		if guards.NoEjection {
			core.restore(at)
		}
		if guards.NoOccupancyCheck {
			at.foreign = 0
			at.occupancyKnown = true
		}
		core.sync(at)
		core.rearm(at)
	}
}

// rule returns the rule for a team and kind: of several in force, the latest.
func (core *Core) rule(key ruleKey) (plan.Rule, bool) {
	var latest plan.Rule
	found := false
	for _, rule := range core.rules[key] {
		inForce := rule.InForceFromMs <= core.now.UnixMilli()
		if inForce && (!found || rule.InForceFromMs >= latest.InForceFromMs) {
			latest = rule
			found = true
		}
	}
	return latest, found
}

// deadlineOf returns how long a job may take: what it asks for within the
// rule's bound, or the default.
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

// ruleRefusal refuses a job that the plan does not allow. Without a plan
// everything is allowed; the daemon is not ready then.
func (core *Core) ruleRefusal(asked *run) (job.Answer, bool) {
	if !core.planned {
		return job.Answer{}, false
	}
	if !asked.ruled {
		detail := fmt.Sprintf("the plan has no rule for team %q and kind %q in %s",
			asked.spec.Team, asked.spec.Kind, core.config.Domain)
		return job.Refusal(job.ReasonUnknownKind, detail), true
	}
	for i := range asked.spec.Tasks {
		if exceeds(asked.rule, &asked.spec.Tasks[i]) {
			detail := fmt.Sprintf("tasks[%d] asks for more than the plan allows", i)
			return job.Refusal(job.ReasonQuota, detail), true
		}
	}
	return job.Answer{}, false
}

func exceeds(rule plan.Rule, task *job.Task) bool {
	return above(task.Cores, rule.Cores) ||
		above(task.MemoryMb, rule.MemoryMb) ||
		above(task.Accelerators, rule.Accelerators)
}

// above reports whether value exceeds the bound; 0 means no bound.
func above(value, bound int) bool {
	return bound > 0 && value > bound
}
