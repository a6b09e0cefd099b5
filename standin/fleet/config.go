package fleet

import (
	"fmt"
	"math"
	"net"
	"strconv"

	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/shared/process/settings"
	"tanagerfall/standin/worker"
)

// Format is the version of the file format that this program reads.
const Format = 1

// maxWorkers bounds the number of workers, each with a listener, in one
// process.
const maxWorkers = 5000

// Config describes a deployment. Numbers that are 0 take the defaults of the
// stand-ins.
type Config struct {
	Format int `yaml:"format"`
	// ControlAddress is the IP:port that serves the fault commands and
	// journals of all stand-ins, under /platform/ and /workers/{address}/.
	ControlAddress string        `yaml:"control-address"`
	Platform       Platform      `yaml:"platform"`
	Entries        []EntryVM     `yaml:"entries"`
	Workers        []WorkerGroup `yaml:"workers"`
}

// Platform describes the platform. platform.Config explains the values, which
// are in milliseconds here.
type Platform struct {
	Address     string `yaml:"address"`
	RetentionMs int64  `yaml:"retention-ms"`
	AppendMs    int64  `yaml:"append-ms"`
	LagMs       int64  `yaml:"lag-ms"`
}

// EntryVM describes an entry VM, which the platform lists and callers submit
// jobs to. This package does not start it.
type EntryVM struct {
	// Address is the IP:port for other entry VMs, as the VM list shows it.
	Address string `yaml:"address"`
	// CallerAddress is the IP:port to which the load tool submits jobs.
	CallerAddress string `yaml:"caller-address"`
	Domain        string `yaml:"failure-domain"`
	// Size is the relative size of the entry VM; 0 means 1.
	Size float64 `yaml:"size"`
	// Pid is the process whose CPU time the load tool measures; 0 means none.
	// It can also be set on the load tool's command line.
	Pid int `yaml:"pid"`
}

// WorkerGroup describes workers of the same configuration that listen on
// consecutive ports from FirstAddress on.
type WorkerGroup struct {
	// FirstAddress is the IP:port of the first worker, and Count the number of
	// workers.
	FirstAddress string `yaml:"first-address"`
	Count        int    `yaml:"count"`
	Domain       string `yaml:"failure-domain"`
	// Service is the service of the workers in the VM list.
	Service string `yaml:"service"`
	// Slots, Cores, MemoryMb (in MB) and Accelerators are those of each
	// worker.
	Slots        int `yaml:"slots"`
	Cores        int `yaml:"cores"`
	MemoryMb     int `yaml:"memory-mb"`
	Accelerators int `yaml:"accelerators"`
	// SpeedMin and SpeedMax bound the speeds, which are spread evenly on a
	// logarithmic scale. If both are 0 every speed is 1.
	SpeedMin float64 `yaml:"speed-min"`
	SpeedMax float64 `yaml:"speed-max"`
	// PerRack is the number of workers per rack, a group within the failure
	// domain; 0 means that all share one rack.
	PerRack int `yaml:"per-rack"`
}

// Load reads a deployment. The error is a *settings.Error or wraps
// settings.ErrUnreadable.
func Load(file string) (Config, error) {
	return settings.Load(file, Config{})
}

// Validate returns the first invalid setting, or nil.
func (config *Config) Validate() *settings.Fault {
	if config.Format != Format {
		return newFault("format", "is %d, this program reads %d", config.Format, Format)
	}
	for _, setting := range []struct{ key, address string }{
		{
			key:     "control-address",
			address: config.ControlAddress,
		},
		{
			key:     "platform.address",
			address: config.Platform.Address,
		},
	} {
		if !isAddress(setting.address) {
			return newFault(setting.key, "%q is not IP:port", setting.address)
		}
	}
	for i := range config.Entries {
		if fault := config.Entries[i].validate(fmt.Sprintf("entries[%d]", i)); fault != nil {
			return fault
		}
	}
	total := 0
	for i := range config.Workers {
		if fault := config.Workers[i].validate(fmt.Sprintf("workers[%d]", i)); fault != nil {
			return fault
		}
		total += config.Workers[i].Count
	}
	if total == 0 || total > maxWorkers {
		return newFault("workers", "has %d workers, allowed are 1 to %d", total, maxWorkers)
	}
	return config.checkDistinctAddresses()
}

func (entryVM *EntryVM) validate(key string) *settings.Fault {
	if !isAddress(entryVM.Address) {
		return newFault(key+".address", "%q is not IP:port", entryVM.Address)
	}
	if entryVM.CallerAddress != "" && !isAddress(entryVM.CallerAddress) {
		return newFault(key+".caller-address", "%q is not IP:port", entryVM.CallerAddress)
	}
	if entryVM.Domain == "" {
		return newFault(key+".failure-domain", "is missing")
	}
	if entryVM.Size < 0 {
		return newFault(key+".size", "is %g, must not be negative", entryVM.Size)
	}
	return nil
}

func (workerGroup *WorkerGroup) validate(key string) *settings.Fault {
	if !isAddress(workerGroup.FirstAddress) {
		return newFault(key+".first-address", "%q is not IP:port", workerGroup.FirstAddress)
	}
	if workerGroup.Count < 1 {
		return newFault(key+".count", "is %d, must be at least 1", workerGroup.Count)
	}
	if _, port := splitAddress(workerGroup.FirstAddress); port+workerGroup.Count-1 > math.MaxUint16 {
		return newFault(key+".count", "is %d: the ports go beyond %d", workerGroup.Count, math.MaxUint16)
	}
	if workerGroup.Domain == "" {
		return newFault(key+".failure-domain", "is missing")
	}
	if workerGroup.Slots < 0 || workerGroup.Cores < 0 || workerGroup.MemoryMb < 0 || workerGroup.Accelerators < 0 || workerGroup.PerRack < 0 {
		return newFault(key, "slots, cores, memory-mb, accelerators and per-rack must not be negative")
	}
	if workerGroup.SpeedMin < 0 || workerGroup.SpeedMax < workerGroup.SpeedMin {
		return newFault(key+".speed-max", "is %g, must be at least speed-min", workerGroup.SpeedMax)
	}
	if workerGroup.SpeedMin == 0 && workerGroup.SpeedMax > 0 {
		return newFault(key+".speed-min", "is missing")
	}
	return nil
}

// checkDistinctAddresses returns a fault if two stand-ins have the same
// address.
func (config *Config) checkDistinctAddresses() *settings.Fault {
	usedAddresses := map[string]bool{
		config.ControlAddress:   true,
		config.Platform.Address: true,
	}
	if len(usedAddresses) < 2 {
		return newFault("platform.address", "%s is also the control-address", config.Platform.Address)
	}
	for i := range config.Workers {
		for _, vm := range config.Workers[i].vms(i) {
			if usedAddresses[vm.Address] {
				return newFault(fmt.Sprintf("workers[%d].first-address", i), "%s is used twice", vm.Address)
			}
			usedAddresses[vm.Address] = true
		}
	}
	return nil
}

// VMs returns the VMs of the deployment as the VM list shows them.
func (config *Config) VMs() []wire.VM {
	var vms []wire.VM
	for _, entryVM := range config.Entries {
		vms = append(vms, wire.VM{
			Address: entryVM.Address,
			Domain:  entryVM.Domain,
			Role:    wire.RoleEntry,
			State:   wire.VMLive,
			Size:    orDefault(entryVM.Size, 1),
		})
	}
	for i := range config.Workers {
		vms = append(vms, config.Workers[i].vms(i)...)
	}
	return vms
}

// vms returns the VMs of the group; index is its position in Config.Workers.
func (workerGroup *WorkerGroup) vms(index int) []wire.VM {
	host, port := splitAddress(workerGroup.FirstAddress)
	vms := make([]wire.VM, 0, workerGroup.Count)
	for i := range workerGroup.Count {
		rack := 0
		if workerGroup.PerRack > 0 {
			rack = i / workerGroup.PerRack
		}
		vms = append(vms, wire.VM{
			Address:      net.JoinHostPort(host, strconv.Itoa(port+i)),
			Domain:       workerGroup.Domain,
			Rack:         fmt.Sprintf("%s-%d-%d", workerGroup.Domain, index, rack),
			Role:         wire.RoleWorker,
			State:        wire.VMLive,
			Service:      workerGroup.Service,
			Slots:        orDefault(workerGroup.Slots, worker.DefaultSlots),
			Cores:        orDefault(workerGroup.Cores, worker.DefaultCores),
			MemoryMb:     orDefault(workerGroup.MemoryMb, worker.DefaultMemoryMb),
			Accelerators: workerGroup.Accelerators,
			Speed:        workerGroup.speed(i),
		})
	}
	return vms
}

// speedStride orders the speeds of a group so that neighbours differ and no
// rack holds only slow workers. It is prime and larger than the number of
// workers in a group, so every speed occurs once.
const speedStride = 7919

// speed returns the speed of the worker at index i.
func (workerGroup *WorkerGroup) speed(i int) float64 {
	if workerGroup.SpeedMin == 0 {
		return 1
	}
	if workerGroup.Count == 1 {
		return workerGroup.SpeedMin
	}
	exponent := float64(i*speedStride%workerGroup.Count) / float64(workerGroup.Count-1)
	return workerGroup.SpeedMin * math.Pow(workerGroup.SpeedMax/workerGroup.SpeedMin, exponent)
}

func orDefault[Number int | float64](value, fallback Number) Number {
	if value == 0 {
		return fallback
	}
	return value
}

// isAddress reports whether address is an IP:port with a port other than 0.
func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// splitAddress returns the host and the port of a valid address.
func splitAddress(address string) (host string, port int) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0
	}
	port, _ = strconv.Atoi(text)
	return host, port
}

func newFault(key, format string, values ...any) *settings.Fault {
	return &settings.Fault{
		Key:  key,
		Text: fmt.Sprintf(format, values...),
	}
}
