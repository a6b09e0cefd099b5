package command

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/shared/version/plan"
)

type statusOutput struct {
	// Version is the version expected, and Digest its digest where known.
	Version int64       `json:"version"`
	Digest  plan.Digest `json:"digest"`
	// LogProblem is why the log could not be asked; the highest version of any
	// VM is then expected.
	LogProblem string     `json:"log-problem,omitempty"`
	InForce    bool       `json:"in-force-everywhere"`
	VMs        []VMStatus `json:"vms"`
	// open tells that neither the log nor the operator named the version.
	open bool
}

func newStatus(flags *flags) *cobra.Command {
	var wait bool
	var version int64
	command := &cobra.Command{
		Use:     "status",
		Short:   "Shows which version each entry VM has",
		Example: "  tanagerctl plan status --wait --timeout 10s",
		Args:    arguments(0),
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := flags.load()
			if err != nil {
				return err
			}
			if len(loaded.OperatorAddresses) == 0 {
				return eris.Wrap(errUsage, "--operator-address or operator-addresses in the settings is missing")
			}
			status := flags.expected(command.Context(), loaded, version)
			reached, err := loaded.fleet()
			if err != nil {
				return err
			}
			defer reached.client.CloseIdleConnections()
			status = flags.await(command.Context(), reached, loaded.OperatorAddresses, status, wait)
			err = flags.writeStatus(command, status)
			if err != nil || status.InForce {
				return err
			}
			return eris.Wrapf(errNotInForce, "version %d", status.Version)
		},
	}
	command.Flags().BoolVar(&wait, "wait", false, "wait until every VM has the version, up to --timeout")
	command.Flags().Int64Var(&version, "version", 0, "version to expect (default: the current one of the log)")
	return command
}

// expected finds out which version the VMs should have.
func (flags *flags) expected(ctx context.Context, loaded Settings, version int64) statusOutput {
	status := statusOutput{
		Version: version,
	}
	history, err := flags.history(ctx, loaded, 0)
	if err != nil {
		status.LogProblem = err.Error()
		status.open = version == 0
		return status
	}
	current, digest, _, synced := history.Current()
	if !synced {
		status.LogProblem = "the log's retained records don't tell the current version"
		status.open = version == 0
	}
	if version == 0 || version == current {
		status.Version = current
		status.Digest = digest
	}
	return status
}

// await asks all VMs, again and again if wait is set, until they have the
// version.
func (flags *flags) await(ctx context.Context, reached *fleet, addresses []string, status statusOutput, wait bool) statusOutput {
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		asked := judge(status, reached.askAll(ctx, addresses))
		if asked.InForce || !wait {
			return asked
		}
		select {
		case <-ctx.Done():
			return asked
		case <-ticker.C:
		}
	}
}

// judge compares the VMs with the version expected. Where the log could not
// be asked, that is the highest version of any VM.
func judge(status statusOutput, vms []VMStatus) statusOutput {
	for _, vm := range vms {
		if status.open && vm.Version > status.Version {
			status.Version, status.Digest = vm.Version, vm.Digest
		}
	}
	status.VMs = vms
	status.InForce = true
	for i := range vms {
		vm := &vms[i]
		switch {
		case vm.Problem != "":
		case vm.Version < status.Version || vm.Version == 0:
			vm.Problem = "behind"
		case vm.Version == status.Version && status.Digest != 0 && vm.Digest != status.Digest:
			vm.Problem = "same version with another digest"
		default:
			vm.InForce = true
		}
		status.InForce = status.InForce && vm.InForce
	}
	return status
}

func (flags *flags) writeStatus(command *cobra.Command, status statusOutput) error {
	if flags.output == outputJSON {
		return writeJSON(command.OutOrStdout(), status)
	}
	if status.LogProblem != "" {
		fmt.Fprintf(command.OutOrStdout(), "log: %s\n", status.LogProblem)
	}
	fmt.Fprintf(command.OutOrStdout(), "expected version: %d\n", status.Version)
	rows := make([][]string, 0, len(status.VMs))
	for _, vm := range status.VMs {
		rows = append(rows, []string{
			vm.Address,
			strconv.FormatInt(vm.Version, 10),
			vm.Digest.String(),
			strconv.FormatBool(vm.InForce),
			textOrDash(vm.Problem),
		})
	}
	return writeTable(command.OutOrStdout(), []string{"VM", "VERSION", "DIGEST", "IN FORCE", "PROBLEM"}, rows)
}
