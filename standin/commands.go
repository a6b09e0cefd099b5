package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"tanagerfall/standin/fault"
	"tanagerfall/standin/fleet"
	"tanagerfall/standin/network"
	"tanagerfall/standin/platform"
	"tanagerfall/standin/worker"
)

func newWorkerCommand() *cobra.Command {
	config := worker.Config{}
	command := &cobra.Command{
		Use:     "worker --address IP:PORT",
		Short:   "Run one worker",
		Example: "  standin worker --address 127.0.0.1:9100 --slots 8 --speed 1.5",
		Args:    cobra.NoArgs,
	}
	flags := command.Flags()
	flags.StringVar(&config.Address, "address", "127.0.0.1:0", "address to serve on")
	flags.IntVar(&config.Slots, "slots", worker.DefaultSlots, "maximum number of concurrent tasks")
	flags.IntVar(&config.Cores, "cores", worker.DefaultCores, "processor cores")
	flags.IntVar(&config.MemoryMb, "memory-mb", worker.DefaultMemoryMb, "memory in MB")
	flags.IntVar(&config.Accelerators, "accelerators", 0, "accelerators")
	flags.Float64Var(&config.Speed, "speed", 1, "divisor of every run time")
	control := flags.String("control-address", "", "additional address that serves only fault commands and the journal")
	command.RunE = func(command *cobra.Command, _ []string) error {
		standIn := worker.New(config)
		return serve(command.Context(), standIn, *control)
	}
	return command
}

func newPlatformCommand() *cobra.Command {
	config := platform.Config{}
	command := &cobra.Command{
		Use:     "platform --address IP:PORT",
		Short:   "Run the platform without VMs; PUT /v1/vms adds them",
		Example: "  standin platform --address 127.0.0.1:7000 --lag 1s",
		Args:    cobra.NoArgs,
	}
	flags := command.Flags()
	flags.StringVar(&config.Address, "address", "127.0.0.1:0", "address to serve on")
	flags.DurationVar(&config.Retention, "retention", platform.DefaultRetention, "how long records are kept")
	flags.DurationVar(&config.AppendTime, "append-time", defaultAppendTime, "duration of one synced append")
	flags.DurationVar(&config.Lag, "lag", time.Second, "delay until a change of the VMs shows in the VM list")
	control := flags.String("control-address", "", "additional address that serves only fault commands and changes of VMs")
	command.RunE = func(command *cobra.Command, _ []string) error {
		standIn := platform.New(config)
		return serve(command.Context(), standIn, *control)
	}
	return command
}

// defaultAppendTime allows about 330 appends per second.
const defaultAppendTime = 3 * time.Millisecond

func newFleetCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "fleet FILE",
		Short:   "Run the platform and all workers of a deployment in one process",
		Example: "  standin fleet tanagerload/experiments/kestane-fleet.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			config, err := fleet.Load(arguments[0])
			if err != nil {
				return err
			}
			standIns, err := fleet.Start(config)
			if err != nil {
				return err
			}
			defer standIns.Close()
			fmt.Printf("platform on %s, %d workers, control on %s\n",
				config.Platform.Address, len(standIns.Workers), config.ControlAddress)
			<-command.Context().Done()
			return nil
		},
	}
}

// standIn is the part of a worker or a platform that serve uses.
type standIn interface {
	Listen() (string, error)
	ControlHandler() http.Handler
	Close()
}

// serve runs a stand-in, and its control handler if controlAddress is not
// empty, until ctx ends.
func serve(ctx context.Context, standIn standIn, controlAddress string) error {
	address, err := standIn.Listen()
	if err != nil {
		return err
	}
	defer standIn.Close()
	fmt.Println("listening on " + address)
	if controlAddress != "" {
		control := network.New(standIn.ControlHandler(), &fault.Gate{})
		if _, err := control.Listen(controlAddress); err != nil {
			return err
		}
		defer control.Close()
	}
	<-ctx.Done()
	return nil
}
