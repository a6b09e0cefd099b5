package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/tanagerload/chart"
	"tanagerfall/tanagerload/result"
)

// newPlotCommand returns the command "plot".
func newPlotCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "plot RESULT.json...",
		Short:   "Draw results as PNG and SVG",
		Example: "  tanagerload plot kestane.json regie.json --directory plots",
		Args:    cobra.MinimumNArgs(1),
	}
	directory := command.Flags().StringP("directory", "d", ".", "directory for the charts")
	command.RunE = func(_ *cobra.Command, files []string) error {
		var results []result.Result
		for _, file := range files {
			experimentResult, err := readResult(file)
			if err != nil {
				return err
			}
			results = append(results, experimentResult)
		}
		const mode = 0o755
		if err := os.MkdirAll(*directory, mode); err != nil {
			return eris.Wrap(err, "create directory for charts")
		}
		charts, err := chart.Draw(results, *directory)
		for _, file := range charts {
			fmt.Println(file)
		}
		return err
	}
	return command
}

// readResult reads a result from a JSON file. The error names the file.
func readResult(file string) (result.Result, error) {
	var experimentResult result.Result
	data, err := os.ReadFile(file)
	if err != nil {
		return experimentResult, eris.Wrap(err, "read result")
	}
	if err := json.Unmarshal(data, &experimentResult); err != nil {
		return experimentResult, eris.Wrapf(err, "%s is not a result", file)
	}
	if experimentResult.Format != result.Format {
		return experimentResult, eris.Errorf("%s has format %d, this program reads %d", file, experimentResult.Format, result.Format)
	}
	return experimentResult, nil
}
