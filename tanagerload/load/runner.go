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

// Config configures a Runner.
type Config struct {
	// Experiment is the experiment to run, with its fleet loaded.
	Experiment experiment.Experiment
	// RunID distinguishes this run of the experiment from others in the
	// journals of the same workers.
	RunID string
	// Pids holds the IDs of the entry processes whose CPU time is measured.
	Pids []int
	// Transport replaces the HTTP transport in tests; nil means HTTP over TCP.
	Transport http.RoundTripper
	// Progress is called with a description of each step and fault when it
	// begins; nil discards them.
	Progress func(text string)
}

// Runner runs an experiment once.
type Runner struct {
	config        Config
	caller        *caller.Caller
	checker       *check.Checker
	controlClient *controlClient
	// capacities holds, for each entry VM, the capacity from which the ideal
	// response times of its jobs are computed.
	capacities []workload.Capacity
	// totalCapacity is the capacity of all workers.
	totalCapacity workload.Capacity
	// meanWorkMs is the mean work of a job, in ms at speed 1.
	meanWorkMs float64
	// nextJob is the number of the next job; numbers continue across steps.
	nextJob int
}

// New returns a Runner of an experiment. It sends nothing yet.
func New(config Config) *Runner {
	if config.Progress == nil {
		config.Progress = func(string) {}
	}
	spec := &config.Experiment
	runner := &Runner{
		config:        config,
		checker:       check.New(config.RunID),
		controlClient: newControlClient(&spec.Fleet, config.Transport),
		meanWorkMs:    workload.MeanWorkMs(spec.Workload),
	}
	vms := spec.Fleet.VMs()
	runner.totalCapacity = workload.CapacityOf(vms, "")
	var addresses []string
	var sizes []float64
	for _, entry := range spec.Fleet.Entries {
		addresses = append(addresses, entry.CallerAddress)
		sizes = append(sizes, max(entry.Size, 0))
		domain := entry.Domain
		if spec.IdealScope == experiment.ScopeAll {
			domain = ""
		}
		runner.capacities = append(runner.capacities, workload.CapacityOf(vms, domain))
	}
	runner.caller = caller.New(caller.Config{
		Entries:       addresses,
		EntrySizes:    sizes,
		Callers:       spec.Callers,
		ResubmitAfter: time.Duration(spec.Workload.ResubmitAfterMs) * time.Millisecond,
		Transport:     config.Transport,
	})
	return runner
}

// Run runs all steps one after the other, then checks the answers against the
// workers' journals. It returns an error, and the steps completed so far, if
// ctx ends or the CPU time of a measured process cannot be read, for example
// because the process has exited.
func (runner *Runner) Run(ctx context.Context) (result.Result, error) {
	defer runner.caller.Close()
	defer runner.controlClient.close()
	spec := &runner.config.Experiment
	experimentResult := result.Result{
		Format:     result.Format,
		Experiment: spec.Name,
		Seed:       spec.Seed,
		Workers:    len(runner.controlClient.workers),
		Slots:      runner.totalCapacity.Slots,
		EntryVMs:   len(spec.Fleet.Entries),
	}
	runner.caller.Prefetch(ctx, spec.Workload.Teams)
	before, _ := runner.controlClient.readJournals(ctx)
	for i := range spec.Steps {
		step, faults, err := runner.runStep(ctx, i)
		if err != nil {
			return experimentResult, err
		}
		after, incomplete := runner.controlClient.readJournals(ctx)
		for j := range faults {
			faults[j].countStarts(after.journals)
			step.Faults = append(step.Faults, faults[j].event)
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
		experimentResult.Steps = append(experimentResult.Steps, step)
		if i == len(spec.Steps)-1 {
			experimentResult.Check = runner.checker.CheckJournals(after.journals, incomplete)
		}
	}
	return experimentResult, nil
}

// runStep runs one step until its last job is answered or abandoned, then
// waits for SettleMs. In the returned step, CpuUsPerStart holds the total CPU
// time in us; the caller divides it by the starts.
func (runner *Runner) runStep(ctx context.Context, index int) (result.Step, []injectedFault, error) {
	stepSpec := runner.config.Experiment.Steps[index]
	rate := runner.stepRate(index)
	step := result.Step{
		Load:          round(rate.PerSecond * runner.meanWorkMs / runner.capacityMsPerSecond()),
		JobsPerSecond: round(rate.PerSecond),
		DurationMs:    stepSpec.DurationMs,
		WarmUpMs:      stepSpec.WarmUpMs,
		Faults:        []result.FaultEvent{},
	}
	if stepSpec.Load > 0 {
		step.Load = stepSpec.Load
	}
	runner.config.Progress(fmt.Sprintf("step %d: load %g, %g jobs/s, %d ms", index, step.Load, step.JobsPerSecond, step.DurationMs))
	cpuBefore, err := cpuTime(runner.config.Pids)
	if err != nil {
		return step, nil, err
	}
	awaitFaults := runner.startFaults(ctx, index)
	samples, workMs := runner.submitJobs(ctx, index, stepSpec.Duration(), rate)
	step.DrawnLoad = round(workMs / runner.capacityMsPerSecond() / stepSpec.Duration().Seconds())
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

// capacityMsPerSecond returns the work that all workers together complete in
// a second, in ms at speed 1.
func (runner *Runner) capacityMsPerSecond() float64 {
	return runner.totalCapacity.TotalSpeed * float64(time.Second/time.Millisecond)
}

func (runner *Runner) newGenerator(index int, rate workload.Rate) *workload.Generator {
	spec := &runner.config.Experiment
	return workload.New(spec.Workload, spec.Seed, uint64(index), runner.config.RunID, runner.nextJob, rate)
}

const (
	// maxRateIterations bounds the iterations of stepRate, which ends earlier
	// once the relative error of the drawn work is below loadTolerance.
	maxRateIterations = 20
	loadTolerance     = 0.005
)

// stepRate returns the arrival rate of a step. If the step gives a load, the
// rate is calibrated so that the work of the jobs that will be drawn matches
// the load. Job sizes have a heavy tail, so that at a rate computed from the
// mean, the work of a minute often differs from the load by a tenth.
func (runner *Runner) stepRate(index int) workload.Rate {
	stepSpec := &runner.config.Experiment.Steps[index]
	rate := workload.Rate{
		PerSecond: stepSpec.JobsPerSecond,
		Factor:    stepSpec.Burst.Factor,
		From:      time.Duration(stepSpec.Burst.AtMs) * time.Millisecond,
		To:        time.Duration(stepSpec.Burst.AtMs+stepSpec.Burst.ForMs) * time.Millisecond,
	}
	if stepSpec.Load == 0 {
		return rate
	}
	rate.PerSecond = stepSpec.Load * runner.capacityMsPerSecond() / runner.meanWorkMs
	if rate.Factor > 0 {
		// With a burst, the load applies to the time outside the burst.
		return rate
	}
	targetWorkMs := stepSpec.Load * runner.capacityMsPerSecond() * stepSpec.Duration().Seconds()
	bestRate, bestError := rate, math.Inf(1)
	for range maxRateIterations {
		workMs := drawnWorkMs(runner.newGenerator(index, rate), stepSpec.Duration())
		relativeError := math.Abs(workMs/targetWorkMs - 1)
		if relativeError < bestError {
			bestRate, bestError = rate, relativeError
		}
		if relativeError < loadTolerance || workMs == 0 {
			break
		}
		rate.PerSecond *= targetWorkMs / workMs
	}
	return bestRate
}

// drawnWorkMs returns the work of the jobs that arrive within duration, in ms
// at speed 1.
func drawnWorkMs(generator *workload.Generator, duration time.Duration) float64 {
	workMs := 0.0
	for {
		arrival := generator.Next()
		if arrival.Offset >= duration {
			return workMs
		}
		for _, actualMs := range arrival.ActualMs {
			workMs += actualMs
		}
	}
}

// submitJobs submits the jobs of one step, each at its scheduled time, and
// waits until all are answered or abandoned. It returns their samples and
// their work, in ms at speed 1.
func (runner *Runner) submitJobs(ctx context.Context, index int, duration time.Duration, rate workload.Rate) (samples []result.Sample, workMs float64) {
	generator := runner.newGenerator(index, rate)
	startedAt := time.Now()
	var group sync.WaitGroup
	var mutex sync.Mutex
	for ctx.Err() == nil {
		arrival := generator.Next()
		if arrival.Offset >= duration {
			break
		}
		runner.nextJob = arrival.Number + 1
		for _, actualMs := range arrival.ActualMs {
			workMs += actualMs
		}
		scheduled := startedAt.Add(arrival.Offset)
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

// submit submits one job. Its response time counts from the scheduled time
// instead of the time of sending, so that it includes every delay, of the load
// tool as well as of the system.
func (runner *Runner) submit(ctx context.Context, arrival *workload.Arrival, scheduled time.Time) result.Sample {
	sendDelay := time.Since(scheduled)
	reply := runner.caller.Submit(ctx, arrival)
	sample := result.Sample{
		Number:      arrival.Number,
		Offset:      arrival.Offset,
		SendDelay:   sendDelay,
		Response:    reply.EndedAt.Sub(scheduled),
		Ideal:       arrival.IdealResponse(runner.capacities[runner.caller.EntryOf(arrival)], runner.config.Experiment.RoundTripMs),
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
		runner.checker.CheckAnswer(arrival, &reply.Answer)
	}
	if reply.ResubmitAnswer != nil {
		runner.checker.CheckAnswer(arrival, reply.ResubmitAnswer)
	}
	return sample
}

// wait waits for duration, or until ctx ends.
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

// round rounds a non-negative value to three decimals.
func round(value float64) float64 {
	const unit = 1000
	return float64(int64(value*unit+0.5)) / unit
}

// dialer opens the connections to the control address of the stand-ins.
var dialer = net.Dialer{
	Timeout: time.Second,
}
