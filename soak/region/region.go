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
	// Program is the path of the platform program.
	Program       string
	Seed          uint64
	Processes     int
	Workers       int
	Length        time.Duration
	JobsPerSecond float64
	// Logs is the directory for the processes' logs; empty for none.
	Logs string
}

const (
	// settle is the time before and after the faults.
	settle = 2 * time.Second
	// recovery is the time after the faults in which jobs must complete again.
	recovery = 12 * time.Second
	// registerEvery spaces the workers' reports.
	registerEvery = 500 * time.Millisecond
)

// ErrBroken is returned where a promise was broken.
var ErrBroken = eris.New("a promise was broken")

// Report is what a run saw.
type Report struct {
	Seed   uint64
	Counts map[string]int
	Faults []string
}

// String returns the report for people.
func (report Report) String() string {
	text := fmt.Sprintf("seed %d: %v", report.Seed, report.Counts)
	for _, fault := range report.Faults {
		text += "\n  " + fault
	}
	return text
}

// Err returns ErrBroken if the report has faults.
func (report Report) Err() error {
	if len(report.Faults) == 0 {
		return nil
	}
	return eris.Wrapf(ErrBroken, "seed %d: %d faults", report.Seed, len(report.Faults))
}

// region is one run.
type region struct {
	options   Options
	random    *rand.Rand
	checker   *check.Checker
	store     *standin.Store
	workers   []*standin.Worker
	addresses []string
	draining  map[int]bool
	processes []*process
	// workerProxies and peerProxies stand before the workers and the processes
	// of an extended run.
	workerProxies []*proxy.Proxy
	peerProxies   []*proxy.Proxy
	mutex         sync.Mutex
	version       int
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
	held := &region{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 1)),
		checker:  check.New(),
		store:    standin.NewStore(),
		draining: make(map[int]bool),
	}
	storeAddress, err := serve(ctx, held.store)
	if err != nil {
		return Report{}, err
	}
	for number := range options.Workers {
		worker := standin.NewWorker(fmt.Sprintf("w%d", number), options.Seed+uint64(number), held.checker)
		address, err := serve(ctx, worker)
		if err != nil {
			return Report{}, err
		}
		if address, err = held.hideWorker(ctx, worker, address); err != nil {
			return Report{}, err
		}
		held.workers = append(held.workers, worker)
		held.addresses = append(held.addresses, address)
	}
	held.publish()
	go held.register(ctx)
	for number := range options.Processes {
		started, err := newProcess(options.Program, directory, options.Seed, number, storeAddress)
		if err != nil {
			return Report{}, err
		}
		if options.Logs != "" {
			started.logs, err = os.Create(filepath.Join(options.Logs, fmt.Sprintf("vm-%d.log", number)))
			if err != nil {
				return Report{}, eris.Wrap(err, "opening a log")
			}
			defer started.logs.Close()
		}
		if err := held.hideProcess(ctx, started, number); err != nil {
			return Report{}, err
		}
		held.processes = append(held.processes, started)
		started.start()
		defer started.kill()
	}
	held.play(ctx)
	counts, faults := held.checker.Result()
	return Report{
		Seed:   options.Seed,
		Counts: counts,
		Faults: faults,
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

// publish writes the next version of the configuration. Each version of an
// extended run adds a route that tells it from the earlier ones.
func (region *region) publish() {
	region.version++
	const route = `{"name":%q,"host":"h.example","path-prefix":%q,"timeout-ms":1500,"target-latency-ms":1000,` +
		`"service":"s","max-attempts":3,"stretch":4}`
	routes := []string{fmt.Sprintf(route, "r", "/q/")}
	for version := 1; region.extended() && version <= region.version; version++ {
		routes = append(routes, fmt.Sprintf(route, fmt.Sprint("r", version), versionPath(version)))
	}
	region.store.Put("keyed.op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s"}],"limits":{}}`,
		region.version, strings.Join(routes, ",")))
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// register writes the workers' reports.
func (region *region) register(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		region.mutex.Lock()
		for number, worker := range region.workers {
			state := "ready"
			if region.draining[number] {
				state = "draining"
				worker.Drain()
			}
			region.store.Put("keyed.servers", worker.ID, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z%d","slots":8,`+
				`"state":%q,"seq":%d,"born":%d,"capacity":{"cpu":16000,"mem-mb":1000}}`,
				region.addresses[number], number%3, state, seq, worker.Born()))
			if region.draining[number] {
				region.lateReport(number, seq-1)
			}
		}
		region.mutex.Unlock()
		time.Sleep(registerEvery)
	}
}

// play runs callers all the while, and faults for a part of it.
func (region *region) play(ctx context.Context) {
	var callers sync.WaitGroup
	faulty, stop := context.WithTimeout(ctx, settle+region.options.Length)
	defer stop()
	all, end := context.WithTimeout(ctx, 2*settle+region.options.Length+recovery)
	defer end()
	go region.disturb(faulty)
	if region.extended() {
		for _, process := range region.processes {
			go region.probe(all, process)
		}
	}
	pause := time.Duration(float64(time.Second) / region.options.JobsPerSecond)
	random := rand.New(rand.NewPCG(region.options.Seed, 2))
	began := time.Now()
	for number := 0; all.Err() == nil; number++ {
		recovered := time.Since(began) > settle+region.options.Length+recovery
		caller := caller{
			region:  region,
			id:      fmt.Sprintf("%016x", random.Uint64()),
			tasks:   1 + random.IntN(3),
			random:  rand.New(rand.NewPCG(random.Uint64(), 3)),
			mustRun: recovered,
		}
		callers.Go(caller.submit)
		time.Sleep(pause)
	}
	callers.Wait()
}

// caller submits one job, and again as the platform's callers do.
type caller struct {
	region *region
	id     string
	tasks  int
	random *rand.Rand
	// mustRun is set once the region has had time to recover.
	mustRun bool
}

const (
	// budget is how long a caller waits, and resendAfter the time after which it
	// sends a job again whose connection broke.
	budget      = 4 * time.Second
	resendAfter = 1300 * time.Millisecond
)

func (caller *caller) submit() {
	began := time.Now()
	refused := true
	for {
		left := budget - time.Since(began)
		if left <= 0 {
			caller.end("no answer")
			return
		}
		status, body := caller.attempt(left)
		switch {
		case status == http.StatusOK && strings.Contains(body, "completed"):
			caller.region.checker.Completed(caller.id, caller.tasks)
			return
		case status == http.StatusOK:
			caller.end("failed")
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound:
			if refused {
				caller.region.checker.Refused(caller.id)
			}
			caller.end("refused")
			return
		}
		// An attempt without an answer may have run.
		refused = false
		time.Sleep(resendAfter)
	}
}

func (caller *caller) end(how string) {
	caller.region.checker.Count(how)
	if caller.mustRun {
		caller.region.checker.Fault(fmt.Sprintf("job %s: %s, although the faults are over", caller.id, how))
	}
}
