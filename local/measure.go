package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/local/system"
	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/plan"
	"tanagerfall/standin/fault"
)

const (
	measureEntries = 3
	measureChanges = 50
	measureStarts  = 9
	// changePause is the time between two changes of the steady run.
	changePause  = 100 * time.Millisecond
	pollInterval = 5 * time.Millisecond
	// inForceTarget and readyTarget are targets of the design page.
	inForceTarget = 3 * time.Second
	readyTarget   = 2 * time.Second
	giveUpAfter   = 10 * time.Second
)

func newMeasure() *cobra.Command {
	return &cobra.Command{
		Use:   "measure",
		Short: "Measure how fast a plan is in force and a new VM is ready",
		Long: "Starts 9 entry VMs in 3 failure domains, publishes 50 changes at a pace and 50 in a burst, without\n" +
			"faults, with a slow log, and with a slow log and one failure domain cut off from the platform. Exits with\n" +
			"1 if a change took longer than 3 s anywhere. Then starts 9 more VMs while the log is out, with a bound of 2 s.",
		Example: "  local measure",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return measure(command.Context(), os.Stdout)
		},
	}
}

// measureStart measures the time from the start of a VM to its readiness while
// the log is out, so that the plan comes from a peer.
func measureStart(ctx context.Context, out io.Writer) (bool, error) {
	config := system.DefaultConfig()
	config.Entries = measureEntries
	started, err := system.Start(config)
	if err != nil {
		return false, err
	}
	defer started.Stop()
	if err := started.Publish(ctx, system.SamplePlan(config.Domains)); err != nil {
		return false, err
	}
	if err := started.AwaitReady(ctx); err != nil {
		return false, err
	}
	if err := started.Platform.Inject(fault.Command{Fault: fault.LogDown}); err != nil {
		return false, err
	}
	var times []time.Duration
	for i := range measureStarts {
		began := time.Now()
		entry, err := started.StartEntry(fmt.Sprintf("added-%d", i), config.Domains[i%len(config.Domains)])
		if err != nil {
			return false, err
		}
		if err := entry.AwaitReady(ctx); err != nil {
			return false, err
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	last := times[len(times)-1]
	fmt.Fprintf(out, "\nstart of a VM to ready, log out, %d starts: p50 %d ms, p100 %d ms\n", measureStarts,
		times[len(times)/2].Milliseconds(), last.Milliseconds())
	return last > readyTarget, nil
}

// faults is one row of the measurement.
type faults struct {
	name     string
	commands []fault.Command
}

func measure(ctx context.Context, out io.Writer) error {
	rows := []faults{
		{
			name: "none",
		},
		{
			name: "log slow by 200 ms",
			commands: []fault.Command{
				{
					Fault:   fault.LogSlow,
					DelayMs: 200,
				},
			},
		},
		{
			name: "log slow by 200 ms, one domain cut off from the platform",
			commands: []fault.Command{
				{
					Fault:   fault.LogSlow,
					DelayMs: 200,
				},
				{
					Fault:   fault.CutDomains,
					Domains: []string{"ege-aydin"},
				},
			},
		},
	}
	fmt.Fprintln(out, "| faults | changes | p50 ms | p100 ms |\n| --- | --- | --- | --- |")
	missed := false
	for _, row := range rows {
		for _, pause := range []time.Duration{changePause, 0} {
			late, err := measureRow(ctx, out, row, pause)
			if err != nil {
				return err
			}
			missed = missed || late
		}
	}
	late, err := measureStart(ctx, out)
	if err != nil {
		return err
	}
	if late {
		return eris.Errorf("a VM took longer than %s to be ready", readyTarget)
	}
	if missed {
		return eris.Errorf("a change took longer than %s", inForceTarget)
	}
	return nil
}

func measureRow(ctx context.Context, out io.Writer, row faults, pause time.Duration) (bool, error) {
	config := system.DefaultConfig()
	config.Entries = measureEntries
	config.Workers = 2
	started, err := system.Start(config)
	if err != nil {
		return false, err
	}
	defer started.Stop()
	if err := started.Publish(ctx, system.SamplePlan(config.Domains)); err != nil {
		return false, err
	}
	if err := started.AwaitReady(ctx); err != nil {
		return false, err
	}
	for _, command := range row.commands {
		if err := started.Platform.Inject(command); err != nil {
			return false, err
		}
	}
	times, err := publishChanges(ctx, started, pause)
	if err != nil {
		return false, err
	}
	slices.Sort(times)
	kind := "50, one each 100 ms"
	if pause == 0 {
		kind = "50 in a burst"
	}
	last := times[len(times)-1]
	fmt.Fprintf(out, "| %s | %s | %d | %d |\n", row.name, kind, times[len(times)/2].Milliseconds(), last.Milliseconds())
	return last > inForceTarget, nil
}

// publishChanges returns, for each change and each entry VM, the time from the
// append to the first look at the VM's state that shows it or a later one.
func publishChanges(ctx context.Context, started *system.System, pause time.Duration) ([]time.Duration, error) {
	accepted := make(chan acceptance, measureChanges)
	seen := make(chan []sighting, len(started.Entries))
	watching, stop := context.WithTimeout(ctx, giveUpAfter+measureChanges*(pause+time.Second))
	defer stop()
	done := make(chan int64, len(started.Entries))
	for _, entry := range started.Entries {
		go func() { seen <- watch(watching, entry, done) }()
	}
	if err := publishAll(ctx, started, pause, accepted); err != nil {
		return nil, err
	}
	close(accepted)
	var acceptances []acceptance
	for each := range accepted {
		acceptances = append(acceptances, each)
	}
	for range started.Entries {
		done <- acceptances[len(acceptances)-1].version
	}
	var times []time.Duration
	for range started.Entries {
		sightings := <-seen
		for _, each := range acceptances {
			at, found := firstSight(sightings, each.version)
			if !found {
				return nil, eris.Errorf("version %d was never in force on one VM", each.version)
			}
			times = append(times, max(at.Sub(each.at), 0))
		}
	}
	return times, nil
}

type acceptance struct {
	version int64
	at      time.Time
}

// sighting is the first look that showed a version.
type sighting struct {
	version int64
	at      time.Time
}

func firstSight(sightings []sighting, version int64) (time.Time, bool) {
	for _, each := range sightings {
		if each.version >= version {
			return each.at, true
		}
	}
	return time.Time{}, false
}

func publishAll(ctx context.Context, started *system.System, pause time.Duration, accepted chan<- acceptance) error {
	client := platform.NewClient(started.PlatformURL, &http.Client{})
	current := system.SamplePlan(started.Domains())
	base := int64(plan.FirstOffset)
	for i := range measureChanges {
		changed := system.SamplePlan(started.Domains())
		changed.Rules[0].Share = float64(i + 2)
		changed = plan.Canonical(changed)
		data, err := plan.Encode(&plan.Publication{
			PublishID: fmt.Sprintf("measure-change-%d", i),
			Base:      base,
			Author:    "local",
			Change:    plan.Diff(current, changed),
			Digest:    plan.DigestOf(changed),
		})
		if err != nil {
			return err
		}
		offset, err := client.Append(ctx, "plan", data)
		if err != nil {
			return err
		}
		accepted <- acceptance{
			version: offset,
			at:      time.Now(),
		}
		base, current = offset, changed
		time.Sleep(pause)
	}
	return nil
}

// watch looks at an entry VM's state until it shows the version told by done.
func watch(ctx context.Context, entry *system.Entry, done <-chan int64) []sighting {
	var sightings []sighting
	known, last := int64(0), int64(-1)
	for ctx.Err() == nil && (last < 0 || known < last) {
		select {
		case last = <-done:
		case <-time.After(pollInterval):
		}
		version, err := planVersion(ctx, entry)
		if err != nil || version <= known {
			continue
		}
		known = version
		sightings = append(sightings, sighting{
			version: version,
			at:      time.Now(),
		})
	}
	return sightings
}

func planVersion(ctx context.Context, entry *system.Entry) (int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry.OperatorURL()+"/state", nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var state struct {
		Plan struct {
			Version int64 `json:"version"`
		} `json:"plan"`
	}
	err = json.NewDecoder(response.Body).Decode(&state)
	return state.Plan.Version, err
}
