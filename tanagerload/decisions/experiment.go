package decisions

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
)

// formatVersion is the version of the experiment format.
const formatVersion = 1

// ErrInvalid is wrapped by errors about an experiment.
var ErrInvalid = eris.New("invalid experiment")

// Experiment is the input of a measurement.
type Experiment struct {
	Format int    `yaml:"format"`
	Seed   uint64 `yaml:"seed"`
	// Jobs is the number of jobs in each run and WarmUp the share of them
	// that is left out of the figures, from the start.
	Jobs     int      `yaml:"jobs"`
	WarmUpShare   float64  `yaml:"warm-up"`
	Fleet    Fleet    `yaml:"fleet"`
	Workload Workload `yaml:"workload"`
	Runs     []Run    `yaml:"runs"`
	Policies []string `yaml:"policies"`
	// Theta is the target policy's target; 0 stands for its default.
	Theta float64 `yaml:"theta"`
	// ViewAgeMs is the age of the view of least-loaded.
	ViewAgeMs int64 `yaml:"view-age-ms"`
}

// Fleet describes the upstreams.
type Fleet struct {
	Upstreams int `yaml:"upstreams"`
	Slots     int `yaml:"slots"`
	Racks     int `yaml:"racks"`
	// SpeedSpread is the speed of the fastest upstream over the slowest; the
	// runs set it.
	SpeedSpread float64 `yaml:"-"`
}

// Workload describes the jobs.
type Workload struct {
	MedianTasks float64 `yaml:"median-tasks"`
	// SigmaTasks is the standard deviation of the logarithm of job sizes.
	SigmaTasks float64 `yaml:"sigma-tasks"`
	MaxTasks   int     `yaml:"max-tasks"`
	// LongShare is the share of tasks of 1 to 5 s; the others take 50 ms to
	// 1 s.
	LongShare float64 `yaml:"long-share"`
	Kinds     int     `yaml:"kinds"`
	Teams     int     `yaml:"teams"`
	// DeadlineMs is the deadline of every job; 0 stands for none.
	DeadlineMs int64 `yaml:"deadline-ms"`
}

// Run is one load on one fleet, measured with every policy.
type Run struct {
	Name        string  `yaml:"name"`
	SpeedSpread float64 `yaml:"speed-spread"`
	// Load is the work that arrives over the total speed.
	Load float64 `yaml:"load"`
	// KindError and TaskError bound the factors, log-uniform from 1/x to x,
	// by which actual run times exceed declared ones: one factor for each kind
	// and one for each task.
	KindError float64 `yaml:"kind-error"`
	TaskError float64 `yaml:"task-error"`
}

// Default returns the experiment of design section 3.
func Default() *Experiment {
	experiment := &Experiment{
		Format: formatVersion,
		Seed:   1,
		Jobs:   60_000,
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

func exactRun(name string, spread, load float64) Run {
	return Run{
		Name:        name,
		SpeedSpread: spread,
		Load:        load,
		KindError:   1,
		TaskError:   1,
	}
}

// Read returns the experiment in a YAML file; keys that it does not name keep
// their defaults. The error wraps ErrInvalid for a wrong file.
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
		return eris.Wrap(ErrInvalid, "fleet needs upstreams, slots and racks")
	case workload.MedianTasks <= 0 || workload.SigmaTasks < 0 || workload.MaxTasks < 1 ||
		workload.Kinds < 1 || workload.Teams < 1:
		return eris.Wrap(ErrInvalid, "workload needs positive sizes, kinds and teams")
	}
	return nil
}

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
