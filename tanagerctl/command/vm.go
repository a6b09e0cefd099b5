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
	// askTimeout bounds one question, so that a VM that went silent doesn't
	// hold up a wait for the others.
	askTimeout = time.Second
	// statusInterval is the pause between two rounds of plan status --wait.
	statusInterval = 200 * time.Millisecond
	// maxErrorBytes bounds how much of an error reply is quoted.
	maxErrorBytes = 256
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
			Args:              arguments(1),
			ValidArgsFunction: flags.operatorCompletions,
			RunE: func(command *cobra.Command, given []string) error {
				_, err := flags.call(command, http.MethodPost, given[0], "/drain")
				if err != nil {
					return err
				}
				if flags.output == outputJSON {
					return writeJSON(command.OutOrStdout(), drainOutput{
						Address: given[0],
						Drain:   "started",
					})
				}
				fmt.Fprintf(command.OutOrStdout(), "%s: drain started\n", given[0])
				return nil
			},
		},
		&cobra.Command{
			Use:               "dump ADDRESS",
			Short:             "Writes the state dump of an entry VM, in JSON",
			Example:           "  tanagerctl vm dump 10.0.0.3:7300",
			Args:              arguments(1),
			ValidArgsFunction: flags.operatorCompletions,
			RunE: func(command *cobra.Command, given []string) error {
				body, err := flags.call(command, http.MethodGet, given[0], "/state")
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

func (flags *flags) operatorCompletions(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	loaded, err := flags.load()
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	return loaded.OperatorAddresses, cobra.ShellCompDirectiveNoFileComp
}

func (flags *flags) call(command *cobra.Command, method, address, path string) ([]byte, error) {
	loaded, err := flags.load()
	if err != nil {
		return nil, err
	}
	fleet, err := loaded.fleet()
	if err != nil {
		return nil, err
	}
	defer fleet.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(command.Context(), flags.timeout)
	defer cancel()
	return fleet.call(ctx, method, address, path)
}

// fleet calls the operator endpoints of entry VMs.
type fleet struct {
	client *http.Client
	scheme string
	token  string
}

// fleet returns how to reach the entry VMs: over TLS where the settings name
// an authority. The error wraps errUsage.
func (loaded *Settings) fleet() (*fleet, error) {
	reached := &fleet{
		client: newHTTPClient(),
		scheme: "http",
		token:  loaded.OperatorToken,
	}
	if loaded.CA == "" {
		return reached, nil
	}
	data, err := os.ReadFile(loaded.CA)
	if err != nil {
		return nil, eris.Wrapf(errUsage, "--ca or ca in the settings: %v", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, eris.Wrapf(errUsage, "--ca or ca in the settings: %s holds no certificate", loaded.CA)
	}
	reached.scheme = "https"
	reached.client.Transport = &http.Transport{
		TLSClientConfig: &tls.Config{
			MinVersion: tls.VersionTLS13,
			RootCAs:    authorities,
		},
	}
	return reached, nil
}

// call calls the operator endpoint of a VM. The error wraps errVM.
func (fleet *fleet) call(ctx context.Context, method, address, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, fleet.scheme+"://"+address+path, nil)
	if err != nil {
		return nil, eris.Wrapf(errVM, "%s: %v", address, err)
	}
	if fleet.token != "" {
		request.Header.Set("Authorization", "Bearer "+fleet.token)
	}
	response, err := fleet.client.Do(request)
	if err != nil {
		return nil, eris.Wrapf(errVM, "%s: %v", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return nil, eris.Wrapf(errVM, "%s: %v", address, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, eris.Wrapf(errVM, "%s: %s: %.*s", address, response.Status, maxErrorBytes, strings.TrimSpace(string(body)))
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

// askAll asks the VMs for their plans, all at once.
func (fleet *fleet) askAll(ctx context.Context, addresses []string) []VMStatus {
	statuses := make([]VMStatus, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			statuses[i] = fleet.ask(ctx, address)
		})
	}
	group.Wait()
	return statuses
}

func (fleet *fleet) ask(ctx context.Context, address string) VMStatus {
	status := VMStatus{
		Address: address,
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, err := fleet.call(ctx, http.MethodGet, address, "/state")
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
