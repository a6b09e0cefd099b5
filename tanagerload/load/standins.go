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

// journalTimeout bounds the reading of one journal.
const journalTimeout = 30 * time.Second

// commandTimeout bounds one fault command.
const commandTimeout = 5 * time.Second

// standins speaks to the control address of the fleet.
type standins struct {
	config  *fleet.Config
	workers []string
	http    *http.Client
}

func newStandins(config *fleet.Config, transport http.RoundTripper) *standins {
	standins := &standins{
		config: config,
	}
	for _, vm := range config.Vms() {
		if vm.Role == wire.RoleWorker {
			standins.workers = append(standins.workers, vm.Address)
		}
	}
	if transport == nil {
		transport = &http.Transport{
			DialContext: dialer.DialContext,
		}
	}
	standins.http = &http.Client{
		Transport: transport,
	}
	return standins
}

func (standins *standins) close() {
	standins.http.CloseIdleConnections()
}

// journals is the sum of what all workers did.
type journals struct {
	journals []worker.JournalResponse
	starts   int64
	requests worker.RequestCounts
}

// journals reads the journals of all workers. Incomplete is why one could not
// be read whole, or "".
func (standins *standins) journals(ctx context.Context) (all journals, incomplete string) {
	for _, address := range standins.workers {
		journal, err := standins.journal(ctx, address)
		if err != nil {
			incomplete = err.Error()
			continue
		}
		if journal.DroppedEntries > 0 {
			incomplete = fmt.Sprintf("worker %s dropped %d entries of its journal", address, journal.DroppedEntries)
		}
		all.journals = append(all.journals, journal)
		all.starts += int64(len(journal.Entries)) + journal.DroppedEntries
		all.requests.Tasks += journal.Requests.Tasks
		all.requests.Leases += journal.Requests.Leases
		all.requests.Results += journal.Requests.Results
	}
	return all, incomplete
}

func (standins *standins) journal(ctx context.Context, address string) (worker.JournalResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	var journal worker.JournalResponse
	url := "http://" + standins.config.ControlAddress + fleet.WorkerPrefix(address) + upstream.PathJournal
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return journal, eris.Wrapf(err, "journal of %s", address)
	}
	response, err := standins.http.Do(request)
	if err != nil {
		return journal, eris.Wrapf(err, "journal of %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return journal, eris.Errorf("journal of %s: status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&journal); err != nil {
		return journal, eris.Wrapf(err, "journal of %s", address)
	}
	return journal, nil
}

// command sends a fault command to one stand-in, named by its path prefix on
// the control address.
func (standins *standins) command(ctx context.Context, prefix string, command fault.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	body, err := json.Marshal(command)
	if err != nil {
		return eris.Wrap(err, "encoding a fault command")
	}
	url := "http://" + standins.config.ControlAddress + prefix + fault.PathFaults
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "fault command")
	}
	response, err := standins.http.Do(request)
	if err != nil {
		return eris.Wrap(err, "fault command")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return eris.Errorf("fault command: status %d: %s", response.StatusCode, text)
	}
	return nil
}

// startFaults commands the faults of a step at their times. The returned
// function waits for the last one and returns their marks.
func (runner *Runner) startFaults(ctx context.Context, step int) func() []commanded {
	done := make(chan []commanded, 1)
	began := time.Now()
	var planned []*experiment.Fault
	for i := range runner.config.Experiment.Faults {
		if runner.config.Experiment.Faults[i].Step == step {
			planned = append(planned, &runner.config.Experiment.Faults[i])
		}
	}
	go func() {
		var marks []commanded
		for _, planned := range planned {
			wait(ctx, time.Until(began.Add(time.Duration(planned.AtMs)*time.Millisecond)))
			if ctx.Err() != nil {
				break
			}
			marks = append(marks, runner.carryOut(ctx, planned))
		}
		done <- marks
	}()
	return func() []commanded { return <-done }
}

// commanded is a fault that was commanded.
type commanded struct {
	mark    result.Mark
	at      time.Time
	until   time.Time
	workers []string
}

// settling is the time that a fault may take to show in the starts.
const settling = 2 * time.Second

// count counts the starts at the workers of the fault.
func (commanded *commanded) count(journals []worker.JournalResponse) {
	if len(commanded.workers) == 0 {
		return
	}
	counted := &result.TargetStarts{}
	at, until := commanded.at.UnixMilli(), commanded.until.UnixMilli()
	settled := commanded.at.Add(settling).UnixMilli()
	here, everywhere := 0, 0
	for i := range journals {
		isTarget := slices.Contains(commanded.workers, journals[i].Worker)
		for _, start := range journals[i].Entries {
			if start.AtMs < at || start.AtMs >= until {
				continue
			}
			if isTarget {
				counted.LastMs = max(counted.LastMs, start.AtMs-at)
			}
			if start.AtMs < settled {
				continue
			}
			everywhere++
			if isTarget {
				here++
			}
		}
	}
	if everywhere > 0 {
		counted.ShareAfter2s = round(float64(here) / float64(everywhere))
	}
	commanded.mark.At = counted
}

// carryOut commands one fault.
func (runner *Runner) carryOut(ctx context.Context, planned *experiment.Fault) commanded {
	mark := result.Mark{
		AtMs:   planned.AtMs,
		Fault:  planned.Command.Fault,
		Target: string(planned.Target),
		Note:   planned.Note,
	}
	now := time.Now()
	left := time.Duration(runner.config.Experiment.Steps[planned.Step].DurationMs-planned.AtMs) * time.Millisecond
	if lasts := planned.Command.Duration(); lasts > 0 {
		left = min(left, lasts)
	}
	done := commanded{
		at:    now,
		until: now.Add(left),
	}
	runner.config.Progress(fmt.Sprintf("at %d ms: %s %s %s", mark.AtMs, mark.Target, mark.Fault, mark.Note))
	var prefixes []string
	switch planned.Target {
	case experiment.TargetNote:
	case experiment.TargetPlatform:
		prefixes = []string{fleet.PlatformPrefix}
	case experiment.TargetWorker, experiment.TargetWorkers, experiment.TargetRack:
		done.workers = planned.Workers(&runner.config.Experiment.Fleet)
		for _, address := range done.workers {
			prefixes = append(prefixes, fleet.WorkerPrefix(address))
		}
		mark.Target = fmt.Sprintf("%d workers", len(prefixes))
	}
	for _, prefix := range prefixes {
		if err := runner.standins.command(ctx, prefix, planned.Command); err != nil {
			mark.Error = err.Error()
		}
	}
	done.mark = mark
	return done
}
