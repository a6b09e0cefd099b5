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

// Format is the version of the file's format.
const Format = 1

// maxWorkers bounds the listeners in one process.
const maxWorkers = 5000

// Config is a deployment. Zero numbers take the defaults of the stand-ins.
type Config struct {
	Format int `yaml:"format"`
	// ControlAddress serves fault commands and journals of all stand-ins,
	// under /platform/ and /workers/{address}/.
	ControlAddress string        `yaml:"control-address"`
	Platform       Platform      `yaml:"platform"`
	Entries        []EntryVM     `yaml:"entries"`
	Workers        []WorkerGroup `yaml:"workers"`
}

// Platform describes the platform.
type Platform struct {
	Address     string `yaml:"address"`
	RetentionMs int64  `yaml:"retention-ms"`
	AppendMs    int64  `yaml:"append-ms"`
	LagMs       int64  `yaml:"lag-ms"`
}

// EntryVM is an entry VM: the platform lists it, and callers reach it.
type EntryVM struct {
	// Address is the peer address, which the VM list names.
	Address string `yaml:"address"`
	// CallerAddress is where the load tool submits jobs.
	CallerAddress string  `yaml:"caller-address"`
	Domain        string  `yaml:"failure-domain"`
	Size          float64 `yaml:"size"`
	// Pid is the process whose CPU time is measured; 0 means none. The load
	// tool can also be given it on the command line.
	Pid int `yaml:"pid"`
}

// WorkerGroup is a number of like workers on consecutive ports.
type WorkerGroup struct {
	FirstAddress string `yaml:"first-address"`
	Count        int    `yaml:"count"`
	Domain       string `yaml:"failure-domain"`
	Service      string `yaml:"service"`
	Slots        int    `yaml:"slots"`
	Cores        int    `yaml:"cores"`
	MemoryMb     int    `yaml:"memory-mb"`
	Accelerators int    `yaml:"accelerators"`
	// SpeedMin and SpeedMax bound the speeds, which are spread evenly on a
	// logarithmic scale; 0 means 1.
	SpeedMin float64 `yaml:"speed-min"`
	SpeedMax float64 `yaml:"speed-max"`
	// PerRack is the number of workers in a rack; 0 means one rack.
	PerRack int `yaml:"per-rack"`
}

// Load reads a deployment. The error is a *settings.Error or wraps
// settings.ErrUnreadable.
func Load(file string) (Config, error) {
	return settings.Load(file, Config{})
}

// Validate returns the first fault, or nil.
func (config *Config) Validate() *settings.Fault {
	if config.Format != Format {
		return invalid("format", "is %d, this program reads %d", config.Format, Format)
	}
	for _, row := range []struct{ key, address string }{
		{
			key:     "control-address",
			address: config.ControlAddress,
		},
		{
			key:     "platform.address",
			address: config.Platform.Address,
		},
	} {
		if !isAddress(row.address) {
			return invalid(row.key, "%q is not IP:port", row.address)
		}
	}
	for i := range config.Entries {
		if found := config.Entries[i].validate(fmt.Sprintf("entries[%d]", i)); found != nil {
			return found
		}
	}
	total := 0
	for i := range config.Workers {
		if found := config.Workers[i].validate(fmt.Sprintf("workers[%d]", i)); found != nil {
			return found
		}
		total += config.Workers[i].Count
	}
	if total == 0 || total > maxWorkers {
		return invalid("workers", "has %d workers, allowed are 1 to %d", total, maxWorkers)
	}
	return config.checkDistinct()
}

func (entry *EntryVM) validate(key string) *settings.Fault {
	if !isAddress(entry.Address) {
		return invalid(key+".address", "%q is not IP:port", entry.Address)
	}
	if entry.CallerAddress != "" && !isAddress(entry.CallerAddress) {
		return invalid(key+".caller-address", "%q is not IP:port", entry.CallerAddress)
	}
	if entry.Domain == "" {
		return invalid(key+".failure-domain", "is missing")
	}
	if entry.Size < 0 {
		return invalid(key+".size", "is %g, must not be negative", entry.Size)
	}
	return nil
}

func (group *WorkerGroup) validate(key string) *settings.Fault {
	if !isAddress(group.FirstAddress) {
		return invalid(key+".first-address", "%q is not IP:port", group.FirstAddress)
	}
	if group.Count < 1 {
		return invalid(key+".count", "is %d, must be at least 1", group.Count)
	}
	if _, port := split(group.FirstAddress); port+group.Count-1 > math.MaxUint16 {
		return invalid(key+".count", "is %d: the ports go beyond %d", group.Count, math.MaxUint16)
	}
	if group.Domain == "" {
		return invalid(key+".failure-domain", "is missing")
	}
	if group.Slots < 0 || group.Cores < 0 || group.MemoryMb < 0 || group.Accelerators < 0 || group.PerRack < 0 {
		return invalid(key, "has a negative number")
	}
	if group.SpeedMin < 0 || group.SpeedMax < group.SpeedMin {
		return invalid(key+".speed-max", "is %g, must be at least speed-min", group.SpeedMax)
	}
	if group.SpeedMin == 0 && group.SpeedMax > 0 {
		return invalid(key+".speed-min", "is missing")
	}
	return nil
}

// checkDistinct finds an address that is used twice.
func (config *Config) checkDistinct() *settings.Fault {
	seen := map[string]bool{
		config.ControlAddress:   true,
		config.Platform.Address: true,
	}
	if len(seen) < 2 {
		return invalid("platform.address", "%s is also the control-address", config.Platform.Address)
	}
	for i := range config.Workers {
		for _, vm := range config.Workers[i].vms(i) {
			if seen[vm.Address] {
				return invalid(fmt.Sprintf("workers[%d].first-address", i), "%s is used twice", vm.Address)
			}
			seen[vm.Address] = true
		}
	}
	return nil
}

// Vms returns the rows of the VM list.
func (config *Config) Vms() []wire.Vm {
	var vms []wire.Vm
	for _, entry := range config.Entries {
		vms = append(vms, wire.Vm{
			Address: entry.Address,
			Domain:  entry.Domain,
			Role:    wire.RoleEntry,
			State:   wire.VmLive,
			Size:    defaulted(entry.Size, 1),
		})
	}
	for i := range config.Workers {
		vms = append(vms, config.Workers[i].vms(i)...)
	}
	return vms
}

// vms returns the rows of the group with that index.
func (group *WorkerGroup) vms(index int) []wire.Vm {
	host, port := split(group.FirstAddress)
	vms := make([]wire.Vm, 0, group.Count)
	for i := range group.Count {
		rack := 0
		if group.PerRack > 0 {
			rack = i / group.PerRack
		}
		vms = append(vms, wire.Vm{
			Address:      net.JoinHostPort(host, strconv.Itoa(port+i)),
			Domain:       group.Domain,
			Rack:         fmt.Sprintf("%s-%d-%d", group.Domain, index, rack),
			Role:         wire.RoleWorker,
			State:        wire.VmLive,
			Service:      group.Service,
			Slots:        defaulted(group.Slots, worker.DefaultSlots),
			Cores:        defaulted(group.Cores, worker.DefaultCores),
			MemoryMb:     defaulted(group.MemoryMb, worker.DefaultMemoryMb),
			Accelerators: group.Accelerators,
			Speed:        group.speed(i),
		})
	}
	return vms
}

// speedStride visits the speeds of a group in an order in which neighbours
// differ, so that no rack holds only slow workers. It is prime and larger
// than the counts of the deployments, so every speed is visited once.
const speedStride = 7919

// speed returns the speed of a group's worker.
func (group *WorkerGroup) speed(i int) float64 {
	if group.SpeedMin == 0 {
		return 1
	}
	if group.Count == 1 {
		return group.SpeedMin
	}
	step := float64(i*speedStride%group.Count) / float64(group.Count-1)
	return group.SpeedMin * math.Pow(group.SpeedMax/group.SpeedMin, step)
}

func defaulted[Number int | float64](value, fallback Number) Number {
	if value == 0 {
		return fallback
	}
	return value
}

func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// split returns the parts of a validated address.
func split(address string) (host string, port int) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0
	}
	port, _ = strconv.Atoi(text)
	return host, port
}

func invalid(key, format string, values ...any) *settings.Fault {
	return &settings.Fault{
		Key:  key,
		Text: fmt.Sprintf(format, values...),
	}
}
