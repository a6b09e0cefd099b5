package system

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"tanagerfall/entry/process"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/process/settings"
)

// ErrNeedsProcess is wrapped by operations that work only on entry VMs that run
// as separate processes.
var ErrNeedsProcess = eris.New("entry VM does not run as a separate process")

// EntryVM is an entry VM of a deployment, run in this process or as a separate one.
type EntryVM struct {
	Name       string
	Settings   settings.Entry
	runner     runner
	httpClient *http.Client
}

// runner controls a running entry VM: inProcess or ownProcess.
type runner interface{ runner() }

// inProcess runs an entry VM in this process.
type inProcess struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// ownProcess runs an entry VM as a separate process.
type ownProcess struct {
	command *exec.Cmd
	done    chan struct{}
}

func (*inProcess) runner()  {}
func (*ownProcess) runner() {}

func (system *System) startRunner(entryVM *EntryVM) (runner, error) {
	logWriter := system.config.EntryVMLog
	if logWriter == nil {
		logWriter = io.Discard
	}
	if system.config.EntryProgram != "" {
		return system.startProcess(entryVM, logWriter)
	}
	entryProcess, err := process.New(entryVM.Settings, logevent.New(logWriter, system.config.EntryVMLogLevel, entryVM.Name))
	if err != nil {
		return nil, eris.Wrap(err, "starting an entry VM")
	}
	ctx, cancel := context.WithCancel(context.Background())
	inProcess := &inProcess{
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(inProcess.done)
		_ = entryProcess.Run(ctx)
	}()
	return inProcess, nil
}

func (system *System) startProcess(entryVM *EntryVM, logWriter io.Writer) (runner, error) {
	entryVM.Settings.LogLevel = system.config.EntryVMLogLevel.String()
	data, err := yaml.Marshal(entryVM.Settings)
	if err != nil {
		return nil, eris.Wrap(err, "encoding the settings of an entry VM")
	}
	settingsFile := filepath.Join(system.config.SettingsDirectory, entryVM.Name+".yaml")
	if err := os.WriteFile(settingsFile, data, 0o600); err != nil {
		return nil, eris.Wrap(err, "writing the settings of an entry VM")
	}
	command := exec.Command(system.config.EntryProgram, "--settings", settingsFile)
	command.Stderr = logWriter
	if err := command.Start(); err != nil {
		return nil, eris.Wrap(err, "starting an entry VM")
	}
	ownProcess := &ownProcess{
		command: command,
		done:    make(chan struct{}),
	}
	go func() {
		defer close(ownProcess.done)
		_ = command.Wait()
	}()
	return ownProcess, entryVM.awaitListening(ownProcess.done)
}

// awaitListening waits until the entry program serves requests. If the program
// ends first, the error wraps process.ErrListen: another program may have taken
// one of its ports after the port was chosen.
func (entryVM *EntryVM) awaitListening(ended <-chan struct{}) error {
	for !entryVM.respondsOK(context.Background(), "/healthz") {
		select {
		case <-ended:
			return eris.Wrapf(process.ErrListen, "%s ended during its start", entryVM.Name)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// CallerURL returns the base URL of the entry VM for callers.
func (entryVM *EntryVM) CallerURL() string { return "http://" + entryVM.Settings.CallerAddress }

// OperatorURL returns the base URL of the entry VM for operators.
func (entryVM *EntryVM) OperatorURL() string { return "http://" + entryVM.Settings.OperatorAddress }

// AwaitReady waits until the entry VM reports that it is ready. The error wraps
// ErrNotReady if ctx ends or the entry VM stops first.
func (entryVM *EntryVM) AwaitReady(ctx context.Context) error {
	for !entryVM.respondsOK(ctx, "/readyz") {
		select {
		case <-ctx.Done():
			return eris.Wrap(ErrNotReady, entryVM.Name)
		case <-entryVM.done():
			return eris.Wrapf(ErrNotReady, "%s has stopped", entryVM.Name)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// respondsOK reports whether the operator address answers a request for the path
// with status 200.
func (entryVM *EntryVM) respondsOK(ctx context.Context, path string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entryVM.OperatorURL()+path, nil)
	if err != nil {
		return false
	}
	response, err := entryVM.httpClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Drain starts the graceful shutdown of the entry VM and waits until it has
// stopped. The error wraps the context's error if ctx ends first.
func (entryVM *EntryVM) Drain(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entryVM.OperatorURL()+"/drain", nil)
	if err != nil {
		return eris.Wrap(err, "building the drain request")
	}
	response, err := entryVM.httpClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "requesting the drain")
	}
	response.Body.Close()
	select {
	case <-entryVM.done():
		return nil
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "%s did not stop", entryVM.Name)
	}
}

func (entryVM *EntryVM) done() <-chan struct{} {
	switch runner := entryVM.runner.(type) {
	case *inProcess:
		return runner.done
	case *ownProcess:
		return runner.done
	}
	return nil
}

// Kill ends the entry VM without a graceful shutdown and waits until it has
// stopped.
func (entryVM *EntryVM) Kill() {
	switch runner := entryVM.runner.(type) {
	case *inProcess:
		runner.cancel()
	case *ownProcess:
		_ = runner.command.Process.Kill()
	}
	<-entryVM.done()
}

// Pause suspends the process of the entry VM until Resume. The error wraps
// ErrNeedsProcess or the error of the signal.
func (entryVM *EntryVM) Pause() error { return entryVM.signal(syscall.SIGSTOP) }

// Resume continues the process of an entry VM after Pause, with the same errors.
func (entryVM *EntryVM) Resume() error { return entryVM.signal(syscall.SIGCONT) }

func (entryVM *EntryVM) signal(signal syscall.Signal) error {
	ownProcess, ok := entryVM.runner.(*ownProcess)
	if !ok {
		return eris.Wrap(ErrNeedsProcess, entryVM.Name)
	}
	return eris.Wrap(ownProcess.command.Process.Signal(signal), entryVM.Name)
}
