package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/shared/version/plan"
)

const (
	// maxStateBytes bounds a state dump.
	maxStateBytes = 64 << 20
	// queryTimeout bounds one question, so that a VM that went silent doesn't
	// hold up a wait for the others.
	queryTimeout = time.Second
	// pollInterval is the pause between two rounds of plan status --wait.
	pollInterval = 200 * time.Millisecond
	// maxQuotedErrorBytes bounds how much of an error reply is quoted.
	maxQuotedErrorBytes = 256
)

func newVM(flags *flags) *cobra.Command {
	command := &cobra.Command{
		Use:     "vm",
		Short:   "Drains an entry VM or shows its state",
		Example: "  tanagerctl vm drain 10.0.0.3:7300",
	}
	command.AddCommand(
		&cobra.Command{
			Use:               "drain ADDRESS",
			Short:             "Starts the graceful shutdown of an entry VM",
			Example:           "  tanagerctl vm drain 10.0.0.3:7300",
			Args:              exactArgs(1),
			ValidArgsFunction: flags.completeOperatorAddress,
			RunE: func(command *cobra.Command, args []string) error {
				_, err := flags.callVM(command, http.MethodPost, args[0], "/drain")
				if err != nil {
					return err
				}
				if flags.output == outputJSON {
					return writeJSON(command.OutOrStdout(), drainOutput{
						Address: args[0],
						Drain:   "started",
					})
				}
				fmt.Fprintf(command.OutOrStdout(), "%s: drain started\n", args[0])
				return nil
			},
		},
		&cobra.Command{
			Use:               "dump ADDRESS",
			Short:             "Writes the state dump of an entry VM, in JSON",
			Example:           "  tanagerctl vm dump 10.0.0.3:7300",
			Args:              exactArgs(1),
			ValidArgsFunction: flags.completeOperatorAddress,
			RunE: func(command *cobra.Command, args []string) error {
				body, err := flags.callVM(command, http.MethodGet, args[0], "/state")
				if err != nil {
					return err
				}
				_, err = command.OutOrStdout().Write(body)
				return eris.Wrap(err, "write the output")
			},
		},
	)
	return command
}

type drainOutput struct {
	Address string `json:"address"`
	Drain   string `json:"drain"`
}

func (flags *flags) completeOperatorAddress(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	settings, err := flags.loadSettings()
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	return settings.OperatorAddresses, cobra.ShellCompDirectiveNoFileComp
}

func (flags *flags) callVM(command *cobra.Command, method, address, path string) ([]byte, error) {
	settings, err := flags.loadSettings()
	if err != nil {
		return nil, err
	}
	operatorClient, err := settings.newOperatorClient()
	if err != nil {
		return nil, err
	}
	defer operatorClient.httpClient.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(command.Context(), flags.timeout)
	defer cancel()
	return operatorClient.call(ctx, method, address, path)
}

// operatorClient calls the operator endpoints of entry VMs.
type operatorClient struct {
	httpClient *http.Client
	scheme     string
	token      string
}

// newOperatorClient returns how to reach the entry VMs: over TLS where the settings name
// an authority. The error wraps errUsage.
func (settings *Settings) newOperatorClient() (*operatorClient, error) {
	operatorClient := &operatorClient{
		httpClient: newHTTPClient(),
		scheme:     "http",
		token:      settings.OperatorToken,
	}
	if settings.CA == "" {
		return operatorClient, nil
	}
	data, err := os.ReadFile(settings.CA)
	if err != nil {
		return nil, eris.Wrapf(errUsage, "--ca or ca in the settings: %v", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, eris.Wrapf(errUsage, "--ca or ca in the settings: %s holds no certificate", settings.CA)
	}
	operatorClient.scheme = "https"
	operatorClient.httpClient.Transport = &http.Transport{
		TLSClientConfig: &tls.Config{
			MinVersion: tls.VersionTLS13,
			RootCAs:    authorities,
		},
	}
	return operatorClient, nil
}

// call calls the operator endpoint of a VM. The error wraps errVM.
func (operatorClient *operatorClient) call(ctx context.Context, method, address, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, operatorClient.scheme+"://"+address+path, nil)
	if err != nil {
		return nil, eris.Wrapf(errVMCallFailed, "%s: %v", address, err)
	}
	if operatorClient.token != "" {
		request.Header.Set("Authorization", "Bearer "+operatorClient.token)
	}
	response, err := operatorClient.httpClient.Do(request)
	if err != nil {
		return nil, eris.Wrapf(errVMCallFailed, "%s: %v", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return nil, eris.Wrapf(errVMCallFailed, "%s: %v", address, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, eris.Wrapf(errVMCallFailed, "%s: %s: %.*s", address, response.Status, maxQuotedErrorBytes, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// VMStatus is the plan of one entry VM.
type VMStatus struct {
	Address string      `json:"address"`
	Version int64       `json:"version"`
	Digest  plan.Digest `json:"digest"`
	InForce bool        `json:"in-force"`
	Problem string      `json:"problem,omitempty"`
}

// queryAll asks the VMs for their plans, all at once.
func (operatorClient *operatorClient) queryAll(ctx context.Context, addresses []string) []VMStatus {
	statuses := make([]VMStatus, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			statuses[i] = operatorClient.query(ctx, address)
		})
	}
	group.Wait()
	return statuses
}

func (operatorClient *operatorClient) query(ctx context.Context, address string) VMStatus {
	status := VMStatus{
		Address: address,
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	body, err := operatorClient.call(ctx, http.MethodGet, address, "/state")
	if err != nil {
		status.Problem = err.Error()
		return status
	}
	var state struct {
		Plan *struct {
			Version int64       `json:"version"`
			Digest  plan.Digest `json:"digest"`
		} `json:"plan"`
	}
	err = json.Unmarshal(body, &state)
	switch {
	case err != nil:
		status.Problem = "state: " + err.Error()
	case state.Plan == nil:
		status.Problem = "the state has no plan"
	default:
		status.Version = state.Plan.Version
		status.Digest = state.Plan.Digest
	}
	return status
}
