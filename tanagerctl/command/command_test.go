package command_test

import (
	"context"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"tanagerfall/shared/process/where"
	"tanagerfall/standin/platform"
	"tanagerfall/tanagerctl/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tanagerctl": func() {
			os.Exit(command.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
		},
	})
}

type fixtureKey struct{}

// fixture is the stand-in platform and the operator endpoint of one entry VM, for one
// script.
type fixture struct {
	platform *platform.Platform
	// state is the state dump of the VM, a string with JSON.
	state atomic.Value
	// answers holds the answers to questions where a job would go, a string with JSON by the
	// failure domain that they name.
	answers sync.Map
	// drains counts the requests to drain the VM.
	drains atomic.Int32
}

func (fixture *fixture) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.Method + " " + request.URL.Path {
	case "GET /state":
		_, _ = writer.Write([]byte(fixture.state.Load().(string)))
	case "POST /drain":
		fixture.drains.Add(1)
		writer.WriteHeader(http.StatusAccepted)
	case "POST /where":
		fixture.serveWhere(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// serveWhere answers with the JSON for the failure domain that the question names.
func (fixture *fixture) serveWhere(writer http.ResponseWriter, request *http.Request) {
	var question struct {
		where.Question
		Job json.RawMessage `json:"job"`
	}
	if err := json.NewDecoder(request.Body).Decode(&question); err != nil || question.Host == "" || question.Path == "" || len(question.Job) == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, known := fixture.answers.Load(question.Domain)
	if !known {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = writer.Write([]byte(answer.(string)))
}

// tokenCheckingVM is the operator endpoint of an entry VM that requires the operator
// token.
type tokenCheckingVM struct {
	fixture *fixture
}

func (vm *tokenCheckingVM) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get("Authorization") != "Bearer operator-token-1" {
		writer.WriteHeader(http.StatusUnauthorized)
		return
	}
	vm.fixture.ServeHTTP(writer, request)
}

// setup starts the servers of a script and writes its settings, catalogue, sheet and
// certificate to the working directory.
func setup(env *testscript.Env) error {
	fixture := &fixture{
		platform: platform.New(platform.Config{}),
	}
	fixture.state.Store(`{"plan":{"version":0,"digest":"0000000000000000"}}`)
	platformServer := httptest.NewServer(fixture.platform.Handler())
	entryVM := httptest.NewServer(fixture)
	env.Defer(platformServer.Close)
	env.Defer(entryVM.Close)
	env.Values[fixtureKey{}] = fixture
	address := strings.TrimPrefix(entryVM.URL, "http://")
	env.Setenv("VM", address)
	tlsEntryVM := httptest.NewUnstartedServer(&tokenCheckingVM{fixture: fixture})
	tlsEntryVM.StartTLS()
	env.Defer(tlsEntryVM.Close)
	env.Setenv("SECURE_VM", strings.TrimPrefix(tlsEntryVM.URL, "https://"))
	caCertificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: tlsEntryVM.Certificate().Raw})
	env.Setenv("TANAGERCTL_SETTINGS", filepath.Join(env.WorkDir, "tanagerctl.yaml"))
	catalogue, err := os.ReadFile("../../docs/sample-catalogue.yaml")
	if err != nil {
		return err
	}
	sample, err := os.ReadFile("../../docs/sample-plan.csv")
	if err != nil {
		return err
	}
	files := map[string]string{
		"catalogue.yaml": string(catalogue),
		"sample.csv":     string(sample),
		"ca.pem":         string(caCertificate),
		"tanagerctl.yaml": fmt.Sprintf("format: 1\nplatform-url: %s\ncatalogue: catalogue.yaml\nauthor: ayla\noperator-addresses: [%q]\n",
			platformServer.URL, address),
	}
	for name, content := range files {
		err = os.WriteFile(filepath.Join(env.WorkDir, name), []byte(content), 0o600)
		if err != nil {
			return err
		}
	}
	return nil
}

// Guards against commands that end with another exit code or another text than
// docs/operators.md states.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Setup:               setup,
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": runExpectingCode,
			"answers-where": func(script *testscript.TestScript, _ bool, args []string) {
				fixtureOf(script).answers.Store("", script.ReadFile(args[0]))
				fixtureOf(script).answers.Store("z1", script.ReadFile(args[1]))
			},
			"log-down": func(script *testscript.TestScript, _ bool, _ []string) { fixtureOf(script).platform.LogDown(false, 0) },
			"log-up":   func(script *testscript.TestScript, _ bool, _ []string) { fixtureOf(script).platform.Clear() },
			"lose-reply": func(script *testscript.TestScript, _ bool, _ []string) {
				fixtureOf(script).platform.LoseAppendReplies(1, 0)
			},
			"vm-has": func(script *testscript.TestScript, _ bool, args []string) {
				fixtureOf(script).state.Store(fmt.Sprintf(`{"plan":{"version":%s,"digest":%q}}`, args[0], args[1]))
			},
			"drained": func(script *testscript.TestScript, _ bool, _ []string) {
				if fixtureOf(script).drains.Load() != 1 {
					script.Fatalf("got %d drain requests, expected 1", fixtureOf(script).drains.Load())
				}
			},
		},
	})
}

func fixtureOf(script *testscript.TestScript) *fixture {
	return script.Value(fixtureKey{}).(*fixture)
}

// runExpectingCode runs a command and compares its exit code. The line of the script
// is: exits CODE COMMAND...
func runExpectingCode(script *testscript.TestScript, _ bool, args []string) {
	err := script.Exec(args[1], args[2:]...)
	code := 0
	if err != nil {
		code = -1
		var text string
		if _, scanErr := fmt.Sscanf(err.Error(), "exit status %d", &code); scanErr != nil {
			text = err.Error()
			script.Fatalf("%s", text)
		}
	}
	if fmt.Sprint(code) != args[0] {
		script.Fatalf("exit code %d, expected %s", code, args[0])
	}
}

// Guards against commands without an example in their help.
func TestEveryCommandHasAnExample(t *testing.T) {
	var check func(command *cobra.Command)
	check = func(command *cobra.Command) {
		assert.Assert(t, command.Example != "", command.CommandPath())
		for _, subcommand := range command.Commands() {
			check(subcommand)
		}
	}
	check(command.New())
}
