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
	add := func(name string, drawn *plot.Plot) error {
		for _, extension := range []string{".png", ".svg"} {
			file := filepath.Join(directory, name+extension)
			if err := drawn.Save(width, height, file); err != nil {
				return eris.Wrapf(err, "drawing %s", file)
			}
			files = append(files, file)
		}
		return nil
	}
	ratios, err := draw("Response over ideal", "load (share of the workers' speed)", "response over ideal", ratioSeries(results))
	if err != nil {
		return files, err
	}
	if err := add("response-over-ideal", ratios); err != nil {
		return files, err
	}
	messages, err := draw("Messages", "load (share of the workers' speed)", "messages a task", messageSeries(results))
	if err != nil {
		return files, err
	}
	if err := add("messages", messages); err != nil {
		return files, err
	}
	for i := range results {
		for j := range results[i].Steps {
			if len(results[i].Steps[j].Faults) == 0 {
				continue
			}
			if err := addTimelines(&results[i], j, add); err != nil {
				return files, err
			}
		}
	}
	return files, nil
}

// addTimelines draws the two timelines of a step.
func addTimelines(measured *result.Result, index int, add func(string, *plot.Plot) error) error {
	step := &measured.Steps[index]
	name := fmt.Sprintf("%s-%d", measured.Experiment, index)
	responses, err := draw(name+": response", "time (s)", "response p99 (ms)", []series{responseTimeline(step)})
	if err != nil {
		return err
	}
	mark(responses, step.Faults)
	if err := add(name+"-response", responses); err != nil {
		return err
	}
	failures, err := draw(name+": jobs without a whole answer", "time (s)", "jobs per second", failureTimelines(step))
	if err != nil {
		return err
	}
	mark(failures, step.Faults)
	return add(name+"-failures", failures)
}

// ratioSeries returns p50, p99 and p99.9 of response over ideal by load, for
// each experiment.
func ratioSeries(results []result.Result) []series {
	var all []series
	for i := range results {
		measured := &results[i]
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
			all = append(all, byLoad(measured, measured.Experiment+" "+quantile.name, func(step *result.Step) float64 {
				return quantile.of(step.Ratio)
			}))
		}
	}
	return all
}

func messageSeries(results []result.Result) []series {
	var all []series
	for i := range results {
		measured := &results[i]
		all = append(all,
			byLoad(measured, measured.Experiment+" all", func(step *result.Step) float64 { return step.Messages.PerTask }),
			byLoad(measured, measured.Experiment+" wasted", func(step *result.Step) float64 { return step.Messages.WastedPerTask }))
	}
	return all
}

// byLoad returns a value of each step against its load, in order of load.
func byLoad(measured *result.Result, name string, value func(*result.Step) float64) series {
	line := series{
		name: name,
	}
	for i := range measured.Steps {
		line.points = append(line.points, plotter.XY{
			X: measured.Steps[i].Load,
			Y: value(&measured.Steps[i]),
		})
	}
	slices.SortFunc(line.points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
	return line
}

func responseTimeline(step *result.Step) series {
	return overTime(step, "p99", func(instant *result.Instant) float64 { return instant.P99Ms })
}

func failureTimelines(step *result.Step) []series {
	return []series{
		overTime(step, "failed", func(instant *result.Instant) float64 { return float64(instant.Failed) }),
		overTime(step, "refused", func(instant *result.Instant) float64 { return float64(instant.Refused) }),
	}
}

func overTime(step *result.Step, name string, value func(*result.Instant) float64) series {
	line := series{
		name: name,
	}
	for i := range step.Timeline {
		line.points = append(line.points, plotter.XY{
			X: float64(step.Timeline[i].AtMs) / msPerSecond,
			Y: value(&step.Timeline[i]),
		})
	}
	return line
}

// draw returns a chart of lines with points.
func draw(title, x, y string, all []series) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = title
	drawn.X.Label.Text = x
	drawn.Y.Label.Text = y
	drawn.Y.Min = 0
	drawn.Legend.Top = true
	drawn.Legend.Left = true
	drawn.Add(plotter.NewGrid())
	for i := range all {
		line, points, err := plotter.NewLinePoints(all[i].points)
		if err != nil {
			return nil, eris.Wrapf(err, "drawing %s", all[i].name)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		drawn.Add(line, points)
		drawn.Legend.Add(all[i].name, line, points)
	}
	drawn.Y.Min = 0
	drawn.Y.Max = max(drawn.Y.Max, 1e-3) * headroom
	return drawn, nil
}

// mark draws the times of faults as labelled vertical lines.
func mark(drawn *plot.Plot, faults []result.Mark) {
	labels := plotter.XYLabels{}
	for i, fault := range faults {
		at := float64(fault.AtMs) / msPerSecond
		line, err := plotter.NewLine(plotter.XYs{
			{X: at},
			{
				X: at,
				Y: drawn.Y.Max,
			},
		})
		if err != nil {
			continue
		}
		line.Dashes = plotutil.Dashes(1)
		drawn.Add(line)
		// Labels of neighbouring faults are put on different heights.
		const levels = 4
		labels.XYs = append(labels.XYs, plotter.XY{
			X: at,
			Y: drawn.Y.Max * (1 - float64(i%levels+1)/16),
		})
		labels.Labels = append(labels.Labels, " "+describe(fault))
	}
	placed, err := plotter.NewLabels(labels)
	if err == nil {
		drawn.Add(placed)
	}
}

func describe(fault result.Mark) string {
	if fault.Note != "" {
		return fault.Note
	}
	return fmt.Sprintf("%s: %s", fault.Target, fault.Fault)
}
