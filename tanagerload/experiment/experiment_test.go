package experiment_test

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/process/settings"
	"tanagerfall/tanagerload/experiment"
)

const validExperiment = `format: 1
name: trial
fleet: fleet.yaml
workload:
  teams: [{name: oak, weight: 1}]
  kinds: [{name: quote, weight: 1}]
steps:
  - load: 0.5
    duration-ms: 1000
`

// TestInvalidExperiments guards against an invalid experiment that is accepted,
// or rejected without the file, the line and the key.
func TestInvalidExperiments(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want string
	}{
		{name: "format", text: "format: 3\n", want: "e.yaml:1: format: is 3, this program reads 1"},
		{name: "unknown key", text: validExperiment + "sede: 1\n", want: "e.yaml:10: sede: "},
		{name: "type", text: validExperiment + "seed: many\n", want: "e.yaml:10: "},
		{name: "rate", text: validExperiment + "    jobs-per-second: 4\n", want: "e.yaml:8: steps[0]: needs either load or jobs-per-second"},
		{name: "warm-up", text: validExperiment + "    warm-up-ms: 1000\n", want: "e.yaml:10: steps[0].warm-up-ms: "},
		{
			name: "fault's time",
			text: validExperiment + "faults:\n  - target: platform\n    at-ms: 1000\n",
			want: "e.yaml:12: faults[0].at-ms: is 1000, must be within the step",
		},
		{
			name: "fault's target",
			text: validExperiment + "faults:\n  - target: all\n",
			want: `e.yaml:11: faults[0].target: "all" is not platform, worker, workers, rack or note`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Decode("e.yaml", []byte(test.text), experiment.Default())
			assert.ErrorContains(t, err, test.want)
		})
	}
	_, err := settings.Decode("e.yaml", []byte(validExperiment), experiment.Default())
	assert.NilError(t, err)
}

// TestShippedExperiments guards against experiment files in the repository that
// do not load.
func TestShippedExperiments(t *testing.T) {
	files, err := filepath.Glob("../experiments/*.yaml")
	assert.NilError(t, err)
	loaded := 0
	for _, file := range files {
		if strings.HasSuffix(file, "-fleet.yaml") {
			continue
		}
		_, err = experiment.Load(file)
		assert.NilError(t, err)
		loaded++
	}
	assert.Assert(t, loaded >= 2)
}
