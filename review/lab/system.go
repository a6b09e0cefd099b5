package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errNotRun means that the case could not run.
var errNotRun = errors.New("the case could not run")

// errStopped means that the case is over, so that no process is started any more.
var errStopped = errors.New("the case is over")

// machine says how the entry VMs of a deployment are.
type machine struct {
	cpuShare float64
	memoryMb int
	maxFds   int
	linkMbps float64
}

// deployment is a small deployment of the system with its platform.
type deployment struct {
	directory string
	program   string
	record    *record
	store     *store
	storeAddr string
	workers   []*worker
	vms       []*vm
	ports     ports
	version   int
	// proxied says that a proxy stands before the peer address of each process.
	proxied bool
}

type ports struct{ front, ready, control, internal int }

// vm is an entry VM. Its process is started again after restartDelay when it ends.
type vm struct {
	deployment   *deployment
	name, zone   string
	ip           string
	settingsPath string
	mutex        sync.Mutex
	command      *exec.Cmd
	ended        chan struct{}
	restartDelay time.Duration
	stopped      bool
	// misses counts the readiness checks in a row that have failed.
	misses int
	proxy  *peerProxy
}

// newDeployment starts the store. Nothing else runs yet.
func newDeployment(program string, record *record) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review-lab")
	if err != nil {
		return nil, err
	}
	store := newStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, store) }()
	return &deployment{
		directory: directory, program: program, record: record, store: store,
		storeAddr: listener.Addr().String(),
	}, nil
}

const (
	// workerCPU is what a worker has, and taskCPU what a task needs, in thousandths of a core.
	workerCPU = 16000
	taskCPU   = 6800
	// stopTime is how long a worker takes to stop a run. It is less than stop-grace-ms.
	stopTime = 45 * time.Millisecond
)

// weakMachine is the weakest machine of the grown deployments. With more than 100 workers, a
// region of such machines is divided by failure domain.
var weakMachine = machine{
	cpuShare: 0.144, memoryMb: 144, maxFds: 3075, linkMbps: 20,
}

// addWorkers starts workers in a zone.
func (deployment *deployment) addWorkers(zone string, count int, guards bool) error {
	for range count {
		worker, err := startWorker(fmt.Sprintf("i-%03d", len(deployment.workers)), "tezgah", zone, workerCPU, guards, deployment.record)
		if err != nil {
			return err
		}
		deployment.workers = append(deployment.workers, worker)
		go worker.report(deployment.store)
	}
	return nil
}

// startVMs starts the processes of the entry VMs, one for each zone named.
func (deployment *deployment) startVMs(zones []string, machine machine) error {
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
	for index, zone := range zones {
		deployment.vms = append(deployment.vms, &vm{
			deployment: deployment, name: fmt.Sprintf("edge-%s-%d", zone, index+1), zone: zone,
			ip: fmt.Sprintf("%s.%d", network, 10+index),
		})
	}
	var err error
	if deployment.ports, err = deployment.freePorts(); err != nil {
		return err
	}
	for _, vm := range deployment.vms {
		if err := vm.writeSettings(machine); err != nil {
			return err
		}
		if deployment.proxied {
			if err := deployment.startProxy(vm, vm.address(deployment.ports.internal), vm.address(deployment.ports.internal+1)); err != nil {
				return err
			}
		}
		if err := vm.start(); err != nil {
			return err
		}
	}
	return nil
}

// freePorts returns ports that are free on all addresses of the entry VMs.
func (deployment *deployment) freePorts() (ports, error) {
	for range 50 {
		base := 20000 + rand.IntN(9000)
		free := true
		for _, vm := range deployment.vms {
			for offset := range 5 {
				listener, err := net.Listen("tcp", net.JoinHostPort(vm.ip, fmt.Sprint(base+offset)))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3}, nil
		}
	}
	return ports{}, fmt.Errorf("%w: no free ports", errNotRun)
}

func (vm *vm) address(port int) string { return net.JoinHostPort(vm.ip, fmt.Sprint(port)) }

func (vm *vm) writeSettings(machine machine) error {
	deployment := vm.deployment
	var seeds []string
	for _, seed := range deployment.vms[:min(3, len(deployment.vms))] {
		seeds = append(seeds, fmt.Sprintf("%q", seed.address(deployment.ports.control)))
	}
	settings := fmt.Sprintf(`node-name: %q
role: "entry"
machine-class: "edge"
serves: ["edge", "control_plane"]
ip: %q
zone: %q
region: "ege"
listen-addrs:
  front: %q
  ready: %q
  control: %q
internal-ports: [%d, %d]
seeds: [%s]
bootstrap: true
in-loss-budget: false
limits:
  cpu-share: %g
  cores: 1
  memory-mb: %d
  max-fds: %d
  link-mbps: %g
  disk-mb: 0
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform"]
bounds:
  contact-ms: 3000
  ack-ms: 4000
  drain-ms: 2000
  grace-s: 6
  loss-slack-ms: 200
  config-apply-ms: 2000
  rollback-slack-ms: 250
  recovery-s: 12
  hold-max-ms: 1000
  stop-grace-ms: 50
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  fencing-required: true
  lease-ms: 3000
  resend-ms: 1300
orders: "invocation"
platform:
  address: %q
  form: "log"
  writes-per-s: 800
  reads-per-s: 2000
  parts: 32
  append-ms: 2.0
  record-bytes: 262144
  call-bytes: 2097152
  keep_s: 300
  ttl-min-ms: 1000
`, vm.name, vm.ip, vm.zone, vm.address(deployment.ports.front), vm.address(deployment.ports.ready),
		vm.address(deployment.ports.control), deployment.ports.internal, deployment.ports.internal+12, strings.Join(seeds, ", "),
		machine.cpuShare, machine.memoryMb, machine.maxFds, machine.linkMbps, deployment.storeAddr)
	vm.settingsPath = filepath.Join(deployment.directory, vm.name+".yaml")
	return os.WriteFile(vm.settingsPath, []byte(settings), 0o600)
}

// start starts the process of the VM, with the command of the deploy file.
func (vm *vm) start() error {
	log, err := os.OpenFile(filepath.Join(vm.deployment.directory, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(vm.deployment.program, "serve")
	if vm.proxy != nil {
		command.Args = append(command.Args, "--peer-listen", vm.proxy.target)
	}
	command.Env = append(os.Environ(), "TANAGERFALL_SETTINGS="+vm.settingsPath)
	command.Stdout, command.Stderr = log, log
	ended := make(chan struct{})
	vm.mutex.Lock()
	if vm.stopped {
		vm.mutex.Unlock()
		return errStopped
	}
	if err := command.Start(); err != nil {
		vm.mutex.Unlock()
		return fmt.Errorf("%w: %v", errNotRun, err)
	}
	vm.command, vm.ended = command, ended
	vm.mutex.Unlock()
	vm.deployment.record.add("process", "%s started", vm.name)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
		vm.deployment.record.add("process", "%s ended", vm.name)
		vm.mutex.Lock()
		delay, stopped := vm.restartDelay, vm.stopped
		vm.mutex.Unlock()
		if stopped || delay == 0 {
			return
		}
		time.Sleep(delay)
		if err := vm.start(); err != nil && !errors.Is(err, errStopped) {
			vm.deployment.record.add("process", "%s did not start: %v", vm.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process of the VM. It is started again restartDelay after its
// end, or not if that is 0.
func (vm *vm) signal(signal syscall.Signal, restartDelay time.Duration) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.restartDelay = restartDelay
	vm.deployment.record.add("signal", "%s to %s", signal, vm.name)
	_ = vm.command.Process.Signal(signal)
}

// close ends all processes.
func (deployment *deployment) close(keep bool) {
	for _, vm := range deployment.vms {
		vm.mutex.Lock()
		vm.stopped = true
		command, ended := vm.command, vm.ended
		vm.mutex.Unlock()
		if command != nil {
			_ = command.Process.Kill()
			<-ended
		}
	}
	if !keep {
		_ = os.RemoveAll(deployment.directory)
	}
}

// route is a queue of the manifest.
type route struct {
	name      string
	timeoutMs int
	targetMs  int
	stretch   float64
	attempts  int
	priority  int
}

// publish writes the next version of the manifest.
func (deployment *deployment) publish(routes []route, guards bool) {
	deployment.version += 3
	var wire []map[string]any
	for _, route := range routes {
		wire = append(wire, map[string]any{
			"name": route.name, "host": "nony24.example", "path-prefix": "/" + route.name + "/",
			"timeout-ms": route.timeoutMs, "target-latency-ms": route.targetMs, "priority": route.priority,
			"service": "tezgah", "max-attempts": route.attempts, "stretch": route.stretch,
		})
	}
	encoded, _ := json.Marshal(map[string]any{
		"version": deployment.version, "routes": wire,
		"services": []map[string]any{{"name": "tezgah", "max-conns": 64, "enforces-capacity": guards}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	deployment.store.append("keyed.op", "config", string(encoded))
	deployment.record.add("manifest", "version %d", deployment.version)
}

// job is a job of a client: steps of equal tasks, one after the other.
type job struct {
	id, route string
	tasks     int
	cpu       int
	length    time.Duration
	deadline  time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (job *job) body() string {
	encoded, _ := json.Marshal(map[string]any{
		"spec": formatSpec(job.cpu, job.length), "best-effort": true,
		"steps": []map[string]any{{"count": job.tasks, "cpu": job.cpu, "mem-mb": 64, "estimate-ms": job.length.Milliseconds()}},
	})
	return string(encoded)
}

// post hands a job in at a VM on a channel of its own, and returns the status, 0 if there was
// no answer. When ctx ends, the client closes the channel.
func (deployment *deployment) post(ctx context.Context, vm *vm, job *job, deadline time.Duration) int {
	return deployment.call(ctx, vm, http.MethodPost, job, deadline, job.body())
}

func (deployment *deployment) call(ctx context.Context, vm *vm, method string, job *job, deadline time.Duration, body string) int {
	ctx, cancel := context.WithTimeout(ctx, deadline+100*time.Millisecond)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+vm.address(deployment.ports.front)+"/"+job.route+"/"+job.id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "nony24.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	deployment.record.add("send", "%s %s at %s deadline=%d", method, job.id, vm.name, deadline.Milliseconds())
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		reason := "no answer"
		if ctx.Err() != nil {
			reason = "client left"
		}
		deployment.record.add("answer", "%s %s: %s", method, job.id, reason)
		return 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		deployment.record.add("answer", "%s %s: broken off", method, job.id)
		return 0
	}
	deployment.record.add("answer", "%s %s: %d %s", method, job.id, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode
}

// vmState is the part of a state dump that cases use. It serves to choose the VM to disturb
// only, never to judge.
type vmState struct {
	Scheduler   string `json:"scheduler"`
	IsScheduler bool   `json:"schedules"`
	Division    string `json:"division"`
	Live        int    `json:"live"`
}

func (deployment *deployment) state(vm *vm) (vmState, bool) {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + vm.address(deployment.ports.control) + "/state")
	if err != nil {
		return vmState{}, false
	}
	defer response.Body.Close()
	var state vmState
	return state, json.NewDecoder(response.Body).Decode(&state) == nil
}

// scheduler returns the VM that schedules, in a zone if one is named.
func (deployment *deployment) scheduler(zone string) *vm {
	for _, vm := range deployment.vms {
		if zone != "" && vm.zone != zone {
			continue
		}
		if state, ok := deployment.state(vm); ok && state.IsScheduler {
			return vm
		}
	}
	return nil
}

// awaitReady waits until all VMs report ready.
func (deployment *deployment) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, vm := range deployment.vms {
			response, err := client.Get("http://" + vm.address(deployment.ports.ready) + "/tanagerfall/readyz")
			if err != nil {
				break
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(deployment.vms) {
			return nil
		}
	}
	return fmt.Errorf("%w: the entry VMs are not ready", errNotRun)
}

// closeAtSignal ends all processes when this one is told to end.
func closeAtSignal(deployment *deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		deployment.close(false)
		os.Exit(2)
	}()
}

// awaitDivided waits until the region is divided by failure domain and has settled.
func (deployment *deployment) awaitDivided() error {
	if err := deployment.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	for _, vm := range deployment.vms {
		state, _ := deployment.state(vm)
		deployment.record.add("state", "%s: %s, %d live", vm.name, state.Division, state.Live)
		if state.Division != "divided by failure domain" {
			return fmt.Errorf("%w: the region is not divided", errNotRun)
		}
	}
	return nil
}

// checkReadiness checks each VM once a second, as the platform does.
func (deployment *deployment) checkReadiness(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for _, vm := range deployment.vms {
			go func() {
				response, err := client.Get("http://" + vm.address(deployment.ports.ready) + "/tanagerfall/readyz")
				vm.mutex.Lock()
				defer vm.mutex.Unlock()
				vm.misses++
				if err == nil {
					_ = response.Body.Close()
					if response.StatusCode == http.StatusOK {
						vm.misses = 0
					}
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// inRotation returns a VM that has not missed two readiness checks.
func (deployment *deployment) inRotation() *vm {
	for _, index := range rand.Perm(len(deployment.vms)) {
		vm := deployment.vms[index]
		vm.mutex.Lock()
		misses := vm.misses
		vm.mutex.Unlock()
		if misses < 2 {
			return vm
		}
	}
	return nil
}
