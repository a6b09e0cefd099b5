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
	entryVMsPerDomain = 3
	changeCount       = 50
	vmStartCount      = 9
	// changeInterval is the time between two publications that aren't in a burst.
	changeInterval = 100 * time.Millisecond
	pollInterval   = 5 * time.Millisecond
	// inForceTarget and readyTarget are the limits set by docs/design.md.
	inForceTarget      = 3 * time.Second
	readyTarget        = 2 * time.Second
	observationTimeout = 10 * time.Second
)

func newMeasureCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "measure",
		Short: "Measure how soon a plan is in force and a new VM is ready",
		Long: "Starts 9 entry VMs in 3 failure domains; publishes 50 changes one each 100 ms and 50 in a burst, without\n" +
			"faults, with a slow log, and with a slow log and one failure domain cut off from the platform. Then starts 9 more\n" +
			"VMs while the log is unavailable. Exits with 1 if a change takes over 3 s anywhere or a VM over 2 s to be ready.",
		Example: "  local measure",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runMeasurements(command.Context(), os.Stdout)
		},
	}
}

// measureVMStarts measures the time from the start of an entry VM to its
// readiness while the log is unavailable, so that the plan comes from a peer. It
// reports whether the slowest start missed readyTarget.
func measureVMStarts(ctx context.Context, out io.Writer) (bool, error) {
	config := system.DefaultConfig()
	config.EntryVMsPerDomain = entryVMsPerDomain
	deployment, err := system.Start(config)
	if err != nil {
		return false, err
	}
	defer deployment.Stop()
	if err := deployment.Publish(ctx, system.SamplePlan(config.Domains)); err != nil {
		return false, err
	}
	if err := deployment.AwaitReady(ctx); err != nil {
		return false, err
	}
	if err := deployment.Platform.Inject(fault.Command{Fault: fault.LogDown}); err != nil {
		return false, err
	}
	var times []time.Duration
	for i := range vmStartCount {
		start := time.Now()
		entryVM, err := deployment.StartEntryVM(fmt.Sprintf("added-%d", i), config.Domains[i%len(config.Domains)])
		if err != nil {
			return false, err
		}
		if err := entryVM.AwaitReady(ctx); err != nil {
			return false, err
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	slowest := times[len(times)-1]
	fmt.Fprintf(out, "\nstart of a VM to ready, log unavailable, %d starts: p50 %d ms, p100 %d ms\n", vmStartCount,
		times[len(times)/2].Milliseconds(), slowest.Milliseconds())
	return slowest > readyTarget, nil
}

// faultCase holds the faults under which one row of the result table is measured.
type faultCase struct {
	name     string
	commands []fault.Command
}

func runMeasurements(ctx context.Context, out io.Writer) error {
	cases := []faultCase{
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
	missedTarget := false
	for _, faultCase := range cases {
		for _, interval := range []time.Duration{changeInterval, 0} {
			tooSlow, err := measureFaultCase(ctx, out, faultCase, interval)
			if err != nil {
				return err
			}
			missedTarget = missedTarget || tooSlow
		}
	}
	tooSlow, err := measureVMStarts(ctx, out)
	if err != nil {
		return err
	}
	if tooSlow {
		return eris.Errorf("a VM took longer than %s to be ready", readyTarget)
	}
	if missedTarget {
		return eris.Errorf("a change took longer than %s", inForceTarget)
	}
	return nil
}

// measureFaultCase writes one row of the result table and reports whether the
// slowest change missed inForceTarget.
func measureFaultCase(ctx context.Context, out io.Writer, faultCase faultCase, interval time.Duration) (bool, error) {
	config := system.DefaultConfig()
	config.EntryVMsPerDomain = entryVMsPerDomain
	config.WorkersPerDomain = 2
	deployment, err := system.Start(config)
	if err != nil {
		return false, err
	}
	defer deployment.Stop()
	if err := deployment.Publish(ctx, system.SamplePlan(config.Domains)); err != nil {
		return false, err
	}
	if err := deployment.AwaitReady(ctx); err != nil {
		return false, err
	}
	for _, command := range faultCase.commands {
		if err := deployment.Platform.Inject(command); err != nil {
			return false, err
		}
	}
	times, err := publishChanges(ctx, deployment, interval)
	if err != nil {
		return false, err
	}
	slices.Sort(times)
	schedule := "50, one each 100 ms"
	if interval == 0 {
		schedule = "50 in a burst"
	}
	slowest := times[len(times)-1]
	fmt.Fprintf(out, "| %s | %s | %d | %d |\n", faultCase.name, schedule, times[len(times)/2].Milliseconds(), slowest.Milliseconds())
	return slowest > inForceTarget, nil
}

// publishChanges returns, for each change and each entry VM, the time from the
// append to the first poll of the VM's state that shows this or a later version.
func publishChanges(ctx context.Context, deployment *system.System, interval time.Duration) ([]time.Duration, error) {
	appends := make(chan publishedVersion, changeCount)
	observed := make(chan []observation, len(deployment.EntryVMs))
	observeContext, stop := context.WithTimeout(ctx, observationTimeout+changeCount*(interval+time.Second))
	defer stop()
	finalVersion := make(chan int64, len(deployment.EntryVMs))
	for _, entryVM := range deployment.EntryVMs {
		go func() { observed <- observeVersions(observeContext, entryVM, finalVersion) }()
	}
	if err := publishAll(ctx, deployment, interval, appends); err != nil {
		return nil, err
	}
	close(appends)
	var published []publishedVersion
	for change := range appends {
		published = append(published, change)
	}
	for range deployment.EntryVMs {
		finalVersion <- published[len(published)-1].version
	}
	var times []time.Duration
	for range deployment.EntryVMs {
		observations := <-observed
		for _, change := range published {
			observedAt, found := firstObservation(observations, change.version)
			if !found {
				return nil, eris.Errorf("version %d was not seen in force on an entry VM within the timeout", change.version)
			}
			times = append(times, max(observedAt.Sub(change.publishedAt), 0))
		}
	}
	return times, nil
}

// publishedVersion is a plan version and the time at which its append returned.
type publishedVersion struct {
	version     int64
	publishedAt time.Time
}

// observation is a plan version and the time of the first poll that showed it.
type observation struct {
	version    int64
	observedAt time.Time
}

// firstObservation returns the time of the first observation of the version or of
// a later one.
func firstObservation(observations []observation, version int64) (time.Time, bool) {
	for _, observed := range observations {
		if observed.version >= version {
			return observed.observedAt, true
		}
	}
	return time.Time{}, false
}

// publishAll appends the changes one after the other and sends each one's version
// and time to appends.
func publishAll(ctx context.Context, deployment *system.System, interval time.Duration, appends chan<- publishedVersion) error {
	client := platform.NewClient(deployment.PlatformURL, &http.Client{})
	current := system.SamplePlan(deployment.Domains())
	base := int64(plan.FirstOffset)
	for i := range changeCount {
		changed := system.SamplePlan(deployment.Domains())
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
		appends <- publishedVersion{
			version:     offset,
			publishedAt: time.Now(),
		}
		base, current = offset, changed
		time.Sleep(interval)
	}
	return nil
}

// observeVersions polls the state of an entry VM until it shows the version
// received from finalVersion or ctx ends.
func observeVersions(ctx context.Context, entryVM *system.EntryVM, finalVersion <-chan int64) []observation {
	var observations []observation
	highest, final := int64(0), int64(-1)
	for ctx.Err() == nil && (final < 0 || highest < final) {
		select {
		case final = <-finalVersion:
		case <-time.After(pollInterval):
		}
		version, err := planVersion(ctx, entryVM)
		if err != nil || version <= highest {
			continue
		}
		highest = version
		observations = append(observations, observation{
			version:    version,
			observedAt: time.Now(),
		})
	}
	return observations
}

func planVersion(ctx context.Context, entryVM *system.EntryVM) (int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entryVM.OperatorURL()+"/state", nil)
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
