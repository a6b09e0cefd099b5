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

// roundTripMs is the round trip between entry VM and upstream that both the
// response and the ideal contain.
const roundTripMs = 1

// startTime is the virtual time at which a run begins.
var startTime = time.Unix(1_000_000, 0)

// Result is what one policy reached in one run.
type Result struct {
	Run    Run
	Policy string
	// Jobs is the number of jobs behind the figures.
	Jobs int
	// P50, P99 and P999 are quantiles of response over ideal.
	P50, P99, P999 float64
	Mean           float64
	// ElapsedPerTask is the processor time per task of the whole event loop.
	ElapsedPerTask time.Duration
}

type eventKind int

const (
	eventArrival eventKind = iota
	eventEnd
	eventWake
)

type event struct {
	at   time.Time
	kind eventKind
	// sequence keeps events of one instant in the order of their creation.
	sequence int
	job      int
	task     int
	upstream int
	runMs    float64
}

type events []event

func (events events) Len() int { return len(events) }

func (events events) Less(i, j int) bool {
	if !events[i].at.Equal(events[j].at) {
		return events[i].at.Before(events[j].at)
	}
	return events[i].sequence < events[j].sequence
}

func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push is called by container/heap.
func (events *events) Push(newEvent any) { *events = append(*events, newEvent.(event)) }

// Pop is called by container/heap.
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// simulation is one policy in one run.
type simulation struct {
	specs     []jobSpec
	speeds    []float64
	upstreamIDs     []string
	upstreamIndexes   map[string]int
	exactRunTimes     bool
	deadline  time.Duration
	scheduler *placement.Scheduler
	estimator *estimate.Estimator
	events    events
	sequence  int
	nextWake      time.Time
	remainingTasks      []int
	lastEnd      []time.Time
	placedTasks     int
}

// simulate runs a workload with one policy.
func simulate(experiment *Experiment, run Run, name string, specs []jobSpec) Result {
	fleet := experiment.Fleet
	fleet.SpeedSpread = run.SpeedSpread
	estimator := estimate.New()
	random := rand.New(rand.NewPCG(experiment.Seed, 2))
	policy := experiment.newPolicy(name)
	simulation := &simulation{
		specs:     specs,
		speeds:    upstreamSpeeds(fleet),
		upstreamIndexes:   make(map[string]int),
		estimator: estimator,
		deadline:  time.Duration(experiment.Workload.DeadlineMs) * time.Millisecond,
		scheduler: placement.New(policy, estimator, random),
		remainingTasks:      make([]int, len(specs)),
		lastEnd:      make([]time.Time, len(specs)),
	}
	// The greedy reference is defined with exact run times.
	_, simulation.exactRunTimes = policy.(placement.Greedy)
	for i, speed := range simulation.speeds {
		name := fmt.Sprintf("upstream-%03d", i)
		simulation.upstreamIDs = append(simulation.upstreamIDs, name)
		simulation.upstreamIndexes[name] = i
		simulation.scheduler.SetUpstream(placement.Upstream{
			ID:    name,
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
	result.Policy = name
	result.ElapsedPerTask = time.Since(startedAt) / time.Duration(max(simulation.placedTasks, 1))
	return result
}

func (simulation *simulation) push(newEvent event) {
	simulation.sequence++
	newEvent.sequence = simulation.sequence
	heap.Push(&simulation.events, newEvent)
}

func (simulation *simulation) pushArrival(job int) {
	if job < len(simulation.specs) {
		simulation.push(event{
			at:   startTime.Add(simulation.specs[job].arrival),
			kind: eventArrival,
			job:  job,
		})
	}
}

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

func (simulation *simulation) finishTask(endEvent event) {
	key := submission.Key{
		Counter: uint64(endEvent.job),
	}
	upstreamID := simulation.upstreamIDs[endEvent.upstream]
	if !simulation.scheduler.Finish(upstreamID, key, endEvent.task) {
		panic("the scheduler does not know a running task")
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

func (simulation *simulation) summarize(warmUp int) Result {
	totalSpeed := simulation.scheduler.Stats().TotalSpeed
	fastest := slices.Max(simulation.speeds)
	ratios := make([]float64, 0, len(simulation.specs)-warmUp)
	sum := 0.0
	for i := warmUp; i < len(simulation.specs); i++ {
		if simulation.remainingTasks[i] != 0 {
			panic("a job did not end")
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

// quantile returns the smallest value of a sorted sample that at least the
// given share does not exceed.
func quantile(sorted []float64, share float64) float64 {
	index := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}
