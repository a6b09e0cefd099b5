package system

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"tanagerfall/entry/process"
	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/shared/process/settings"
	"tanagerfall/shared/request/submission"
	"tanagerfall/standin/platform"
	"tanagerfall/standin/worker"
)

const (
	loopback = "127.0.0.1"
	// maxListenRetries is the number of times that an entry VM is started again
	// because another program took one of its ports before it listened.
	maxListenRetries  = 3
	pollInterval      = 10 * time.Millisecond
	macKeyID          = 1
	macSecret         = "local deployment secret, not for production"
	coresPerWorker    = 16
	memoryMbPerWorker = 32 << 10
	workersPerRack    = 8
)

// ErrNotReady is wrapped if an entry VM did not become ready in time.
var ErrNotReady = eris.New("entry VM is not ready")

// ErrUnknownVM is wrapped if no VM has the given name.
var ErrUnknownVM = eris.New("unknown VM")

// Config holds the size and the settings of a deployment.
type Config struct {
	Domains []string
	// EntryVMsPerDomain and WorkersPerDomain are the numbers of VMs in each
	// failure domain.
	EntryVMsPerDomain int
	WorkersPerDomain  int
	SlotsPerWorker    int
	// WorkerSpeeds are assigned to the workers of a failure domain in turn. 1 is
	// the nominal speed; it is used if there are none.
	WorkerSpeeds []float64
	// LogRetention is the retention of the stand-in log; 0 means its default.
	LogRetention time.Duration
	// EntryVMLog receives the log lines of the entry VMs; nil discards them.
	EntryVMLog      io.Writer
	EntryVMLogLevel log.Level
	// PlacementPolicy is the placement policy of the entry VMs; if it is empty,
	// they use their default.
	PlacementPolicy string
	// EntryProgram is the path of a program with the command line of the entry
	// program, which runs each entry VM as a separate process. If it is empty,
	// the entry VMs run in this process.
	EntryProgram string
	// SettingsDirectory receives the settings files of separate processes.
	SettingsDirectory string
}

// DefaultConfig returns the Config of a small deployment with the failure domains
// of the deployment Kestane: ege-izmir, ege-manisa and ege-aydin.
func DefaultConfig() Config {
	return Config{
		Domains:           []string{"ege-izmir", "ege-manisa", "ege-aydin"},
		EntryVMsPerDomain: 2,
		WorkersPerDomain:  4,
		SlotsPerWorker:    8,
		WorkerSpeeds:      []float64{1, 2, 0.5, 1},
		EntryVMLogLevel:   log.WarnLevel,
		PlacementPolicy:   "target",
	}
}

// Worker is a stand-in worker with its name and its place in the deployment.
type Worker struct {
	Name    string
	Domain  string
	Address string
	*worker.Worker
}

// System is a running deployment.
type System struct {
	config      Config
	Platform    *platform.Platform
	PlatformURL string
	Workers     []*Worker
	EntryVMs    []*EntryVM
	httpClient  *http.Client
	// mutex guards changes of EntryVMs, because a load reads them concurrently.
	mutex sync.Mutex
}

// Start starts the platform, the workers and the entry VMs. The entry VMs become
// ready after a plan is published.
func Start(config Config) (*System, error) {
	system := &System{
		config: config,
		httpClient: &http.Client{
			Timeout: 10 * time.Second,
		},
	}
	if err := system.startPlatform(); err != nil {
		return nil, err
	}
	for _, domain := range config.Domains {
		for i := range config.WorkersPerDomain {
			if err := system.startWorker(domain, i); err != nil {
				system.Stop()
				return nil, err
			}
		}
	}
	for _, domain := range config.Domains {
		for i := range config.EntryVMsPerDomain {
			if _, err := system.StartEntryVM(fmt.Sprintf("%s-%d", domain, i+1), domain); err != nil {
				system.Stop()
				return nil, err
			}
		}
	}
	return system, nil
}

func (system *System) startPlatform() error {
	system.Platform = platform.New(platform.Config{
		Address:   loopback + ":0",
		Retention: system.config.LogRetention,
	})
	address, err := system.Platform.Listen()
	if err != nil {
		return eris.Wrap(err, "starting the platform")
	}
	system.PlatformURL = "http://" + address
	return nil
}

func (system *System) startWorker(domain string, index int) error {
	speed := 1.0
	if len(system.config.WorkerSpeeds) > 0 {
		speed = system.config.WorkerSpeeds[index%len(system.config.WorkerSpeeds)]
	}
	standinWorker := worker.New(worker.Config{
		Address:  loopback + ":0",
		Slots:    system.config.SlotsPerWorker,
		Cores:    coresPerWorker,
		MemoryMb: memoryMbPerWorker,
		Speed:    speed,
	})
	address, err := standinWorker.Listen()
	if err != nil {
		return eris.Wrap(err, "starting a worker")
	}
	system.Workers = append(system.Workers, &Worker{
		Name:    fmt.Sprintf("worker-%s-%d", domain, index+1),
		Domain:  domain,
		Address: address,
		Worker:  standinWorker,
	})
	system.Platform.SetVM(wire.VM{
		Address:  address,
		Domain:   domain,
		Rack:     fmt.Sprintf("%s-rack-%d", domain, index/workersPerRack+1),
		Role:     wire.RoleWorker,
		State:    wire.VMLive,
		Slots:    system.config.SlotsPerWorker,
		Cores:    coresPerWorker,
		MemoryMb: memoryMbPerWorker,
		Speed:    speed,
	})
	return nil
}

// StartEntryVM starts an additional entry VM and adds it to the platform's VM
// list.
func (system *System) StartEntryVM(name, domain string) (*EntryVM, error) {
	entryVM, err := system.newEntryVM(name, domain)
	for range maxListenRetries {
		if !errors.Is(err, process.ErrListen) {
			break
		}
		entryVM, err = system.newEntryVM(name, domain)
	}
	if err != nil {
		return nil, err
	}
	system.mutex.Lock()
	system.EntryVMs = append(system.EntryVMs, entryVM)
	system.mutex.Unlock()
	system.Platform.SetVM(wire.VM{
		Address: entryVM.Settings.PeerAddress,
		Domain:  domain,
		Role:    wire.RoleEntry,
		State:   wire.VMLive,
		Size:    entryVM.Settings.Size,
	})
	return entryVM, nil
}

func (system *System) newEntryVM(name, domain string) (*EntryVM, error) {
	entrySettings, err := system.newSettings(domain)
	if err != nil {
		return nil, err
	}
	entryVM := &EntryVM{
		Name:       name,
		Settings:   entrySettings,
		httpClient: system.httpClient,
	}
	entryVM.runner, err = system.startRunner(entryVM)
	return entryVM, err
}

func (system *System) newSettings(domain string) (settings.Entry, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return settings.Entry{}, err
	}
	entrySettings := settings.DefaultEntry()
	entrySettings.Format = settings.EntryFormat
	entrySettings.Domain = domain
	entrySettings.CallerAddress = addresses[0]
	entrySettings.PeerAddress = addresses[1]
	entrySettings.OperatorAddress = addresses[2]
	entrySettings.PlatformURL = system.PlatformURL
	entrySettings.MacKeys = []settings.MacKey{
		{
			ID:     macKeyID,
			Secret: base64.StdEncoding.EncodeToString([]byte(macSecret)),
		},
	}
	if system.config.PlacementPolicy != "" {
		entrySettings.Placement.Policy = system.config.PlacementPolicy
	}
	for _, entryVM := range system.EntryVMs {
		entrySettings.Peers = append(entrySettings.Peers, entryVM.Settings.PeerAddress)
	}
	return entrySettings, nil
}

// AwaitReady waits until every entry VM is ready. The error wraps ErrNotReady if
// ctx ends or an entry VM stops first.
func (system *System) AwaitReady(ctx context.Context) error {
	for _, entryVM := range system.EntryVMs {
		if err := entryVM.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Ready returns the entry VMs that report that they are ready.
func (system *System) Ready(ctx context.Context) []*EntryVM {
	var ready []*EntryVM
	for _, entryVM := range system.listEntryVMs() {
		if entryVM.respondsOK(ctx, "/readyz") {
			ready = append(ready, entryVM)
		}
	}
	return ready
}

// Domains returns the names of the failure domains.
func (system *System) Domains() []string { return system.config.Domains }

// Keyring returns the keyring that verifies the deployment's submission IDs.
func (system *System) Keyring() *submission.Keyring {
	return submission.NewKeyring(submission.MacKey{
		ID:     macKeyID,
		Secret: []byte(macSecret),
	})
}

func (system *System) listEntryVMs() []*EntryVM {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	return slices.Clone(system.EntryVMs)
}

// EntryVM returns the entry VM with the given name. The error wraps ErrUnknownVM.
func (system *System) EntryVM(name string) (*EntryVM, error) {
	for _, entryVM := range system.EntryVMs {
		if entryVM.Name == name {
			return entryVM, nil
		}
	}
	return nil, eris.Wrap(ErrUnknownVM, name)
}

// Worker returns the worker with the given name. The error wraps ErrUnknownVM.
func (system *System) Worker(name string) (*Worker, error) {
	for _, worker := range system.Workers {
		if worker.Name == name {
			return worker, nil
		}
	}
	return nil, eris.Wrap(ErrUnknownVM, name)
}

// RemoveEntryVM removes an entry VM from the platform's VM list and from
// EntryVMs. It doesn't stop the entry VM.
func (system *System) RemoveEntryVM(entryVM *EntryVM) {
	system.Platform.RemoveVM(entryVM.Settings.PeerAddress)
	system.mutex.Lock()
	defer system.mutex.Unlock()
	for i, listed := range system.EntryVMs {
		if listed == entryVM {
			system.EntryVMs = append(system.EntryVMs[:i], system.EntryVMs[i+1:]...)
			return
		}
	}
}

// Stop kills all entry VMs and closes the workers and the platform, without a
// graceful shutdown.
func (system *System) Stop() {
	for _, entryVM := range system.EntryVMs {
		entryVM.Kill()
	}
	for _, worker := range system.Workers {
		worker.Close()
	}
	system.Platform.Close()
	system.httpClient.CloseIdleConnections()
}
