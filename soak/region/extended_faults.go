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

// firstExtendedSeed is the first seed whose soak also has proxies in front of
// workers and processes, draining workers, slow clocks and more kinds of store
// outage. Smaller seeds keep their schedules, which have none of these.
const firstExtendedSeed = 1000

// The numbers of fault kinds without and with the extended ones.
const (
	basicFaultKinds = 9
	allFaultKinds   = 16
)

// The additional fault kinds of an extended soak.
const (
	peerSilent = basicFaultKinds + iota
	peerReset
	allPeersSilent
	workerOneWay
	workerDelayed
	workerDrains
	configBurst
)

const (
	// drainDuration is the time for which a worker drains before its process is
	// replaced.
	drainDuration = 9 * time.Second
	// probeInterval is the time between two requests for the configuration version
	// that a process serves.
	probeInterval = 50 * time.Millisecond
	// minClockRate is the lowest speed of a worker's clock relative to real time.
	minClockRate = 0.98
)

func (region *region) extended() bool { return region.options.Seed >= firstExtendedSeed }

// usesRelays reports whether the schedulers of this soak use relays.
func (region *region) usesRelays() bool { return region.extended() && region.options.Seed%2 == 1 }

// faultKinds returns the number of fault kinds from which the schedule chooses.
func (region *region) faultKinds() int {
	if region.extended() {
		return allFaultKinds
	}
	return basicFaultKinds
}

// nextOutage returns the kind of the next store outage.
func (region *region) nextOutage() standin.Outage {
	if !region.extended() {
		return standin.OutageUnavailable
	}
	return []standin.Outage{standin.OutageUnavailable, standin.OutageRateLimited, standin.OutageHanging}[region.random.IntN(3)]
}

// proxyWorker puts a proxy in front of a worker of an extended soak and slows the
// worker's clock. It returns the address at which the worker is reachable.
func (region *region) proxyWorker(ctx context.Context, worker *standin.Worker, address string) (string, error) {
	if !region.extended() {
		return address, nil
	}
	worker.SetClockRate(minClockRate + (1-minClockRate)*region.random.Float64())
	workerProxy, address, err := region.listenProxy(ctx, "127.0.0.1:0", address)
	region.workerProxies = append(region.workerProxies, workerProxy)
	return address, err
}

// proxyProcess puts a proxy in front of the peer address of a process of an
// extended soak.
func (region *region) proxyProcess(ctx context.Context, process *process, index int) error {
	if !region.extended() {
		return nil
	}
	proxiedAddress := address(process.ip, proxiedPeerPort)
	process.extraArguments = []string{"--peer-listen", proxiedAddress}
	if region.usesRelays() {
		process.extraArguments = append(process.extraArguments, "--relay-from", "1")
	}
	peerProxy, _, err := region.listenProxy(ctx, address(process.ip, peerPort), proxiedAddress)
	region.peerProxies = append(region.peerProxies, peerProxy)
	return err
}

// injectExtendedFault starts a fault of a kind that only an extended soak has.
func (region *region) injectExtendedFault(kind, workerIndex int, duration time.Duration) {
	workerProxy := region.workerProxies[workerIndex]
	peerProxy := region.peerProxies[workerIndex%len(region.peerProxies)]
	restore := func(proxies ...*proxy.Proxy) {
		time.AfterFunc(duration, func() {
			for _, restored := range proxies {
				restored.Configure(proxy.Pass, 0)
			}
		})
	}
	switch kind {
	case peerSilent:
		peerProxy.Configure(proxy.Silent, 0)
		restore(peerProxy)
	case peerReset:
		peerProxy.Reset()
	case allPeersSilent:
		for _, silenced := range region.peerProxies {
			silenced.Configure(proxy.Silent, 0)
		}
		restore(region.peerProxies...)
	case workerOneWay:
		workerProxy.Configure(proxy.OneWay, 0)
		restore(workerProxy)
	case workerDelayed:
		workerProxy.Configure(proxy.Pass, duration/10)
		restore(workerProxy)
	case workerDrains:
		region.drainWorker(workerIndex)
	case configBurst:
		for range 5 {
			region.mutex.Lock()
			region.publishConfig()
			region.mutex.Unlock()
			time.Sleep(probeInterval)
		}
	}
}

// drainWorker makes a worker drain for drainDuration and then replaces its process.
func (region *region) drainWorker(workerIndex int) {
	region.mutex.Lock()
	defer region.mutex.Unlock()
	region.draining[workerIndex] = true
	time.AfterFunc(drainDuration, func() {
		region.mutex.Lock()
		defer region.mutex.Unlock()
		delete(region.draining, workerIndex)
		region.workers[workerIndex].Restart()
	})
}

// appendStaleReport appends, for every third sequence number, a report that a
// draining worker made before it drained. This happens when the store executes
// an append late that got no answer.
func (region *region) appendStaleReport(workerIndex, seq int) {
	if seq%3 != 0 {
		return
	}
	worker := region.workers[workerIndex]
	region.store.Append("keyed.servers", worker.ID, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z%d","slots":8,`+
		`"state":"ready","seq":%d,"born":%d,"capacity":{"cpu":16000,"mem-mb":1000}}`,
		region.workerAddresses[workerIndex], workerIndex%3, seq, worker.StartUnixMs()))
}

// probeConfig requests the newest configuration version from a process and, if it
// isn't served yet, the newest version that the process served before. It is a
// violation if an incarnation no longer serves that one.
func (region *region) probeConfig(ctx context.Context, process *process) {
	served, incarnation := 0, 0
	for ctx.Err() == nil {
		time.Sleep(probeInterval)
		current := process.incarnation()
		if current != incarnation {
			incarnation, served = current, 0
		}
		region.mutex.Lock()
		newest := region.configVersion
		region.mutex.Unlock()
		if process.routeStatus(ctx, newest) == http.StatusOK {
			served = newest
			continue
		}
		if served > 0 && process.routeStatus(ctx, served) == http.StatusNotFound && process.incarnation() == incarnation {
			region.checker.RecordConfigRollback(process.ip, served)
			served = 0
		}
	}
}

// incarnation returns the number of times that the process was started.
func (process *process) incarnation() int {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.startCount
}

// routeStatus returns the HTTP status of a GET request on the route that a
// configuration version added, or 0 if there was no answer.
func (process *process) routeStatus(ctx context.Context, version int) int {
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
