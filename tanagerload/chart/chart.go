package chart

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"tanagerfall/tanagerload/result"
)

const (
	width  = 18 * vg.Centimeter
	height = 11 * vg.Centimeter
	// msPerSecond converts the times of a result to the seconds of the axes.
	msPerSecond = 1000
	// headroom is the ratio of the y axis to the largest value, which leaves
	// space for the legend.
	headroom = 1.25
)

// series is a line of a chart with its name in the legend.
type series struct {
	name   string
	points plotter.XYs
}

// Draw writes the charts of results to directory, which must exist, and returns
// the paths of their files: response over ideal and messages per task against
// load, and two timelines of each step with faults, one of response times and
// one of failures. Each chart is written as PNG and as SVG. After an error, the
// files written so far are returned.
func Draw(results []result.Result, directory string) ([]string, error) {
	var files []string
	save := func(name string, linePlot *plot.Plot) error {
		for _, extension := range []string{".png", ".svg"} {
			file := filepath.Join(directory, name+extension)
			if err := linePlot.Save(width, height, file); err != nil {
				return eris.Wrapf(err, "write chart %s", file)
			}
			files = append(files, file)
		}
		return nil
	}
	ratios, err := newLinePlot("Response over ideal", "load (share of the workers' speed)", "response over ideal", ratioSeries(results))
	if err != nil {
		return files, err
	}
	if err := save("response-over-ideal", ratios); err != nil {
		return files, err
	}
	messages, err := newLinePlot("Messages", "load (share of the workers' speed)", "messages per task", messageSeries(results))
	if err != nil {
		return files, err
	}
	if err := save("messages", messages); err != nil {
		return files, err
	}
	for i := range results {
		for j := range results[i].Steps {
			if len(results[i].Steps[j].Faults) == 0 {
				continue
			}
			if err := drawTimelines(&results[i], j, save); err != nil {
				return files, err
			}
		}
	}
	return files, nil
}

// drawTimelines draws the two timelines of a step and passes them to save with
// the names of their files.
func drawTimelines(experimentResult *result.Result, stepIndex int, save func(string, *plot.Plot) error) error {
	step := &experimentResult.Steps[stepIndex]
	name := fmt.Sprintf("%s-%d", experimentResult.Experiment, stepIndex)
	responses, err := newLinePlot(name+": response", "time (s)", "response p99 (ms)", []series{responseTimeline(step)})
	if err != nil {
		return err
	}
	markFaults(responses, step.Faults)
	if err := save(name+"-response", responses); err != nil {
		return err
	}
	failures, err := newLinePlot(name+": jobs without a whole answer", "time (s)", "jobs per second", failureTimelines(step))
	if err != nil {
		return err
	}
	markFaults(failures, step.Faults)
	return save(name+"-failures", failures)
}

// ratioSeries returns, for each experiment, the p50, p99 and p99.9 of response
// over ideal against load.
func ratioSeries(results []result.Result) []series {
	var allSeries []series
	for i := range results {
		experimentResult := &results[i]
		for _, quantile := range []struct {
			name string
			of   func(result.Quantiles) float64
		}{
			{
				name: "p50",
				of:   func(quantiles result.Quantiles) float64 { return quantiles.P50 },
			},
			{
				name: "p99",
				of:   func(quantiles result.Quantiles) float64 { return quantiles.P99 },
			},
			{
				name: "p99.9",
				of:   func(quantiles result.Quantiles) float64 { return quantiles.P999 },
			},
		} {
			allSeries = append(allSeries, seriesByLoad(experimentResult, experimentResult.Experiment+" "+quantile.name, func(step *result.Step) float64 {
				return quantile.of(step.ResponseOverIdeal)
			}))
		}
	}
	return allSeries
}

// messageSeries returns, for each experiment, all and wasted messages per task
// against load.
func messageSeries(results []result.Result) []series {
	var allSeries []series
	for i := range results {
		experimentResult := &results[i]
		allSeries = append(allSeries,
			seriesByLoad(experimentResult, experimentResult.Experiment+" all", func(step *result.Step) float64 { return step.Messages.PerTask }),
			seriesByLoad(experimentResult, experimentResult.Experiment+" wasted", func(step *result.Step) float64 { return step.Messages.WastedPerTask }))
	}
	return allSeries
}

// seriesByLoad returns a value of each step against the step's load, ordered by
// load.
func seriesByLoad(experimentResult *result.Result, name string, value func(*result.Step) float64) series {
	loadSeries := series{
		name: name,
	}
	for i := range experimentResult.Steps {
		loadSeries.points = append(loadSeries.points, plotter.XY{
			X: experimentResult.Steps[i].Load,
			Y: value(&experimentResult.Steps[i]),
		})
	}
	slices.SortFunc(loadSeries.points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
	return loadSeries
}

// responseTimeline returns the p99 of the response time over the step.
func responseTimeline(step *result.Step) series {
	return seriesByTime(step, "p99", func(interval *result.TimelineInterval) float64 { return interval.P99Ms })
}

// failureTimelines returns the failed and the refused jobs over the step.
func failureTimelines(step *result.Step) []series {
	return []series{
		seriesByTime(step, "failed", func(interval *result.TimelineInterval) float64 { return float64(interval.Failed) }),
		seriesByTime(step, "refused", func(interval *result.TimelineInterval) float64 { return float64(interval.Refused) }),
	}
}

// seriesByTime returns a value of each interval against its start, in seconds
// from the start of the step.
func seriesByTime(step *result.Step, name string, value func(*result.TimelineInterval) float64) series {
	timeSeries := series{
		name: name,
	}
	for i := range step.Timeline {
		timeSeries.points = append(timeSeries.points, plotter.XY{
			X: float64(step.Timeline[i].AtMs) / msPerSecond,
			Y: value(&step.Timeline[i]),
		})
	}
	return timeSeries
}

// newLinePlot returns a chart with lines and points for the series.
func newLinePlot(title, xLabel, yLabel string, allSeries []series) (*plot.Plot, error) {
	linePlot := plot.New()
	linePlot.Title.Text = title
	linePlot.X.Label.Text = xLabel
	linePlot.Y.Label.Text = yLabel
	linePlot.Y.Min = 0
	linePlot.Legend.Top = true
	linePlot.Legend.Left = true
	linePlot.Add(plotter.NewGrid())
	for i := range allSeries {
		line, linePoints, err := plotter.NewLinePoints(allSeries[i].points)
		if err != nil {
			return nil, eris.Wrapf(err, "draw series %s", allSeries[i].name)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		linePoints.Color = plotutil.Color(i)
		linePoints.Shape = plotutil.Shape(i)
		linePlot.Add(line, linePoints)
		linePlot.Legend.Add(allSeries[i].name, line, linePoints)
	}
	linePlot.Y.Min = 0
	linePlot.Y.Max = max(linePlot.Y.Max, 1e-3) * headroom
	return linePlot, nil
}

// markFaults draws a labelled vertical line at the time of each fault.
func markFaults(linePlot *plot.Plot, faults []result.FaultEvent) {
	labels := plotter.XYLabels{}
	for i, event := range faults {
		seconds := float64(event.AtMs) / msPerSecond
		line, err := plotter.NewLine(plotter.XYs{
			{X: seconds},
			{
				X: seconds,
				Y: linePlot.Y.Max,
			},
		})
		if err != nil {
			continue
		}
		line.Dashes = plotutil.Dashes(1)
		linePlot.Add(line)
		// Labels of neighbouring faults get different heights, so that they do
		// not overlap.
		const levels = 4
		labels.XYs = append(labels.XYs, plotter.XY{
			X: seconds,
			Y: linePlot.Y.Max * (1 - float64(i%levels+1)/16),
		})
		labels.Labels = append(labels.Labels, " "+faultLabel(event))
	}
	plottedLabels, err := plotter.NewLabels(labels)
	if err == nil {
		linePlot.Add(plottedLabels)
	}
}

// faultLabel returns the note of a fault, or else its target and name.
func faultLabel(event result.FaultEvent) string {
	if event.Note != "" {
		return event.Note
	}
	return fmt.Sprintf("%s: %s", event.Target, event.Fault)
}
