package workload

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tanagerfall/shared/request/job"
	"tanagerfall/tanagerload/experiment"
)

// meanWorkSamples is the number of jobs drawn to estimate the mean work of a
// job. The standard error of the estimate is about 1% with the model workload.
const meanWorkSamples = 50_000

// maxDeclaredMs bounds declared run times, so that the jobs are valid.
const maxDeclaredMs = job.MaxRunMs

// Arrival is one job and the time at which it is to be submitted.
type Arrival struct {
	// Number is the number of the job in the experiment.
	Number int
	// Offset is the scheduled arrival, from the start of the step.
	Offset time.Duration
	Team   string
	Job    job.Job
	// ActualMs holds the actual run times of the tasks, in ms at speed 1.
	ActualMs []float64
	// EntryRandom is a random number that chooses entry VMs: its lower 32 bits
	// the one that issues the submission ID, its upper 32 bits the one that gets
	// the job if routing is experiment.RouteAny.
	EntryRandom uint64
	// Resubmit says that the job is submitted twice under the same ID.
	Resubmit bool
}

// Generator draws the jobs of a step in order of arrival. It is not safe for
// concurrent use.
type Generator struct {
	workload   experiment.Workload
	random     *rand.Rand
	runID      string
	rate       Rate
	offset     time.Duration
	nextNumber int
	// kindRatios holds the ratio of declared to actual run time of each kind.
	kindRatios []float64
}

// Rate is an arrival rate with an optional burst.
type Rate struct {
	// PerSecond is the number of jobs per second outside the burst.
	PerSecond float64
	// Factor multiplies PerSecond during the burst; 0 means no burst.
	Factor float64
	// From and To bound the burst; both count from the start of the step.
	From time.Duration
	To   time.Duration
}

// at returns the rate at an offset from the start of the step, and the offset
// until which that rate lasts.
func (rate Rate) at(offset time.Duration) (perSecond float64, until time.Duration) {
	switch {
	case rate.Factor == 0 || offset >= rate.To:
		return rate.PerSecond, math.MaxInt64
	case offset < rate.From:
		return rate.PerSecond, rate.From
	}
	return rate.PerSecond * rate.Factor, rate.To
}

// New returns a Generator of the jobs of a step; the same arguments give the
// same jobs. RunID is part of each task's echo and distinguishes runs against
// the same workers. FirstJob is the number of the first job.
func New(workload experiment.Workload, seed, step uint64, runID string, firstJob int, rate Rate) *Generator {
	generator := &Generator{
		workload:   workload,
		random:     rand.New(rand.NewPCG(seed, step)),
		runID:      runID,
		rate:       rate,
		nextNumber: firstJob,
	}
	// The ratios depend only on the seed, so that they are the same in all steps.
	kindRandom := rand.New(rand.NewPCG(seed, math.MaxUint64))
	for range workload.Kinds {
		generator.kindRatios = append(generator.kindRatios, drawFactor(kindRandom, workload.KindError))
	}
	return generator
}

// drawFactor draws a factor, log-uniform from 1/maxFactor to maxFactor.
func drawFactor(random *rand.Rand, maxFactor float64) float64 {
	return math.Pow(maxFactor, 2*random.Float64()-1)
}

// Next returns the next arrival. Arrivals form a Poisson process.
func (generator *Generator) Next() Arrival {
	for {
		perSecond, until := generator.rate.at(generator.offset)
		gap := time.Duration(generator.random.ExpFloat64() / perSecond * float64(time.Second))
		if generator.offset+gap < until {
			generator.offset += gap
			break
		}
		// A Poisson process is memoryless, so drawing again from the point
		// where the rate changes is exact.
		generator.offset = until
	}
	arrival := generator.drawArrival()
	generator.nextNumber++
	return arrival
}

// drawArrival draws a job that arrives at the current offset.
func (generator *Generator) drawArrival() Arrival {
	random := generator.random
	workload := &generator.workload
	arrival := Arrival{
		Number:      generator.nextNumber,
		Offset:      generator.offset,
		Team:        workload.Teams[pickWeighted(random, workload.Teams)].Name,
		EntryRandom: random.Uint64(),
		Resubmit:    random.Float64() < workload.ResubmitShare,
	}
	kind := pickWeighted(random, workload.Kinds)
	arrival.Job = job.Job{
		Kind:       workload.Kinds[kind].Name,
		Team:       arrival.Team,
		DeadlineMs: workload.DeadlineMs,
	}
	for taskIndex := range generator.drawTaskCount() {
		actualMs := generator.drawRunMs()
		arrival.ActualMs = append(arrival.ActualMs, actualMs)
		arrival.Job.Tasks = append(arrival.Job.Tasks, job.Task{
			RunMs:    generator.declaredRunMs(kind, actualMs),
			Cores:    workload.Cores,
			MemoryMb: workload.MemoryMb,
			Payload: encodePayload(payload{
				ActualRunMs: actualMs,
				Echo:        Echo(generator.runID, arrival.Number, taskIndex),
			}),
		})
	}
	return arrival
}

// payload is the payload of a task, which the stand-in workers read.
type payload struct {
	ActualRunMs float64 `json:"actual-run-ms"`
	Echo        string  `json:"echo"`
}

// encodePayload returns the JSON of a payload.
func encodePayload(payload payload) json.RawMessage {
	data, err := json.Marshal(payload)
	if err != nil {
		panic("workload: encode payload: " + err.Error())
	}
	return data
}

// Echo returns the text that identifies a task of a run of the experiment. A
// worker copies it from the task's payload to its journal and its output.
func Echo(runID string, jobNumber, taskIndex int) string {
	return fmt.Sprintf("%s/%d/%d", runID, jobNumber, taskIndex)
}

// drawTaskCount draws the number of tasks of a job.
func (generator *Generator) drawTaskCount() int {
	workload := &generator.workload
	count := workload.MedianTasks * math.Exp(workload.SigmaTasks*generator.random.NormFloat64())
	return min(max(int(math.Round(count)), 1), workload.MaxTasks)
}

// drawRunMs draws an actual run time in ms, rounded to microseconds.
func (generator *Generator) drawRunMs() float64 {
	workload := &generator.workload
	runMs := 0.0
	if generator.random.Float64() < workload.LongShare {
		runMs = workload.MaxRunMs + (workload.LongRunMs-workload.MaxRunMs)*generator.random.Float64()
	} else {
		runMs = workload.MinRunMs * math.Pow(workload.MaxRunMs/workload.MinRunMs, generator.random.Float64())
	}
	const microseconds = 1000
	return math.Round(runMs*microseconds) / microseconds
}

// declaredRunMs draws the declared run time of a task from its actual one.
func (generator *Generator) declaredRunMs(kind int, actualMs float64) int64 {
	ratio := generator.kindRatios[kind] * drawFactor(generator.random, generator.workload.TaskError)
	return min(max(int64(math.Round(actualMs*ratio)), 1), maxDeclaredMs)
}

// pickWeighted draws the index of a share with a probability proportional to
// its weight.
func pickWeighted(random *rand.Rand, shares []experiment.Share) int {
	total := 0.0
	for _, share := range shares {
		total += share.Weight
	}
	remaining := random.Float64() * total
	for i, share := range shares {
		remaining -= share.Weight
		if remaining < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// MeanWorkMs estimates the mean work of a job, in ms at speed 1. The estimate is
// the same on each call.
func MeanWorkMs(workload experiment.Workload) float64 {
	generator := New(workload, 0, math.MaxUint64, "", 0, Rate{})
	totalMs := 0.0
	for range meanWorkSamples {
		for range generator.drawTaskCount() {
			totalMs += generator.drawRunMs()
		}
	}
	return totalMs / meanWorkSamples
}
