package region

import (
	"context"
	"slices"
	"syscall"
	"time"

	"tanagerfall/soak/proxy"
	"tanagerfall/soak/standin"
)

// The bounds of the time between two faults of a series, and between the starts of two
// series, of a soak with combined faults. Series overlap.
const (
	minStepInterval     = 200 * time.Millisecond
	stepIntervalRange   = 800 * time.Millisecond
	minSeriesInterval   = 500 * time.Millisecond
	seriesIntervalRange = 2500 * time.Millisecond
	// maxSteps is the largest number of faults of a series.
	maxSteps = 4
	// maxReaction bounds the time between a change of the scheduler and the next fault.
	maxReaction = 300 * time.Millisecond
	// slowRun and slowPause are the times for which a slow process runs and is paused in
	// turn: it gets less than a fifth of its processor time.
	slowRun   = 10 * time.Millisecond
	slowPause = 45 * time.Millisecond
)

// target is what the faults of a series have in common.
type target struct {
	// process is an index; if onScheduler is set, it selects one of the schedulers.
	process     int
	onScheduler bool
	// domain is a failure domain, and workers are some of its workers or of all.
	domain  int
	workers []int
}

// step is one fault of a series.
type step struct {
	target
	direction direction
	fromLog   bool
	duration  time.Duration
	// share is a number from 0 to 1, and variant selects a variant of the fault.
	share   float64
	variant int
	// reaction is the time between the two parts of a fault that has them.
	reaction time.Duration
}

// combinedFaults are the faults of a soak with all disturbances. They may wait until they have ended.
// One that is listed twice is twice as frequent.
var combinedFaults = []func(region *region, step step){
	(*region).cutDomain,
	(*region).cutDomain,
	(*region).cutProcess,
	(*region).cutEntryVM,
	(*region).cutEntryVM,
	(*region).cutWorkers,
	(*region).cutWorkers,
	(*region).cutNextScheduler,
	(*region).cutNextScheduler,
	(*region).stopTarget,
	(*region).stopTarget,
	(*region).stopTarget,
	(*region).cutPower,
	(*region).orderLate,
	(*region).orderLate,
	(*region).failWorkers,
	(*region).drainWorkers,
	(*region).joinWorkers,
	(*region).crashWorkers,
	(*region).crashWorkers,
	(*region).breakConnections,
	(*region).breakConnections,
	(*region).breakConnections,
	(*region).failLog,
	(*region).failLog,
	(*region).trimLog,
	(*region).changeConfig,
	(*region).loseCallers,
}

// injectCombined starts series of faults until ctx ends. Faults end with ctx at the latest,
// but for drains.
func (region *region) injectCombined(ctx context.Context) {
	sleepContext(ctx, settleTime)
	for ctx.Err() == nil {
		target := region.drawTarget()
		for range 1 + region.random.IntN(maxSteps) {
			fault := combinedFaults[region.random.IntN(len(combinedFaults))]
			step := region.drawStep(target)
			if end, limited := ctx.Deadline(); limited {
				step.duration = min(step.duration, time.Until(end))
			}
			if step.duration > 0 {
				go fault(region, step)
			}
			sleepContext(ctx, minStepInterval+time.Duration(region.random.Int64N(int64(stepIntervalRange))))
		}
		sleepContext(ctx, minSeriesInterval+time.Duration(region.random.Int64N(int64(seriesIntervalRange))))
	}
}

// drawTarget draws the target of a series: a third of the workers of a domain, or some
// of all.
func (region *region) drawTarget() target {
	target := target{
		process:     region.random.IntN(len(region.processes)),
		onScheduler: region.random.IntN(2) == 0,
		domain:      region.random.IntN(domainCount),
	}
	oneDomain := region.random.IntN(2) == 0
	for index := range region.workers {
		chosen := region.random.IntN(6) == 0
		if oneDomain {
			chosen = index%domainCount == target.domain && region.random.IntN(3) == 0
		}
		if chosen {
			target.workers = append(target.workers, index)
		}
	}
	return target
}

// drawStep draws all random numbers of a fault.
func (region *region) drawStep(target target) step {
	return step{
		target:    target,
		direction: direction(region.random.IntN(3)),
		fromLog:   region.random.IntN(2) == 0,
		duration:  region.cutDuration(),
		share:     region.random.Float64(),
		variant:   region.random.IntN(12),
		reaction:  time.Duration(region.random.Int64N(int64(maxReaction))),
	}
}

// targetProcess returns the index of the process that a fault affects.
func (region *region) targetProcess(target target) int {
	if target.onScheduler {
		if schedulers := region.schedulers(); len(schedulers) > 0 {
			return schedulers[target.process%len(schedulers)]
		}
	}
	return target.process
}

// oneProcess returns the side that consists of a process.
func oneProcess(index int) side {
	return side{
		processes: []int{index},
	}
}

// cutDomain cuts a domain off, or in a third of the cases from the next domain only.
func (region *region) cutDomain(step step) {
	cutOff := region.domain(step.domain)
	if step.variant%3 == 0 {
		region.cutOff(cutOff, region.domain((step.domain+1)%domainCount), step.direction, false, step.duration)
		return
	}
	region.cutOff(cutOff, region.allBut(cutOff), step.direction, step.fromLog, step.duration)
}

// cutProcess cuts a process off.
func (region *region) cutProcess(step step) {
	cutOff := oneProcess(region.targetProcess(step.target))
	region.cutOff(cutOff, region.allBut(cutOff), step.direction, step.fromLog, step.duration)
}

// cutEntryVM cuts a process off from a scheduler, and up to a second later pauses the
// scheduler, or cuts it off from workers or from all.
func (region *region) cutEntryVM(step step) {
	step.onScheduler = true
	scheduler := region.targetProcess(step.target)
	entryVM := (scheduler + 1 + step.variant%(len(region.processes)-1)) % len(region.processes)
	region.cutOff(oneProcess(entryVM), oneProcess(scheduler), step.direction, false, step.duration)
	time.Sleep(3 * step.reaction)
	region.disturbScheduler(scheduler, step)
}

// disturbScheduler pauses a scheduler, or cuts it off from workers or from all.
func (region *region) disturbScheduler(scheduler int, step step) {
	cutOff := oneProcess(scheduler)
	switch step.variant % 4 {
	case 0:
		pauseProcess(region.processes[scheduler], step.duration)
	case 1:
		region.cutOff(cutOff, region.allBut(cutOff), step.direction, step.fromLog, step.duration)
	case 2:
		region.cutOff(cutOff, side{
			workers: step.workers,
		}, step.direction, false, step.duration)
	default:
		region.cutOff(cutOff, side{
			workers: region.allBut(cutOff).workers,
		}, step.direction, false, step.duration)
	}
}

// cutNextScheduler stops a scheduler, and disturbs the next one within 0.3 s.
func (region *region) cutNextScheduler(step step) {
	earlier := region.schedulers()
	if len(earlier) == 0 {
		return
	}
	process := region.processes[earlier[step.process%len(earlier)]]
	switch {
	case step.share < 0.3:
		go pauseProcess(process, step.duration+failoverTime)
	case step.share < 0.6:
		go restartProcess(process, syscall.SIGTERM, step.duration)
	default:
		go restartProcess(process, syscall.SIGKILL, step.duration)
	}
	for end := time.Now().Add(takeoverTimeout); time.Now().Before(end); time.Sleep(takeoverInterval) {
		for _, scheduler := range region.schedulers() {
			if !slices.Contains(earlier, scheduler) {
				time.Sleep(step.reaction)
				region.disturbScheduler(scheduler, step)
				return
			}
		}
	}
}

// cutWorkers cuts workers off from all processes, or from those of one domain.
func (region *region) cutWorkers(step step) {
	processes := region.allBut(side{}).processes
	if step.variant%3 == 0 {
		processes = region.domain(step.domain).processes
	}
	region.cutOff(side{
		workers: step.workers,
	}, side{
		processes: processes,
	}, step.direction, step.fromLog, step.duration)
}

// stopTarget pauses a process, slows it down, or stops it and starts it again.
func (region *region) stopTarget(step step) {
	process := region.processes[region.targetProcess(step.target)]
	switch step.variant % 4 {
	case 0:
		pauseProcess(process, step.duration)
	case 1:
		for end := time.Now().Add(step.duration); time.Now().Before(end); time.Sleep(slowRun) {
			pauseProcess(process, slowPause)
		}
	case 2:
		restartProcess(process, syscall.SIGTERM, step.duration)
	default:
		restartProcess(process, syscall.SIGKILL, step.duration)
	}
}

// cutPower kills all processes at the same time, or 55% of them, and starts them again.
func (region *region) cutPower(step step) {
	count := len(region.processes)
	if step.variant%2 == 0 {
		count = (55*count + 99) / 100
	}
	for offset := range count {
		go restartProcess(region.processes[(step.process+offset)%len(region.processes)], syscall.SIGKILL, min(step.duration, maxPowerLoss))
	}
}

// orderLate makes all workers execute a share of the orders late: after 2 to 12 s, or
// within the lease that the orders were sent with.
func (region *region) orderLate(step step) {
	faults := standin.Faults{
		LateOrderShare: 0.03 + 0.07*step.share,
		MinLateOrder:   2 * time.Second,
		LateOrderRange: 10 * time.Second,
	}
	if step.variant%2 == 0 {
		faults.MinLateOrder, faults.LateOrderRange = 100*time.Millisecond, 900*time.Millisecond
	}
	for _, worker := range region.workers {
		region.setWorkerFaults(worker, faults, step.duration)
	}
}

// failWorkers makes workers lose replies, stop the progress of tasks, or ignore orders.
func (region *region) failWorkers(step step) {
	for _, index := range step.workers {
		worker := region.workers[index]
		switch step.variant % 3 {
		case 0:
			region.setWorkerFaults(worker, standin.Faults{
				LostReplyShare: step.share,
			}, step.duration)
		case 1:
			region.setWorkerFaults(worker, standin.Faults{
				HangTasks: true,
			}, step.duration)
		default:
			worker.SetUnreachable(true)
			time.AfterFunc(step.duration, func() { worker.SetUnreachable(false) })
		}
	}
}

// setAbsent takes a worker off the list, or puts it on it.
func (region *region) setAbsent(index int, absent bool) {
	region.mutex.Lock()
	defer region.mutex.Unlock()
	region.absent[index] = absent
	if absent {
		region.store.Append("keyed.servers", region.workers[index].ID, "")
	}
}

// drainWorkers drains up to three workers. Their processes end, and are replaced after the
// duration of the fault.
func (region *region) drainWorkers(step step) {
	for _, index := range step.workers[:min(3, len(step.workers))] {
		region.mutex.Lock()
		region.draining[index] = true
		region.mutex.Unlock()
		time.AfterFunc(leaveTime, func() {
			region.stopWorker(index)
			region.setAbsent(index, true)
			time.AfterFunc(step.duration, func() {
				region.mutex.Lock()
				delete(region.draining, index)
				region.mutex.Unlock()
				region.startWorker(index)
				region.setAbsent(index, false)
			})
		})
	}
}

// stopWorker ends the process of a worker and its connections.
func (region *region) stopWorker(index int) {
	region.workers[index].SetUnreachable(true)
	region.workers[index].Restart()
	region.workerProxies[index].Reset()
}

// startWorker starts a worker's process, which knows nothing of the one before.
func (region *region) startWorker(index int) {
	region.workers[index].Restart()
	region.workers[index].SetUnreachable(false)
}

// joinWorkers makes half of the absent workers join. Until the end of the fault the log
// shows new entries late to the processes of one domain.
func (region *region) joinWorkers(step step) {
	region.mutex.Lock()
	var joining []int
	for index := len(region.workers) - spareWorkers; index < len(region.workers); index++ {
		if region.absent[index] && index%2 == step.variant%2 {
			joining = append(joining, index)
		}
	}
	region.mutex.Unlock()
	for _, process := range region.domain(step.domain).processes {
		region.setLogFaults(process, standin.AccessFaults{
			Lag: maxLag,
		}, step.duration)
	}
	for _, index := range joining {
		region.startWorker(index)
		region.setAbsent(index, false)
	}
}

// crashWorkers cuts workers off, ends their processes behind the cut, and starts them
// again under their IDs. A third of the first orders to the new processes is late.
func (region *region) crashWorkers(step step) {
	if step.variant%2 == 0 {
		region.cutWorkers(step)
		time.Sleep(step.reaction)
	}
	for _, index := range step.workers {
		region.stopWorker(index)
	}
	if step.variant%3 != 0 {
		// Otherwise the processes start again at once.
		downtime := min(step.duration, maxPowerLoss)
		region.cuts.apply(nil, step.workers, downtime)
		time.Sleep(downtime)
	}
	for _, index := range step.workers {
		region.setWorkerFaults(region.workers[index], standin.Faults{
			LateOrderShare: 0.3,
			MinLateOrder:   100 * time.Millisecond,
			LateOrderRange: 12 * time.Second,
		}, time.Second)
		region.startWorker(index)
	}
}

// breakConnections resets the open connections to workers or to processes, makes them
// silent for good, or makes them and new ones stall now and then. With a reset connections
// of callers are reset as well.
func (region *region) breakConnections(step step) {
	var proxies []*proxy.Proxy
	if step.variant%2 == 0 {
		for _, index := range step.workers {
			proxies = append(proxies, region.workerProxies[index])
		}
	} else {
		for _, index := range region.domain(step.domain).processes {
			proxies = append(proxies, region.peerProxies[index])
		}
	}
	for _, proxy := range proxies {
		switch step.variant % 3 {
		case 0:
			proxy.Reset()
		case 1:
			proxy.Freeze()
		default:
			proxy.SetStalls(0.02 + 0.1*step.share)
			time.AfterFunc(step.duration, func() { proxy.SetStalls(0) })
		}
	}
	if step.variant%3 == 0 {
		region.callerConns.reset(step.share)
	}
}

// setLogFaults makes the log fail the requests of a process for a time.
func (region *region) setLogFaults(process int, faults standin.AccessFaults, duration time.Duration) {
	region.logAccesses[process].SetFaults(faults)
	time.AfterFunc(duration, func() { region.logAccesses[process].SetFaults(standin.AccessFaults{}) })
}

// failLog makes the log fail the requests of all processes, of those of a domain, or of
// one.
func (region *region) failLog(step step) {
	var faults standin.AccessFaults
	switch step.variant {
	case 0, 1, 2, 3:
		faults.Outage = []standin.Outage{
			standin.OutageUnavailable, standin.OutageRateLimited, standin.OutageHanging, standin.OutageReset,
		}[step.variant]
	case 4, 5, 6:
		faults.LostAppendShare = 0.35
	case 7, 8, 9:
		faults.Delay = slowLogDelay
	default:
		faults.Lag = maxLag
	}
	processes := region.domain(step.domain).processes
	switch {
	case step.share < 0.3:
		processes = region.allBut(side{}).processes
	case step.share < 0.5:
		processes = []int{region.targetProcess(step.target)}
	}
	for _, process := range processes {
		region.setLogFaults(process, faults, step.duration)
	}
}

// trimLog drops the history of the lists of workers and processes and of the configuration.
func (region *region) trimLog(step) {
	for _, topic := range []string{"keyed.op", "keyed.servers", "keyed.tanagerfall-members"} {
		region.store.Trim(topic)
	}
}

// changeConfig publishes one version of the configuration, or five in a row.
func (region *region) changeConfig(step step) {
	versions := 1
	if step.variant%2 == 0 {
		versions = 5
	}
	for range versions {
		region.mutex.Lock()
		region.publishConfig()
		region.mutex.Unlock()
		time.Sleep(probeInterval)
	}
}

// loseCallers makes a third of the callers leave early.
func (region *region) loseCallers(step step) {
	set := func(share float64) {
		region.mutex.Lock()
		defer region.mutex.Unlock()
		region.leaving = share
	}
	set(0.35)
	time.Sleep(step.duration)
	set(0)
}

const (
	// failoverTime is the longest time until another process schedules.
	failoverTime = 3 * time.Second
	// maxPowerLoss limits the time for which processes without power are down, so that
	// most of a soak is not spent without processes.
	maxPowerLoss = 2 * time.Second
	// leaveTime is the time from the first draining report of a worker to its end.
	leaveTime = 2500 * time.Millisecond
	// maxLag is the time after which the list shows an entry.
	maxLag = 800 * time.Millisecond
	// slowLogDelay is the time in which a slow log answers.
	slowLogDelay = 250 * time.Millisecond
)
