package result

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tanagerfall/shared/request/job"
)

const (
	// intervalLength is the length of a TimelineInterval.
	intervalLength = time.Second
	// significantFigures is the precision of the histograms in decimal digits.
	significantFigures = 3
	// scale converts between ms and us, between ratios and thousandths (the
	// histograms hold integers), and between ms and seconds.
	scale = 1000
	// maxHistogramValue is the upper end of the histograms: a response time of
	// 30 minutes in us.
	maxHistogramValue = 1_800_000_000
)

// Sample is the measured outcome of one job.
type Sample struct {
	// Number is the number of the job in the experiment.
	Number int
	// Offset is the scheduled arrival, from the start of the step.
	Offset time.Duration
	// SendDelay is the time from the scheduled arrival to the sending.
	SendDelay time.Duration
	// Response is the time from the scheduled arrival to the answer.
	Response time.Duration
	// Ideal is the ideal response time as returned by
	// workload.Arrival.IdealResponse.
	Ideal time.Duration
	// Deadline is the time that the job allows for its answer.
	Deadline time.Duration
	Tasks    int
	// NoAnswer is set if no answer came; Outcome, Started and Reason are then
	// unset.
	NoAnswer bool
	Outcome  job.Outcome
	Started  job.Started
	Reason   job.Reason
	// Submissions counts the intended submissions, Requests the requests sent to
	// entry VMs for the job.
	Submissions int
	Requests    int
}

// Summarize fills in everything in step that follows from the samples, which
// includes Submissions and CallerRequests of Messages. It sorts samples by
// number. The step's durations must be set.
func Summarize(step *Step, samples []Sample) {
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.Number, b.Number) })
	warmUp := time.Duration(step.WarmUpMs) * time.Millisecond
	end := time.Duration(step.DurationMs) * time.Millisecond
	measuredJobs := newTally()
	timeline := newTimeline(step.DurationMs)
	for i := range samples {
		sample := &samples[i]
		step.Messages.Submissions += int64(sample.Submissions)
		step.Messages.CallerRequests += int64(sample.Requests)
		timeline.intervalAt(sample.Offset).add(sample)
		if sample.Offset >= warmUp {
			measuredJobs.add(sample)
		}
		if answeredAt := sample.Offset + sample.Response; answeredAt >= warmUp && answeredAt < end {
			measuredJobs.addGoodput(sample)
		}
	}
	measuredJobs.fill(step)
	for _, interval := range timeline {
		step.Timeline = append(step.Timeline, interval.summarize())
	}
}

// Finish computes the values that depend on the counts of the workers, which
// must be set in Messages.
func (step *Step) Finish() {
	step.Messages.finish()
	step.StartsPerSecond = round(float64(step.Messages.Starts)/(float64(step.DurationMs)/scale), 1)
}

// tally accumulates the samples of a step.
type tally struct {
	jobs, tasks, complete, noAnswer, inTimeJobs, inTimeTasks int

	refused, failed                         []ReasonCount
	responses, ratios, refusals, sendDelays *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		refused:    []ReasonCount{},
		failed:     []ReasonCount{},
		responses:  newHistogram(),
		ratios:     newHistogram(),
		refusals:   newHistogram(),
		sendDelays: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramValue, significantFigures)
}

// record adds a value to a histogram. A value outside the histogram's range
// counts as the nearest end of the range.
func record(histogram *hdrhistogram.Histogram, value int64) {
	_ = histogram.RecordValue(min(max(value, 1), maxHistogramValue))
}

// add adds a job that arrived after the warm-up.
func (tally *tally) add(sample *Sample) {
	tally.jobs++
	tally.tasks += sample.Tasks
	record(tally.sendDelays, sample.SendDelay.Microseconds())
	if sample.NoAnswer {
		tally.noAnswer++
		return
	}
	switch sample.Outcome {
	case job.Complete:
		tally.addComplete(sample)
	case job.Refused:
		tally.refused = countReason(tally.refused, sample)
		record(tally.refusals, sample.Response.Microseconds())
	case job.Failed:
		tally.failed = countReason(tally.failed, sample)
	}
}

// addComplete adds a job that was answered as complete.
func (tally *tally) addComplete(sample *Sample) {
	tally.complete++
	record(tally.responses, sample.Response.Microseconds())
	record(tally.ratios, int64(float64(sample.Response)/float64(sample.Ideal)*scale))
}

// addGoodput counts a job that was answered between the warm-up and the end of
// the step, if the job is complete and within its deadline.
func (tally *tally) addGoodput(sample *Sample) {
	if sample.NoAnswer || sample.Outcome != job.Complete || sample.Response > sample.Deadline {
		return
	}
	tally.inTimeJobs++
	tally.inTimeTasks += sample.Tasks
}

// countReason increments the count of the sample's reason.
func countReason(counts []ReasonCount, sample *Sample) []ReasonCount {
	for i := range counts {
		if counts[i].Reason == string(sample.Reason) && counts[i].Started == string(sample.Started) {
			counts[i].Count++
			return counts
		}
	}
	return append(counts, ReasonCount{
		Reason:  string(sample.Reason),
		Started: string(sample.Started),
		Count:   1,
	})
}

// fill sets the fields of step that the tally determines.
func (tally *tally) fill(step *Step) {
	seconds := float64(step.DurationMs-step.WarmUpMs) / scale
	step.Jobs = tally.jobs
	step.Tasks = tally.tasks
	step.Complete = tally.complete
	step.NoAnswer = tally.noAnswer
	step.Refused = sortReasons(tally.refused)
	step.Failed = sortReasons(tally.failed)
	step.ResponseMs = quantiles(tally.responses)
	step.ResponseOverIdeal = quantiles(tally.ratios)
	step.RefusalMs = quantiles(tally.refusals)
	step.SendDelayMs = quantiles(tally.sendDelays)
	step.GoodputJobsPerSecond = round(float64(tally.inTimeJobs)/seconds, 2)
	step.GoodputTasksPerSecond = round(float64(tally.inTimeTasks)/seconds, 2)
}

// sortReasons sorts counts by reason, then by whether tasks were started.
func sortReasons(counts []ReasonCount) []ReasonCount {
	slices.SortFunc(counts, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Started, b.Started))
	})
	return counts
}

// quantiles returns the quantiles of a histogram of scaled values.
func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	if histogram.TotalCount() == 0 {
		return Quantiles{}
	}
	valueAt := func(percent float64) float64 {
		return float64(histogram.ValueAtQuantile(percent)) / scale
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		Mean:  round(histogram.Mean()/scale, 3),
		P50:   valueAt(50),
		P99:   valueAt(99),
		P999:  valueAt(99.9),
		Max:   float64(histogram.Max()) / scale,
	}
}

// round rounds value to a number of decimals.
func round(value float64, decimals int) float64 {
	unit := math.Pow(10, float64(decimals))
	return math.Round(value*unit) / unit
}
