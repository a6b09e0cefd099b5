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

// meanWorkSamples is the number of jobs drawn to estimate the mean work of a job.
// With the model workload its standard error is about 1%.
const meanWorkSamples = 50_000

// maxDeclaredMs keeps declared run times within the bounds of a job.
const maxDeclaredMs = job.MaxRunMs

// Arrival is one job and when it is submitted.
type Arrival struct {
	Number int
	// Offset is the time from the beginning of the step.
	Offset time.Duration
	Team   string
	Job    job.Job
	// ActualMs holds the real run times of the tasks on speed 1.
	ActualMs []float64
	// EntryRandom is a random number that chooses the entry VM.
	EntryRandom uint64
	// Resubmit tells that the job is sent twice.
	Resubmit bool
}

// Generator draws jobs. It is not safe for concurrent use.
type Generator struct {
	workload   experiment.Workload
	random     *rand.Rand
	runID      string
	rate       Rate
	offset     time.Duration
	nextNumber int
	// kindRatios holds, for each kind, the declared over the real run time.
	kindRatios []float64
}

// Rate is the rate of arrivals over time.
type Rate struct {
	PerSecond float64
	// Factor multiplies PerSecond from From to To; 0 means no burst.
	Factor float64
	From   time.Duration
	To     time.Duration
}

// offset returns the rate at a time and until when it holds.
func (rate Rate) offset(offset time.Duration) (perSecond float64, until time.Duration) {
	switch {
	case rate.Factor == 0 || offset >= rate.To:
		return rate.PerSecond, math.MaxInt64
	case offset < rate.From:
		return rate.PerSecond, rate.From
	}
	return rate.PerSecond * rate.Factor, rate.To
}

// New returns a generator of arrivals at rate. Run is part of
// each task's echo and tells runs against the same workers apart; first is
// the number of the first job.
func New(workload experiment.Workload, seed, step uint64, runID string, first int, rate Rate) *Generator {
	generator := &Generator{
		workload:   workload,
		random:     rand.New(rand.NewPCG(seed, step)),
		runID:      runID,
		rate:       rate,
		nextNumber: first,
	}
	// The ratios are the same in all steps.
	kindRandom := rand.New(rand.NewPCG(seed, math.MaxUint64))
	for range workload.Kinds {
		generator.kindRatios = append(generator.kindRatios, drawFactor(kindRandom, workload.KindError))
	}
	return generator
}

// drawFactor draws a factor, log-uniform from 1/most to most.
func drawFactor(random *rand.Rand, maxFactor float64) float64 {
	return math.Pow(maxFactor, 2*random.Float64()-1)
}

// Next returns the next arrival of a Poisson process.
func (generator *Generator) Next() Arrival {
	for {
		perSecond, until := generator.rate.offset(generator.offset)
		gap := time.Duration(generator.random.ExpFloat64() / perSecond * float64(time.Second))
		if generator.offset+gap < until {
			generator.offset += gap
			break
		}
		// The process has no memory, so it goes on with the new rate.
		generator.offset = until
	}
	arrival := generator.drawArrival()
	generator.nextNumber++
	return arrival
}

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
	for taskIndex := range generator.count() {
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

// payload is what the stand-in workers read.
type payload struct {
	ActualRunMs float64 `json:"actual-run-ms"`
	Echo        string  `json:"echo"`
}

func encodePayload(payload payload) json.RawMessage {
	data, err := json.Marshal(payload)
	if err != nil {
		panic("workload: encoding a payload: " + err.Error())
	}
	return data
}

// Echo returns what a worker's output echoes for one task of a run.
func Echo(runID string, jobNumber, taskIndex int) string {
	return fmt.Sprintf("%s/%d/%d", runID, jobNumber, taskIndex)
}

// count draws the number of tasks.
func (generator *Generator) count() int {
	workload := &generator.workload
	count := workload.MedianTasks * math.Exp(workload.SigmaTasks*generator.random.NormFloat64())
	return min(max(int(math.Round(count)), 1), workload.MaxTasks)
}

// drawRunMs draws a real run time, in whole microseconds.
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

// declaredRunMs returns the declared run time for a real one.
func (generator *Generator) declaredRunMs(kind int, actualMs float64) int64 {
	ratio := generator.kindRatios[kind] * drawFactor(generator.random, generator.workload.TaskError)
	return min(max(int64(math.Round(actualMs*ratio)), 1), maxDeclaredMs)
}

// pickWeighted draws the index of a share by weight.
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

// MeanWorkMs estimates the mean work of a job, in ms on speed 1.
func MeanWorkMs(workload experiment.Workload) float64 {
	generator := New(workload, 0, math.MaxUint64, "", 0, Rate{})
	totalMs := 0.0
	for range meanWorkSamples {
		for range generator.count() {
			totalMs += generator.drawRunMs()
		}
	}
	return totalMs / meanWorkSamples
}
