package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a scheduler that does not yield on a VM that became slow. A VM that
// ran six times slower continued to schedule for 3 s, in which nearly all jobs were
// late.
func TestLoadMonitorDetectsSlowScheduler(t *testing.T) {
	for _, test := range []struct {
		name          string
		startDuration time.Duration
		spacing       time.Duration
		slow          bool
	}{
		{"sound", 5 * time.Millisecond, 3 * time.Millisecond, false},
		{"busy", 25 * time.Millisecond, 3 * time.Millisecond, false},
		{"overloaded at a higher rate", 120 * time.Millisecond, 2 * time.Millisecond, false},
		{"slow", 120 * time.Millisecond, 8 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			loadMonitor := loadMonitor{
				schedulingSince: now,
				shedUpdatedAt:   now,
			}
			recordStarts := func(startTime, interval, duration time.Duration) {
				for end := now.Add(duration); now.Before(end); now = now.Add(interval) {
					loadMonitor.recordStart(now, startTime)
					loadMonitor.updateShedShare(now)
				}
			}
			recordStarts(5*time.Millisecond, 3*time.Millisecond, warmUpDuration)
			recordStarts(test.startDuration, test.spacing, 2*time.Second)
			assert.Equal(t, loadMonitor.tooSlow(now), test.slow)
		})
	}
}

// Guards against a scheduler on a weak link that refuses most jobs although its
// upstreams are idle: its starts take 35 ms at any rate, which refusals don't
// shorten. A rise above that shows that it falls behind. Also guards against one on a
// busy VM that refuses jobs which have ample time (soak TestSeeds beside load).
func TestSheddingFollowsTheBestStartTime(t *testing.T) {
	for _, test := range []struct {
		name      string
		startTime time.Duration
		slack     time.Duration
		sheds     bool
	}{
		{"as at its best", 38 * time.Millisecond, 100 * time.Millisecond, false},
		{"far above its best", 120 * time.Millisecond, 180 * time.Millisecond, true},
		{"the jobs have little slack", 38 * time.Millisecond, 50 * time.Millisecond, true},
		{"the jobs have ample slack", 105 * time.Millisecond, 2400 * time.Millisecond, false},
		{"far above, for ample slack as well", 180 * time.Millisecond, 2400 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			loadMonitor := loadMonitor{
				schedulingSince: now,
				shedUpdatedAt:   now,
				slack:           test.slack,
			}
			recordStarts := func(startTime, duration time.Duration) {
				for end := now.Add(duration); now.Before(end); now = now.Add(20 * time.Millisecond) {
					loadMonitor.recordStart(now, startTime)
					loadMonitor.updateShedShare(now)
				}
			}
			recordStarts(30*time.Millisecond, 8*time.Second)
			loadMonitor.shedShare = 0
			recordStarts(test.startTime, 3*time.Second)
			assert.Equal(t, loadMonitor.shedShare > 0, test.sheds, "%v", loadMonitor.averageStartTime)
		})
	}
}

// Guards against a new scheduler that yields at once: the starts that a takeover
// makes all at once are slow on any VM.
func TestLoadMonitorIgnoresTheWarmUp(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	loadMonitor := loadMonitor{
		schedulingSince: now,
	}
	for range 100 {
		loadMonitor.recordStart(now.Add(200*time.Millisecond), 150*time.Millisecond)
	}
	for number := range 100 {
		loadMonitor.recordStart(now.Add(warmUpDuration+time.Duration(number)*4*time.Millisecond), 5*time.Millisecond)
	}
	assert.Assert(t, !loadMonitor.tooSlow(now.Add(warmUpDuration+3*time.Second)))
}

// Guards against a scheduler that falls behind without shedding jobs, or goes on
// shedding after it has caught up. A burst that used its whole processor left all
// callers without service for 12 s.
func TestLoadMonitorAdjustsTheShedShare(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	loadMonitor := loadMonitor{
		schedulingSince: now,
	}
	recordStarts := func(startTime time.Duration, duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(5 * time.Millisecond) {
			loadMonitor.recordStart(now, startTime)
			loadMonitor.updateShedShare(now)
		}
	}
	recordStarts(5*time.Millisecond, 3*time.Second)
	assert.Equal(t, loadMonitor.shedShare, 0.0)
	recordStarts(60*time.Millisecond, 2*time.Second)
	assert.Assert(t, loadMonitor.shedShare > 0.5 && loadMonitor.shedShare <= maxShedShare, "%v", loadMonitor.shedShare)
	recordStarts(5*time.Millisecond, 10*time.Second)
	assert.Equal(t, loadMonitor.shedShare, 0.0)
}

// Guards against a scheduler that goes on shedding while it has nothing to do: with few
// callers, most of whom are shed, hardly any start shows that starts are fast again. After
// a crowd of clients, a process refused every ordinary caller for 20 s.
func TestIdleSchedulerStopsShedding(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	loadMonitor := loadMonitor{
		schedulingSince: now,
	}
	for number := range 400 {
		startTime := 5 * time.Millisecond
		if number >= 200 {
			startTime = 130 * time.Millisecond
		}
		now = now.Add(20 * time.Millisecond)
		loadMonitor.recordStart(now, startTime)
		loadMonitor.updateShedShare(now)
	}
	assert.Equal(t, loadMonitor.shedShare, maxShedShare)
	waitFor := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(25 * time.Millisecond) {
			loadMonitor.updateShedShare(now)
		}
	}
	waitFor(4 * time.Second)
	assert.Equal(t, loadMonitor.shedShare, maxShedShare, "jobs that wait without a start show no recovery")
	loadMonitor.isIdle = true
	waitFor(4 * time.Second)
	assert.Equal(t, loadMonitor.shedShare, 0.0)
	loadMonitor.isIdle = false
	loadMonitor.recordStart(now, 5*time.Millisecond)
	waitFor(shedUpdateInterval)
	assert.Equal(t, loadMonitor.shedShare, 0.0)
}
