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
	// maxStateBytes is the maximum size of a state dump that is read.
	maxStateBytes = 64 << 20
	// queryTimeout is the time limit for one status query, so that a VM that
	// doesn't answer delays the wait for the other VMs only a little.
	queryTimeout = time.Second
	// pollInterval is the time between two polls of plan status --wait.
	pollInterval = 200 * time.Millisecond
	// maxQuotedErrorBytes is how much of an error reply is quoted in an error.
	maxQuotedErrorBytes = 256
)

func newVMCommand(flags *flags) *cobra.Command {
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

// drainOutput is the JSON output of vm drain.
type drainOutput struct {
	Address string `json:"address"`
	Drain   string `json:"drain"`
}

// completeOperatorAddress completes the argument ADDRESS with the operator addresses
// of the settings.
func (flags *flags) completeOperatorAddress(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	settings, err := flags.loadSettings()
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	return settings.OperatorAddresses, cobra.ShellCompDirectiveNoFileComp
}

// callVM calls the operator endpoint of one VM within the timeout and returns the
// body of the reply. The error of a failed call wraps errVMCallFailed.
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

// newOperatorClient returns a client that uses TLS if the settings name an authority.
// The error wraps errUsage.
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

// call calls the operator endpoint of the VM at address and returns the body of the
// reply. The error wraps errVMCallFailed.
func (operatorClient *operatorClient) call(ctx context.Context, method, address, path string) ([]byte, error) {
	return operatorClient.callWithBody(ctx, method, address, path, http.NoBody)
}

// callWithBody does what call does, and sends a body.
func (operatorClient *operatorClient) callWithBody(ctx context.Context, method, address, path string, body io.Reader) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, operatorClient.scheme+"://"+address+path, body)
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
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return nil, eris.Wrapf(errVMCallFailed, "%s: %v", address, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, eris.Wrapf(errVMCallFailed, "%s: %s: %.*s", address, response.Status, maxQuotedErrorBytes, strings.TrimSpace(string(reply)))
	}
	return reply, nil
}

// VMStatus is the plan version of one entry VM.
type VMStatus struct {
	// Address is the operator address of the VM.
	Address string `json:"address"`
	// Version and Digest identify the VM's plan; 0 means that it has none or
	// that the query failed.
	Version int64       `json:"version"`
	Digest  plan.Digest `json:"digest"`
	// InForce is true if the VM has the expected version and digest, or a higher
	// version.
	InForce bool `json:"in-force"`
	// Problem says why the version is not in force, or why the query failed.
	Problem string `json:"problem,omitempty"`
}

// queryAll queries the plan versions of all VMs concurrently.
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

// query reads the plan version of one VM from its state dump.
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
