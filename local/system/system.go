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
	// listenRetries is how often an entry VM is started again because another
	// program took one of its ports in between.
	listenRetries = 3
	pollEvery     = 10 * time.Millisecond
	macKeyID      = 1
	macSecret     = "local deployment secret, not for production"
	coresEach     = 16
	memoryEach    = 32 << 10
	workersRack   = 8
)

// ErrNotReady is returned where an entry VM did not become ready in time.
var ErrNotReady = eris.New("entry VM is not ready")

// ErrUnknownVM is returned where no VM has the name.
var ErrUnknownVM = eris.New("unknown VM")

// Config describes a deployment.
type Config struct {
	Domains []string
	// Entries and Workers are the numbers of VMs in each failure domain.
	Entries int
	Workers int
	Slots   int
	// Speeds are given to the workers of a failure domain in turn.
	Speeds []float64
	// Retention of the stand-in log; 0 means its default.
	Retention time.Duration
	// Log takes the log lines of the entry VMs; nil means none.
	Log      io.Writer
	LogLevel log.Level
	Policy   string
	// EntryProgram is the path of a program that behaves as the entry program,
	// to run each entry VM as a process of its own. Where it is empty they run
	// in this process.
	EntryProgram string
	// Directory takes the settings files of such processes.
	Directory string
}

// DefaultConfig is a small deployment with the failure domains of Kestane.
func DefaultConfig() Config {
	return Config{
		Domains:  []string{"ege-izmir", "ege-manisa", "ege-aydin"},
		Entries:  2,
		Workers:  4,
		Slots:    8,
		Speeds:   []float64{1, 2, 0.5, 1},
		LogLevel: log.WarnLevel,
		Policy:   "target",
	}
}

// Worker is one worker VM.
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
	Entries     []*Entry
	web         *http.Client
	// mutex guards changes of Entries while a load runs.
	mutex sync.Mutex
}

// Start starts the platform, the workers and the entry VMs. Without a plan no
// entry VM is ready.
func Start(config Config) (*System, error) {
	system := &System{
		config: config,
		web: &http.Client{
			Timeout: 10 * time.Second,
		},
	}
	if err := system.startPlatform(); err != nil {
		return nil, err
	}
	for _, domain := range config.Domains {
		for i := range config.Workers {
			if err := system.startWorker(domain, i); err != nil {
				system.Stop()
				return nil, err
			}
		}
	}
	for _, domain := range config.Domains {
		for i := range config.Entries {
			if _, err := system.StartEntry(fmt.Sprintf("%s-%d", domain, i+1), domain); err != nil {
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
		Retention: system.config.Retention,
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
	if len(system.config.Speeds) > 0 {
		speed = system.config.Speeds[index%len(system.config.Speeds)]
	}
	started := worker.New(worker.Config{
		Address:  loopback + ":0",
		Slots:    system.config.Slots,
		Cores:    coresEach,
		MemoryMb: memoryEach,
		Speed:    speed,
	})
	address, err := started.Listen()
	if err != nil {
		return eris.Wrap(err, "starting a worker")
	}
	system.Workers = append(system.Workers, &Worker{
		Name:    fmt.Sprintf("worker-%s-%d", domain, index+1),
		Domain:  domain,
		Address: address,
		Worker:  started,
	})
	system.Platform.SetVm(wire.Vm{
		Address:  address,
		Domain:   domain,
		Rack:     fmt.Sprintf("%s-rack-%d", domain, index/workersRack+1),
		Role:     wire.RoleWorker,
		State:    wire.VmLive,
		Slots:    system.config.Slots,
		Cores:    coresEach,
		MemoryMb: memoryEach,
		Speed:    speed,
	})
	return nil
}

// StartEntry starts one more entry VM and lists it with the platform.
func (system *System) StartEntry(name, domain string) (*Entry, error) {
	entry, err := system.newEntry(name, domain)
	for range listenRetries {
		if !errors.Is(err, process.ErrListen) {
			break
		}
		entry, err = system.newEntry(name, domain)
	}
	if err != nil {
		return nil, err
	}
	system.mutex.Lock()
	system.Entries = append(system.Entries, entry)
	system.mutex.Unlock()
	system.Platform.SetVm(wire.Vm{
		Address: entry.Settings.PeerAddress,
		Domain:  domain,
		Role:    wire.RoleEntry,
		State:   wire.VmLive,
		Size:    entry.Settings.Size,
	})
	return entry, nil
}

func (system *System) newEntry(name, domain string) (*Entry, error) {
	configured, err := system.entrySettings(domain)
	if err != nil {
		return nil, err
	}
	entry := &Entry{
		Name:     name,
		Settings: configured,
		web:      system.web,
	}
	entry.runner, err = system.run(entry)
	return entry, err
}

func (system *System) entrySettings(domain string) (settings.Entry, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return settings.Entry{}, err
	}
	configured := settings.DefaultEntry()
	configured.Format = settings.EntryFormat
	configured.Domain = domain
	configured.CallerAddress = addresses[0]
	configured.PeerAddress = addresses[1]
	configured.OperatorAddress = addresses[2]
	configured.PlatformURL = system.PlatformURL
	configured.MacKeys = []settings.MacKey{
		{
			ID:     macKeyID,
			Secret: base64.StdEncoding.EncodeToString([]byte(macSecret)),
		},
	}
	if system.config.Policy != "" {
		configured.Placement.Policy = system.config.Policy
	}
	for _, entry := range system.Entries {
		configured.Peers = append(configured.Peers, entry.Settings.PeerAddress)
	}
	return configured, nil
}

// AwaitReady waits until every entry VM is ready.
func (system *System) AwaitReady(ctx context.Context) error {
	for _, entry := range system.Entries {
		if err := entry.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Ready returns the entry VMs that say that they are ready.
func (system *System) Ready(ctx context.Context) []*Entry {
	var ready []*Entry
	for _, entry := range system.listEntries() {
		if entry.answers(ctx, "/readyz") {
			ready = append(ready, entry)
		}
	}
	return ready
}

// Domains returns the failure domains.
func (system *System) Domains() []string { return system.config.Domains }

// Keyring returns the keyring of the deployment's submission IDs.
func (system *System) Keyring() *submission.Keyring {
	return submission.NewKeyring(submission.MacKey{
		ID:     macKeyID,
		Secret: []byte(macSecret),
	})
}

func (system *System) listEntries() []*Entry {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	return slices.Clone(system.Entries)
}

// Entry returns the entry VM with the name.
func (system *System) Entry(name string) (*Entry, error) {
	for _, entry := range system.Entries {
		if entry.Name == name {
			return entry, nil
		}
	}
	return nil, eris.Wrap(ErrUnknownVM, name)
}

// Worker returns the worker with the name.
func (system *System) Worker(name string) (*Worker, error) {
	for _, worker := range system.Workers {
		if worker.Name == name {
			return worker, nil
		}
	}
	return nil, eris.Wrap(ErrUnknownVM, name)
}

// Remove takes the VM off the platform's list.
func (system *System) Remove(entry *Entry) {
	system.Platform.RemoveVm(entry.Settings.PeerAddress)
	system.mutex.Lock()
	defer system.mutex.Unlock()
	for i, known := range system.Entries {
		if known == entry {
			system.Entries = append(system.Entries[:i], system.Entries[i+1:]...)
			return
		}
	}
}

// Stop stops everything at once.
func (system *System) Stop() {
	for _, entry := range system.Entries {
		entry.Kill()
	}
	for _, worker := range system.Workers {
		worker.Close()
	}
	system.Platform.Close()
	system.web.CloseIdleConnections()
}
