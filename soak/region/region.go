package region

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/soak/check"
	"tanagerfall/soak/proxy"
	"tanagerfall/soak/standin"
)

// Options holds the parameters of one soak.
type Options struct {
	// PlatformProgram is the path of the platform program.
	PlatformProgram string
	// Seed determines the schedule of faults. Seeds from 1000 on have additional
	// kinds of faults, those from 2000 on cuts between failure domains, those from 3000
	// on all disturbances of rplar-breizh beside them, those from 4000 on faults during
	// overload.
	Seed uint64
	// Processes and Workers are the numbers of platform processes and workers.
	Processes int
	Workers   int
	// FaultDuration is the time during which faults are started.
	FaultDuration time.Duration
	// JobsPerSecond is the rate of jobs. It has no effect on seeds from 4000 on, whose rate
	// follows from the number of workers.
	JobsPerSecond float64
	// Network selects the loopback addresses, from 0 to 6. It does not change the
	// schedule.
	Network int
	// LogDirectory receives a log file for each process; if it is empty, the logs
	// are discarded.
	LogDirectory string
}

const (
	// settleTime is the time without faults at the start, and the time at the end
	// in which every submitted job must complete.
	settleTime = 2 * time.Second
	// recoveryTime is the time allowed after the faults before every submitted job
	// must complete again.
	recoveryTime = 12 * time.Second
	// reportInterval is the time between two reports of a worker.
	reportInterval = 500 * time.Millisecond
	// reportExpiry is the number of missing reports after which the log drops the entry
	// of a worker.
	reportExpiry = 3
	// callerConnections is the number of connections that callers keep open to each
	// process in a soak with cuts.
	callerConnections = 64
)

// ErrGuaranteeBroken is wrapped by Report.Err if a soak found a violated guarantee
// of the platform (see package check).
var ErrGuaranteeBroken = eris.New("guarantee broken")

// ErrInvalidOptions is wrapped by the error about a network or number of processes that
// has no addresses.
var ErrInvalidOptions = eris.New("invalid options")

// Report holds the result of a soak.
type Report struct {
	Seed uint64
	// Counts holds the numbers of task starts ("starts") and of jobs by outcome
	// ("completed", "failed", "refused", "no answer"; "jobs-rejected" are those of which
	// every attempt was refused).
	Counts map[string]int
	// Violations describes each violation of a guarantee.
	Violations []string
}

// String returns the counts, and each violation on its own line.
func (report Report) String() string {
	text := fmt.Sprintf("seed %d: %v", report.Seed, report.Counts)
	for _, violation := range report.Violations {
		text += "\n  " + violation
	}
	return text
}

// Err returns an error that wraps ErrGuaranteeBroken if there are violations.
func (report Report) Err() error {
	if len(report.Violations) == 0 {
		return nil
	}
	return eris.Wrapf(ErrGuaranteeBroken, "seed %d: %d violations", report.Seed, len(report.Violations))
}

// region is the state of one soak: a region of platform processes, and its workers,
// log and callers.
type region struct {
	options         Options
	random          *rand.Rand
	checker         *check.Checker
	store           *standin.Store
	workers         []*standin.Worker
	workerAddresses []string
	draining        map[int]bool
	processes       []*process
	// workerProxies and peerProxies are the proxies in front of the workers and of
	// the peer addresses of the processes, in an extended soak.
	workerProxies []*proxy.Proxy
	peerProxies   []*proxy.Proxy
	// The following are used in a soak with cuts. logAccesses and logProxies are, by
	// process, its access to the log and the proxy in front of it.
	logAccesses      []*standin.Access
	logProxies       []*proxy.Proxy
	owners           *connectionOwners
	cuts             *cuts
	persistentClient *http.Client
	mutex            sync.Mutex
	configVersion    int
	combinedState
	overloadState
}

// Run runs the soak of one seed. Violations are in the Report; the error says why
// the soak could not run.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.Network < 0 || options.Network > maxNetwork || options.Processes > networkSize {
		return Report{}, eris.Wrapf(ErrInvalidOptions, "network %d with %d processes", options.Network, options.Processes)
	}
	if options.LogDirectory != "" {
		if err := os.MkdirAll(options.LogDirectory, 0o755); err != nil {
			return Report{}, eris.Wrap(err, "creating the directory of the logs")
		}
	}
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, eris.Wrap(err, "creating the settings directory")
	}
	defer func() {
		if err := os.RemoveAll(directory); err != nil {
			fmt.Fprintln(os.Stderr, "soak: the settings directory was not removed:", err)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	region := &region{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 1)),
		checker:  check.New(),
		store:    standin.NewStore(),
		draining: make(map[int]bool),
		cuts:     newCuts(),
		combinedState: combinedState{
			absent: make(map[int]bool),
		},
	}
	region.persistentClient = &http.Client{
		Transport: &http.Transport{
			DialContext:         region.callerConns.dial,
			MaxIdleConnsPerHost: callerConnections,
		},
	}
	region.owners = &connectionOwners{
		region: region,
	}
	storeAddress, err := serve(ctx, region.store)
	if err != nil {
		return Report{}, err
	}
	workerCount := options.Workers
	if options.combinesFaults() {
		workerCount += spareWorkers
	}
	for index := range workerCount {
		region.absent[index] = index >= options.Workers
		worker := standin.NewWorker(fmt.Sprintf("w%d", index), options.Seed+uint64(index), region.checker)
		if region.options.CutsDomains() {
			worker.SetTaskTime(minCutTaskTime, cutTaskTimeRange)
		}
		address, err := serve(ctx, worker)
		if err != nil {
			return Report{}, err
		}
		if address, err = region.proxyWorker(ctx, worker, address); err != nil {
			return Report{}, err
		}
		region.workers = append(region.workers, worker)
		region.workerAddresses = append(region.workerAddresses, address)
	}
	region.drawLatency()
	region.publishConfig()
	go region.reportWorkers(ctx)
	for index := range options.Processes {
		logAddress, err := region.serveLog(ctx, index, storeAddress)
		if err != nil {
			return Report{}, err
		}
		process, err := newProcess(directory, options, index, logAddress)
		if err != nil {
			return Report{}, err
		}
		if options.LogDirectory != "" {
			process.logFile, err = os.Create(filepath.Join(options.LogDirectory, fmt.Sprintf("vm-%d.log", index)))
			if err != nil {
				return Report{}, eris.Wrap(err, "creating the log file of a process")
			}
			defer process.logFile.Close()
		}
		if err := region.proxyProcess(ctx, process, index); err != nil {
			return Report{}, err
		}
		region.setLatency(index)
		region.processes = append(region.processes, process)
		process.start()
		defer process.kill()
	}
	region.runCallers(ctx)
	counts, violations := region.checker.Result()
	return Report{
		Seed:       options.Seed,
		Counts:     counts,
		Violations: violations,
	}, nil
}

// serve serves the handler on a loopback port until ctx ends, and returns its
// address.
func serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "starting the listener of a stand-in")
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// publishConfig appends the next version of the configuration to the log. Each
// version of an extended soak adds a route, from which a probe recognizes it.
func (region *region) publishConfig() {
	region.configVersion++
	const route = `{"name":%q,"host":"h.example","path-prefix":%q,"timeout-ms":1500,"target-latency-ms":1000,` +
		`"service":"s","max-attempts":3,"stretch":4}`
	routes := []string{fmt.Sprintf(route, "r", "/q/")}
	for version := 1; region.extended() && version <= region.configVersion; version++ {
		routes = append(routes, fmt.Sprintf(route, fmt.Sprint("r", version), versionPath(version)))
	}
	if region.options.overloads() {
		routes = append(routes, overloadRoutes()...)
	}
	region.store.Append("keyed.op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s"}],"limits":{}}`,
		region.configVersion, strings.Join(routes, ",")))
}

// versionPath returns the path prefix of the route that a version adds.
func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// reportWorkers appends the reports of all workers to the log, one each
// reportInterval, until ctx ends. The log drops the entries of workers that a cut
// keeps from it.
func (region *region) reportWorkers(ctx context.Context) {
	missing := make([]int, len(region.workers))
	for seq := 1; ctx.Err() == nil; seq++ {
		region.mutex.Lock()
		for index, worker := range region.workers {
			if region.absent[index] {
				continue
			}
			if region.cuts.isSilent(index) {
				if missing[index]++; missing[index] == reportExpiry {
					region.store.Append("keyed.servers", worker.ID, "")
				}
				continue
			}
			missing[index] = 0
			state := "ready"
			if region.draining[index] {
				state = "draining"
				if !region.options.combinesFaults() {
					// The processes of a soak with combined faults may not reach the log for
					// longer than the bound of the check for drained workers.
					worker.MarkDraining()
				}
			}
			region.store.Append("keyed.servers", worker.ID, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z%d","slots":8,`+
				`"state":%q,"seq":%d,"born":%d,"capacity":{"cpu":16000,"mem-mb":1000}}`,
				region.workerAddresses[index], index%3, state, seq, worker.StartUnixMs()))
			if region.draining[index] {
				region.appendStaleReport(index, seq-1)
			}
		}
		region.mutex.Unlock()
		time.Sleep(reportInterval)
	}
}

// runCallers submits jobs during the whole soak, and injects faults during the first
// part of it.
func (region *region) runCallers(ctx context.Context) {
	var callers sync.WaitGroup
	faultContext, stopFaults := context.WithTimeout(ctx, settleTime+region.options.FaultDuration)
	defer stopFaults()
	callerContext, endCallers := context.WithTimeout(ctx, 2*settleTime+region.options.FaultDuration+recoveryTime)
	defer endCallers()
	switch {
	case region.options.overloads():
		go region.injectOverload(faultContext)
	case region.options.combinesFaults():
		go region.injectCombined(faultContext)
	case region.options.CutsDomains():
		go region.injectCuts(faultContext)
	default:
		go region.injectFaults(faultContext)
	}
	if region.extended() {
		for _, process := range region.processes {
			go region.probeConfig(callerContext, process)
		}
	}
	interval := time.Duration(float64(time.Second) / region.options.JobsPerSecond)
	random := rand.New(rand.NewPCG(region.options.Seed, 2))
	start := time.Now()
	for jobCount := 0; callerContext.Err() == nil; jobCount++ {
		faultsEnded := time.Since(start) > settleTime+region.options.FaultDuration
		recovered := time.Since(start) > settleTime+region.options.FaultDuration+recoveryTime
		caller := caller{
			region:        region,
			id:            fmt.Sprintf("%016x", random.Uint64()),
			route:         defaultRoute,
			tasks:         1 + random.IntN(3),
			random:        rand.New(rand.NewPCG(random.Uint64(), 3)),
			afterRecovery: recovered,
			timeBudget:    callerTimeout,
		}
		switch {
		case region.options.overloads():
			caller.useOverloadClass(faultsEnded)
			interval = region.overloadInterval(faultsEnded)
		case region.options.combinesFaults():
			caller.useClass(faultsEnded)
		case region.options.CutsDomains():
			caller.tasks = cutJobTasks
			caller.body = jobBody("x", caller.tasks, taskMilliCores, cutEstimateMs)
		default:
			caller.body = jobBody("x", caller.tasks, taskMilliCores, defaultEstimateMs)
		}
		callers.Go(caller.submit)
		time.Sleep(interval)
	}
	callers.Wait()
}
