package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// arrival is one job of a recorded load, with times in seconds.
type arrival struct {
	at        float64
	kind      int
	domain    int
	key       string
	tasks     int
	run       float64
	objective float64
	attempt   int
}

// load describes a recorded load and the upstreams that serve it.
type load struct {
	name string
	// kinds holds the factors of the rates of the kinds during the overload, and wave
	// that of one failure domain. hotKey is the share of the first kind that one key has,
	// and hopeless the share of jobs that no upstream can do in time.
	kinds                  [3]float64
	wave, hotKey, hopeless float64
	// leave is the share of the upstreams that is away during the overload.
	leave  float64
	speeds []float64
	// spread is the standard deviation of the logarithm of predicted over actual run
	// times, and tail the share of tasks that take seven times as long.
	spread, tail float64
	// attempts is how often a caller comes back after a refusal.
	attempts int
	// measure returns what the bound limits.
	measure func(result *result) float64
	bound   float64
}

const (
	upstreamCount  = 35
	taskMilliCores = 8000
	upstreamSize   = 2 * taskMilliCores
	overloadStart  = 1.0
	overloadEnd    = 5.0
	step           = 0.002
)

// kinds of jobs: their rate for upstreamCount upstreams, tasks, run time and priority.
var usualKinds = []struct {
	perSecond, tasks, run float64
	priority              int
}{{20.6, 8, 0.06, 0}, {3.75, 4, 0.9, 2}, {60, 2, 0.2, 1}}

// credit counts jobs sent during the overload; those completed on time count 1, late
// ones a fifth.
type credit struct{ sum, count float64 }

func (credit credit) mean() float64 { return credit.sum / max(credit.count, 1) }

type result struct {
	kinds, domains, keys [4]credit
	// large holds about the largest tenth of each kind.
	large        credit
	delays       []float64
	returns      map[int]int
	weightTurns  int
	hopelessRuns int
}

func (result *result) mean() float64 {
	return (result.kinds[0].mean() + result.kinds[1].mean() + result.kinds[2].mean()) / 3
}

type waitingJob struct {
	arrival
	Job
	live int
}

type run struct {
	end, predicted float64
	upstream       int
	job            *waitingJob
}

var epoch = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// replayer plays a load against plan, which is that of a Planner or the order by slack.
type replayer struct {
	load     load
	planner  *Planner
	random   *rand.Rand
	now      float64
	speeds   []float64
	free     []int
	away     int
	waiting  []*waitingJob
	runs     []run
	arrivals []arrival
	result   result
}

func replay(load load, arrivals []arrival, planner *Planner) *result {
	replayer := &replayer{
		load:     load,
		planner:  planner,
		random:   rand.New(rand.NewPCG(7, 7)),
		arrivals: slices.Clone(arrivals),
		result: result{
			returns: make(map[int]int),
		},
	}
	speeds := load.speeds
	if speeds == nil {
		speeds = []float64{0.55, 1.2, 1.2, 1.2}
	}
	for i := range upstreamCount {
		replayer.speeds = append(replayer.speeds, speeds[i*len(speeds)/upstreamCount])
		replayer.free = append(replayer.free, upstreamSize)
	}
	// The fastest come first, and those that leave are spread over all speeds.
	slices.Reverse(replayer.speeds)
	weight, rising := 0.0, true
	for ; replayer.now < overloadEnd+4; replayer.now += step {
		replayer.away = 0
		if replayer.now >= overloadStart && replayer.now < overloadEnd {
			replayer.away = int(load.leave * upstreamCount)
		}
		replayer.round()
		if planner != nil && math.Abs(planner.costWeight-weight) > 0.1 {
			if (planner.costWeight > weight) != rising {
				rising = !rising
				replayer.result.weightTurns++
			}
			weight = planner.costWeight
		}
	}
	slices.Sort(replayer.result.delays)
	return &replayer.result
}

func (replayer *replayer) usable(upstream int) bool {
	return replayer.away == 0 || upstream*replayer.away%upstreamCount >= replayer.away
}

// round ends runs, receives arrivals, plans and places tasks.
func (replayer *replayer) round() {
	replayer.runs = slices.DeleteFunc(replayer.runs, func(run run) bool {
		if run.end > replayer.now {
			return false
		}
		replayer.free[run.upstream] += taskMilliCores
		run.job.live--
		if run.job.live == 0 && run.job.Tasks == 0 {
			replayer.end(run.job, replayer.now <= run.job.at+run.job.objective, true)
		}
		return true
	})
	for len(replayer.arrivals) > 0 && replayer.arrivals[0].at <= replayer.now {
		replayer.arrive(replayer.arrivals[0])
		replayer.arrivals = replayer.arrivals[1:]
	}
	replayer.waiting = slices.DeleteFunc(replayer.waiting, func(job *waitingJob) bool {
		if job.Tasks > 0 && replayer.now > job.at+3*job.objective {
			replayer.giveUp(job, time.Second)
			return true
		}
		return job.Tasks == 0
	})
	if len(replayer.waiting) == 0 {
		return
	}
	jobs := make([]Job, len(replayer.waiting))
	for i, job := range replayer.waiting {
		jobs[i] = job.Job
	}
	capacity := replayer.capacity()
	plan := leastSlack(at(replayer.now), jobs, capacity.TopSpeed)
	if replayer.planner != nil {
		plan = replayer.planner.Plan(at(replayer.now), jobs, capacity)
	}
	for _, i := range plan.Order {
		if plan.Hold == nil || !plan.Hold[i] {
			replayer.place(replayer.waiting[i], capacity.TopSpeed)
		}
	}
	refusals := make(map[string]Refusal)
	for _, refusal := range plan.Refused {
		refusals[refusal.ID] = refusal
	}
	free := replayer.capacity().FreeMilliCores
	replayer.waiting = slices.DeleteFunc(replayer.waiting, func(job *waitingJob) bool {
		refusal, refused := refusals[job.ID]
		refused = refused && job.need() > free
		if refused {
			replayer.giveUp(job, refusal.RetryAfter)
		}
		return refused
	})
}

func (replayer *replayer) arrive(arrival arrival) {
	predicted := time.Duration(arrival.run * math.Exp(replayer.load.spread*replayer.random.NormFloat64()) * float64(time.Second))
	job := &waitingJob{
		arrival: arrival,
		Job: Job{
			ID:          strconv.FormatUint(replayer.random.Uint64(), 36),
			Kind:        "kind-" + strconv.Itoa(arrival.kind),
			Domain:      "domain-" + strconv.Itoa(arrival.domain),
			Key:         arrival.key,
			Priority:    usualKinds[arrival.kind].priority,
			Arrival:     at(arrival.at),
			Target:      at(arrival.at + arrival.objective),
			WorthlessAt: at(arrival.at + 3*arrival.objective),
			Tasks:       arrival.tasks,
			MilliCores:  taskMilliCores,
			RunTime:     predicted,
			Remaining:   predicted,
			LogStdDev:   replayer.load.spread,
		},
	}
	replayer.waiting = append(replayer.waiting, job)
	if replayer.planner != nil {
		replayer.planner.Arrived(at(replayer.now), job.Job)
	}
}

func (replayer *replayer) capacity() Capacity {
	var capacity Capacity
	count := 0.0
	for i, speed := range replayer.speeds {
		if replayer.usable(i) {
			capacity.MilliCores += upstreamSize
			capacity.FreeMilliCores += replayer.free[i]
			capacity.LargestFreeMilliCores = max(capacity.LargestFreeMilliCores, replayer.free[i])
			capacity.TopSpeed = max(capacity.TopSpeed, speed)
			capacity.Speed += speed
			count++
		}
	}
	capacity.Speed /= count
	for _, run := range replayer.runs {
		if replayer.usable(run.upstream) {
			capacity.Releases = append(capacity.Releases, Release{
				At:         at(max(run.predicted, replayer.now)),
				MilliCores: taskMilliCores,
			})
		}
	}
	slices.SortFunc(capacity.Releases, func(a, b Release) int { return a.At.Compare(b.At) })
	return capacity
}

// place starts tasks on the slowest upstreams that meet the objective with some certainty,
// or on the fastest ones if none can.
func (replayer *replayer) place(job *waitingJob, topSpeed float64) {
	left := job.Target.Sub(at(replayer.now)).Seconds()
	predicted := job.RunTime.Seconds()
	certain := predicted * math.Exp(job.LogStdDev)
	for job.Tasks > 0 {
		chosen := -1
		for i, speed := range replayer.speeds {
			if !replayer.usable(i) || replayer.free[i] < taskMilliCores {
				continue
			}
			meets := certain/speed <= left
			if meets || chosen < 0 && certain/topSpeed > left {
				chosen = i
			}
			if !meets {
				break
			}
		}
		if chosen < 0 {
			return
		}
		length := job.run
		if replayer.random.Float64() < replayer.load.tail {
			length *= 7
		}
		job.Tasks--
		job.live++
		job.Started = true
		replayer.free[chosen] -= taskMilliCores
		if job.run > 3*job.objective {
			replayer.result.hopelessRuns++
		}
		replayer.runs = append(replayer.runs, run{
			end:       replayer.now + length/replayer.speeds[chosen],
			predicted: replayer.now + predicted/replayer.speeds[chosen],
			upstream:  chosen,
			job:       job,
		})
	}
}

// giveUp ends a job without an answer. Its caller comes back after the delay.
func (replayer *replayer) giveUp(job *waitingJob, retryAfter time.Duration) {
	if !job.Started {
		replayer.result.delays = append(replayer.result.delays, replayer.now-job.at)
	}
	if job.attempt >= replayer.load.attempts || job.Started {
		replayer.end(job, false, false)
		return
	}
	if replayer.planner != nil {
		replayer.planner.Ended(at(replayer.now), job.Job, OutcomeMissed)
	}
	again := job.arrival
	again.at = replayer.now + retryAfter.Seconds()
	again.attempt++
	replayer.result.returns[int(again.at*10)]++
	i, _ := slices.BinarySearchFunc(replayer.arrivals, again, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	replayer.arrivals = slices.Insert(replayer.arrivals, i, again)
}

func (replayer *replayer) end(job *waitingJob, onTime, completed bool) {
	value, outcome := 0.0, OutcomeMissed
	if onTime && completed {
		value, outcome = 1, OutcomeOnTime
	} else if completed && replayer.now <= job.at+3*job.objective {
		value, outcome = 0.2, OutcomeLate
	}
	if replayer.planner != nil {
		replayer.planner.Ended(at(replayer.now), job.Job, outcome)
	}
	if job.attempt == 0 && (job.at < overloadStart || job.at >= overloadEnd) || job.run > 3*job.objective {
		return
	}
	credits := []*credit{&replayer.result.kinds[job.kind], &replayer.result.domains[job.domain], &replayer.result.keys[min(len(job.key), 1)]}
	if usual := usualKinds[job.kind]; float64(job.tasks)*job.run >= 1.75*usual.tasks*usual.run {
		credits = append(credits, &replayer.result.large)
	}
	for _, credit := range credits {
		credit.sum += value
		credit.count++
	}
}

// leastSlack is the order without regard to load: by slack the jobs that can meet their
// objective, then by arrival late ones and those without value.
func leastSlack(now time.Time, jobs []Job, topSpeed float64) Plan {
	plan := Plan{}
	class := make([]int, len(jobs))
	keys := make([]time.Time, len(jobs))
	for i, job := range jobs {
		plan.Order = append(plan.Order, i)
		fastest := time.Duration(float64(job.Remaining) / topSpeed)
		keys[i] = job.Target.Add(-fastest)
		if now.Add(fastest).After(job.Target) {
			class[i] = 1
			keys[i] = job.Arrival
		}
		if now.Add(fastest).After(job.WorthlessAt) {
			class[i] = 2
		}
	}
	slices.SortStableFunc(plan.Order, func(a, b int) int {
		return cmp.Or(class[a]-class[b], keys[a].Compare(keys[b]))
	})
	return plan
}
