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

// Options are those of one run.
type Options struct {
	// PlatformProgram is the path of the platform program.
	PlatformProgram string
	Seed            uint64
	Processes       int
	Workers         int
	FaultDuration   time.Duration
	JobsPerSecond   float64
	// LogDirectory is the directory for the processes' logs; empty for none.
	LogDirectory string
}

const (
	// settleTime is the time before and after the faults.
	settleTime = 2 * time.Second
	// recoveryTime is the time after the faults in which jobs must complete again.
	recoveryTime = 12 * time.Second
	// reportInterval spaces the workers' reports.
	reportInterval = 500 * time.Millisecond
)

// ErrGuaranteeBroken is returned where a promise was broken.
var ErrGuaranteeBroken = eris.New("a promise was broken")

// Report is what a run saw.
type Report struct {
	Seed       uint64
	Counts     map[string]int
	Violations []string
}

// String returns the report for people.
func (report Report) String() string {
	text := fmt.Sprintf("seed %d: %v", report.Seed, report.Counts)
	for _, violation := range report.Violations {
		text += "\n  " + violation
	}
	return text
}

// Err returns ErrBroken if the report has faults.
func (report Report) Err() error {
	if len(report.Violations) == 0 {
		return nil
	}
	return eris.Wrapf(ErrGuaranteeBroken, "seed %d: %d faults", report.Seed, len(report.Violations))
}

// region is one run.
type region struct {
	options         Options
	random          *rand.Rand
	checker         *check.Checker
	store           *standin.Store
	workers         []*standin.Worker
	workerAddresses []string
	draining        map[int]bool
	processes       []*process
	// workerProxies and peerProxies stand before the workers and the processes
	// of an extended run.
	workerProxies []*proxy.Proxy
	peerProxies   []*proxy.Proxy
	mutex         sync.Mutex
	configVersion int
}

// Run runs one seed. The error tells what kept it from running.
func Run(ctx context.Context, options Options) (Report, error) {
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, eris.Wrap(err, "making a directory")
	}
	defer func() {
		if err := os.RemoveAll(directory); err != nil {
			fmt.Fprintln(os.Stderr, "soak: the settings stay:", err)
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
	}
	storeAddress, err := serve(ctx, region.store)
	if err != nil {
		return Report{}, err
	}
	for index := range options.Workers {
		worker := standin.NewWorker(fmt.Sprintf("w%d", index), options.Seed+uint64(index), region.checker)
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
	region.publishConfig()
	go region.reportWorkers(ctx)
	for index := range options.Processes {
		process, err := newProcess(options.PlatformProgram, directory, options.Seed, index, storeAddress)
		if err != nil {
			return Report{}, err
		}
		if options.LogDirectory != "" {
			process.logFile, err = os.Create(filepath.Join(options.LogDirectory, fmt.Sprintf("vm-%d.log", index)))
			if err != nil {
				return Report{}, eris.Wrap(err, "opening a log")
			}
			defer process.logFile.Close()
		}
		if err := region.proxyProcess(ctx, process, index); err != nil {
			return Report{}, err
		}
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

func serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listening")
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// publishConfig writes the next version of the configuration. Each version of an
// extended run adds a route that tells it from the earlier ones.
func (region *region) publishConfig() {
	region.configVersion++
	const route = `{"name":%q,"host":"h.example","path-prefix":%q,"timeout-ms":1500,"target-latency-ms":1000,` +
		`"service":"s","max-attempts":3,"stretch":4}`
	routes := []string{fmt.Sprintf(route, "r", "/q/")}
	for version := 1; region.extended() && version <= region.configVersion; version++ {
		routes = append(routes, fmt.Sprintf(route, fmt.Sprint("r", version), versionPath(version)))
	}
	region.store.Append("keyed.op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s"}],"limits":{}}`,
		region.configVersion, strings.Join(routes, ",")))
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// reportWorkers writes the workers' reports.
func (region *region) reportWorkers(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		region.mutex.Lock()
		for index, worker := range region.workers {
			state := "ready"
			if region.draining[index] {
				state = "draining"
				worker.MarkDraining()
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

// runCallers runs callers all the while, and faults for a part of it.
func (region *region) runCallers(ctx context.Context) {
	var callers sync.WaitGroup
	faultContext, stopFaults := context.WithTimeout(ctx, settleTime+region.options.FaultDuration)
	defer stopFaults()
	callerContext, endCallers := context.WithTimeout(ctx, 2*settleTime+region.options.FaultDuration+recoveryTime)
	defer endCallers()
	go region.injectFaults(faultContext)
	if region.extended() {
		for _, process := range region.processes {
			go region.probeConfig(callerContext, process)
		}
	}
	interval := time.Duration(float64(time.Second) / region.options.JobsPerSecond)
	random := rand.New(rand.NewPCG(region.options.Seed, 2))
	start := time.Now()
	for jobCount := 0; callerContext.Err() == nil; jobCount++ {
		recovered := time.Since(start) > settleTime+region.options.FaultDuration+recoveryTime
		caller := caller{
			region:        region,
			id:            fmt.Sprintf("%016x", random.Uint64()),
			tasks:         1 + random.IntN(3),
			random:        rand.New(rand.NewPCG(random.Uint64(), 3)),
			afterRecovery: recovered,
		}
		callers.Go(caller.submit)
		time.Sleep(interval)
	}
	callers.Wait()
}

// caller submits one job, and again as the platform's callers do.
type caller struct {
	region *region
	id     string
	tasks  int
	random *rand.Rand
	// afterRecovery is set once the region has had time to recover.
	afterRecovery bool
}

const (
	// callerTimeout is how long a caller waits, and resendAfter the time after which it
	// sends a job again whose connection broke.
	callerTimeout = 4 * time.Second
	resendDelay   = 1300 * time.Millisecond
)

func (caller *caller) submit() {
	start := time.Now()
	refused := true
	for {
		timeLeft := callerTimeout - time.Since(start)
		if timeLeft <= 0 {
			caller.finish("no answer")
			return
		}
		status, body := caller.attempt(timeLeft)
		switch {
		case status == http.StatusOK && strings.Contains(body, "completed"):
			caller.region.checker.RecordCompleted(caller.id, caller.tasks)
			return
		case status == http.StatusOK:
			caller.finish("failed")
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound:
			if refused {
				caller.region.checker.RecordRefused(caller.id)
			}
			caller.finish("refused")
			return
		}
		// An attempt without an answer may have run.
		refused = false
		time.Sleep(resendDelay)
	}
}

func (caller *caller) finish(outcome string) {
	caller.region.checker.Count(outcome)
	if caller.afterRecovery {
		caller.region.checker.AddViolation(fmt.Sprintf("job %s: %s, although the faults are over", caller.id, outcome))
	}
}
