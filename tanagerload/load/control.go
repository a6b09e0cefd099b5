package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/shared/connection/upstream"
	"tanagerfall/standin/fault"
	"tanagerfall/standin/fleet"
	"tanagerfall/standin/worker"
	"tanagerfall/tanagerload/experiment"
	"tanagerfall/tanagerload/result"
)

// journalTimeout bounds the reading of one worker's journal.
const journalTimeout = 30 * time.Second

// commandTimeout bounds the sending of one fault command.
const commandTimeout = 5 * time.Second

// controlClient reads journals and sends fault commands through the control
// address of the stand-ins.
type controlClient struct {
	config *fleet.Config
	// workers holds the addresses of all workers.
	workers    []string
	httpClient *http.Client
}

func newControlClient(config *fleet.Config, transport http.RoundTripper) *controlClient {
	controlClient := &controlClient{
		config: config,
	}
	for _, vm := range config.VMs() {
		if vm.Role == wire.RoleWorker {
			controlClient.workers = append(controlClient.workers, vm.Address)
		}
	}
	if transport == nil {
		transport = &http.Transport{
			DialContext: dialer.DialContext,
		}
	}
	controlClient.httpClient = &http.Client{
		Transport: transport,
	}
	return controlClient
}

func (controlClient *controlClient) close() {
	controlClient.httpClient.CloseIdleConnections()
}

// journalTotals holds the journals of all workers and the sums of their
// counts.
type journalTotals struct {
	journals []worker.JournalResponse
	// starts includes the entries that the journals dropped.
	starts   int64
	requests worker.RequestCounts
}

// readJournals reads the journals of all workers. If a journal could not be
// read completely, incomplete says why; otherwise it is empty.
func (controlClient *controlClient) readJournals(ctx context.Context) (totals journalTotals, incomplete string) {
	for _, address := range controlClient.workers {
		journal, err := controlClient.readJournal(ctx, address)
		if err != nil {
			incomplete = err.Error()
			continue
		}
		if journal.DroppedEntries > 0 {
			incomplete = fmt.Sprintf("worker %s dropped %d entries of its journal", address, journal.DroppedEntries)
		}
		totals.journals = append(totals.journals, journal)
		totals.starts += int64(len(journal.Entries)) + journal.DroppedEntries
		totals.requests.Tasks += journal.Requests.Tasks
		totals.requests.Leases += journal.Requests.Leases
		totals.requests.Results += journal.Requests.Results
	}
	return totals, incomplete
}

func (controlClient *controlClient) readJournal(ctx context.Context, address string) (worker.JournalResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	var journal worker.JournalResponse
	url := "http://" + controlClient.config.ControlAddress + fleet.WorkerPrefix(address) + upstream.PathJournal
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return journal, eris.Wrapf(err, "create request for journal of worker %s", address)
	}
	response, err := controlClient.httpClient.Do(request)
	if err != nil {
		return journal, eris.Wrapf(err, "read journal of worker %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return journal, eris.Errorf("read journal of worker %s: status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&journal); err != nil {
		return journal, eris.Wrapf(err, "decode journal of worker %s", address)
	}
	return journal, nil
}

// sendFault sends a fault command to the stand-in with the given path prefix
// on the control address.
func (controlClient *controlClient) sendFault(ctx context.Context, prefix string, command fault.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	body, err := json.Marshal(command)
	if err != nil {
		return eris.Wrap(err, "encode fault command")
	}
	url := "http://" + controlClient.config.ControlAddress + prefix + fault.PathFaults
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create request for fault command")
	}
	response, err := controlClient.httpClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "send fault command")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return eris.Errorf("stand-in rejected fault command: status %d: %s", response.StatusCode, text)
	}
	return nil
}

// startFaults sends the fault commands of a step in the background, each at
// its time. The returned function waits for the last one and returns all.
func (runner *Runner) startFaults(ctx context.Context, step int) func() []injectedFault {
	done := make(chan []injectedFault, 1)
	startedAt := time.Now()
	var faultSpecs []*experiment.Fault
	for i := range runner.config.Experiment.Faults {
		if runner.config.Experiment.Faults[i].Step == step {
			faultSpecs = append(faultSpecs, &runner.config.Experiment.Faults[i])
		}
	}
	go func() {
		var injectedFaults []injectedFault
		for _, faultSpec := range faultSpecs {
			wait(ctx, time.Until(startedAt.Add(time.Duration(faultSpec.AtMs)*time.Millisecond)))
			if ctx.Err() != nil {
				break
			}
			injectedFaults = append(injectedFaults, runner.injectFault(ctx, faultSpec))
		}
		done <- injectedFaults
	}()
	return func() []injectedFault { return <-done }
}

// injectedFault is a fault whose command was sent.
type injectedFault struct {
	event  result.FaultEvent
	sentAt time.Time
	// endsAt is the end of the fault or of the step, whichever is earlier.
	endsAt time.Time
	// workers holds the addresses of the workers that the fault applies to.
	workers []string
}

// faultSettleTime is the time that a fault may take to affect where tasks
// start.
const faultSettleTime = 2 * time.Second

// countStarts counts the starts, during the fault, at the workers that the
// fault applies to, and adds the result to the event.
func (injectedFault *injectedFault) countStarts(journals []worker.JournalResponse) {
	if len(injectedFault.workers) == 0 {
		return
	}
	targetStarts := &result.TargetStarts{}
	fromMs, untilMs := injectedFault.sentAt.UnixMilli(), injectedFault.endsAt.UnixMilli()
	settledMs := injectedFault.sentAt.Add(faultSettleTime).UnixMilli()
	startsAtTarget, startsAnywhere := 0, 0
	for i := range journals {
		isTarget := slices.Contains(injectedFault.workers, journals[i].Worker)
		for _, start := range journals[i].Entries {
			if start.AtMs < fromMs || start.AtMs >= untilMs {
				continue
			}
			if isTarget {
				targetStarts.LastMs = max(targetStarts.LastMs, start.AtMs-fromMs)
			}
			if start.AtMs < settledMs {
				continue
			}
			startsAnywhere++
			if isTarget {
				startsAtTarget++
			}
		}
	}
	if startsAnywhere > 0 {
		targetStarts.ShareAfter2s = round(float64(startsAtTarget) / float64(startsAnywhere))
	}
	injectedFault.event.TargetStarts = targetStarts
}

// injectFault sends the command of one fault to its targets. A failure is
// recorded in the event.
func (runner *Runner) injectFault(ctx context.Context, faultSpec *experiment.Fault) injectedFault {
	event := result.FaultEvent{
		AtMs:   faultSpec.AtMs,
		Fault:  faultSpec.Command.Fault,
		Target: string(faultSpec.Target),
		Note:   faultSpec.Note,
	}
	now := time.Now()
	remaining := time.Duration(runner.config.Experiment.Steps[faultSpec.Step].DurationMs-faultSpec.AtMs) * time.Millisecond
	if duration := faultSpec.Command.Duration(); duration > 0 {
		remaining = min(remaining, duration)
	}
	injected := injectedFault{
		sentAt: now,
		endsAt: now.Add(remaining),
	}
	runner.config.Progress(fmt.Sprintf("at %d ms: %s %s %s", event.AtMs, event.Target, event.Fault, event.Note))
	var prefixes []string
	switch faultSpec.Target {
	case experiment.TargetNote:
	case experiment.TargetPlatform:
		prefixes = []string{fleet.PlatformPrefix}
	case experiment.TargetWorker, experiment.TargetWorkers, experiment.TargetRack:
		injected.workers = faultSpec.Workers(&runner.config.Experiment.Fleet)
		for _, address := range injected.workers {
			prefixes = append(prefixes, fleet.WorkerPrefix(address))
		}
		event.Target = fmt.Sprintf("%d workers", len(prefixes))
	}
	for _, prefix := range prefixes {
		if err := runner.controlClient.sendFault(ctx, prefix, faultSpec.Command); err != nil {
			event.Error = err.Error()
		}
	}
	injected.event = event
	return injected
}
