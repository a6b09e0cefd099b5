package region_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/soak/region"
)

// seeds includes each seed that once failed, with its cause:
//
//	3, 12: an order to start a task was in flight while its worker restarted. The
//	new process executed it, and the task was started on another worker as well.
//
// Seeds 1000 and 1001 have the extended schedule, 1001 with relays.
var seeds = []uint64{1, 3, 12, 1000, 1001}

// TestSeeds checks that the guarantees hold under the faults of each seed: a task
// doesn't run twice at the same time, a refused job has not run, a completed job
// has run all its tasks, and jobs complete again after the faults have ended.
func TestSeeds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "platform")
	output, err := exec.Command("go", "build", "-o", program, "../../platform").CombinedOutput()
	assert.NilError(t, err, string(output))
	var group sync.WaitGroup
	for _, seed := range seeds {
		group.Go(func() {
			report, err := region.Run(context.Background(), region.Options{
				PlatformProgram: program,
				Seed:            seed,
				Processes:       5,
				Workers:         12,
				FaultDuration:   12 * time.Second,
				JobsPerSecond:   20,
			})
			assert.Check(t, err == nil, "%v", err)
			t.Log(report)
			assert.Check(t, report.Err() == nil, report.String())
			assert.Check(t, report.Counts["completed"] > 100, report.String())
		})
	}
	group.Wait()
}
