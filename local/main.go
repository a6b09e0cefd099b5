// Command local runs a whole deployment in one process: a demonstration job, or
// a measurement of plan propagation and VM start times.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "local",
		Short:         "Run the whole system in one process",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newDemoCommand(), newMeasureCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "local: "+err.Error())
		os.Exit(1)
	}
}
