package region

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"
)

// firstOverloadSeed is the first seed whose soak has bursts of jobs beyond the workers' room, and
// processes that are disturbed in them.
const firstOverloadSeed = 4000

// overloads reports whether the seed is one with bursts.
func (options Options) overloads() bool { return options.Seed >= firstOverloadSeed }

// overloadState is the state that only a soak with bursts has.
type overloadState struct {
	// bursting is set during a burst.
	bursting atomic.Bool
	// latency is that of connections to processes and workers.
	latency time.Duration
}

// overloadClass is a class of jobs of bankhane, on a route of its own.
type overloadClass struct {
	name string
	// weight is the frequency of the class relative to the others.
	weight      float64
	tasks       int
	taskTime    time.Duration
	maxAttempts int
	priority    int
}

// overloadClasses holds the classes fiyat-sor, hat-rezerv and stok-kontrol.
var overloadClasses = []overloadClass{
	{
		name:        "price",
		weight:      34.4,
		tasks:       8,
		taskTime:    60 * time.Millisecond,
		maxAttempts: 3,
		priority:    0,
	},
	{
		name:        "booking",
		weight:      6.25,
		tasks:       4,
		taskTime:    900 * time.Millisecond,
		maxAttempts: 2,
		priority:    2,
	},
	{
		name:        "stock",
		weight:      100,
		tasks:       2,
		taskTime:    200 * time.Millisecond,
		maxAttempts: 3,
		priority:    1,
	},
}

const (
	// tasksPerWorker is the number of tasks that a worker runs at the same time.
	tasksPerWorker = 2
	// usualLoad, burstLoad and recoveryLoad are the work of the jobs that arrive before and
	// between bursts, during them and after the faults, in parts of the workers' room.
	usualLoad    = 0.7
	burstLoad    = 4
	recoveryLoad = 0.3
	// pausedShare is the share of callers that choose a process that is paused, if one is.
	pausedShare = 0.25
	// maxPausedProcesses is the largest number of processes that one fault pauses.
	maxPausedProcesses = 3
	// minLatency and latencyRange bound the one-way latency between processes and workers.
	minLatency   = 200 * time.Microsecond
	latencyRange = 1500 * time.Microsecond
)

// The bounds of the times in a soak with bursts: of a burst and the calm before it, from the
// start of a burst to its first fault, between two series, between two faults of a series, and
// of a fault.
const (
	minCalm          = time.Second
	calmRange        = 1500 * time.Millisecond
	minBurst         = 7 * time.Second
	burstRange       = 3 * time.Second
	minOnset         = 1500 * time.Millisecond
	onsetRange       = 1400 * time.Millisecond
	minBurstSeries   = 2500 * time.Millisecond
	burstSeriesRange = 1800 * time.Millisecond
	minBurstStep     = 50 * time.Millisecond
	burstStepRange   = 550 * time.Millisecond
	minBurstFault    = 700 * time.Millisecond
	burstFaultRange  = 2300 * time.Millisecond
)

// overloadFaults are the faults of a soak with bursts. One that is listed several times is as
// many times as frequent.
var overloadFaults = []func(region *region, step step){
	(*region).pauseSeveral,
	(*region).pauseSeveral,
	(*region).pauseSeveral,
	(*region).pauseSeveral,
	(*region).stopTarget,
	(*region).stopTarget,
	(*region).stopTarget,
	(*region).cutEntryVM,
	(*region).cutEntryVM,
	(*region).cutProcess,
	(*region).cutNextScheduler,
	(*region).cutNextScheduler,
	(*region).resetProcess,
	(*region).resetProcess,
}

// overloadRoutes returns the routes of the classes in the configuration.
func overloadRoutes() []string {
	var routes []string
	for _, class := range overloadClasses {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"h.example","path-prefix":%q,"timeout-ms":1500,`+
			`"target-latency-ms":60,"priority":%d,"service":"s","max-attempts":%d,"stretch":1.6}`,
			class.name, class.route(), class.priority, class.maxAttempts))
	}
	return routes
}

// route returns the path prefix of the class's route.
func (class overloadClass) route() string { return "/" + class.name + "/" }

// useOverloadClass gives the caller a job of some class. After the faults it is one that has
// more time than the classes have.
func (caller *caller) useOverloadClass(faultsEnded bool) {
	if faultsEnded {
		caller.useClass(true)
		return
	}
	class := drawOverloadClass(caller.random)
	estimate := float64(class.taskTime.Milliseconds()) * (1 + estimateDeviation*(2*caller.random.Float64()-1))
	caller.tasks = class.tasks
	caller.route = class.route()
	caller.body = jobBody(class.taskTime.String(), class.tasks, classMilliCores, int(estimate))
	caller.timeBudget = classTimeBudget
}

// drawOverloadClass draws a class by the weights.
func drawOverloadClass(random *rand.Rand) overloadClass {
	total := 0.0
	for _, class := range overloadClasses {
		total += class.weight
	}
	drawn := total * random.Float64()
	for _, class := range overloadClasses {
		if drawn -= class.weight; drawn < 0 {
			return class
		}
	}
	return overloadClasses[0]
}

// overloadInterval returns the time from one job to the next.
func (region *region) overloadInterval(faultsEnded bool) time.Duration {
	work, total := 0.0, 0.0
	for _, class := range overloadClasses {
		work += class.weight * float64(class.tasks) * class.taskTime.Seconds()
		total += class.weight
	}
	load := usualLoad
	switch {
	case faultsEnded:
		load = recoveryLoad
	case region.bursting.Load():
		load = burstLoad
	}
	room := float64(tasksPerWorker * region.options.Workers)
	return time.Duration(work / total / (load * room) * float64(time.Second))
}

// injectOverload plays bursts with series of faults in them until ctx ends. Faults end with ctx
// at the latest.
func (region *region) injectOverload(ctx context.Context) {
	defer region.bursting.Store(false)
	sleepContext(ctx, settleTime)
	for ctx.Err() == nil {
		region.bursting.Store(false)
		sleepContext(ctx, region.drawTime(minCalm, calmRange))
		region.bursting.Store(true)
		end := time.Now().Add(region.drawTime(minBurst, burstRange))
		sleepContext(ctx, region.drawTime(minOnset, onsetRange))
		for ctx.Err() == nil && time.Now().Before(end) {
			go region.injectSeries(ctx, region.drawSeries())
			sleepContext(ctx, region.drawTime(minBurstSeries, burstSeriesRange))
		}
	}
}

// drawTime draws a time from a minimum on.
func (region *region) drawTime(shortest, timeRange time.Duration) time.Duration {
	return shortest + time.Duration(region.random.Int64N(int64(timeRange)))
}

// seriesStep is a step with its fault and the time until the next one.
type seriesStep struct {
	step
	fault func(region *region, step step)
	next  time.Duration
}

// drawSeries draws a series of faults. The first one is on a scheduler.
func (region *region) drawSeries() []seriesStep {
	target := region.drawTarget()
	var series []seriesStep
	for number := range 1 + region.random.IntN(maxSteps) {
		step := region.drawStep(target)
		step.duration = region.drawTime(minBurstFault, burstFaultRange)
		step.onScheduler = number == 0 || region.random.IntN(2) == 0
		step.process = region.random.IntN(len(region.processes))
		series = append(series, seriesStep{
			step:  step,
			fault: overloadFaults[region.random.IntN(len(overloadFaults))],
			next:  region.drawTime(minBurstStep, burstStepRange),
		})
	}
	return series
}

// injectSeries starts the faults of a series.
func (region *region) injectSeries(ctx context.Context, series []seriesStep) {
	for _, step := range series {
		if end, limited := ctx.Deadline(); limited {
			step.duration = min(step.duration, time.Until(end))
		}
		if step.duration > 0 {
			go step.fault(region, step.step)
		}
		sleepContext(ctx, step.next)
	}
}

// pauseSeveral pauses a process and up to two others, whose pauses begin within the reaction
// time.
func (region *region) pauseSeveral(step step) {
	first := region.targetProcess(step.target)
	for number := range 1 + step.variant%maxPausedProcesses {
		process := region.processes[(first+number*(1+step.variant/maxPausedProcesses))%len(region.processes)]
		go pauseProcess(process, step.duration)
		time.Sleep(time.Duration(step.share * float64(step.reaction)))
	}
}

// pausedProcesses returns the processes that are paused.
func (region *region) pausedProcesses() []*process {
	var paused []*process
	for _, process := range region.processes {
		if process.pauses.Load() > 0 {
			paused = append(paused, process)
		}
	}
	return paused
}

// resetProcess resets the connections of a process's peers to it, and a share of those of
// callers; a quarter of the times after it was paused or killed.
func (region *region) resetProcess(step step) {
	index := region.targetProcess(step.target)
	switch step.variant % 4 {
	case 0:
		pauseProcess(region.processes[index], step.duration)
	case 1:
		go restartProcess(region.processes[index], syscall.SIGKILL, step.duration)
	}
	region.peerProxies[index].Reset()
	region.callerConns.reset(step.share / 2)
}

// drawLatency draws the latency of connections, and sets that of the connections to workers.
func (region *region) drawLatency() {
	if !region.options.overloads() {
		return
	}
	region.latency = region.drawTime(minLatency, latencyRange)
	for _, proxy := range region.workerProxies {
		proxy.SetLatency(region.latency)
	}
}

// setLatency sets the latency of the connections to a process.
func (region *region) setLatency(index int) {
	if region.options.overloads() {
		region.peerProxies[index].SetLatency(region.latency)
	}
}
