package load

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/tanagerload/caller"
	"tanagerfall/tanagerload/check"
	"tanagerfall/tanagerload/experiment"
	"tanagerfall/tanagerload/result"
	"tanagerfall/tanagerload/workload"
)

// Config is what a Runner needs.
type Config struct {
	Experiment experiment.Experiment
	// Run tells this run apart from others against the same workers.
	Run string
	// Pids holds the processes whose CPU time counts.
	Pids []int
	// Transport replaces the HTTP transport in tests.
	Transport http.RoundTripper
	// Progress is told what is being done; nil means nobody.
	Progress func(text string)
}

// Runner runs one experiment once.
type Runner struct {
	config   Config
	caller   *caller.Caller
	checker  *check.Checker
	standins *standins
	// capacities holds the capacity that the ideal of a job assumes, by entry
	// VM.
	capacities []workload.Capacity
	total      workload.Capacity
	meanWorkMs float64
	// next is the number of the next job.
	next int
}

// New returns a Runner.
func New(config Config) *Runner {
	if config.Progress == nil {
		config.Progress = func(string) {}
	}
	described := &config.Experiment
	runner := &Runner{
		config:     config,
		checker:    check.New(config.Run),
		standins:   newStandins(&described.Fleet, config.Transport),
		meanWorkMs: workload.MeanWorkMs(described.Workload),
	}
	vms := described.Fleet.Vms()
	runner.total = workload.CapacityOf(vms, "")
	var addresses []string
	var sizes []float64
	for _, entry := range described.Fleet.Entries {
		addresses = append(addresses, entry.CallerAddress)
		sizes = append(sizes, max(entry.Size, 0))
		scope := entry.Domain
		if described.IdealOver == experiment.OverAll {
			scope = ""
		}
		runner.capacities = append(runner.capacities, workload.CapacityOf(vms, scope))
	}
	runner.caller = caller.New(caller.Config{
		Entries:       addresses,
		Sizes:         sizes,
		Callers:       described.Callers,
		ResubmitAfter: time.Duration(described.Workload.ResubmitAfterMs) * time.Millisecond,
		Transport:     config.Transport,
	})
	return runner
}

// Run runs all steps and the checker. It returns an error if ctx ends or a
// process to be measured is gone.
func (runner *Runner) Run(ctx context.Context) (result.Result, error) {
	defer runner.caller.Close()
	defer runner.standins.close()
	described := &runner.config.Experiment
	total := result.Result{
		Format:     result.Format,
		Experiment: described.Name,
		Seed:       described.Seed,
		Workers:    len(runner.standins.workers),
		Slots:      runner.total.Slots,
		EntryVms:   len(described.Fleet.Entries),
	}
	runner.caller.Prefetch(ctx, described.Workload.Teams)
	before, _ := runner.standins.journals(ctx)
	for i := range described.Steps {
		step, faults, err := runner.step(ctx, i)
		if err != nil {
			return total, err
		}
		after, incomplete := runner.standins.journals(ctx)
		for j := range faults {
			faults[j].count(after.journals)
			step.Faults = append(step.Faults, faults[j].mark)
		}
		step.Messages.Starts = after.starts - before.starts
		step.Messages.TaskRequests = after.requests.Tasks - before.requests.Tasks
		step.Messages.LeaseRequests = after.requests.Leases - before.requests.Leases
		step.Messages.ResultRequests = after.requests.Results - before.requests.Results
		step.Finish()
		if step.Messages.Starts > 0 {
			step.CpuUsPerStart = round(step.CpuUsPerStart / float64(step.Messages.Starts))
		}
		before = after
		total.Steps = append(total.Steps, step)
		if i == len(described.Steps)-1 {
			total.Check = runner.checker.Journals(after.journals, incomplete)
		}
	}
	return total, nil
}

// step runs one step to the last answer and waits for the stand-ins to
// settle. CpuUsPerStart of the result is still the CPU time in us.
func (runner *Runner) step(ctx context.Context, index int) (result.Step, []commanded, error) {
	planned := runner.config.Experiment.Steps[index]
	rate := runner.rate(index)
	step := result.Step{
		Load:          round(rate.PerSecond * runner.meanWorkMs / runner.capacityMs()),
		JobsPerSecond: round(rate.PerSecond),
		DurationMs:    planned.DurationMs,
		WarmUpMs:      planned.WarmUpMs,
		Faults:        []result.Mark{},
	}
	if planned.Load > 0 {
		step.Load = planned.Load
	}
	runner.config.Progress(fmt.Sprintf("step %d: load %g, %g jobs/s, %d ms", index, step.Load, step.JobsPerSecond, step.DurationMs))
	cpuBefore, err := cpuTime(runner.config.Pids)
	if err != nil {
		return step, nil, err
	}
	awaitFaults := runner.startFaults(ctx, index)
	samples, workMs := runner.submitAll(ctx, index, planned.Duration(), rate)
	step.DrawnLoad = round(workMs / runner.capacityMs() / planned.Duration().Seconds())
	faults := awaitFaults()
	if ctx.Err() != nil {
		return step, nil, eris.Wrap(ctx.Err(), "experiment was stopped")
	}
	wait(ctx, time.Duration(runner.config.Experiment.SettleMs)*time.Millisecond)
	cpuAfter, err := cpuTime(runner.config.Pids)
	if err != nil {
		return step, nil, err
	}
	step.CpuUsPerStart = float64((cpuAfter - cpuBefore).Microseconds())
	result.Summarize(&step, samples)
	return step, faults, nil
}

// capacityMs returns the work that all workers do in a second, in ms on
// speed 1.
func (runner *Runner) capacityMs() float64 {
	return runner.total.Total * float64(time.Second/time.Millisecond)
}

func (runner *Runner) generator(index int, rate workload.Rate) *workload.Generator {
	described := &runner.config.Experiment
	return workload.New(described.Workload, described.Seed, uint64(index), runner.config.Run, runner.next, rate)
}

const (
	// calibrations bounds the rounds of rate, tolerance is the relative error
	// of the load that is good enough.
	calibrations = 20
	tolerance    = 0.005
)

// rate returns the rate of a step. For a load it is chosen such that the jobs
// that will be drawn bring just that work: the sizes have a heavy tail, and
// at the mean rate the work of a minute is often off by a tenth.
func (runner *Runner) rate(index int) workload.Rate {
	planned := &runner.config.Experiment.Steps[index]
	rate := workload.Rate{
		PerSecond: planned.JobsPerSecond,
		Factor:    planned.Burst.Factor,
		From:      time.Duration(planned.Burst.AtMs) * time.Millisecond,
		To:        time.Duration(planned.Burst.AtMs+planned.Burst.ForMs) * time.Millisecond,
	}
	if planned.Load == 0 {
		return rate
	}
	rate.PerSecond = planned.Load * runner.capacityMs() / runner.meanWorkMs
	if rate.Factor > 0 {
		// The load is the one outside the burst.
		return rate
	}
	wanted := planned.Load * runner.capacityMs() * planned.Duration().Seconds()
	best, least := rate, math.Inf(1)
	for range calibrations {
		drawn := drawnWorkMs(runner.generator(index, rate), planned.Duration())
		off := math.Abs(drawn/wanted - 1)
		if off < least {
			best, least = rate, off
		}
		if off < tolerance || drawn == 0 {
			break
		}
		rate.PerSecond *= wanted / drawn
	}
	return best
}

// drawnWorkMs returns the work of the jobs that arrive within duration.
func drawnWorkMs(generator *workload.Generator, duration time.Duration) float64 {
	total := 0.0
	for {
		arrival := generator.Next()
		if arrival.At >= duration {
			return total
		}
		for _, realMs := range arrival.RealMs {
			total += realMs
		}
	}
}

// submitAll submits the jobs of one step, each at its time, and returns their
// samples and their work, in ms on speed 1, when all are answered.
func (runner *Runner) submitAll(ctx context.Context, index int, duration time.Duration, rate workload.Rate) (samples []result.Sample, workMs float64) {
	generator := runner.generator(index, rate)
	began := time.Now()
	var group sync.WaitGroup
	var mutex sync.Mutex
	for ctx.Err() == nil {
		arrival := generator.Next()
		if arrival.At >= duration {
			break
		}
		runner.next = arrival.Number + 1
		for _, realMs := range arrival.RealMs {
			workMs += realMs
		}
		scheduled := began.Add(arrival.At)
		wait(ctx, time.Until(scheduled))
		group.Go(func() {
			sample := runner.submit(ctx, &arrival, scheduled)
			mutex.Lock()
			defer mutex.Unlock()
			samples = append(samples, sample)
		})
	}
	group.Wait()
	return samples, workMs
}

// submit submits one job. Its response time counts from the scheduled time,
// so that a slow load tool or a slow system shows in it.
func (runner *Runner) submit(ctx context.Context, arrival *workload.Arrival, scheduled time.Time) result.Sample {
	late := time.Since(scheduled)
	reply := runner.caller.Submit(ctx, arrival)
	sample := result.Sample{
		Number:      arrival.Number,
		At:          arrival.At,
		Late:        late,
		Response:    reply.EndedAt.Sub(scheduled),
		Ideal:       arrival.Ideal(runner.capacities[runner.caller.EntryOf(arrival)], runner.config.Experiment.RoundTripMs),
		Deadline:    time.Duration(arrival.Job.DeadlineMs) * time.Millisecond,
		Tasks:       len(arrival.Job.Tasks),
		NoAnswer:    reply.Err != nil,
		Submissions: reply.Submissions,
		Requests:    reply.Requests,
	}
	if reply.Err == nil {
		sample.Outcome = reply.Answer.Outcome
		sample.Started = reply.Answer.Started
		sample.Reason = reply.Answer.Reason
		runner.checker.Answered(arrival, &reply.Answer)
	}
	if reply.Second != nil {
		runner.checker.Answered(arrival, reply.Second)
	}
	return sample
}

// wait waits for duration or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// round rounds to three decimals.
func round(value float64) float64 {
	const unit = 1000
	return float64(int64(value*unit+0.5)) / unit
}

// dialer of the requests to the stand-ins.
var dialer = net.Dialer{
	Timeout: time.Second,
}
