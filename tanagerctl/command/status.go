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
	// versionUnknown tells that neither the log nor the operator named the version.
	versionUnknown bool
}

func newPlanStatus(flags *flags) *cobra.Command {
	var wait bool
	var version int64
	command := &cobra.Command{
		Use:     "status",
		Short:   "Shows which version each entry VM has",
		Example: "  tanagerctl plan status --wait --timeout 10s",
		Args:    exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := flags.loadSettings()
			if err != nil {
				return err
			}
			if len(settings.OperatorAddresses) == 0 {
				return eris.Wrap(errUsage, "--operator-address or operator-addresses in the settings is missing")
			}
			status := flags.newStatusOutput(command.Context(), settings, version)
			operatorClient, err := settings.newOperatorClient()
			if err != nil {
				return err
			}
			defer operatorClient.httpClient.CloseIdleConnections()
			status = flags.pollUntilInForce(command.Context(), operatorClient, settings.OperatorAddresses, status, wait)
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

// newStatusOutput finds out which version the VMs should have.
func (flags *flags) newStatusOutput(ctx context.Context, settings Settings, version int64) statusOutput {
	status := statusOutput{
		Version: version,
	}
	history, err := flags.readHistory(ctx, settings, 0)
	if err != nil {
		status.LogProblem = err.Error()
		status.versionUnknown = version == 0
		return status
	}
	current, digest, _, synced := history.Current()
	if !synced {
		status.LogProblem = "the log's retained records don't tell the current version"
		status.versionUnknown = version == 0
	}
	if version == 0 || version == current {
		status.Version = current
		status.Digest = digest
	}
	return status
}

// pollUntilInForce asks all VMs, again and again if wait is set, until they have the
// version.
func (flags *flags) pollUntilInForce(ctx context.Context, operatorClient *operatorClient, addresses []string, status statusOutput, wait bool) statusOutput {
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		evaluated := evaluateStatus(status, operatorClient.queryAll(ctx, addresses))
		if evaluated.InForce || !wait {
			return evaluated
		}
		select {
		case <-ctx.Done():
			return evaluated
		case <-ticker.C:
		}
	}
}

// evaluateStatus compares the VMs with the version expected. Where the log could not
// be asked, that is the highest version of any VM.
func evaluateStatus(status statusOutput, vms []VMStatus) statusOutput {
	for _, vm := range vms {
		if status.versionUnknown && vm.Version > status.Version {
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
