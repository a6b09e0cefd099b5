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

// ErrNeedsProcess is returned for what only works on entry VMs that run as
// processes of their own.
var ErrNeedsProcess = eris.New("entry VM is not a process of its own")

// EntryVM is one entry VM.
type EntryVM struct {
	Name       string
	Settings   settings.Entry
	runner     runner
	httpClient *http.Client
}

// runner is how an entry VM runs: inProcess or ownProcess.
type runner interface{ runner() }

type inProcess struct {
	cancel context.CancelFunc
	done   chan struct{}
}

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
	running := &inProcess{
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(running.done)
		_ = entryProcess.Run(ctx)
	}()
	return running, nil
}

func (system *System) startProcess(entryVM *EntryVM, logWriter io.Writer) (runner, error) {
	entryVM.Settings.LogLevel = system.config.EntryVMLogLevel.String()
	data, err := yaml.Marshal(entryVM.Settings)
	if err != nil {
		return nil, eris.Wrap(err, "encoding settings")
	}
	settingsFile := filepath.Join(system.config.SettingsDirectory, entryVM.Name+".yaml")
	if err := os.WriteFile(settingsFile, data, 0o600); err != nil {
		return nil, eris.Wrap(err, "writing settings")
	}
	command := exec.Command(system.config.EntryProgram, "--settings", settingsFile)
	command.Stderr = logWriter
	if err := command.Start(); err != nil {
		return nil, eris.Wrap(err, "starting an entry VM")
	}
	running := &ownProcess{
		command: command,
		done:    make(chan struct{}),
	}
	go func() {
		defer close(running.done)
		_ = command.Wait()
	}()
	return running, entryVM.awaitListening(running.done)
}

// awaitListening waits until the program serves. The error wraps
// process.ErrListen if it ended instead: another program may have taken one of
// its ports since it was chosen.
func (entryVM *EntryVM) awaitListening(ended <-chan struct{}) error {
	for !entryVM.respondsOK(context.Background(), "/healthz") {
		select {
		case <-ended:
			return eris.Wrapf(process.ErrListen, "%s ended at its start", entryVM.Name)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// CallerURL is the base URL of the entry VM for callers.
func (entryVM *EntryVM) CallerURL() string { return "http://" + entryVM.Settings.CallerAddress }

// OperatorURL is the base URL of the entry VM for operators.
func (entryVM *EntryVM) OperatorURL() string { return "http://" + entryVM.Settings.OperatorAddress }

// AwaitReady waits until the entry VM says that it is ready.
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

// respondsOK reports whether the operator address answers a path with status 200.
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

// Drain starts the graceful shutdown of the entry VM and waits for its end.
func (entryVM *EntryVM) Drain(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entryVM.OperatorURL()+"/drain", nil)
	if err != nil {
		return eris.Wrap(err, "building a request")
	}
	response, err := entryVM.httpClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "asking for a drain")
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

// Kill ends the entry VM at once and waits for its end.
func (entryVM *EntryVM) Kill() {
	switch runner := entryVM.runner.(type) {
	case *inProcess:
		runner.cancel()
	case *ownProcess:
		_ = runner.command.Process.Kill()
	}
	<-entryVM.done()
}

// Pause stops the process of the entry VM until Resume. The error is
// ErrNeedsProcess or the system's.
func (entryVM *EntryVM) Pause() error { return entryVM.signal(syscall.SIGSTOP) }

// Resume ends a Pause.
func (entryVM *EntryVM) Resume() error { return entryVM.signal(syscall.SIGCONT) }

func (entryVM *EntryVM) signal(signal syscall.Signal) error {
	running, ok := entryVM.runner.(*ownProcess)
	if !ok {
		return eris.Wrap(ErrNeedsProcess, entryVM.Name)
	}
	return eris.Wrap(running.command.Process.Signal(signal), entryVM.Name)
}
