package check_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/soak/check"
)

// TestRejectedJobStarts guards against a start that is missed, whether it comes before, between
// or after the rejected attempts, and against one that is reported although an attempt was not
// rejected.
func TestRejectedJobStarts(t *testing.T) {
	for events, violations := range map[string]int{
		"rejected last start":                   1,
		"rejected start last":                   1,
		"start rejected last":                   1,
		"start rejected rejected last":          1,
		"rejected start rejected last":          1,
		"rejected start rejected last start":    2,
		"rejected rejected last":                0,
		"start last":                            0,
		"start rejected":                        0,
		"rejected start accepted last":          0,
		"accepted start rejected last start":    0,
		"start accepted rejected rejected last": 0,
	} {
		checker := check.New()
		worker := int64(0)
		for event := range strings.FieldsSeq(events) {
			switch event {
			case "start":
				worker++
				checker.RecordStart(check.Run{
					Worker: check.Worker{
						ID:   "w0",
						Boot: worker,
					},
					Job:    "j",
					Task:   "j.0.0.0",
					IsOver: func(time.Time) bool { return true },
				})
			case "last":
				checker.RecordLastAttempt("j")
			default:
				checker.RecordAttempt(check.Attempt{
					Job:      "j",
					Rejected: event == "rejected",
				})
			}
		}
		_, found := checker.Result()
		assert.Equal(t, len(found), violations, "%s: %v", events, found)
	}
}

// TestStartsBetweenAttempts guards against a start that is not counted while the caller of a
// rejected job waits, and against one that is counted while an attempt is pending.
func TestStartsBetweenAttempts(t *testing.T) {
	checker := check.New()
	start := func(number int) {
		checker.RecordStart(check.Run{
			Job:    "j",
			Task:   "j.0.0.0",
			Number: number,
			IsOver: func(time.Time) bool { return true },
		})
	}
	for number := range 2 {
		checker.RecordSent("j")
		start(3 * number)
		checker.RecordAttempt(check.Attempt{
			Job:      "j",
			Rejected: number == 0,
		})
		start(3*number + 1)
	}
	counts, violations := checker.Result()
	assert.Equal(t, counts["starts-between-attempts"], 1)
	assert.Equal(t, len(violations), 0)
}
