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

// start is the virtual time at which a run begins.
var start = time.Unix(1_000_000, 0)

// Result is what one policy reached in one run.
type Result struct {
	Run    Run
	Policy string
	// Jobs is the number of jobs behind the figures.
	Jobs int
	// P50, P99 and P999 are quantiles of response over ideal.
	P50, P99, P999 float64
	Mean           float64
	// CostPerTask is the processor time per task of the whole event loop.
	CostPerTask time.Duration
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
func (events *events) Push(added any) { *events = append(*events, added.(event)) }

// Pop is called by container/heap.
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// loop is one policy in one run.
type loop struct {
	specs     []jobSpec
	speeds    []float64
	names     []string
	numbers   map[string]int
	exact     bool
	deadline  time.Duration
	scheduler *placement.Scheduler
	estimator *estimate.Estimator
	events    events
	sequence  int
	wake      time.Time
	left      []int
	last      []time.Time
	tasks     int
}

// measure runs a workload with one policy.
func measure(experiment *Experiment, run Run, name string, specs []jobSpec) Result {
	fleet := experiment.Fleet
	fleet.SpeedSpread = run.SpeedSpread
	estimator := estimate.New()
	random := rand.New(rand.NewPCG(experiment.Seed, 2))
	policy := experiment.policy(name)
	loop := &loop{
		specs:     specs,
		speeds:    speeds(fleet),
		numbers:   make(map[string]int),
		estimator: estimator,
		deadline:  time.Duration(experiment.Workload.DeadlineMs) * time.Millisecond,
		scheduler: placement.New(policy, estimator, random),
		left:      make([]int, len(specs)),
		last:      make([]time.Time, len(specs)),
	}
	// The greedy reference is defined with exact run times.
	_, loop.exact = policy.(placement.Greedy)
	for i, speed := range loop.speeds {
		name := fmt.Sprintf("upstream-%03d", i)
		loop.names = append(loop.names, name)
		loop.numbers[name] = i
		loop.scheduler.SetUpstream(placement.Upstream{
			ID:    name,
			Rack:  fmt.Sprintf("rack-%d", i%fleet.Racks),
			Slots: fleet.Slots,
			Speed: speed,
		})
	}
	for i := range specs {
		loop.left[i] = len(specs[i].actualMs)
	}
	began := time.Now()
	loop.run()
	result := loop.result(int(experiment.WarmUp * float64(len(specs))))
	result.Run = run
	result.Policy = name
	result.CostPerTask = time.Since(began) / time.Duration(max(loop.tasks, 1))
	return result
}

func (loop *loop) push(added event) {
	loop.sequence++
	added.sequence = loop.sequence
	heap.Push(&loop.events, added)
}

func (loop *loop) pushArrival(job int) {
	if job < len(loop.specs) {
		loop.push(event{
			at:   start.Add(loop.specs[job].arrival),
			kind: eventArrival,
			job:  job,
		})
	}
}

func (loop *loop) run() {
	loop.pushArrival(0)
	for len(loop.events) > 0 {
		next := heap.Pop(&loop.events).(event)
		switch next.kind {
		case eventArrival:
			loop.scheduler.Enqueue(loop.specs[next.job].job(next.job, loop.exact, loop.deadline))
			loop.pushArrival(next.job + 1)
		case eventEnd:
			loop.end(next)
		case eventWake:
			loop.wake = time.Time{}
		}
		loop.place(next.at)
	}
}

func (loop *loop) end(ended event) {
	key := submission.Key{
		Counter: uint64(ended.job),
	}
	name := loop.names[ended.upstream]
	if !loop.scheduler.Finish(name, key, ended.task) {
		panic("the scheduler does not know a running task")
	}
	spec := &loop.specs[ended.job]
	declaredMs := spec.declaredMs[ended.task]
	if loop.exact {
		declaredMs = spec.actualMs[ended.task]
	}
	loop.estimator.Observe(spec.kind, name, declaredMs, ended.runMs)
	loop.left[ended.job]--
	loop.last[ended.job] = ended.at
}

func (loop *loop) place(now time.Time) {
	for {
		assignment, placed := loop.scheduler.Next(now)
		if !placed {
			break
		}
		loop.tasks++
		job := int(assignment.Key.Counter)
		upstream := loop.numbers[assignment.Upstream]
		runMs := loop.specs[job].actualMs[assignment.Index] / loop.speeds[upstream]
		loop.push(event{
			at:       now.Add(milliseconds(runMs)),
			kind:     eventEnd,
			job:      job,
			task:     assignment.Index,
			upstream: upstream,
			runMs:    runMs,
		})
	}
	wake, needed := loop.scheduler.Wake()
	if !needed || (!loop.wake.IsZero() && !wake.Before(loop.wake)) {
		return
	}
	loop.wake = wake
	if wake.Before(now) {
		wake = now
	}
	loop.push(event{
		at:   wake,
		kind: eventWake,
	})
}

func (loop *loop) result(warmUp int) Result {
	totalSpeed := loop.scheduler.Stats().TotalSpeed
	fastest := slices.Max(loop.speeds)
	ratios := make([]float64, 0, len(loop.specs)-warmUp)
	sum := 0.0
	for i := warmUp; i < len(loop.specs); i++ {
		if loop.left[i] != 0 {
			panic("a job did not end")
		}
		spec := &loop.specs[i]
		idealMs := max(slices.Max(spec.actualMs)/fastest, spec.workMs()/totalSpeed) + roundTripMs
		responseMs := float64(loop.last[i].Sub(start.Add(spec.arrival)))/float64(time.Millisecond) + roundTripMs
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
	place := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(place, 0), len(sorted)-1)]
}
