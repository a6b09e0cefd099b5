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

// Format is the version of the experiment file's format.
const Format = 1

// maxStepMs bounds the duration of a step. It is well below the 15 minutes
// after which submission IDs expire.
const maxStepMs = 600_000

// Experiment is a load experiment against running entry VMs.
type Experiment struct {
	Format int    `yaml:"format"`
	Name   string `yaml:"name"`
	// FleetFile is the path of the fleet's file, relative to the directory of
	// the experiment's file.
	FleetFile string `yaml:"fleet"`
	// StartFleet runs the fleet's stand-ins inside the process of the load tool.
	StartFleet bool `yaml:"start-fleet"`
	// Seed determines the jobs and their arrival times.
	Seed uint64 `yaml:"seed"`
	// RoundTripMs is the round trip that ideal response times include, in ms.
	// workload.Arrival.IdealResponse defines the ideal response time of a job.
	RoundTripMs float64 `yaml:"round-trip-ms"`
	// IdealScope says which workers ideal response times assume.
	IdealScope Scope    `yaml:"ideal-over"`
	Workload   Workload `yaml:"workload"`
	Callers    Callers  `yaml:"callers"`
	Steps      []Step   `yaml:"steps"`
	Faults     []Fault  `yaml:"faults"`
	// SettleMs is the time, in ms, between the last answer of a step and the
	// reading of the workers' journals.
	SettleMs int64 `yaml:"settle-ms"`

	// Fleet is the content of FleetFile.
	Fleet fleet.Config `yaml:"-"`
}

// Workload describes the distribution of the jobs. The number of tasks of a job
// is lognormal. Run times, in ms at speed 1, are log-uniform from MinRunMs to
// MaxRunMs, except for a share of long ones.
type Workload struct {
	MedianTasks float64 `yaml:"median-tasks"`
	// SigmaTasks is the standard deviation of the logarithm of the number of
	// tasks.
	SigmaTasks float64 `yaml:"sigma"`
	MaxTasks   int     `yaml:"max-tasks"`
	MinRunMs   float64 `yaml:"min-run-ms"`
	MaxRunMs   float64 `yaml:"max-run-ms"`
	// LongShare is the share of tasks whose run times are uniform from MaxRunMs
	// to LongRunMs.
	LongShare float64 `yaml:"long-share"`
	LongRunMs float64 `yaml:"long-run-ms"`
	// KindError and TaskError bound the factors by which declared run times
	// differ from actual ones: one factor for each kind and one for each task,
	// both log-uniform from 1/x to x. 1 means that declared run times are exact.
	KindError float64 `yaml:"kind-error"`
	TaskError float64 `yaml:"task-error"`
	// Cores and MemoryMb are the requirements of each task.
	Cores    int `yaml:"cores"`
	MemoryMb int `yaml:"memory-mb"`
	// DeadlineMs is the deadline of each job, in ms after its submission.
	DeadlineMs int64 `yaml:"deadline-ms"`
	// Teams and Kinds are drawn for each job in proportion to their weights.
	Teams []Share `yaml:"teams"`
	Kinds []Share `yaml:"kinds"`
	// ResubmitShare is the share of jobs that are submitted again under the same
	// ID after ResubmitAfterMs, whether or not they are answered by then.
	ResubmitShare   float64 `yaml:"resubmit-share"`
	ResubmitAfterMs int64   `yaml:"resubmit-after-ms"`
}

// Scope says which workers the ideal response time of a job assumes.
type Scope string

// Values of Scope.
const (
	// ScopeDomain means the workers in the failure domain of the entry VM that
	// issues the job's submission ID.
	ScopeDomain Scope = "failure-domain"
	// ScopeAll means all workers.
	ScopeAll Scope = "all"
)

// Share is a team or kind with its weight; jobs are drawn in proportion to the
// weights.
type Share struct {
	Name   string  `yaml:"name"`
	Weight float64 `yaml:"weight"`
}

// Routing says to which entry VM a caller sends a job.
type Routing string

// Values of Routing.
const (
	// RouteOwner sends a job to the entry VM that issued its submission ID, as
	// behind a load balancer that distributes connections.
	RouteOwner Routing = "owner"
	// RouteAny sends a job to any entry VM, as behind a load balancer that
	// distributes requests.
	RouteAny Routing = "any"
)

// Callers describes how callers connect, route and wait.
type Callers struct {
	Routing Routing `yaml:"routing"`
	// IdleConnections is the maximum number of idle connections kept open to
	// each entry VM. More are opened while more jobs are in progress.
	IdleConnections int `yaml:"idle-connections"`
	// AnswerSlackMs is the time, in ms, that a caller waits for an answer beyond
	// the job's deadline.
	AnswerSlackMs int64 `yaml:"answer-slack-ms"`
}

// Step is a period of constant load, except for a burst. Exactly one of Load
// and JobsPerSecond is set.
type Step struct {
	// Load is the arriving work as a share of the workers' total speed.
	Load float64 `yaml:"load"`
	// JobsPerSecond is the arrival rate.
	JobsPerSecond float64 `yaml:"jobs-per-second"`
	DurationMs    int64   `yaml:"duration-ms"`
	// WarmUpMs is the time at the start of the step during which arriving jobs
	// are not measured.
	WarmUpMs int64 `yaml:"warm-up-ms"`
	// Burst raises the rate for a part of the step.
	Burst Burst `yaml:"burst"`
}

// Burst is a period within a step during which the arrival rate is multiplied.
type Burst struct {
	// AtMs is the start of the burst, in ms from the start of the step.
	AtMs int64 `yaml:"at-ms"`
	// ForMs is the duration of the burst.
	ForMs int64 `yaml:"for-ms"`
	// Factor multiplies the rate; 0 means no burst.
	Factor float64 `yaml:"factor"`
}

// Target says to which stand-ins a fault command is sent.
type Target string

// Values of Target.
const (
	// TargetPlatform means the platform.
	TargetPlatform Target = "platform"
	// TargetWorker means the worker at Fault.Address.
	TargetWorker Target = "worker"
	// TargetWorkers means the first Fault.Count workers in Fault.Domain, or of
	// all workers if the domain is empty.
	TargetWorkers Target = "workers"
	// TargetRack means all workers in Fault.Rack.
	TargetRack Target = "rack"
	// TargetNote sends no command; Fault.Note marks the time in the result.
	TargetNote Target = "note"
)

// Fault is a fault command to send at a time within a step.
type Fault struct {
	// Step is the index of the step. AtMs is the time of the command, in ms from
	// the start of the step.
	Step   int    `yaml:"step"`
	AtMs   int64  `yaml:"at-ms"`
	Target Target `yaml:"target"`
	// Address, Domain, Rack and Count select workers, as the values of Target
	// describe.
	Address string `yaml:"address"`
	Domain  string `yaml:"failure-domain"`
	Rack    string `yaml:"rack"`
	Count   int    `yaml:"count"`
	// Note is a text that labels the fault in the result and in charts.
	Note    string        `yaml:"note"`
	Command fault.Command `yaml:"command"`
}

// Default returns the values of keys that a file may leave out: the model
// workload of section 3 of docs/design.md.
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

// Load reads and validates an experiment file and its fleet's file. The error is
// a *settings.Error or wraps settings.ErrUnreadable.
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

// Validate returns the first invalid key, or nil. It does not check Fleet.
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

// validate returns the first invalid key, or nil.
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

// validateShares checks a list of teams or kinds under a key.
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

// validate returns the first invalid key, or nil.
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

// validate returns the first invalid key, or nil; key is the key of the step.
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

// validateFault checks the fault at an index, except that its workers exist.
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

// validateFleet checks that the fleet has the entry VMs and workers that the
// experiment needs.
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

// invalid returns a fault with a formatted text.
func invalid(key, format string, values ...any) *settings.Fault {
	return &settings.Fault{
		Key:  key,
		Text: fmt.Sprintf(format, values...),
	}
}
