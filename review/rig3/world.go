// Command rig3 runs the cases of review 3 that are scripts: processes of the deploy file on
// loopback addresses, with stand-ins for the platform, the workers and the clients.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type connKey struct{}

// callerOf returns the index of the process that sent a request, or -1.
func callerOf(request *http.Request) int {
	owner, ok := request.Context().Value(connKey{}).(func() int)
	if !ok {
		return -1
	}
	return owner()
}

// World is one deployment.
type World struct {
	began       time.Time
	directory   string
	program     string
	out         io.Writer
	outMutex    sync.Mutex
	owners      *owners
	store       *Store
	procs       []*Proc
	workers     []*Worker
	proxies     []*peerProxy
	checker     *Checker
	peerLatency time.Duration
	mutex       sync.Mutex
	cuts        map[[2]int]bool
	workerCuts  map[[2]int]bool
	storeCuts   map[int]bool
	routes      []string
	services    []string
	version     int
	enforces    bool
	shareCPU    float64
	linkMbps    float64
	memoryMb    int
	timeoutMs   int
	targetMs    int
	stretch     float64
	proxied     bool
	callerPort  int
	starved     atomic.Bool
}

func (world *World) record(format string, args ...any) {
	world.outMutex.Lock()
	defer world.outMutex.Unlock()
	fmt.Fprintf(world.out, "%8.3f %s\n", time.Since(world.began).Seconds(), fmt.Sprintf(format, args...))
}

func (world *World) isCut(from, to int) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.cuts[[2]int{from, to}]
}

// workerCut reports whether the process that sent a request is cut off from a worker.
func (world *World) workerCut(request *http.Request, worker int) bool {
	world.mutex.Lock()
	none := len(world.workerCuts) == 0
	world.mutex.Unlock()
	if none {
		return false
	}
	proc := callerOf(request)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.workerCuts[[2]int{proc, worker}]
}

// maxLag is the delay of this program's timers above which a play doesn't count.
const maxLag = 100 * time.Millisecond

// watch notices that this program gets too little processor time for its stand-ins.
func (world *World) watch() {
	last := time.Now()
	for range time.Tick(10 * time.Millisecond) {
		if lag := time.Since(last); lag > maxLag {
			world.record("this program stood still for %d ms", lag.Milliseconds())
			world.starved.Store(true)
		}
		last = time.Now()
	}
}

func (world *World) storeCut(proc int) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.storeCuts[proc]
}

// cutProcs cuts two sets of processes off from each other, or ends the cut.
func (world *World) cutProcs(a, b []int, isCut bool) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, i := range a {
		for _, j := range b {
			if i != j {
				world.cuts[[2]int{i, j}] = isCut
				world.cuts[[2]int{j, i}] = isCut
			}
		}
	}
}

func (world *World) cutWorkers(procs, workers []int, isCut bool) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, i := range procs {
		for _, j := range workers {
			if isCut {
				world.workerCuts[[2]int{i, j}] = true
			} else {
				delete(world.workerCuts, [2]int{i, j})
			}
		}
	}
}

// Proc is a process of the deploy file.
type Proc struct {
	world     *World
	index     int
	ip        string
	zone      string
	settings  string
	mutex     sync.Mutex
	command   *exec.Cmd
	done      chan struct{}
	disturbed time.Time
	logFile   *os.File
}

func (proc *Proc) pid() int {
	proc.mutex.Lock()
	defer proc.mutex.Unlock()
	if proc.command == nil {
		return 0
	}
	return proc.command.Process.Pid
}

func (proc *Proc) disturb() {
	proc.mutex.Lock()
	proc.disturbed = time.Now()
	proc.mutex.Unlock()
}

// inTouch reports whether the machine has been in touch for contact-ms.
func (proc *Proc) inTouch(now time.Time) bool {
	proc.mutex.Lock()
	defer proc.mutex.Unlock()
	return now.Sub(proc.disturbed) >= contactTime
}

const (
	contactTime = 3 * time.Second
	cancelTime  = 3 * time.Second
	drainTime   = 2 * time.Second
	resendTime  = 1300 * time.Millisecond
)

func (proc *Proc) start() error {
	arguments := []string{"serve"}
	if proc.world.proxied {
		arguments = append(arguments, "--peer-listen", fmt.Sprintf("%s:%d", proc.ip, proc.world.callerPort+21))
	}
	if os.Getenv("RIG_DEBUG") != "" {
		arguments = append(arguments, "--log-level", "debug")
	}
	command := exec.Command(proc.world.program, arguments...)
	command.Env = append(os.Environ(), "TANAGERFALL_SETTINGS="+proc.settings)
	command.Stdout, command.Stderr = proc.logFile, proc.logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	proc.mutex.Lock()
	proc.command, proc.done = command, done
	proc.disturbed = time.Now()
	proc.mutex.Unlock()
	go func() {
		err := command.Wait()
		proc.world.record("p%d ended: %v", proc.index, err)
		proc.mutex.Lock()
		if proc.command == command {
			proc.command = nil
		}
		proc.mutex.Unlock()
		close(done)
	}()
	return nil
}

func (proc *Proc) signal(signal syscall.Signal) {
	proc.mutex.Lock()
	command := proc.command
	proc.mutex.Unlock()
	proc.disturb()
	if command != nil {
		_ = command.Process.Signal(signal)
	}
}

func (proc *Proc) kill() {
	proc.mutex.Lock()
	done := proc.done
	running := proc.command != nil
	proc.mutex.Unlock()
	proc.signal(syscall.SIGKILL)
	if running {
		<-done
	}
}

// serveFor serves requests of one process only, at an address of its own.
func (world *World) serveFor(proc int, handler http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := world.newServer(proc, handler)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server, nil
}

// newServer returns a server for the requests of one process.
func (world *World) newServer(proc int, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler,
		BaseContext: func(net.Listener) context.Context {
			return context.WithValue(context.Background(), connKey{}, func() int { return proc })
		},
	}
}

// newWorld prepares a deployment with a number of processes in zones.
func newWorld(out io.Writer, program, directory string, zones []string) (*World, error) {
	world := &World{
		began: time.Now(), directory: directory, program: program, out: out, enforces: true, shareCPU: 0.4, linkMbps: 1000, memoryMb: 284,
		timeoutMs: 1500, targetMs: 60, stretch: 1.6, proxied: true,
		cuts: map[[2]int]bool{}, workerCuts: map[[2]int]bool{}, storeCuts: map[int]bool{},
	}
	world.owners = &owners{world: world}
	go world.watch()
	world.checker = newChecker(world)
	world.store = &Store{world: world, topics: map[string][]storeRecord{}}
	for i, zone := range zones {
		world.procs = append(world.procs, &Proc{world: world, index: i, zone: zone})
	}
	return world, nil
}

func (world *World) addWorker(zone string, room resources, guards bool, labels ...string) (*Worker, error) {
	worker := &Worker{
		world: world, index: len(world.workers), id: fmt.Sprintf("i-%08x", 0x7f3a0000+len(world.workers)), service: "svc1", zone: zone, room: room, labels: labels,
		guards: guards, slots: 8, state: "ready", changed: make(chan struct{}), clockRate: 1, stopTime: randomStop,
	}
	worker.reboot()
	for proc := range world.procs {
		address, server, err := world.serveFor(proc, worker)
		if err != nil {
			return nil, err
		}
		worker.addresses = append(worker.addresses, address)
		worker.servers = append(worker.servers, server)
	}
	world.workers = append(world.workers, worker)
	go worker.loop()
	return worker, nil
}

// publish writes the next version of the manifest.
func (world *World) publish() {
	world.version++
	type object = map[string]any
	value, _ := json.Marshal(object{
		"version": world.version,
		"routes": []object{{"name": "r-1", "host": "nony24.example", "path-prefix": "/q1/", "kind": "unsafe", "timeout-ms": world.timeoutMs,
			"target-latency-ms": world.targetMs, "priority": 0, "service": "svc1", "max-attempts": 3, "stretch": world.stretch}},
		"services": []object{{"name": "svc1", "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false,
			"enforces-capacity": world.enforces, "standby": false}},
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	world.store.append("keyed.op", "config", string(value))
}

// startAll starts the stand-ins and the processes, and waits until all are ready.
func (world *World) startAll() error {
	var storeAddresses []string
	for proc := range world.procs {
		address, _, err := world.serveFor(proc, world.store)
		if err != nil {
			return err
		}
		storeAddresses = append(storeAddresses, address)
	}
	world.publish()
	for _, worker := range world.workers {
		worker.report(1)
	}
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(1500 * time.Millisecond)
			for _, worker := range world.workers {
				worker.report(seq)
			}
		}
	}()
	if err := world.choosePorts(); err != nil {
		return err
	}
	port := world.callerPort
	var seeds []string
	for i, proc := range world.procs {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", proc.ip, port+5)))
		}
	}
	for i, proc := range world.procs {
		proc.settings = filepath.Join(world.directory, fmt.Sprintf("p%d.yaml", i))
		settings := fmt.Sprintf("node-name: \"edge-%d\"\nrole: entry\nmachine-class: edge\nserves: [edge, control_plane]\nip: %q\nzone: %q\nregion: ege\n"+
			"listen-addrs: {front: \"%s:%d\", ready: \"%s:%d\", control: \"%s:%d\"}\ninternal-ports: [%d, %d]\nseeds: [%s]\nbootstrap: true\n"+
			"limits: {cpu-share: %g, cores: 1, memory-mb: %d, max-fds: 4100, link-mbps: %g, disk-mb: 0}\nheartbeat-ms: 1500\n"+
			"bounds: {contact-ms: 3000, ack-ms: 4000, drain-ms: 2000, grace-s: 6, config-apply-ms: 2000, hold-max-ms: 1000, stop-grace-ms: 50, cancel_ms: 3000, resend-ms: 1300}\n"+
			"orders: invocation\nplatform: {address: %q, form: log}\n",
			i, proc.ip, proc.zone, proc.ip, port, proc.ip, port+1, proc.ip, port+5, port+20, port+35, strings.Join(seeds, ","),
			world.shareCPU, world.memoryMb, world.linkMbps, storeAddresses[i])
		if err := os.WriteFile(proc.settings, []byte(settings), 0o600); err != nil {
			return err
		}
		logFile, err := os.Create(filepath.Join(world.directory, fmt.Sprintf("p%d.log", i)))
		if err != nil {
			return err
		}
		proc.logFile = logFile
		if world.proxied {
			proxy, err := newPeerProxy(world, i, fmt.Sprintf("%s:%d", proc.ip, port+20), fmt.Sprintf("%s:%d", proc.ip, port+21))
			if err != nil {
				return err
			}
			world.proxies = append(world.proxies, proxy)
		}
	}
	for _, proc := range world.procs {
		if err := proc.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, proc := range world.procs {
		for !world.isReady(proc) {
			if time.Now().After(deadline) {
				return fmt.Errorf("p%d is not ready", proc.index)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	world.record("all processes are ready")
	return nil
}

func (world *World) isReady(proc *Proc) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/tanagerfall/readyz", proc.ip, world.callerPort+1))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// choosePorts chooses loopback addresses and ports that are free.
func (world *World) choosePorts() error {
	for range 50 {
		network := rand.IntN(250)
		world.callerPort = 18000 + rand.IntN(200)*50
		free := true
		for i, proc := range world.procs {
			proc.ip = fmt.Sprintf("127.77.%d.%d", network, i+1)
			for _, offset := range []int{0, 1, 5, 20, 21} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", proc.ip, world.callerPort+offset))
				if err != nil {
					free = false
					continue
				}
				listener.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (world *World) stopAll() {
	for _, proc := range world.procs {
		proc.signal(syscall.SIGCONT)
		proc.kill()
	}
}

// schedulers returns, by process, the scheduler that each reports to follow ("" if none answers).
func (world *World) state(proc *Proc) map[string]any {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/state", proc.ip, world.callerPort+5))
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var state map[string]any
	_ = json.NewDecoder(response.Body).Decode(&state)
	return state
}

// scheduler returns the index of the process that schedules, by its own state; -1 if none.
func (world *World) scheduler() int {
	for i, proc := range world.procs {
		if state := world.state(proc); state != nil && state["cell"] != nil {
			return i
		}
	}
	return -1
}

// answerSlack is how long after its time budget a client still reads an answer.
const answerSlack = 20 * time.Millisecond

// call sends a client's request and returns the status, 0 if there was no answer.
func (world *World) call(method string, proc int, id string, deadline time.Duration, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+answerSlack)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d/q1/%s", world.procs[proc].ip, world.callerPort, id), bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "nony24.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}
