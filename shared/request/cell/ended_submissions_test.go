package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against memory that grows with each refused job, and against a last submission that
// is forgotten with an earlier one of the same job.
func TestEndedSubmissionsAreBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ended := endedSubmissions{
		last: make(map[submitter]endedSubmission),
	}
	end := func(job string, number uint64) {
		ended.add(submitter{
			job: job,
		}, endedSubmission{
			number:  number,
			endedAt: now,
		})
	}
	end("j", 1)
	for number := range uint64(maxEndedSubmissions) {
		if number == maxEndedSubmissions/2 {
			end("j", 2)
		}
		now = now.Add(time.Microsecond)
		end(time.Duration(number).String(), number+3)
		assert.Assert(t, len(ended.queue) <= maxEndedSubmissions && len(ended.last) <= maxEndedSubmissions)
	}
	assert.Equal(t, ended.last[submitter{job: "j"}].number, uint64(2))
	ended.expire(now.Add(time.Microsecond))
	assert.Equal(t, len(ended.queue)+len(ended.last), 0)
}
