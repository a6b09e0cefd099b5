package region

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"tanagerfall/soak/proxy"
	"tanagerfall/soak/standin"
)

// extendedFrom is the seed from which runs have proxies before workers and
// processes, draining workers, slow clocks and more ways for the store to fail.
// Earlier seeds keep the schedules that they had.
const extendedFrom = 1000

// The numbers of kinds of faults.
const (
	firstKinds = 9
	allKinds   = 16
)

// The kinds of faults of extended runs.
const (
	processSilent = firstKinds + iota
	processReset
	allSilent
	workerOneWay
	workerDelayed
	workerDrains
	versionsInARow
)

const (
	// drainFor is how long a worker drains before its process is replaced.
	drainFor = 9 * time.Second
	// probeEvery spaces the questions for the version in force.
	probeEvery = 50 * time.Millisecond
	// slowestClock is the rate of the slowest worker's clock.
	slowestClock = 0.98
)

func (region *region) extended() bool { return region.options.Seed >= extendedFrom }

// relays reports whether the schedulers of this run use relays.
func (region *region) relays() bool { return region.extended() && region.options.Seed%2 == 1 }

func (region *region) kinds() int {
	if region.extended() {
		return allKinds
	}
	return firstKinds
}

// outage returns how the store fails next.
func (region *region) outage() standin.Outage {
	if !region.extended() {
		return standin.Refusing
	}
	return []standin.Outage{standin.Refusing, standin.Limiting, standin.Hanging}[region.random.IntN(3)]
}

// hideWorker puts a proxy before a worker, and returns its address.
func (region *region) hideWorker(ctx context.Context, worker *standin.Worker, address string) (string, error) {
	if !region.extended() {
		return address, nil
	}
	worker.SetRate(slowestClock + (1-slowestClock)*region.random.Float64())
	hiding, address, err := proxy.Listen(ctx, "127.0.0.1:0", address)
	region.workerProxies = append(region.workerProxies, hiding)
	return address, err
}

// hideProcess puts a proxy before a process's address for peers.
func (region *region) hideProcess(ctx context.Context, process *process, number int) error {
	if !region.extended() {
		return nil
	}
	hidden := address(process.ip, hiddenPort)
	process.arguments = []string{"--peer-listen", hidden}
	if region.relays() {
		process.arguments = append(process.arguments, "--relay-from", "1")
	}
	hiding, _, err := proxy.Listen(ctx, address(process.ip, peerPort), hidden)
	region.peerProxies = append(region.peerProxies, hiding)
	return err
}

// disturbMore begins a fault of an extended run.
func (region *region) disturbMore(kind, number int, long time.Duration) {
	worker := region.workerProxies[number]
	peer := region.peerProxies[number%len(region.peerProxies)]
	pass := func(proxies ...*proxy.Proxy) {
		time.AfterFunc(long, func() {
			for _, disturbed := range proxies {
				disturbed.Set(proxy.Pass, 0)
			}
		})
	}
	switch kind {
	case processSilent:
		peer.Set(proxy.Silent, 0)
		pass(peer)
	case processReset:
		peer.Reset()
	case allSilent:
		for _, each := range region.peerProxies {
			each.Set(proxy.Silent, 0)
		}
		pass(region.peerProxies...)
	case workerOneWay:
		worker.Set(proxy.OneWay, 0)
		pass(worker)
	case workerDelayed:
		worker.Set(proxy.Pass, long/10)
		pass(worker)
	case workerDrains:
		region.drain(number)
	case versionsInARow:
		for range 5 {
			region.mutex.Lock()
			region.publish()
			region.mutex.Unlock()
			time.Sleep(probeEvery)
		}
	}
}

// drain makes a worker drain and then replaces its process.
func (region *region) drain(number int) {
	region.mutex.Lock()
	defer region.mutex.Unlock()
	region.draining[number] = true
	time.AfterFunc(drainFor, func() {
		region.mutex.Lock()
		defer region.mutex.Unlock()
		delete(region.draining, number)
		region.workers[number].Restart()
	})
}

// lateReport writes a report of a draining worker from before it drained, as
// when the store carries out a call late that got no answer.
func (region *region) lateReport(number, seq int) {
	if seq%3 != 0 {
		return
	}
	worker := region.workers[number]
	region.store.Put("keyed.servers", worker.ID, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z%d","slots":8,`+
		`"state":"ready","seq":%d,"born":%d,"capacity":{"cpu":16000,"mem-mb":1000}}`,
		region.addresses[number], number%3, seq, worker.Born()))
}

// probe asks a process for the newest version that it served, which it must go
// on serving, and for the newest of all.
func (region *region) probe(ctx context.Context, process *process) {
	served, incarnation := 0, 0
	for ctx.Err() == nil {
		time.Sleep(probeEvery)
		before := process.incarnation()
		if before != incarnation {
			incarnation, served = before, 0
		}
		region.mutex.Lock()
		newest := region.version
		region.mutex.Unlock()
		if process.serves(ctx, newest) == http.StatusOK {
			served = newest
			continue
		}
		if served > 0 && process.serves(ctx, served) == http.StatusNotFound && process.incarnation() == incarnation {
			region.checker.PlanWentBack(process.ip, served)
			served = 0
		}
	}
}

func (process *process) incarnation() int {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.starts
}

// serves returns the status of a request for the pending jobs of a version's
// route; 0 where no answer came.
func (process *process) serves(ctx context.Context, version int) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+address(process.ip, callerPort)+versionPath(version), nil)
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	request.Close = true
	request.Header.Set("Deadline-Ms", strconv.Itoa(1000))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
