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
	// timelineInterval is the length of an Instant.
	timelineInterval = time.Second
	// significantFigures is the precision of the histograms.
	significantFigures = 3
	// scale makes ms and ratios integers with three decimals.
	scale = 1000
	// maxValue bounds the histograms: a response of 30 minutes in us.
	maxValue = 1_800_000_000
)

// Sample is the outcome of one job.
type Sample struct {
	Number int
	// At is the scheduled arrival from the beginning of the step, Late how
	// late the job was sent.
	At       time.Duration
	Late     time.Duration
	Response time.Duration
	Ideal    time.Duration
	Deadline time.Duration
	Tasks    int
	// NoAnswer is set if Outcome, Started and Reason are not known.
	NoAnswer    bool
	Outcome     job.Outcome
	Started     job.Started
	Reason      job.Reason
	Submissions int
	Requests    int
}

// Summarize computes all of a step that follows from the samples, in the
// order of their numbers. It fills the counts of callers in Messages.
func Summarize(step *Step, samples []Sample) {
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.Number, b.Number) })
	warmUp := time.Duration(step.WarmUpMs) * time.Millisecond
	end := time.Duration(step.DurationMs) * time.Millisecond
	measured := newTally()
	timeline := newTimeline(step.DurationMs)
	for i := range samples {
		sample := &samples[i]
		step.Messages.Jobs += int64(sample.Submissions)
		step.Messages.CallerRequests += int64(sample.Requests)
		timeline.at(sample.At).add(sample)
		if sample.At >= warmUp {
			measured.add(sample)
		}
		if answered := sample.At + sample.Response; answered >= warmUp && answered < end {
			measured.addGood(sample)
		}
	}
	measured.fill(step)
	for _, interval := range timeline {
		step.Timeline = append(step.Timeline, interval.instant())
	}
}

// Finish computes the shares that need the counts of the workers.
func (step *Step) Finish() {
	step.Messages.finish()
	step.StartsPerSecond = round(float64(step.Messages.Starts)/(float64(step.DurationMs)/scale), 1)
}

// tally gathers samples.
type tally struct {
	jobs, tasks, complete, noAnswer, inTime, tasksInTime int

	refused, failed                  []ReasonCount
	response, ratio, refusals, lates *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		refused:  []ReasonCount{},
		failed:   []ReasonCount{},
		response: newHistogram(),
		ratio:    newHistogram(),
		refusals: newHistogram(),
		lates:    newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxValue, significantFigures)
}

// record adds a value; values beyond the histogram's range count as its ends.
func record(histogram *hdrhistogram.Histogram, value int64) {
	_ = histogram.RecordValue(min(max(value, 1), maxValue))
}

func (tally *tally) add(sample *Sample) {
	tally.jobs++
	tally.tasks += sample.Tasks
	record(tally.lates, sample.Late.Microseconds())
	if sample.NoAnswer {
		tally.noAnswer++
		return
	}
	switch sample.Outcome {
	case job.Complete:
		tally.addComplete(sample)
	case job.Refused:
		tally.refused = count(tally.refused, sample)
		record(tally.refusals, sample.Response.Microseconds())
	case job.Failed:
		tally.failed = count(tally.failed, sample)
	}
}

func (tally *tally) addComplete(sample *Sample) {
	tally.complete++
	record(tally.response, sample.Response.Microseconds())
	record(tally.ratio, int64(float64(sample.Response)/float64(sample.Ideal)*scale))
}

// addGood counts a job that was answered within the step, if it is complete
// and in time.
func (tally *tally) addGood(sample *Sample) {
	if sample.NoAnswer || sample.Outcome != job.Complete || sample.Response > sample.Deadline {
		return
	}
	tally.inTime++
	tally.tasksInTime += sample.Tasks
}

// count adds one to the count of the sample's reason.
func count(counts []ReasonCount, sample *Sample) []ReasonCount {
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

func (tally *tally) fill(step *Step) {
	seconds := float64(step.DurationMs-step.WarmUpMs) / scale
	step.Jobs = tally.jobs
	step.Tasks = tally.tasks
	step.Complete = tally.complete
	step.NoAnswer = tally.noAnswer
	step.Refused = sorted(tally.refused)
	step.Failed = sorted(tally.failed)
	step.ResponseMs = quantiles(tally.response)
	step.Ratio = quantiles(tally.ratio)
	step.RefusalMs = quantiles(tally.refusals)
	step.LateMs = quantiles(tally.lates)
	step.GoodputJobs = round(float64(tally.inTime)/seconds, 2)
	step.GoodputTasks = round(float64(tally.tasksInTime)/seconds, 2)
}

func sorted(counts []ReasonCount) []ReasonCount {
	slices.SortFunc(counts, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Started, b.Started))
	})
	return counts
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	if histogram.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(percent float64) float64 {
		return float64(histogram.ValueAtQuantile(percent)) / scale
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		Mean:  round(histogram.Mean()/scale, 3),
		P50:   at(50),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(histogram.Max()) / scale,
	}
}

// round rounds to a number of decimals.
func round(value float64, decimals int) float64 {
	unit := math.Pow(10, float64(decimals))
	return math.Round(value*unit) / unit
}
