package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A scheduler on a VM that turned slow must be noticed. Found as 3 s in which
// a VM that ran six times slower went on to schedule and nearly all jobs were
// late.
func TestPaceFindsSlowScheduler(t *testing.T) {
	for _, test := range []struct {
		name string
		took time.Duration
		gap  time.Duration
		slow bool
	}{
		{"sound", 5 * time.Millisecond, 3 * time.Millisecond, false},
		{"busy", 25 * time.Millisecond, 3 * time.Millisecond, false},
		{"more to do than ever", 120 * time.Millisecond, 2 * time.Millisecond, false},
		{"slow", 120 * time.Millisecond, 8 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			pace := pace{
				since:    now,
				turnedAt: now,
			}
			work := func(took, gap, length time.Duration) {
				for until := now.Add(length); now.Before(until); now = now.Add(gap) {
					pace.add(now, took)
					pace.turn(now)
				}
			}
			work(5*time.Millisecond, 3*time.Millisecond, warmUp)
			work(test.took, test.gap, 2*time.Second)
			assert.Equal(t, pace.slow(now), test.slow)
		})
	}
}

// The starts that a takeover makes all at once are slow on any VM.
func TestPaceForgivesTheTakeover(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	pace := pace{
		since: now,
	}
	for range 100 {
		pace.add(now.Add(200*time.Millisecond), 150*time.Millisecond)
	}
	for step := range 100 {
		pace.add(now.Add(warmUp+time.Duration(step)*4*time.Millisecond), 5*time.Millisecond)
	}
	assert.Assert(t, !pace.slow(now.Add(warmUp+3*time.Second)))
}

// A scheduler that falls behind must take fewer jobs, and all again once it has
// caught up. Found as a burst that took its whole processor, after which it
// served nobody for 12 s.
func TestPaceTurnsJobsAway(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	pace := pace{
		since: now,
	}
	work := func(took time.Duration, length time.Duration) {
		for until := now.Add(length); now.Before(until); now = now.Add(5 * time.Millisecond) {
			pace.add(now, took)
			pace.turn(now)
		}
	}
	work(5*time.Millisecond, 3*time.Second)
	assert.Equal(t, pace.turned, 0.0)
	work(60*time.Millisecond, 2*time.Second)
	assert.Assert(t, pace.turned > 0.5 && pace.turned <= maxTurned, "%v", pace.turned)
	work(5*time.Millisecond, 10*time.Second)
	assert.Equal(t, pace.turned, 0.0)
}

func TestTurnsAwayItsShare(t *testing.T) {
	turned := 0
	for number := range 10_000 {
		if turnsAway(fmt.Sprintf("%016x", number), 0.3) {
			turned++
		}
	}
	assert.Assert(t, turned > 2_800 && turned < 3_200, "%d of 10000", turned)
	assert.Assert(t, !turnsAway("any", 0))
}
