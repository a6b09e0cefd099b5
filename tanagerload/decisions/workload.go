package decisions

import (
	"math"
	"math/rand/v2"
	"time"

	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// jobSpec is a job of the workload; all policies get the same jobs.
type jobSpec struct {
	// arrival is the time since the start of the run.
	arrival time.Duration
	kind    string
	team    string
	// declaredMs and actualMs hold the run times of the tasks on an upstream of
	// speed 1.
	declaredMs []float64
	actualMs   []float64
}

// workMs returns the sum of the actual run times, in ms at speed 1.
func (spec *jobSpec) workMs() float64 {
	sum := 0.0
	for _, ms := range spec.actualMs {
		sum += ms
	}
	return sum
}

// placementJob returns the job as the scheduler gets it. With exactRunTimes,
// the actual run times take the place of the declared ones.
func (spec *jobSpec) placementJob(number int, exactRunTimes bool, deadline time.Duration) placement.Job {
	runTimesMs := spec.declaredMs
	if exactRunTimes {
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

// upstreamSpeeds returns the speeds of the upstreams: a geometric sequence over
// the spread with a geometric mean of 1.
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

// generateJobs draws the jobs of a run, ordered by arrival, and scales the gaps
// between arrivals to the run's load.
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
	// The arrival rate follows from the drawn work instead of the expected work,
	// so that the load of a run is exact despite the heavy tail of job sizes.
	gapMs := workMs / float64(len(specs)) / (run.Load * totalSpeed)
	nowMs := 0.0
	for i := range specs {
		nowMs += random.ExpFloat64() * gapMs
		specs[i].arrival = milliseconds(nowMs)
	}
	return specs
}

// drawJob draws the size, kind, team and run times of a job. kindRatios holds
// the ratio of actual to declared run time of each kind.
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

// logUniform draws a value whose logarithm is uniform between those of low and
// high.
func logUniform(random *rand.Rand, low, high float64) float64 {
	return low * math.Exp(random.Float64()*math.Log(high/low))
}

// milliseconds converts a number of ms to a duration.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
