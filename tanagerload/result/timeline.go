package result

import (
	"slices"
	"time"

	"tanagerfall/shared/request/job"
)

// intervalTally accumulates the jobs whose scheduled arrival is within one
// interval of the timeline.
type intervalTally struct {
	offset    time.Duration
	jobs      int
	complete  int
	refused   int
	failed    int
	responses []time.Duration
	ratios    []float64
}

// timeline holds the intervals of a step in order.
type timeline []*intervalTally

// newTimeline returns the intervals of a step of durationMs.
func newTimeline(durationMs int64) timeline {
	duration := time.Duration(durationMs) * time.Millisecond
	var timeline timeline
	for offset := time.Duration(0); offset < duration; offset += intervalLength {
		timeline = append(timeline, &intervalTally{
			offset: offset,
		})
	}
	return timeline
}

// intervalAt returns the interval that contains an offset from the start of the
// step. An offset at or after the end of the step belongs to the last interval.
func (timeline timeline) intervalAt(offset time.Duration) *intervalTally {
	return timeline[min(int(offset/intervalLength), len(timeline)-1)]
}

// add adds a job.
func (intervalTally *intervalTally) add(sample *Sample) {
	intervalTally.jobs++
	switch {
	case sample.NoAnswer, sample.Outcome == job.Failed:
		intervalTally.failed++
	case sample.Outcome == job.Refused:
		intervalTally.refused++
	case sample.Outcome == job.Complete:
		intervalTally.complete++
		intervalTally.responses = append(intervalTally.responses, sample.Response)
		intervalTally.ratios = append(intervalTally.ratios, float64(sample.Response)/float64(sample.Ideal))
	}
}

// summarize returns the counts and quantiles of the interval.
func (intervalTally *intervalTally) summarize() TimelineInterval {
	slices.Sort(intervalTally.responses)
	slices.Sort(intervalTally.ratios)
	const median, tail = 50, 99
	return TimelineInterval{
		AtMs:                 intervalTally.offset.Milliseconds(),
		Jobs:                 intervalTally.jobs,
		Complete:             intervalTally.complete,
		Refused:              intervalTally.refused,
		Failed:               intervalTally.failed,
		P50Ms:                round(float64(percentile(intervalTally.responses, median))/float64(time.Millisecond), 3),
		P99Ms:                round(float64(percentile(intervalTally.responses, tail))/float64(time.Millisecond), 3),
		P99ResponseOverIdeal: round(percentile(intervalTally.ratios, tail), 3),
	}
}

// percentile returns the smallest of the sorted values such that at least
// percent of them are not larger, or 0 if there are none.
func percentile[Value time.Duration | float64](values []Value, percent int) Value {
	if len(values) == 0 {
		return 0
	}
	const maxPercent = 100
	rank := (len(values)*percent + maxPercent - 1) / maxPercent
	return values[max(rank, 1)-1]
}
