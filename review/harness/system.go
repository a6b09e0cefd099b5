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
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"ege-izmir", "ege-manisa", "ege-aydin"}

// host and prefix select the queue of the cases.
const (
	host   = "nony24.example"
	prefix = "/lohu930/"
)

// node is a process of the system on a machine of its own loopback address.
type node struct {
	name, zone, ip string
	ports          ports
	settings       string
	command        *exec.Cmd
	ended          chan struct{}
	// misses counts the readiness checks in a row that failed; -1 after a good one.
	misses int
	// removed is set once the machine is gone for good, watched once the balancer
	// checks it.
	removed, watched bool
}

// ports are the ports of all nodes.
type ports struct {
	front, ready, control, peer int
}

// system is a small deployment: nodes, workers and the store.
type system struct {
	recorder     *recorder
	journal      *journal
	store        *store
	storeAddress string
	storeServer  *http.Server
	nodes        []*node
	workers      []*worker
	directory    string
	// subnet is the first part of the nodes' addresses, lastHost the last part of
	// the newest.
	subnet   string
	lastHost int
	ports    ports
	mutex    sync.Mutex
}

// maxHosts is the number of addresses that nodes may have in a case.
const maxHosts = 70

// newSystem starts the stand-ins and the processes, and waits until the balancer has
// all nodes in rotation.
func newSystem(recorder *recorder, nodeCount, workerCount int, labels func(index int) []string) (*system, error) {
	directory, err := os.MkdirTemp("", "tanagerfall-review")
	if err != nil {
		return nil, err
	}
	system := &system{
		recorder:  recorder,
		journal:   &journal{},
		store:     newStore(),
		directory: directory,
	}
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return system, err
	}
	system.storeAddress = storeListener.Addr().String()
	system.storeServer = &http.Server{Handler: system.store}
	go func() { _ = system.storeServer.Serve(storeListener) }()
	system.putManifest(1)
	for index := range workerCount {
		worker := &worker{
			id:       workerID(index),
			zone:     zones[index%len(zones)],
			store:    system.store,
			journal:  system.journal,
			recorder: recorder,
		}
		if err := worker.boot(labels(index)); err != nil {
			return system, err
		}
		system.workers = append(system.workers, worker)
		go worker.live()
	}
	if err := system.startNodes(nodeCount); err != nil {
		return system, err
	}
	deadline := time.Now().Add(15 * time.Second)
	for !system.allReady() {
		if time.Now().After(deadline) {
			return system, errors.New("the nodes did not become ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
	recorder.add("all %d nodes are ready", nodeCount)
	return system, nil
}

// putManifest writes a version of the manifest.
func (system *system) putManifest(version int, extraRoutes ...string) {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": prefix, "kind": "unsafe", "timeout-ms": 1500,
			"target-latency-ms": 60, "priority": 0, "service": "tezgah", "max-attempts": 3, "stretch": 1.6,
		}
	}
	routes := []any{route("r-3hwrr6x", prefix)}
	for _, extra := range extraRoutes {
		routes = append(routes, route("r-"+strings.Trim(extra, "/"), extra))
	}
	manifest, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": "tezgah", "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false,
			"enforces-capacity": true, "standby": false,
		}},
		"limits": map[string]int{
			"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	system.store.put("keyed.op", "config", string(manifest))
	system.recorder.add("the store acknowledges manifest %d", version)
}

// startNodes starts the processes with the command of the deploy file.
func (system *system) startNodes(count int) error {
	system.subnet = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
	var err error
	if system.ports, err = freePorts(system.subnet); err != nil {
		return err
	}
	for index := range count {
		system.nodes = append(system.nodes, system.newNode(zones[index%len(zones)]))
	}
	for _, node := range system.nodes {
		if err := system.writeSettings(node, system.storeAddress); err != nil {
			return err
		}
		if err := system.startNode(node); err != nil {
			return err
		}
	}
	return nil
}

// newNode returns a node at a new address.
func (system *system) newNode(zone string) *node {
	system.lastHost++
	return &node{
		name:     fmt.Sprintf("edge-%s-%d", zone, (system.lastHost-1)/len(zones)+1),
		zone:     zone,
		ip:       system.subnet + strconv.Itoa(system.lastHost),
		ports:    system.ports,
		settings: filepath.Join(system.directory, fmt.Sprintf("node-%d.yaml", system.lastHost)),
	}
}

// replace ends a node for good, without SIGTERM, and starts a new one at another
// address in its place.
func (system *system) replace(index int) error {
	old := system.nodes[index]
	system.signal(old, syscall.SIGKILL)
	<-old.ended
	fresh := system.newNode(old.zone)
	system.mutex.Lock()
	old.removed = true
	system.nodes[index] = fresh
	system.mutex.Unlock()
	if err := system.writeSettings(fresh, system.storeAddress); err != nil {
		return err
	}
	return system.startNode(fresh)
}

// freePorts returns ports that are free on all addresses of the nodes.
func freePorts(subnet string) (ports, error) {
	var found []int
	for port := 21000 + rand.IntN(8000); len(found) < 4 && port < 32000; port++ {
		free := true
		for index := range maxHosts {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", subnet, index+1, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			found = append(found, port)
		}
	}
	if len(found) < 4 {
		return ports{}, errors.New("no free ports")
	}
	return ports{
		front:   found[0],
		ready:   found[1],
		control: found[2],
		peer:    found[3],
	}, nil
}

// writeSettings writes the settings file of a node.
func (system *system) writeSettings(node *node, storeAddress string) error {
	var seeds []string
	for _, other := range system.nodes[:min(3, len(system.nodes))] {
		seeds = append(seeds, fmt.Sprintf("  - %q\n", fmt.Sprintf("%s:%d", other.ip, node.ports.control)))
	}
	text := fmt.Sprintf(`node-name: %q
role: "entry"
machine-class: "edge"
serves:
  - "edge"
  - "control_plane"
ip: %q
zone: %q
region: "ege"
zones:
  ege-izmir: "ege"
  ege-manisa: "ege"
  ege-aydin: "ege"
listen-addrs:
  front: "%s:%d"
  ready: "%s:%d"
  control: "%s:%d"
internal-ports:
  - %d
  - %d
seeds:
%sbootstrap: true
limits:
  cpu-share: 0.4
  cores: 1
  memory-mb: 284
  max-fds: 4100
  link-mbps: 1000.0
  disk-mb: 0
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1500
bounds:
  contact-ms: 3000
  ack-ms: 4000
  drain-ms: 2000
  grace-s: 6
  loss-slack-ms: 200
  config-apply-ms: 2000
  rollback-slack-ms: 250
  hold-max-ms: 1000
  stop-grace-ms: 50
  cancel_ms: 3000
  visible_ms: 3000
  resend-ms: 1300
orders: "invocation"
platform:
  address: %q
  form: "log"
  writes-per-s: 800
  reads-per-s: 2000
  parts: 32
`, node.name, node.ip, node.zone, node.ip, node.ports.front, node.ip, node.ports.ready, node.ip, node.ports.control,
		node.ports.peer, node.ports.peer, strings.Join(seeds, ""), storeAddress)
	temporary := node.settings + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, node.settings)
}

// started holds the processes that were started and have not been ended.
var started struct {
	mutex     sync.Mutex
	processes map[*os.Process]bool
}

// endAll ends all processes that were started.
func endAll() {
	started.mutex.Lock()
	defer started.mutex.Unlock()
	for process := range started.processes {
		_ = process.Kill()
	}
}

// startNode starts the process of a node.
func (system *system) startNode(node *node) error {
	node.command = exec.Command("target/platform", "serve")
	node.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TANAGERFALL_SETTINGS=" + node.settings}
	if directory := os.Getenv("NODE_LOGS"); directory != "" {
		file, err := os.Create(filepath.Join(directory, node.name+".log"))
		if err != nil {
			return err
		}
		node.command.Stdout = file
	}
	if err := node.command.Start(); err != nil {
		return err
	}
	command, ended := node.command, make(chan struct{})
	node.ended = ended
	started.mutex.Lock()
	if started.processes == nil {
		started.processes = make(map[*os.Process]bool)
	}
	started.processes[command.Process] = true
	started.mutex.Unlock()
	go func() {
		_ = command.Wait()
		started.mutex.Lock()
		delete(started.processes, command.Process)
		started.mutex.Unlock()
		close(ended)
	}()
	system.recorder.add("%s starts at %s", node.name, node.ip)
	if !node.watched {
		node.watched = true
		go system.balance(node)
	}
	return nil
}

// signal sends a signal to the process of a node.
func (system *system) signal(node *node, signal syscall.Signal) {
	system.recorder.add("%s gets %s", node.name, signal)
	_ = node.command.Process.Signal(signal)
}

// end ends all processes and removes the temporary folder.
func (system *system) end() {
	endAll()
	for _, node := range system.nodes {
		if node.ended != nil {
			<-node.ended
		}
	}
	_ = os.RemoveAll(system.directory)
}

// balance sends the readiness check to a node once a second, until it is removed.
func (system *system) balance(node *node) {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for range time.Tick(time.Second) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/tanagerfall/readyz", node.ip, node.ports.ready))
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		system.mutex.Lock()
		removed := node.removed
		switch {
		case ready:
			if node.misses >= 2 {
				system.recorder.add("the balancer has %s in rotation again", node.name)
			}
			node.misses = -1
		case node.misses < 2:
			node.misses = max(node.misses, 0) + 1
			if node.misses == 2 {
				system.recorder.add("the balancer takes %s out of rotation", node.name)
			}
		}
		system.mutex.Unlock()
		if removed {
			return
		}
	}
}

func (system *system) allReady() bool {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	for _, node := range system.nodes {
		if node.misses != -1 {
			return false
		}
	}
	return true
}

// forward returns the node to which the balancer forwards a new channel of a client
// in a zone, other than the given one.
func (system *system) forward(zone string, other *node) *node {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	for _, node := range system.nodes {
		if node.zone == zone && node != other && node.misses < 2 {
			return node
		}
	}
	return nil
}

// scheduler returns the node that says of itself that it schedules. The cases use it
// only to choose the node that a disturbance strikes.
func (system *system) scheduler() (*node, error) {
	client := &http.Client{Timeout: time.Second}
	for _, node := range system.nodes {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/state", node.ip, node.ports.control))
		if err != nil {
			continue
		}
		var state struct {
			IsScheduler bool `json:"schedules"`
		}
		err = json.NewDecoder(response.Body).Decode(&state)
		_ = response.Body.Close()
		if err == nil && state.IsScheduler {
			return node, nil
		}
	}
	return nil, errors.New("no node schedules")
}

// call sends one request of a client on a channel of its own and returns the status
// and the body of the answer; status 0 if there was none.
func (system *system) call(ctx context.Context, node *node, method, path, body string, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", node.ip, node.ports.front, path), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	system.recorder.add("client -> %s: %s %s %s", node.name, method, path, body)
	response, err := client.Do(request)
	if err != nil {
		system.recorder.add("client <- %s: %s %s: no answer: %v", node.name, method, path, err)
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		system.recorder.add("client <- %s: %s %s: answer cut: %v", node.name, method, path, err)
		return 0, ""
	}
	system.recorder.add("client <- %s: %s %s: %d %s", node.name, method, path, response.StatusCode, answer)
	return response.StatusCode, string(answer)
}

// newID returns the ID of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
