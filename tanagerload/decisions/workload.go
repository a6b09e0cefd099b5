package decisions

import (
	"math"
	"math/rand/v2"
	"time"

	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// jobSpec is a job of the workload, the same for all policies.
type jobSpec struct {
	arrival time.Duration
	kind    string
	team    string
	// declaredMs and actualMs are run times on an upstream of speed 1.
	declaredMs []float64
	actualMs   []float64
}

func (spec *jobSpec) workMs() float64 {
	sum := 0.0
	for _, ms := range spec.actualMs {
		sum += ms
	}
	return sum
}

// placementJob returns the job as the scheduler is told of it. With exact it is told
// the actual run times.
func (spec *jobSpec) placementJob(number int, exact bool, deadline time.Duration) placement.Job {
	runTimesMs := spec.declaredMs
	if exact {
		runTimesMs = spec.actualMs
	}
	tasks := make([]placement.Task, len(runTimesMs))
	for i, ms := range runTimesMs {
		tasks[i] = placement.Task{
			Index:      i,
			DeclaredMs: ms,
		}
	}
	job := placement.Job{
		Key: submission.Key{
			Counter: uint64(number),
		},
		Team:    spec.team,
		Kind:    spec.kind,
		Arrival: startTime.Add(spec.arrival),
		Tasks:   tasks,
	}
	if deadline > 0 {
		job.Deadline = job.Arrival.Add(deadline)
	}
	return job
}

// upstreamSpeeds returns the upstreams' speeds: geometric steps over the spread around
// a geometric mean of 1.
func upstreamSpeeds(fleet Fleet) []float64 {
	speeds := make([]float64, fleet.Upstreams)
	for i := range speeds {
		position := 0.5
		if fleet.Upstreams > 1 {
			position = float64(i) / float64(fleet.Upstreams-1)
		}
		speeds[i] = math.Pow(fleet.SpeedSpread, position-0.5)
	}
	return speeds
}

// generateJobs draws the jobs of a run and scales their arrivals to the load.
func generateJobs(experiment *Experiment, run Run, totalSpeed float64) []jobSpec {
	random := rand.New(rand.NewPCG(experiment.Seed, 1))
	workload := experiment.Workload
	kindRatios := make([]float64, workload.Kinds)
	for i := range kindRatios {
		kindRatios[i] = logUniform(random, 1/run.KindError, run.KindError)
	}
	specs := make([]jobSpec, experiment.Jobs)
	workMs := 0.0
	for i := range specs {
		specs[i] = drawJob(random, workload, run, kindRatios)
		workMs += specs[i].workMs()
	}
	// The rate is scaled by the drawn work, so that the load of a run is exact
	// in spite of the heavy tail of the job sizes.
	gapMs := workMs / float64(len(specs)) / (run.Load * totalSpeed)
	nowMs := 0.0
	for i := range specs {
		nowMs += random.ExpFloat64() * gapMs
		specs[i].arrival = milliseconds(nowMs)
	}
	return specs
}

func drawJob(random *rand.Rand, workload Workload, run Run, kindRatios []float64) jobSpec {
	size := int(math.Round(workload.MedianTasks * math.Exp(workload.SigmaTasks*random.NormFloat64())))
	size = min(max(size, 1), workload.MaxTasks)
	kind := random.IntN(workload.Kinds)
	spec := jobSpec{
		kind:       "kind-" + string(rune('a'+kind%26)) + string(rune('a'+kind/26)),
		team:       "team-" + string(rune('a'+random.IntN(workload.Teams)%26)),
		declaredMs: make([]float64, size),
		actualMs:   make([]float64, size),
	}
	for i := range size {
		if random.Float64() < workload.LongShare {
			spec.actualMs[i] = 1000 + 4000*random.Float64()
		} else {
			spec.actualMs[i] = logUniform(random, 50, 1000)
		}
		spec.declaredMs[i] = spec.actualMs[i] / kindRatios[kind] / logUniform(random, 1/run.TaskError, run.TaskError)
	}
	return spec
}

func logUniform(random *rand.Rand, low, high float64) float64 {
	return low * math.Exp(random.Float64()*math.Log(high/low))
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
