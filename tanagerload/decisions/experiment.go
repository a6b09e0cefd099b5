package decisions

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
)

// formatVersion is the version of the experiment file's format.
const formatVersion = 1

// ErrInvalid is wrapped by errors about the content of an experiment file.
var ErrInvalid = eris.New("invalid experiment")

// Experiment describes a fleet, a workload, and the runs and policies to
// simulate.
type Experiment struct {
	Format int    `yaml:"format"`
	Seed   uint64 `yaml:"seed"`
	// Jobs is the number of jobs in each run. WarmUpShare is the share of them,
	// from the start of the run, that is left out of the results.
	Jobs        int      `yaml:"jobs"`
	WarmUpShare float64  `yaml:"warm-up"`
	Fleet       Fleet    `yaml:"fleet"`
	Workload    Workload `yaml:"workload"`
	Runs        []Run    `yaml:"runs"`
	// Policies names the placement policies: "target", "greedy", "random",
	// "round-robin", "least-loaded" or "two-choices". Package placement
	// describes them.
	Policies []string `yaml:"policies"`
	// Theta is the target response time of the policy "target" as a multiple of
	// the ideal response time; 0 means its default.
	Theta float64 `yaml:"theta"`
	// ViewAgeMs is the interval, in ms, at which the policy "least-loaded"
	// refreshes its view of the upstreams' load.
	ViewAgeMs int64 `yaml:"view-age-ms"`
}

// Fleet describes the upstreams.
type Fleet struct {
	Upstreams int `yaml:"upstreams"`
	// Slots is the number of slots of each upstream.
	Slots int `yaml:"slots"`
	// Racks is the number of racks to which the upstreams are assigned in turn.
	Racks int `yaml:"racks"`
	// SpeedSpread is the ratio of the fastest upstream's speed to the slowest
	// one's. Each run sets it.
	SpeedSpread float64 `yaml:"-"`
}

// Workload describes the jobs.
type Workload struct {
	MedianTasks float64 `yaml:"median-tasks"`
	// SigmaTasks is the standard deviation of the logarithm of the number of
	// tasks in a job.
	SigmaTasks float64 `yaml:"sigma-tasks"`
	MaxTasks   int     `yaml:"max-tasks"`
	// LongShare is the share of tasks that take 1 to 5 s; the others take 50 ms
	// to 1 s.
	LongShare float64 `yaml:"long-share"`
	// Kinds and Teams are the numbers of kinds and teams, of which each job gets
	// a random one.
	Kinds int `yaml:"kinds"`
	Teams int `yaml:"teams"`
	// DeadlineMs is the deadline of every job, in ms from its arrival; 0 means
	// none.
	DeadlineMs int64 `yaml:"deadline-ms"`
}

// Run is a combination of load, speeds and declaration errors, simulated with
// every policy.
type Run struct {
	Name        string  `yaml:"name"`
	SpeedSpread float64 `yaml:"speed-spread"`
	// Load is the arriving work as a share of the total speed of all slots.
	Load float64 `yaml:"load"`
	// KindError and TaskError bound the factors by which actual run times differ
	// from declared ones: one factor for each kind and one for each task, both
	// log-uniform from 1/x to x. 1 means that declared run times are exact.
	KindError float64 `yaml:"kind-error"`
	TaskError float64 `yaml:"task-error"`
}

// Default returns the experiment of section 3 of docs/design.md.
func Default() *Experiment {
	experiment := &Experiment{
		Format:      formatVersion,
		Seed:        1,
		Jobs:        60_000,
		WarmUpShare: 0.1,
		Fleet: Fleet{
			Upstreams: 50,
			Slots:     8,
			Racks:     7,
		},
		Workload: Workload{
			MedianTasks: 5,
			SigmaTasks:  1.5,
			MaxTasks:    580,
			LongShare:   0.03,
			Kinds:       20,
			Teams:       1,
			DeadlineMs:  job.DefaultDeadlineMs,
		},
		Policies:  []string{"target", "greedy", "random", "round-robin", "least-loaded", "two-choices"},
		ViewAgeMs: 100,
	}
	for _, load := range []float64{0.3, 0.6, 0.8, 0.95} {
		experiment.Runs = append(experiment.Runs,
			exactRun("equal speeds", 1, load),
			exactRun("4x spread", 4, load))
	}
	for _, load := range []float64{0.3, 0.6, 0.8, 0.95} {
		inexact := exactRun("4x spread, declared off", 4, load)
		inexact.KindError = 4
		inexact.TaskError = 1.5
		experiment.Runs = append(experiment.Runs, inexact)
	}
	return experiment
}

// exactRun returns a run in which declared run times are exact.
func exactRun(name string, spread, load float64) Run {
	return Run{
		Name:        name,
		SpeedSpread: spread,
		Load:        load,
		KindError:   1,
		TaskError:   1,
	}
}

// Read reads an experiment from a YAML file. Keys that the file leaves out keep
// the values of Default. The error wraps ErrInvalid if the content is invalid.
func Read(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read experiment")
	}
	return parse(text)
}

func parse(text []byte) (*Experiment, error) {
	experiment := Default()
	if err := yaml.UnmarshalWithOptions(text, experiment, yaml.Strict()); err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	if err := experiment.validate(); err != nil {
		return nil, err
	}
	return experiment, nil
}

// validate sets left-out error bounds to 1 and checks all values.
func (experiment *Experiment) validate() error {
	workload := experiment.Workload
	for i := range experiment.Runs {
		run := &experiment.Runs[i]
		if run.KindError == 0 {
			run.KindError = 1
		}
		if run.TaskError == 0 {
			run.TaskError = 1
		}
		if run.Load <= 0 || run.SpeedSpread < 1 || run.KindError < 1 || run.TaskError < 1 {
			return eris.Wrapf(ErrInvalid, "runs[%d] needs load > 0 and speed-spread, kind-error and task-error >= 1", i)
		}
	}
	for _, name := range experiment.Policies {
		if experiment.newPolicy(name) == nil {
			return eris.Wrapf(ErrInvalid, "policy %q is unknown", name)
		}
	}
	switch {
	case experiment.Format != formatVersion:
		return eris.Wrapf(ErrInvalid, "format is %d, must be %d", experiment.Format, formatVersion)
	case experiment.Jobs < 1 || experiment.WarmUpShare < 0 || experiment.WarmUpShare >= 1:
		return eris.Wrap(ErrInvalid, "jobs must be positive and warm-up in [0, 1)")
	case experiment.Fleet.Upstreams < 1 || experiment.Fleet.Slots < 1 || experiment.Fleet.Racks < 1:
		return eris.Wrap(ErrInvalid, "fleet must have at least one upstream, slot and rack")
	case workload.MedianTasks <= 0 || workload.SigmaTasks < 0 || workload.MaxTasks < 1 ||
		workload.Kinds < 1 || workload.Teams < 1:
		return eris.Wrap(ErrInvalid, "workload must have positive median-tasks, max-tasks, kinds and teams, and sigma-tasks >= 0")
	}
	return nil
}

// newPolicy returns the placement policy of a name, or nil if it is unknown.
func (experiment *Experiment) newPolicy(name string) placement.Policy {
	switch name {
	case "target":
		return placement.Target{
			Theta: experiment.Theta,
		}
	case "greedy":
		return placement.Greedy{}
	case "random":
		return placement.Random{}
	case "round-robin":
		return placement.RoundRobin{}
	case "least-loaded":
		return placement.LeastLoaded{
			ViewAgeMs: experiment.ViewAgeMs,
		}
	case "two-choices":
		return placement.TwoChoices{}
	}
	return nil
}
