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
	// msPerSecond converts the times of a result for the axes.
	msPerSecond = 1000
	// headroom is the space above the largest value, for the legend.
	headroom = 1.25
)

// series is one line of a chart.
type series struct {
	name   string
	points plotter.XYs
}

// Draw writes the charts of results to directory and returns their files:
// response over ideal and messages a task against load, and a timeline of
// each step with faults. Each chart is written as PNG and SVG.
func Draw(results []result.Result, directory string) ([]string, error) {
	var files []string
	save := func(name string, linePlot *plot.Plot) error {
		for _, extension := range []string{".png", ".svg"} {
			file := filepath.Join(directory, name+extension)
			if err := linePlot.Save(width, height, file); err != nil {
				return eris.Wrapf(err, "drawing %s", file)
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
	messages, err := newLinePlot("Messages", "load (share of the workers' speed)", "messages a task", messageSeries(results))
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

// drawTimelines draws the two timelines of a step.
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

// ratioSeries returns p50, p99 and p99.9 of response over ideal by load, for
// each experiment.
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

// seriesByLoad returns a value of each step against its load, in order of load.
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

func responseTimeline(step *result.Step) series {
	return seriesByTime(step, "p99", func(interval *result.TimelineInterval) float64 { return interval.P99Ms })
}

func failureTimelines(step *result.Step) []series {
	return []series{
		seriesByTime(step, "failed", func(interval *result.TimelineInterval) float64 { return float64(interval.Failed) }),
		seriesByTime(step, "refused", func(interval *result.TimelineInterval) float64 { return float64(interval.Refused) }),
	}
}

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

// newLinePlot returns a chart of lines with points.
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
		line, points, err := plotter.NewLinePoints(allSeries[i].points)
		if err != nil {
			return nil, eris.Wrapf(err, "drawing %s", allSeries[i].name)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		linePlot.Add(line, points)
		linePlot.Legend.Add(allSeries[i].name, line, points)
	}
	linePlot.Y.Min = 0
	linePlot.Y.Max = max(linePlot.Y.Max, 1e-3) * headroom
	return linePlot, nil
}

// markFaults draws the times of faults as labelled vertical lines.
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
		// Labels of neighbouring faults are put on different heights.
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

func faultLabel(event result.FaultEvent) string {
	if event.Note != "" {
		return event.Note
	}
	return fmt.Sprintf("%s: %s", event.Target, event.Fault)
}
