package result

import (
	"slices"
	"time"

	"tanagerfall/shared/request/job"
)

// interval gathers the jobs that arrived within one Instant.
type interval struct {
	at        time.Duration
	jobs      int
	complete  int
	refused   int
	failed    int
	responses []time.Duration
	ratios    []float64
}

// timeline is a step in intervals; jobs at its very end count to the last.
type timeline []*interval

func newTimeline(durationMs int64) timeline {
	duration := time.Duration(durationMs) * time.Millisecond
	var line timeline
	for at := time.Duration(0); at < duration; at += timelineInterval {
		line = append(line, &interval{
			at: at,
		})
	}
	return line
}

func (line timeline) at(at time.Duration) *interval {
	return line[min(int(at/timelineInterval), len(line)-1)]
}

func (interval *interval) add(sample *Sample) {
	interval.jobs++
	switch {
	case sample.NoAnswer, sample.Outcome == job.Failed:
		interval.failed++
	case sample.Outcome == job.Refused:
		interval.refused++
	case sample.Outcome == job.Complete:
		interval.complete++
		interval.responses = append(interval.responses, sample.Response)
		interval.ratios = append(interval.ratios, float64(sample.Response)/float64(sample.Ideal))
	}
}

func (interval *interval) instant() Instant {
	slices.Sort(interval.responses)
	slices.Sort(interval.ratios)
	const median, tail = 50, 99
	return Instant{
		AtMs:     interval.at.Milliseconds(),
		Jobs:     interval.jobs,
		Complete: interval.complete,
		Refused:  interval.refused,
		Failed:   interval.failed,
		P50Ms:    round(float64(quantile(interval.responses, median))/float64(time.Millisecond), 3),
		P99Ms:    round(float64(quantile(interval.responses, tail))/float64(time.Millisecond), 3),
		P99Ratio: round(quantile(interval.ratios, tail), 3),
	}
}

// quantile returns the smallest of the sorted values that percent of them do
// not exceed, or 0.
func quantile[Value time.Duration | float64](values []Value, percent int) Value {
	if len(values) == 0 {
		return 0
	}
	const whole = 100
	rank := (len(values)*percent + whole - 1) / whole
	return values[max(rank, 1)-1]
}
