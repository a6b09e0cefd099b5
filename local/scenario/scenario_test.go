package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rogpeppe/go-internal/testscript"

	"tanagerfall/entry/command"
	"tanagerfall/local/system"
	"tanagerfall/standin/fault"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"entry": func() { os.Exit(command.Main()) },
	})
}

// TestScripts runs each script in testdata/scripts against its own deployment.
// The comment at the head of a script says which failure it guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		RequireExplicitExec: true,
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(env *testscript.Env) error {
			env.Values[stateKey{}] = &state{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"system":   startSystem,
			"publish":  publish,
			"evacuate": evacuate,
			"ready":    awaitReady,
			"job":      submitJob,
			"keyed":    submitWithKey,
			"resubmit": resubmit,
			"cancel":   cancelJob,
			"await":    await,
			"fault":    injectFault,
			"vm":       operateVM,
			"load":     load,
			"check":    check,
			"sleep":    sleep,
			"starts":   countStarts,
			"state":    printState,
		},
	})
}

type stateKey struct{}

// state is shared by the commands of one script.
type state struct {
	scenario *Scenario
}

func stateOf(script *testscript.TestScript) *state {
	scriptState, ok := script.Value(stateKey{}).(*state)
	if !ok || scriptState.scenario == nil {
		script.Fatalf("no system is running; start one with the system command")
	}
	return scriptState
}

// options holds the key=value arguments of a command.
type options struct {
	script *testscript.TestScript
	values map[string]string
}

func parseOptions(script *testscript.TestScript, args []string) *options {
	parsed := &options{
		script: script,
		values: make(map[string]string),
	}
	for _, arg := range args {
		key, value, ok := strings.Cut(arg, "=")
		if !ok {
			script.Fatalf("argument %q is not key=value", arg)
		}
		parsed.values[key] = value
	}
	return parsed
}

func (options *options) text(key, fallback string) string {
	if value, ok := options.values[key]; ok {
		return value
	}
	return fallback
}

func (options *options) number(key string, fallback int) int {
	value, ok := options.values[key]
	if !ok {
		return fallback
	}
	number, err := strconv.Atoi(value)
	options.script.Check(err)
	return number
}

func (options *options) numbers(key string, fallback []float64) []float64 {
	value, ok := options.values[key]
	if !ok {
		return fallback
	}
	var numbers []float64
	for _, text := range strings.Split(value, ",") {
		number, err := strconv.ParseFloat(text, 64)
		options.script.Check(err)
		numbers = append(numbers, number)
	}
	return numbers
}

func startSystem(script *testscript.TestScript, _ bool, args []string) {
	options := parseOptions(script, args)
	config := system.DefaultConfig()
	config.EntryVMsPerDomain = options.number("entries", config.EntryVMsPerDomain)
	config.WorkersPerDomain = options.number("workers", config.WorkersPerDomain)
	config.SlotsPerWorker = options.number("slots", config.SlotsPerWorker)
	config.Domains = strings.Split(options.text("domains", strings.Join(config.Domains, ",")), ",")
	config.LogRetention = time.Duration(options.number("retention-ms", 0)) * time.Millisecond
	config.WorkerSpeeds = options.numbers("speeds", config.WorkerSpeeds)
	config.EntryVMLogLevel = log.WarnLevel
	config.EntryVMLog = os.Stderr
	if options.text("processes", "") == "own" {
		config.EntryProgram = findEntryProgram(script)
		config.SettingsDirectory = script.MkAbs(".")
	}
	deployment, err := system.Start(config)
	script.Check(err)
	script.Defer(deployment.Stop)
	scriptState, ok := script.Value(stateKey{}).(*state)
	if !ok {
		script.Fatalf("the script has no state")
	}
	scriptState.scenario = New(deployment)
	if options.text("plan", "sample") == "sample" {
		script.Check(deployment.Publish(context.Background(), system.SamplePlan(config.Domains)))
		awaitReady(script, false, nil)
	}
}

func findEntryProgram(script *testscript.TestScript) string {
	for _, directory := range strings.Split(script.Getenv("PATH"), string(os.PathListSeparator)) {
		path := directory + string(os.PathSeparator) + "entry"
		if _, err := exec.LookPath(path); err == nil {
			return path
		}
	}
	script.Fatalf("the entry program is not on the script's path")
	return ""
}

func publish(script *testscript.TestScript, _ bool, _ []string) {
	scenario := stateOf(script).scenario
	script.Check(scenario.System.Publish(context.Background(), system.SamplePlan(scenario.System.Domains())))
}

// evacuate publishes the sample plan with the given failure domains evacuated, and no others.
func evacuate(script *testscript.TestScript, _ bool, args []string) {
	scenario := stateOf(script).scenario
	evacuated := *system.SamplePlan(scenario.System.Domains())
	evacuated.Evacuated = args
	script.Check(scenario.System.Replace(context.Background(), &evacuated))
}

func awaitReady(script *testscript.TestScript, negated bool, args []string) {
	scenario := stateOf(script).scenario
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if negated {
		if len(scenario.System.Ready(ctx)) > 0 {
			script.Fatalf("an entry VM is ready")
		}
		return
	}
	if len(args) == 0 {
		script.Check(scenario.System.AwaitReady(ctx))
		return
	}
	entryVM, err := scenario.System.EntryVM(args[0])
	script.Check(err)
	script.Check(entryVM.AwaitReady(ctx))
}

// submitJob implements: job NAME from=VM at=VM [tasks=N] [run-ms=A] [last-run-ms=B]
// [kind=K] [deadline-ms=D].
func submitJob(script *testscript.TestScript, _ bool, args []string) {
	scenario := stateOf(script).scenario
	options := parseOptions(script, args[1:])
	first := options.number("run-ms", 50)
	last := options.number("last-run-ms", first)
	submitted := NewJob(args[0], options.text("kind", "quote"), options.number("tasks", 1), int64(first), int64(last),
		int64(options.number("deadline-ms", 0)))
	submitted.Tasks[0].Cores = options.number("cores", 0)
	from := options.text("from", scenario.System.EntryVMs[0].Name)
	script.Check(scenario.Submit(args[0], from, options.text("at", from), submitted))
}

// submitWithKey implements: keyed NAME key=K at=VM[,VM...] [age-ms=A] [tasks=N]
// [run-ms=A] [kind=K]. A job that is sent again keeps its tasks.
func submitWithKey(script *testscript.TestScript, _ bool, args []string) {
	scenario := stateOf(script).scenario
	options := parseOptions(script, args[1:])
	submitted := NewJob(args[0], options.text("kind", "quote"), options.number("tasks", 1),
		int64(options.number("run-ms", 50)), int64(options.number("run-ms", 50)), 0)
	age := time.Duration(options.number("age-ms", 0)) * time.Millisecond
	scenario.EnsureKey(options.text("key", args[0]), time.Now().Add(-age))
	vms := strings.Split(options.text("at", scenario.System.EntryVMs[0].Name), ",")
	script.Check(scenario.SubmitWithKey(args[0], options.text("key", args[0]), vms, submitted))
}

func resubmit(script *testscript.TestScript, _ bool, args []string) {
	scenario := stateOf(script).scenario
	script.Check(scenario.Resubmit(args[0], parseOptions(script, args[1:]).text("at", "")))
}

func cancelJob(script *testscript.TestScript, _ bool, args []string) {
	scenario := stateOf(script).scenario
	script.Check(scenario.Cancel(args[0], parseOptions(script, args[1:]).text("at", "")))
}

func await(script *testscript.TestScript, _ bool, args []string) {
	script.Check(stateOf(script).scenario.Await(script.Stdout(), args[0]))
}

// injectFault implements: fault platform|WORKER FAULT [parameter=value ...].
func injectFault(script *testscript.TestScript, _ bool, args []string) {
	scenario := stateOf(script).scenario
	parameters := map[string]any{
		"fault": args[1],
	}
	for key, value := range parseOptions(script, args[2:]).values {
		parameters[key] = parseParameter(value)
	}
	data, err := json.Marshal(parameters)
	script.Check(err)
	var command fault.Command
	script.Check(json.Unmarshal(data, &command))
	if args[0] == "platform" {
		script.Check(scenario.System.Platform.Inject(command))
		return
	}
	worker, err := scenario.System.Worker(args[0])
	script.Check(err)
	script.Check(worker.Inject(command))
}

func parseParameter(text string) any {
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		return number
	}
	if text == "true" || text == "false" {
		return text == "true"
	}
	if strings.Contains(text, ",") {
		return strings.Split(text, ",")
	}
	return text
}

// operateVM implements: vm kill|pause|resume|drain|remove NAME, vm start NAME
// DOMAIN, vm leaving WORKER.
func operateVM(script *testscript.TestScript, _ bool, args []string) {
	scenario := stateOf(script).scenario
	switch args[0] {
	case "start":
		_, err := scenario.System.StartEntryVM(args[1], args[2])
		script.Check(err)
		return
	case "leaving":
		worker, err := scenario.System.Worker(args[1])
		script.Check(err)
		scenario.System.Platform.SetState(worker.Address, "leaving")
		return
	}
	entryVM, err := scenario.System.EntryVM(args[1])
	script.Check(err)
	switch args[0] {
	case "kill":
		entryVM.Kill()
	case "pause":
		script.Check(entryVM.Pause())
	case "resume":
		script.Check(entryVM.Resume())
	case "remove":
		scenario.System.RemoveEntryVM(entryVM)
	case "drain":
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		script.Check(entryVM.Drain(ctx))
	default:
		script.Fatalf("unknown operation %q", args[0])
	}
}

// load implements: load start NAME per-second=N, load stop NAME.
func load(script *testscript.TestScript, _ bool, args []string) {
	scenario := stateOf(script).scenario
	if args[0] == "stop" {
		script.Check(scenario.StopLoad(script.Stdout(), args[1]))
		script.Logf("%s: %v", args[1], scenario.Counts(args[1]))
		return
	}
	scenario.StartLoad(args[1], parseOptions(script, args[2:]).number("per-second", 20))
}

func check(script *testscript.TestScript, negated bool, _ []string) {
	err := stateOf(script).scenario.Check()
	if negated && err == nil {
		script.Fatalf("the check found no violation")
	}
	if !negated {
		script.Check(err)
	}
}

func sleep(script *testscript.TestScript, _ bool, args []string) {
	duration, err := time.ParseDuration(args[0])
	script.Check(err)
	time.Sleep(duration)
}

// countStarts implements: starts WORKER. It prints the number of task starts on
// the worker so far.
func countStarts(script *testscript.TestScript, _ bool, args []string) {
	worker, err := stateOf(script).scenario.System.Worker(args[0])
	script.Check(err)
	fmt.Fprintf(script.Stdout(), "%d\n", len(worker.Journal()))
}

// printState implements: state VM. It prints the state dump of an entry VM.
func printState(script *testscript.TestScript, _ bool, args []string) {
	scenario := stateOf(script).scenario
	entryVM, err := scenario.System.EntryVM(args[0])
	script.Check(err)
	data, err := scenario.do("GET", entryVM.OperatorURL()+"/state", nil)
	script.Check(err)
	fmt.Fprintf(script.Stdout(), "%s\n", data)
}
