package experiment

import (
	"fmt"
	"path/filepath"
	"time"

	"tanagerfall/shared/process/settings"
	"tanagerfall/shared/request/job"
	"tanagerfall/standin/fault"
	"tanagerfall/standin/fleet"
)

// Format is the version of the file's format.
const Format = 1

// maxStepMs bounds a step; submission IDs expire after 15 minutes.
const maxStepMs = 600_000

// Experiment is a load experiment against running entry VMs.
type Experiment struct {
	Format int    `yaml:"format"`
	Name   string `yaml:"name"`
	// FleetFile is the fleet's file, relative to the experiment's.
	FleetFile string `yaml:"fleet"`
	// StartFleet starts the stand-ins inside the load tool.
	StartFleet bool   `yaml:"start-fleet"`
	Seed       uint64 `yaml:"seed"`
	// RoundTripMs is the round trip that the ideal response contains.
	RoundTripMs float64 `yaml:"round-trip-ms"`
	// IdealScope says which workers the ideal response assumes.
	IdealScope Scope    `yaml:"ideal-over"`
	Workload   Workload `yaml:"workload"`
	Callers    Callers  `yaml:"callers"`
	Steps      []Step   `yaml:"steps"`
	Faults     []Fault  `yaml:"faults"`
	// SettleMs is the wait after the last answer before journals are read.
	SettleMs int64 `yaml:"settle-ms"`

	// Fleet is the content of FleetFile.
	Fleet fleet.Config `yaml:"-"`
}

// Workload describes the jobs. Sizes are lognormal, run times log-uniform
// from MinRunMs to MaxRunMs, but LongShare of them uniform from there to
// LongRunMs.
type Workload struct {
	MedianTasks float64 `yaml:"median-tasks"`
	// SigmaTasks is the standard deviation of the logarithm of the size.
	SigmaTasks float64 `yaml:"sigma"`
	MaxTasks   int     `yaml:"max-tasks"`
	MinRunMs   float64 `yaml:"min-run-ms"`
	MaxRunMs   float64 `yaml:"max-run-ms"`
	// LongShare of the tasks run from MaxRunMs to LongRunMs.
	LongShare float64 `yaml:"long-share"`
	LongRunMs float64 `yaml:"long-run-ms"`
	// KindError and TaskError bound the factors, log-uniform from 1/x to x,
	// by which declared run times are off: one factor for each kind and one
	// for each task. 1 means that run times are known.
	KindError  float64 `yaml:"kind-error"`
	TaskError  float64 `yaml:"task-error"`
	Cores      int     `yaml:"cores"`
	MemoryMb   int     `yaml:"memory-mb"`
	DeadlineMs int64   `yaml:"deadline-ms"`
	Teams      []Share `yaml:"teams"`
	Kinds      []Share `yaml:"kinds"`
	// ResubmitShare of the jobs are sent again under the same ID after
	// ResubmitAfterMs, whether or not their answer has come.
	ResubmitShare   float64 `yaml:"resubmit-share"`
	ResubmitAfterMs int64   `yaml:"resubmit-after-ms"`
}

// Scope is a set of workers.
type Scope string

// The scopes.
const (
	// ScopeDomain is the workers of the failure domain of the entry VM that a
	// job is sent to.
	ScopeDomain Scope = "failure-domain"
	// ScopeAll is all workers.
	ScopeAll Scope = "all"
)

// Share is a name and its weight among others.
type Share struct {
	Name   string  `yaml:"name"`
	Weight float64 `yaml:"weight"`
}

// Routing says where a caller sends a job.
type Routing string

// The routings.
const (
	// RouteOwner sends to the VM that issued the submission ID, as behind a
	// balancer of connections.
	RouteOwner Routing = "owner"
	// RouteAny sends to any VM, as behind a balancer of requests.
	RouteAny Routing = "any"
)

// Callers describes the callers' connections.
type Callers struct {
	Routing Routing `yaml:"routing"`
	// IdleConnections is the number of connections kept to each entry VM;
	// more are opened when more jobs are under way.
	IdleConnections int `yaml:"idle-connections"`
	// AnswerSlackMs is how long a caller waits beyond the deadline.
	AnswerSlackMs int64 `yaml:"answer-slack-ms"`
}

// Step is a time of constant load.
type Step struct {
	// Load is the arriving work as a share of the workers' speed; or
	// JobsPerSecond gives the rate.
	Load          float64 `yaml:"load"`
	JobsPerSecond float64 `yaml:"jobs-per-second"`
	DurationMs    int64   `yaml:"duration-ms"`
	// WarmUpMs is the time at the beginning whose jobs are not measured.
	WarmUpMs int64 `yaml:"warm-up-ms"`
	// Burst multiplies the rate for a part of the step.
	Burst Burst `yaml:"burst"`
}

// Burst is a time of a higher rate; a Factor of 0 means none.
type Burst struct {
	AtMs   int64   `yaml:"at-ms"`
	ForMs  int64   `yaml:"for-ms"`
	Factor float64 `yaml:"factor"`
}

// Target says which stand-ins a fault command goes to.
type Target string

// The targets.
const (
	TargetPlatform Target = "platform"
	// TargetWorker is the worker at Address.
	TargetWorker Target = "worker"
	// TargetWorkers is the first Count workers of Domain, or of all.
	TargetWorkers Target = "workers"
	// TargetRack is all workers of Rack.
	TargetRack Target = "rack"
	// TargetNote sends nothing; Note only marks the time in the result.
	TargetNote Target = "note"
)

// Fault is a fault command at a time of a step.
type Fault struct {
	Step    int           `yaml:"step"`
	AtMs    int64         `yaml:"at-ms"`
	Target  Target        `yaml:"target"`
	Address string        `yaml:"address"`
	Domain  string        `yaml:"failure-domain"`
	Rack    string        `yaml:"rack"`
	Count   int           `yaml:"count"`
	Note    string        `yaml:"note"`
	Command fault.Command `yaml:"command"`
}

// Default returns the values of keys that a file may leave out: the model
// workload of docs/design.md, section 3.
func Default() Experiment {
	return Experiment{
		RoundTripMs: 1,
		IdealScope:  ScopeDomain,
		Workload: Workload{
			MedianTasks:     5,
			SigmaTasks:      1.5,
			MaxTasks:        job.MaxTasks,
			MinRunMs:        50,
			MaxRunMs:        1000,
			LongShare:       0.03,
			LongRunMs:       5000,
			KindError:       1,
			TaskError:       1,
			DeadlineMs:      job.DefaultDeadlineMs,
			ResubmitAfterMs: 200,
		},
		Callers: Callers{
			Routing:         RouteOwner,
			IdleConnections: 256,
			AnswerSlackMs:   5000,
		},
		SettleMs: 2000,
	}
}

// Load reads an experiment and its fleet. The error is a *settings.Error or
// wraps settings.ErrUnreadable.
func Load(file string) (Experiment, error) {
	experiment, err := settings.Load(file, Default())
	if err != nil {
		return Experiment{}, err
	}
	experiment.Fleet, err = fleet.Load(filepath.Join(filepath.Dir(file), experiment.FleetFile))
	if err != nil {
		return Experiment{}, err
	}
	if settingsFault := experiment.validateFleet(); settingsFault != nil {
		return Experiment{}, &settings.Error{
			File: file,
			Line: 1,
			Key:  settingsFault.Key,
			Text: settingsFault.Text,
		}
	}
	return experiment, nil
}

// Validate returns the first fault, or nil.
func (experiment *Experiment) Validate() *settings.Fault {
	if experiment.Format != Format {
		return invalid("format", "is %d, this program reads %d", experiment.Format, Format)
	}
	if experiment.Name == "" {
		return invalid("name", "is missing")
	}
	if experiment.FleetFile == "" {
		return invalid("fleet", "is missing")
	}
	if experiment.RoundTripMs < 0 || experiment.SettleMs < 0 {
		return invalid("round-trip-ms", "and settle-ms must not be negative")
	}
	if experiment.IdealScope != ScopeDomain && experiment.IdealScope != ScopeAll {
		return invalid("ideal-over", "%q is not failure-domain or all", experiment.IdealScope)
	}
	if settingsFault := experiment.Workload.validate(); settingsFault != nil {
		return settingsFault
	}
	if settingsFault := experiment.Callers.validate(); settingsFault != nil {
		return settingsFault
	}
	if len(experiment.Steps) == 0 {
		return invalid("steps", "is missing; at least one step is needed")
	}
	for i := range experiment.Steps {
		if settingsFault := experiment.Steps[i].validate(fmt.Sprintf("steps[%d]", i)); settingsFault != nil {
			return settingsFault
		}
	}
	for i := range experiment.Faults {
		if settingsFault := experiment.validateFault(i); settingsFault != nil {
			return settingsFault
		}
	}
	return nil
}

func (workload *Workload) validate() *settings.Fault {
	if workload.MedianTasks < 1 {
		return invalid("workload.median-tasks", "is %g, must be at least 1", workload.MedianTasks)
	}
	if workload.SigmaTasks < 0 {
		return invalid("workload.sigma", "is %g, must not be negative", workload.SigmaTasks)
	}
	if workload.MaxTasks < 1 || workload.MaxTasks > job.MaxTasks {
		return invalid("workload.max-tasks", "is %d, allowed are 1 to %d", workload.MaxTasks, job.MaxTasks)
	}
	if workload.MinRunMs <= 0 {
		return invalid("workload.min-run-ms", "is %g, must be above 0", workload.MinRunMs)
	}
	if workload.MaxRunMs < workload.MinRunMs {
		return invalid("workload.max-run-ms", "is %g, must be at least min-run-ms", workload.MaxRunMs)
	}
	if workload.LongShare < 0 || workload.LongShare > 1 {
		return invalid("workload.long-share", "is %g, allowed are 0 to 1", workload.LongShare)
	}
	if workload.LongRunMs < workload.MaxRunMs && workload.LongShare > 0 {
		return invalid("workload.long-run-ms", "is %g, must be at least max-run-ms", workload.LongRunMs)
	}
	if workload.KindError < 1 {
		return invalid("workload.kind-error", "is %g, must be at least 1", workload.KindError)
	}
	if workload.TaskError < 1 {
		return invalid("workload.task-error", "is %g, must be at least 1", workload.TaskError)
	}
	if workload.Cores < 0 || workload.MemoryMb < 0 {
		return invalid("workload.cores", "and memory-mb must not be negative")
	}
	if workload.DeadlineMs < 1 || workload.DeadlineMs > job.MaxDeadlineMs {
		return invalid("workload.deadline-ms", "is %d, allowed are 1 to %d", workload.DeadlineMs, job.MaxDeadlineMs)
	}
	if workload.ResubmitShare < 0 || workload.ResubmitShare > 1 {
		return invalid("workload.resubmit-share", "is %g, allowed are 0 to 1", workload.ResubmitShare)
	}
	if workload.ResubmitAfterMs < 0 {
		return invalid("workload.resubmit-after-ms", "is %d, must not be negative", workload.ResubmitAfterMs)
	}
	if settingsFault := validateShares("workload.teams", workload.Teams); settingsFault != nil {
		return settingsFault
	}
	return validateShares("workload.kinds", workload.Kinds)
}

func validateShares(key string, shares []Share) *settings.Fault {
	if len(shares) == 0 {
		return invalid(key, "is missing; at least one is needed")
	}
	for i, share := range shares {
		shareKey := fmt.Sprintf("%s[%d]", key, i)
		if share.Name == "" {
			return invalid(shareKey+".name", "is missing")
		}
		if share.Weight <= 0 {
			return invalid(shareKey+".weight", "is %g, must be above 0", share.Weight)
		}
	}
	return nil
}

func (callers *Callers) validate() *settings.Fault {
	if callers.Routing != RouteOwner && callers.Routing != RouteAny {
		return invalid("callers.routing", "%q is not owner or any", callers.Routing)
	}
	if callers.IdleConnections < 1 {
		return invalid("callers.idle-connections", "is %d, must be at least 1", callers.IdleConnections)
	}
	if callers.AnswerSlackMs < 0 {
		return invalid("callers.answer-slack-ms", "is %d, must not be negative", callers.AnswerSlackMs)
	}
	return nil
}

func (step *Step) validate(key string) *settings.Fault {
	if (step.Load > 0) == (step.JobsPerSecond > 0) || step.Load < 0 || step.JobsPerSecond < 0 {
		return invalid(key, "needs either load or jobs-per-second above 0")
	}
	if step.DurationMs < 1 || step.DurationMs > maxStepMs {
		return invalid(key+".duration-ms", "is %d, allowed are 1 to %d", step.DurationMs, maxStepMs)
	}
	if step.WarmUpMs < 0 || step.WarmUpMs >= step.DurationMs {
		return invalid(key+".warm-up-ms", "is %d, must be from 0 to below duration-ms", step.WarmUpMs)
	}
	if step.Burst.Factor < 0 || step.Burst.AtMs < 0 || step.Burst.ForMs < 0 {
		return invalid(key+".burst", "has a negative number")
	}
	return nil
}

func (experiment *Experiment) validateFault(index int) *settings.Fault {
	key := fmt.Sprintf("faults[%d]", index)
	faultSpec := &experiment.Faults[index]
	if faultSpec.Step < 0 || faultSpec.Step >= len(experiment.Steps) {
		return invalid(key+".step", "is %d, there are %d steps", faultSpec.Step, len(experiment.Steps))
	}
	if faultSpec.AtMs < 0 || faultSpec.AtMs >= experiment.Steps[faultSpec.Step].DurationMs {
		return invalid(key+".at-ms", "is %d, must be within the step", faultSpec.AtMs)
	}
	switch faultSpec.Target {
	case TargetPlatform:
	case TargetWorker:
		if faultSpec.Address == "" {
			return invalid(key+".address", "is missing")
		}
	case TargetWorkers:
		if faultSpec.Count < 1 {
			return invalid(key+".count", "is %d, must be at least 1", faultSpec.Count)
		}
	case TargetRack:
		if faultSpec.Rack == "" {
			return invalid(key+".rack", "is missing")
		}
	case TargetNote:
		if faultSpec.Note == "" {
			return invalid(key+".note", "is missing")
		}
		return nil
	default:
		return invalid(key+".target", "%q is not platform, worker, workers, rack or note", faultSpec.Target)
	}
	if faultSpec.Command.Fault == "" {
		return invalid(key+".command", "names no fault")
	}
	if err := faultSpec.Command.Validate(); err != nil {
		return invalid(key+".command", "has a negative number")
	}
	return nil
}

// validateFleet checks what needs the fleet.
func (experiment *Experiment) validateFleet() *settings.Fault {
	if len(experiment.Fleet.Entries) == 0 {
		return invalid("fleet", "%s lists no entry VMs", experiment.FleetFile)
	}
	for i, entry := range experiment.Fleet.Entries {
		if entry.CallerAddress == "" {
			return invalid("fleet", "%s: entries[%d].caller-address is missing", experiment.FleetFile, i)
		}
	}
	for i := range experiment.Faults {
		faultSpec := &experiment.Faults[i]
		if faultSpec.Target == TargetNote || faultSpec.Target == TargetPlatform {
			continue
		}
		if len(faultSpec.Workers(&experiment.Fleet)) == 0 {
			return invalid(fmt.Sprintf("faults[%d]", i), "matches no worker of %s", experiment.FleetFile)
		}
	}
	return nil
}

// Duration returns the length of the step.
func (step *Step) Duration() time.Duration {
	return time.Duration(step.DurationMs) * time.Millisecond
}

func invalid(key, format string, values ...any) *settings.Fault {
	return &settings.Fault{
		Key:  key,
		Text: fmt.Sprintf(format, values...),
	}
}
