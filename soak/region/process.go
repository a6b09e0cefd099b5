package region

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

// process is a platform process with its own loopback address. It can be stopped
// and started again.
type process struct {
	name            string
	platformProgram string
	settingsFile    string
	ip              string
	// extraArguments are appended to the command line.
	extraArguments []string
	// logFile receives the output of all incarnations; nil discards it.
	logFile *os.File
	mutex   sync.Mutex
	// startCount is the number of incarnations so far.
	startCount int
	command    *exec.Cmd
	done       chan struct{}
	// pauses counts the pauses that have not ended.
	pauses atomic.Int32
}

// The ports of every process. They are the same for all, because each process has
// its own address.
const (
	callerPort  = 18161
	readyPort   = 18167
	controlPort = 18166
	peerPort    = 18720
	// proxiedPeerPort is the port on which a process behind a proxy listens for its
	// peers.
	proxiedPeerPort = 18721
)

// newProcess writes the settings file of a process and returns the process, which
// is not started. Each seed and network has its own loopback addresses, so that several
// soaks can run at the same time.
func newProcess(directory string, options Options, index int, storeAddress string) (*process, error) {
	ip := loopback(options, index)
	settingsFile := filepath.Join(directory, ip+".yaml")
	settings := fmt.Sprintf("node-name: %s\nip: %s\nzone: z%d\nlisten-addrs: {front: %q, ready: %q, control: %q}\n"+
		"internal-ports: [%d]\nseeds: [%q]\nlimits: {cpu-share: 1, cores: 1}\n"+
		"bounds: {grace-s: 6, hold-max-ms: 1000, stop-grace-ms: 50, resend-ms: 1300}\nplatform: {address: %q}\n",
		processName(index), ip, index%domainCount, address(ip, callerPort), address(ip, readyPort), address(ip, controlPort),
		peerPort, address(loopback(options, 0), controlPort), storeAddress)
	if err := os.WriteFile(settingsFile, []byte(settings), 0o600); err != nil {
		return nil, eris.Wrap(err, "writing the settings of a process")
	}
	return &process{
		name:            processName(index),
		platformProgram: options.PlatformProgram,
		settingsFile:    settingsFile,
		ip:              ip,
	}, nil
}

// networkSize is the number of addresses of a network, and thereby the largest number of
// processes. maxNetwork is the highest one of which all addresses are valid.
const (
	networkSize = 32
	maxNetwork  = 6
)

func loopback(options Options, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", options.Seed/250%250, 1+options.Seed%250, options.Network*networkSize+index+1)
}

func processName(index int) string { return fmt.Sprintf("vm-%d", index) }

func address(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// start starts the process if it isn't running. Without a log file it logs only
// errors.
func (process *process) start() {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command != nil {
		return
	}
	level := "error"
	if process.logFile != nil {
		level = "debug"
	}
	arguments := append([]string{"serve", "--settings", process.settingsFile, "--log-level", level}, process.extraArguments...)
	command := exec.Command(process.platformProgram, arguments...)
	if process.logFile != nil {
		command.Stdout = process.logFile
	}
	if err := command.Start(); err != nil {
		return
	}
	process.startCount++
	process.command = command
	process.done = make(chan struct{})
	go func() {
		_ = command.Wait()
		process.mutex.Lock()
		defer process.mutex.Unlock()
		process.command = nil
		close(process.done)
	}()
}

// signal sends a signal to the process that this soak started. It returns a channel
// that is closed when the process ends, or nil if it isn't running.
func (process *process) signal(signal syscall.Signal) chan struct{} {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command == nil {
		return nil
	}
	_ = process.command.Process.Signal(signal)
	return process.done
}

// pid returns the ID of the running process, or 0.
func (process *process) pid() int {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command == nil {
		return 0
	}
	return process.command.Process.Pid
}

// kill kills the process and waits until it has ended.
func (process *process) kill() {
	if done := process.signal(syscall.SIGKILL); done != nil {
		<-done
	}
}
