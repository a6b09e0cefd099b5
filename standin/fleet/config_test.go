package fleet_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/process/settings"
	"tanagerfall/standin/fleet"
)

const configWithoutCount = `format: 1
control-address: 127.0.0.1:7900
platform:
  address: 127.0.0.1:7901
workers:
  - first-address: 127.0.0.1:9100
    failure-domain: brest
`

// Guards against accepting an invalid fleet file, and against errors without
// the line and the key of the invalid setting.
func TestInvalidFiles(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want string
	}{
		{name: "no count", text: configWithoutCount, want: "f.yaml:6: workers[0].count: is 0, must be at least 1"},
		{name: "unknown key", text: configWithoutCount + "    counts: 3\n", want: "f.yaml:8: counts: "},
		{name: "ports", text: configWithoutCount + "    count: 60000\n", want: "f.yaml:8: workers[0].count: is 60000: the ports go beyond 65535"},
		{name: "speeds", text: configWithoutCount + "    count: 3\n    speed-max: 2\n", want: "f.yaml:6: workers[0].speed-min: is missing"},
		{name: "format", text: "format: 2\n", want: "f.yaml:1: format: is 2, this program reads 1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Decode("f.yaml", []byte(test.text), fleet.Config{})
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Guards against speeds that do not span the whole range, and against racks or
// ports that do not match the group.
func TestVMs(t *testing.T) {
	config, err := settings.Decode("f.yaml", []byte(configWithoutCount+`    count: 17
    speed-min: 0.5
    speed-max: 2
    per-rack: 8
`), fleet.Config{})
	assert.NilError(t, err)
	vms := config.VMs()
	slowest, fastest := vms[0].Speed, vms[0].Speed
	racks := map[string]int{}
	for _, vm := range vms {
		slowest, fastest = min(slowest, vm.Speed), max(fastest, vm.Speed)
		racks[vm.Rack]++
	}
	assert.Equal(t, slowest, 0.5)
	assert.Equal(t, fastest, 2.0)
	assert.DeepEqual(t, racks, map[string]int{
		"brest-0-0": 8,
		"brest-0-1": 8,
		"brest-0-2": 1,
	})
	assert.Equal(t, vms[16].Address, "127.0.0.1:9116")
}
