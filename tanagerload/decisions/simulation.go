package decisions

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// roundTripMs is the round trip between entry VM and upstream, which both the
// response time and the ideal response time include.
const roundTripMs = 1

// startTime is the virtual time at which each run begins.
var startTime = time.Unix(1_000_000, 0)

// Result is the outcome of one run with one policy.
type Result struct {
	Run    Run
	Policy string
	// Jobs is the number of measured jobs, without the warm-up.
	Jobs int
	// P50, P99 and P999 are the 50th, 99th and 99.9th percentile, and Mean is the
	// mean, of the ratio of response time to ideal response time.
	P50, P99, P999 float64
	Mean           float64
	// ElapsedPerTask is the wall-clock time of the event loop divided by the
	// number of tasks. It includes the simulation itself, not only the
	// placement.
	ElapsedPerTask time.Duration
}

type eventKind int

const (
	// eventArrival is the arrival of a job.
	eventArrival eventKind = iota
	// eventEnd is the end of a task.
	eventEnd
	// eventWake is the time at which the scheduler asked to be called again.
	eventWake
)

// event is an event on virtual time. job is set for arrivals; job, task,
// upstream (both as indexes) and runMs are set for ends.
type event struct {
	at   time.Time
	kind eventKind
	// sequence keeps events with the same time in the order of their creation.
	sequence int
	job      int
	task     int
	upstream int
	runMs    float64
}

// events is a priority queue ordered by time; it implements heap.Interface.
type events []event

func (events events) Len() int { return len(events) }

func (events events) Less(i, j int) bool {
	if !events[i].at.Equal(events[j].at) {
		return events[i].at.Before(events[j].at)
	}
	return events[i].sequence < events[j].sequence
}

func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push implements heap.Interface.
func (events *events) Push(newEvent any) { *events = append(*events, newEvent.(event)) }

// Pop implements heap.Interface.
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// simulation is the state of one run with one policy.
type simulation struct {
	specs []jobSpec
	// speeds and upstreamIDs are indexed by upstream; upstreamIndexes is the
	// inverse of upstreamIDs.
	speeds          []float64
	upstreamIDs     []string
	upstreamIndexes map[string]int
	// exactRunTimes gives the scheduler the actual run times as declared ones.
	exactRunTimes bool
	deadline      time.Duration
	scheduler     *placement.Scheduler
	estimator     *estimate.Estimator
	events        events
	sequence      int
	// nextWake is the time of the earliest pending wake event; zero means none.
	nextWake time.Time
	// remainingTasks and lastEnd are indexed by job: the tasks that have not
	// ended, and the latest end of a task.
	remainingTasks []int
	lastEnd        []time.Time
	placedTasks    int
}

// simulate runs the jobs of a run with one policy.
func simulate(experiment *Experiment, run Run, policyName string, specs []jobSpec) Result {
	fleet := experiment.Fleet
	fleet.SpeedSpread = run.SpeedSpread
	estimator := estimate.New()
	random := rand.New(rand.NewPCG(experiment.Seed, 2))
	policy := experiment.newPolicy(policyName)
	simulation := &simulation{
		specs:           specs,
		speeds:          upstreamSpeeds(fleet),
		upstreamIndexes: make(map[string]int),
		estimator:       estimator,
		deadline:        time.Duration(experiment.Workload.DeadlineMs) * time.Millisecond,
		scheduler:       placement.New(policy, estimator, random),
		remainingTasks:  make([]int, len(specs)),
		lastEnd:         make([]time.Time, len(specs)),
	}
	// The policy "greedy" is a reference that is defined with exact run times.
	_, simulation.exactRunTimes = policy.(placement.Greedy)
	for i, speed := range simulation.speeds {
		upstreamID := fmt.Sprintf("upstream-%03d", i)
		simulation.upstreamIDs = append(simulation.upstreamIDs, upstreamID)
		simulation.upstreamIndexes[upstreamID] = i
		simulation.scheduler.SetUpstream(placement.Upstream{
			ID:    upstreamID,
			Rack:  fmt.Sprintf("rack-%d", i%fleet.Racks),
			Slots: fleet.Slots,
			Speed: speed,
		})
	}
	for i := range specs {
		simulation.remainingTasks[i] = len(specs[i].actualMs)
	}
	startedAt := time.Now()
	simulation.run()
	result := simulation.summarize(int(experiment.WarmUpShare * float64(len(specs))))
	result.Run = run
	result.Policy = policyName
	result.ElapsedPerTask = time.Since(startedAt) / time.Duration(max(simulation.placedTasks, 1))
	return result
}

// push adds an event to the queue.
func (simulation *simulation) push(newEvent event) {
	simulation.sequence++
	newEvent.sequence = simulation.sequence
	heap.Push(&simulation.events, newEvent)
}

// pushArrival adds the arrival of a job, if there is one with that index.
func (simulation *simulation) pushArrival(job int) {
	if job < len(simulation.specs) {
		simulation.push(event{
			at:   startTime.Add(simulation.specs[job].arrival),
			kind: eventArrival,
			job:  job,
		})
	}
}

// run processes events until none is left.
func (simulation *simulation) run() {
	simulation.pushArrival(0)
	for len(simulation.events) > 0 {
		next := heap.Pop(&simulation.events).(event)
		switch next.kind {
		case eventArrival:
			simulation.scheduler.Enqueue(simulation.specs[next.job].placementJob(next.job, simulation.exactRunTimes, simulation.deadline))
			simulation.pushArrival(next.job + 1)
		case eventEnd:
			simulation.finishTask(next)
		case eventWake:
			simulation.nextWake = time.Time{}
		}
		simulation.placeTasks(next.at)
	}
}

// finishTask reports the end of a task to the scheduler and the estimator.
func (simulation *simulation) finishTask(endEvent event) {
	key := submission.Key{
		Counter: uint64(endEvent.job),
	}
	upstreamID := simulation.upstreamIDs[endEvent.upstream]
	if !simulation.scheduler.Finish(upstreamID, key, endEvent.task) {
		panic("decisions: scheduler does not know a running task")
	}
	spec := &simulation.specs[endEvent.job]
	declaredMs := spec.declaredMs[endEvent.task]
	if simulation.exactRunTimes {
		declaredMs = spec.actualMs[endEvent.task]
	}
	simulation.estimator.Observe(spec.kind, upstreamID, declaredMs, endEvent.runMs)
	simulation.remainingTasks[endEvent.job]--
	simulation.lastEnd[endEvent.job] = endEvent.at
}

// placeTasks places all tasks that the scheduler assigns now and adds their
// ends and the next wake-up as events.
func (simulation *simulation) placeTasks(now time.Time) {
	for {
		assignment, placed := simulation.scheduler.Next(now)
		if !placed {
			break
		}
		simulation.placedTasks++
		job := int(assignment.Key.Counter)
		upstream := simulation.upstreamIndexes[assignment.Upstream]
		runMs := simulation.specs[job].actualMs[assignment.Index] / simulation.speeds[upstream]
		simulation.push(event{
			at:       now.Add(milliseconds(runMs)),
			kind:     eventEnd,
			job:      job,
			task:     assignment.Index,
			upstream: upstream,
			runMs:    runMs,
		})
	}
	wake, needed := simulation.scheduler.Wake()
	if !needed || (!simulation.nextWake.IsZero() && !wake.Before(simulation.nextWake)) {
		return
	}
	simulation.nextWake = wake
	if wake.Before(now) {
		wake = now
	}
	simulation.push(event{
		at:   wake,
		kind: eventWake,
	})
}

// summarize computes the quantiles and the mean over all jobs but the first
// warmUp ones.
func (simulation *simulation) summarize(warmUp int) Result {
	totalSpeed := simulation.scheduler.Stats().TotalSpeed
	fastest := slices.Max(simulation.speeds)
	ratios := make([]float64, 0, len(simulation.specs)-warmUp)
	sum := 0.0
	for i := warmUp; i < len(simulation.specs); i++ {
		if simulation.remainingTasks[i] != 0 {
			panic("decisions: a job has unfinished tasks at the end of the run")
		}
		spec := &simulation.specs[i]
		idealMs := max(slices.Max(spec.actualMs)/fastest, spec.workMs()/totalSpeed) + roundTripMs
		responseMs := float64(simulation.lastEnd[i].Sub(startTime.Add(spec.arrival)))/float64(time.Millisecond) + roundTripMs
		ratios = append(ratios, responseMs/idealMs)
		sum += responseMs / idealMs
	}
	slices.Sort(ratios)
	return Result{
		Jobs: len(ratios),
		P50:  quantile(ratios, 0.5),
		P99:  quantile(ratios, 0.99),
		P999: quantile(ratios, 0.999),
		Mean: sum / float64(len(ratios)),
	}
}

// quantile returns the smallest element of the sorted sample such that at least
// the given share of the elements is not larger.
func quantile(sorted []float64, share float64) float64 {
	index := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}
