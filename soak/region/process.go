package region

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// process is one platform process on a loopback address of its own.
type process struct {
	platformProgram string
	settingsFile    string
	ip              string
	// extraArguments are added to the command line.
	extraArguments []string
	// logFile takes what all incarnations write; nil drops it.
	logFile *os.File
	mutex   sync.Mutex
	// startCount counts the incarnations.
	startCount int
	command    *exec.Cmd
	done       chan struct{}
}

// The ports of all processes; each has an address of its own.
const (
	callerPort  = 18161
	readyPort   = 18167
	controlPort = 18166
	peerPort    = 18720
	// proxiedPeerPort is where a process listens for its peers behind a proxy.
	proxiedPeerPort = 18721
)

// newProcess returns a process that is not started. Each seed has loopback
// addresses of its own, so that several can run at a time.
func newProcess(program, directory string, seed uint64, index int, storeAddress string) (*process, error) {
	ip := loopback(seed, index)
	settingsFile := filepath.Join(directory, ip+".yaml")
	settings := fmt.Sprintf("node-name: vm-%d\nip: %s\nzone: z%d\nlisten-addrs: {front: %q, ready: %q, control: %q}\n"+
		"internal-ports: [%d]\nseeds: [%q]\nlimits: {cpu-share: 1, cores: 1}\n"+
		"bounds: {grace-s: 6, hold-max-ms: 1000, stop-grace-ms: 50, resend-ms: 1300}\nplatform: {address: %q}\n",
		index, ip, index%3, address(ip, callerPort), address(ip, readyPort), address(ip, controlPort),
		peerPort, address(loopback(seed, 0), controlPort), storeAddress)
	if err := os.WriteFile(settingsFile, []byte(settings), 0o600); err != nil {
		return nil, eris.Wrap(err, "writing settings")
	}
	return &process{
		platformProgram: program,
		settingsFile:    settingsFile,
		ip:              ip,
	}, nil
}

func loopback(seed uint64, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", seed/250%250, 1+seed%250, index+1)
}

func address(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// start starts the process unless it runs.
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

// signal sends a signal to the process that this soak started, if it runs.
func (process *process) signal(signal syscall.Signal) chan struct{} {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command == nil {
		return nil
	}
	_ = process.command.Process.Signal(signal)
	return process.done
}

// kill ends the process and waits for its end.
func (process *process) kill() {
	if done := process.signal(syscall.SIGKILL); done != nil {
		<-done
	}
}

// attempt makes one request to a process. The status is 0 where no answer came.
func (caller *caller) attempt(timeLeft time.Duration) (int, string) {
	processes := caller.region.processes
	process := processes[caller.random.IntN(len(processes))]
	body := fmt.Sprintf(`{"spec":"x","best-effort":true,"steps":[{"count":%d,"cpu":7000,"estimate-ms":200}]}`, caller.tasks)
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address(process.ip, callerPort)+"/q/"+caller.id,
		strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = "h.example"
	request.Close = true
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeLeft.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}
