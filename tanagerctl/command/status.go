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

// statusOutput is the JSON output of plan status.
type statusOutput struct {
	// Version is the expected version. Digest is its digest, 0 if unknown.
	Version int64       `json:"version"`
	Digest  plan.Digest `json:"digest"`
	// LogProblem says why the log doesn't show the current version. The highest
	// version of all VMs is then expected, unless the operator names one.
	LogProblem string     `json:"log-problem,omitempty"`
	InForce    bool       `json:"in-force-everywhere"`
	VMs        []VMStatus `json:"vms"`
	// versionUnknown is true if neither the log nor the operator determines the
	// expected version.
	versionUnknown bool
}

func newPlanStatusCommand(flags *flags) *cobra.Command {
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
			status := flags.expectedStatus(command.Context(), settings, version)
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

// expectedStatus returns a status with the version that the VMs should have: the
// given one, or the current one of the log if version is 0.
func (flags *flags) expectedStatus(ctx context.Context, settings Settings, version int64) statusOutput {
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

// pollUntilInForce queries all VMs and evaluates their status. If wait is set, it
// repeats this until all of them have the expected version or the timeout ends.
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

// evaluateStatus compares the versions of the VMs with the expected one. If that is
// unknown, the highest version of all VMs takes its place.
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
