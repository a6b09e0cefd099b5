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

// rateSample is the number of jobs drawn to estimate the mean work of a job.
// With the model workload its standard error is about 1%.
const rateSample = 50_000

// maxDeclaredMs keeps declared run times within the bounds of a job.
const maxDeclaredMs = job.MaxRunMs

// Arrival is one job and when it is submitted.
type Arrival struct {
	Number int
	// At is the time from the beginning of the step.
	At   time.Duration
	Team string
	Job  job.Job
	// RealMs holds the real run times of the tasks on speed 1.
	RealMs []float64
	// Entry is a random number that chooses the entry VM.
	Entry uint64
	// Resubmit tells that the job is sent twice.
	Resubmit bool
}

// Generator draws jobs. It is not safe for concurrent use.
type Generator struct {
	workload experiment.Workload
	random   *rand.Rand
	run      string
	rate     Rate
	at       time.Duration
	number   int
	// ratios holds, for each kind, the declared over the real run time.
	ratios []float64
}

// Rate is the rate of arrivals over time.
type Rate struct {
	PerSecond float64
	// Factor multiplies PerSecond from From to To; 0 means no burst.
	Factor float64
	From   time.Duration
	To     time.Duration
}

// at returns the rate at a time and until when it holds.
func (rate Rate) at(at time.Duration) (perSecond float64, until time.Duration) {
	switch {
	case rate.Factor == 0 || at >= rate.To:
		return rate.PerSecond, math.MaxInt64
	case at < rate.From:
		return rate.PerSecond, rate.From
	}
	return rate.PerSecond * rate.Factor, rate.To
}

// New returns a generator of arrivals at rate. Run is part of
// each task's echo and tells runs against the same workers apart; first is
// the number of the first job.
func New(workload experiment.Workload, seed, step uint64, run string, first int, rate Rate) *Generator {
	generator := &Generator{
		workload: workload,
		random:   rand.New(rand.NewPCG(seed, step)),
		run:      run,
		rate:     rate,
		number:   first,
	}
	// The ratios are the same in all steps.
	kinds := rand.New(rand.NewPCG(seed, math.MaxUint64))
	for range workload.Kinds {
		generator.ratios = append(generator.ratios, factor(kinds, workload.KindError))
	}
	return generator
}

// factor draws a factor, log-uniform from 1/most to most.
func factor(random *rand.Rand, most float64) float64 {
	return math.Pow(most, 2*random.Float64()-1)
}

// Next returns the next arrival of a Poisson process.
func (generator *Generator) Next() Arrival {
	for {
		perSecond, until := generator.rate.at(generator.at)
		gap := time.Duration(generator.random.ExpFloat64() / perSecond * float64(time.Second))
		if generator.at+gap < until {
			generator.at += gap
			break
		}
		// The process has no memory, so it goes on with the new rate.
		generator.at = until
	}
	arrival := generator.draw()
	generator.number++
	return arrival
}

func (generator *Generator) draw() Arrival {
	random := generator.random
	workload := &generator.workload
	arrival := Arrival{
		Number:   generator.number,
		At:       generator.at,
		Team:     workload.Teams[pick(random, workload.Teams)].Name,
		Entry:    random.Uint64(),
		Resubmit: random.Float64() < workload.ResubmitShare,
	}
	kind := pick(random, workload.Kinds)
	arrival.Job = job.Job{
		Kind:       workload.Kinds[kind].Name,
		Team:       arrival.Team,
		DeadlineMs: workload.DeadlineMs,
	}
	for i := range generator.size() {
		realMs := generator.runMs()
		arrival.RealMs = append(arrival.RealMs, realMs)
		arrival.Job.Tasks = append(arrival.Job.Tasks, job.Task{
			RunMs:    generator.declare(kind, realMs),
			Cores:    workload.Cores,
			MemoryMb: workload.MemoryMb,
			Payload: encode(payload{
				ActualRunMs: realMs,
				Echo:        Echo(generator.run, arrival.Number, i),
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

func encode(payload payload) json.RawMessage {
	data, err := json.Marshal(payload)
	if err != nil {
		panic("workload: encoding a payload: " + err.Error())
	}
	return data
}

// Echo returns what a worker's output echoes for one task of a run.
func Echo(run string, number, index int) string {
	return fmt.Sprintf("%s/%d/%d", run, number, index)
}

// size draws the number of tasks.
func (generator *Generator) size() int {
	workload := &generator.workload
	size := workload.MedianTasks * math.Exp(workload.Sigma*generator.random.NormFloat64())
	return min(max(int(math.Round(size)), 1), workload.MaxTasks)
}

// runMs draws a real run time, in whole microseconds.
func (generator *Generator) runMs() float64 {
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

// declare returns the declared run time for a real one.
func (generator *Generator) declare(kind int, realMs float64) int64 {
	off := generator.ratios[kind] * factor(generator.random, generator.workload.TaskError)
	return min(max(int64(math.Round(realMs*off)), 1), maxDeclaredMs)
}

// pick draws the index of a share by weight.
func pick(random *rand.Rand, shares []experiment.Share) int {
	total := 0.0
	for _, share := range shares {
		total += share.Weight
	}
	left := random.Float64() * total
	for i, share := range shares {
		left -= share.Weight
		if left < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// MeanWorkMs estimates the mean work of a job, in ms on speed 1.
func MeanWorkMs(workload experiment.Workload) float64 {
	generator := New(workload, 0, math.MaxUint64, "", 0, Rate{})
	total := 0.0
	for range rateSample {
		for range generator.size() {
			total += generator.runMs()
		}
	}
	return total / rateSample
}
