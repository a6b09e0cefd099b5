package command_test

import (
	"context"
	"encoding/pem"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

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

// fixture is the stand-in platform and one entry VM's operator endpoint.
type fixture struct {
	platform *platform.Platform
	// state is the VM's state dump.
	state  atomic.Value
	drains atomic.Int32
}

func (fixture *fixture) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.Method + " " + request.URL.Path {
	case "GET /state":
		_, _ = writer.Write([]byte(fixture.state.Load().(string)))
	case "POST /drain":
		fixture.drains.Add(1)
		writer.WriteHeader(http.StatusAccepted)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// secured is an entry VM that asks for the operator token.
type secured struct {
	fixture *fixture
}

func (secured *secured) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get("Authorization") != "Bearer operator-token-1" {
		writer.WriteHeader(http.StatusUnauthorized)
		return
	}
	secured.fixture.ServeHTTP(writer, request)
}

func setup(env *testscript.Env) error {
	fixture := &fixture{
		platform: platform.New(platform.Config{}),
	}
	fixture.state.Store(`{"plan":{"version":0,"digest":"0000000000000000"}}`)
	log := httptest.NewServer(fixture.platform.Handler())
	vm := httptest.NewServer(fixture)
	env.Defer(log.Close)
	env.Defer(vm.Close)
	env.Values[fixtureKey{}] = fixture
	address := strings.TrimPrefix(vm.URL, "http://")
	env.Setenv("VM", address)
	secure := httptest.NewUnstartedServer(&secured{fixture: fixture})
	secure.StartTLS()
	env.Defer(secure.Close)
	env.Setenv("SECURE_VM", strings.TrimPrefix(secure.URL, "https://"))
	authority := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw})
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
		"ca.pem":         string(authority),
		"tanagerctl.yaml": fmt.Sprintf("format: 1\nplatform-url: %s\ncatalogue: catalogue.yaml\nauthor: ayla\noperator-addresses: [%q]\n",
			log.URL, address),
	}
	for name, content := range files {
		err = os.WriteFile(filepath.Join(env.WorkDir, name), []byte(content), 0o600)
		if err != nil {
			return err
		}
	}
	return nil
}

// Guards against sessions of operators that end with another exit code or
// another text than docs/operators.md says.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Setup:               setup,
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits":    exits,
			"log-down": func(script *testscript.TestScript, _ bool, _ []string) { fixtureOf(script).platform.LogDown(false, 0) },
			"log-up":   func(script *testscript.TestScript, _ bool, _ []string) { fixtureOf(script).platform.Clear() },
			"lose-reply": func(script *testscript.TestScript, _ bool, _ []string) {
				fixtureOf(script).platform.LoseAppendReplies(1, 0)
			},
			"vm-has": func(script *testscript.TestScript, _ bool, given []string) {
				fixtureOf(script).state.Store(fmt.Sprintf(`{"plan":{"version":%s,"digest":%q}}`, given[0], given[1]))
			},
			"drained": func(script *testscript.TestScript, _ bool, _ []string) {
				if fixtureOf(script).drains.Load() != 1 {
					script.Fatalf("%d drains", fixtureOf(script).drains.Load())
				}
			},
		},
	})
}

func fixtureOf(script *testscript.TestScript) *fixture {
	return script.Value(fixtureKey{}).(*fixture)
}

// exits runs a command and compares its exit code: exits CODE COMMAND...
func exits(script *testscript.TestScript, _ bool, given []string) {
	err := script.Exec(given[1], given[2:]...)
	code := 0
	if err != nil {
		code = -1
		var text string
		if _, scanned := fmt.Sscanf(err.Error(), "exit status %d", &code); scanned != nil {
			text = err.Error()
			script.Fatalf("%s", text)
		}
	}
	if fmt.Sprint(code) != given[0] {
		script.Fatalf("exit code %d, expected %s", code, given[0])
	}
}

// Guards against commands without an example in their help.
func TestEveryCommandHasAnExample(t *testing.T) {
	var check func(command *cobra.Command)
	check = func(command *cobra.Command) {
		assert.Assert(t, command.Example != "", command.CommandPath())
		for _, below := range command.Commands() {
			check(below)
		}
	}
	check(command.New())
}
