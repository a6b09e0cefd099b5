package region

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"tanagerfall/soak/proxy"
	"tanagerfall/soak/standin"
)

// firstCutSeed is the first seed whose soak cuts failure domains and single processes
// off, in one direction or in both, beside pauses, restarts and outages of the log.
// Its tasks run for 0.3 to 0.5 s, so that they outlive the detection of a cut.
const firstCutSeed = 2000

// CutsDomains reports whether the seed is one with cuts.
func (options Options) CutsDomains() bool { return options.Seed >= firstCutSeed }

// The fault kinds of a soak with cuts. A kind that comes twice is twice as frequent.
const (
	domainCut = iota
	domainCutAgain
	domainPairCut
	processCut
	processPause
	processKill
	processTerminate
	logOutage
	workerRestart
	cutFaultKinds
)

// The bounds of the time between two faults of a soak with cuts. Faults overlap.
const (
	minCutInterval   = 200 * time.Millisecond
	cutIntervalRange = 1800 * time.Millisecond
)

// The jobs of a soak with cuts: the number of tasks, their run time and the range above
// it, and the estimate that callers declare, in ms.
const (
	cutJobTasks      = 4
	minCutTaskTime   = 300 * time.Millisecond
	cutTaskTimeRange = 200 * time.Millisecond
	cutEstimateMs    = 400
)

// longCut exceeds the time for which processes keep a worker that has left the list.
const longCut = 20 * time.Second

// injectCuts starts the faults of a seed with cuts one after the other until ctx ends.
// Cuts end with ctx at the latest, other faults after their own duration.
func (region *region) injectCuts(ctx context.Context) {
	sleepContext(ctx, settleTime)
	for ctx.Err() == nil {
		region.injectCutFault(ctx)
		sleepContext(ctx, minCutInterval+time.Duration(region.random.Int64N(int64(cutIntervalRange))))
	}
}

// injectCutFault starts one fault. It draws the same random numbers for each kind, so
// that the schedule depends on the seed alone.
func (region *region) injectCutFault(ctx context.Context) {
	kind := region.random.IntN(cutFaultKinds)
	domain := region.random.IntN(domainCount)
	index := region.random.IntN(len(region.processes))
	worker := region.workers[region.random.IntN(len(region.workers))]
	direction := direction(region.random.IntN(3))
	fromLog := region.random.IntN(2) == 0
	duration := region.cutDuration()
	if end, limited := ctx.Deadline(); limited {
		duration = min(duration, time.Until(end))
	}
	pause := minFaultDuration + time.Duration(region.random.Int64N(int64(faultDurationRange)))
	switch kind {
	case domainCut, domainCutAgain:
		cutOff := region.domain(domain)
		region.cutOff(cutOff, region.allBut(cutOff), direction, fromLog, duration)
	case domainPairCut:
		region.cutOff(region.domain(domain), region.domain((domain+1)%domainCount), direction, false, duration)
	case processCut:
		cutOff := side{
			processes: []int{index},
		}
		region.cutOff(cutOff, region.allBut(cutOff), direction, fromLog, duration)
	case processPause:
		go pauseProcess(region.processes[index], pause)
	case processKill:
		go restartProcess(region.processes[index], syscall.SIGKILL, pause)
	case processTerminate:
		go restartProcess(region.processes[index], syscall.SIGTERM, pause)
	case logOutage:
		region.mutex.Lock()
		region.publishConfig()
		region.mutex.Unlock()
		region.store.SetOutage(region.nextOutage())
		time.AfterFunc(duration, func() { region.store.SetOutage(standin.OutageNone) })
	case workerRestart:
		worker.Restart()
	}
}

// cutDuration returns the duration of a cut: mostly shorter than the detection of a
// lost process and a quarantine together, one in ten longCut.
func (region *region) cutDuration() time.Duration {
	short := minFaultDuration + time.Duration(region.random.Int64N(int64(faultDurationRange)))
	switch region.random.IntN(10) {
	case 0:
		return longCut
	case 1, 2:
		return 2 * short
	default:
		return short
	}
}

// cutOff cuts a side off from another one, and from the log if fromLog is set.
func (region *region) cutOff(cutOff, rest side, direction direction, fromLog bool, duration time.Duration) {
	blocks := region.cutBetween(cutOff, rest, direction)
	var silentWorkers []int
	if fromLog {
		blocks = append(blocks, region.cutFromLog(cutOff)...)
		silentWorkers = cutOff.workers
	}
	region.cuts.apply(blocks, silentWorkers, duration)
}

// serveLog returns the address at which a process reaches the log. In a soak with cuts
// each has its own, with a proxy in front of it, which knows the process by its name.
func (region *region) serveLog(ctx context.Context, index int, sharedAddress string) (string, error) {
	if !region.options.CutsDomains() {
		return sharedAddress, nil
	}
	access := standin.NewAccess(region.store)
	address, err := serve(ctx, access)
	if err != nil {
		return "", err
	}
	name := processName(index)
	logProxy, address, err := proxy.ListenIdentified(ctx, "127.0.0.1:0", address, func(net.Conn) string { return name })
	region.logAccesses = append(region.logAccesses, access)
	region.logProxies = append(region.logProxies, logProxy)
	return address, err
}

// listenProxy starts a proxy that distinguishes the processes in a soak with cuts.
func (region *region) listenProxy(ctx context.Context, address, target string) (*proxy.Proxy, string, error) {
	if !region.options.CutsDomains() {
		return proxy.Listen(ctx, address, target)
	}
	return proxy.ListenIdentified(ctx, address, target, region.owners.nameOf)
}

// callerClient returns the HTTP client of a caller. Callers of a soak with cuts keep
// their connections open, so that requests arrive on connections that a process opened
// before a fault.
func (region *region) callerClient() (client *http.Client, closeAfter bool) {
	if region.options.CutsDomains() {
		return region.persistentClient, false
	}
	return http.DefaultClient, true
}
