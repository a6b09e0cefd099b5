package fault

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// PathFaults is the path of the fault commands, which take a Command by POST.
const PathFaults = "/v1/faults"

// maxCommandBytes bounds the body of a fault command.
const maxCommandBytes = 64 << 10

// Errors of fault commands.
var (
	// ErrUnknown is wrapped if the stand-in does not support the fault.
	ErrUnknown = eris.New("unknown fault")
	// ErrParameter is wrapped if a parameter of a command is missing or out of
	// bounds.
	ErrParameter = eris.New("bad parameter of a fault")
	// ErrNotListening is wrapped if a fault needs the stand-in's own listener
	// and the stand-in does not serve on it.
	ErrNotListening = eris.New("the fault needs the stand-in's own listener")
)

// Name is the name of a fault in commands.
type Name string

// Faults of every stand-in.
const (
	// Freeze suspends all processing for ForMs, as if the process were paused.
	Freeze Name = "freeze"
	// Silence makes the open connections silent for the rest of their lives:
	// they accept bytes and send nothing. New connections work.
	Silence Name = "silence"
	// Refuse closes the listener for ForMs. Open connections keep working.
	Refuse Name = "refuse"
	// Stop closes the listener and all connections. A worker drops all state
	// but the journal; the platform keeps records and VMs. If ForMs is
	// positive the stand-in starts again after it.
	Stop Name = "stop"
	// Slow delays every response by DelayMs.
	Slow Name = "slow"
	// CutDomains leaves requests from the failure domains in Domains
	// unanswered.
	CutDomains Name = "cut-domains"
	// Clear ends every fault except Stop, Freeze, Silence, Drain and Trim.
	Clear Name = "clear"
)

// Faults of workers.
const (
	// FailTasks makes every task fail as soon as it starts.
	FailTasks Name = "fail-tasks"
	// Straggle divides the worker's speed by Factor.
	Straggle Name = "straggle"
	// Drain makes the worker signal that it drains and refuse new tasks.
	Drain Name = "drain"
	// LoseReplies closes the connection instead of answering POST /v1/tasks.
	// The tasks run.
	LoseReplies Name = "lose-replies"
)

// Faults of the platform.
const (
	// LogDown makes the log respond with status 503, or not at all with
	// NoAnswer.
	LogDown Name = "log-down"
	// LogSlow delays the log's responses by DelayMs.
	LogSlow Name = "log-slow"
	// LoseAppendReplies closes the connection after an append took effect.
	LoseAppendReplies Name = "lose-append-replies"
	// Trim removes the records of Stream with offsets below Before.
	Trim Name = "trim"
	// VMsFrozen keeps the VM list unchanged, so that it becomes stale.
	VMsFrozen Name = "vms-frozen"
	// VMsDown makes the VM list respond with status 503, or not at all with
	// NoAnswer.
	VMsDown Name = "vms-down"
)

// Command is the body of POST /v1/faults.
type Command struct {
	Fault Name `json:"fault" yaml:"fault"`
	// ForMs is the duration of the fault in milliseconds. 0 means until Clear,
	// and for Stop that the stand-in does not start again. Freeze needs a
	// positive duration. Silence, Drain, Trim and Clear ignore it.
	ForMs int64 `json:"for-ms,omitempty" yaml:"for-ms,omitempty"`
	// Factor is the divisor of the speed for Straggle and must be positive.
	Factor float64 `json:"factor,omitempty" yaml:"factor,omitempty"`
	// Count bounds the number of lost responses; 0 means no bound.
	Count int `json:"count,omitempty" yaml:"count,omitempty"`
	// DelayMs is the delay of Slow and LogSlow in milliseconds.
	DelayMs int64 `json:"delay-ms,omitempty" yaml:"delay-ms,omitempty"`
	// Domains lists the failure domains that CutDomains cuts off.
	Domains []string `json:"domains,omitempty" yaml:"domains,omitempty"`
	// Stream is the stream that Trim shortens, and Before the offset below
	// which it removes records.
	Stream string `json:"stream,omitempty" yaml:"stream,omitempty"`
	Before int64  `json:"before,omitempty" yaml:"before,omitempty"`
	// NoAnswer makes LogDown and VMsDown leave requests unanswered instead of
	// responding with status 503.
	NoAnswer bool `json:"no-answer,omitempty" yaml:"no-answer,omitempty"`
}

// Duration returns ForMs as a duration.
func (command *Command) Duration() time.Duration {
	return time.Duration(command.ForMs) * time.Millisecond
}

// Delay returns DelayMs as a duration.
func (command *Command) Delay() time.Duration {
	return time.Duration(command.DelayMs) * time.Millisecond
}

// Validate returns an error that wraps ErrParameter if a number is negative.
func (command *Command) Validate() error {
	if command.ForMs < 0 || command.Factor < 0 || command.Count < 0 || command.DelayMs < 0 || command.Before < 0 {
		return eris.Wrapf(ErrParameter, "%s: negative number", command.Fault)
	}
	return nil
}

// Injector injects faults into a stand-in.
type Injector interface {
	// Inject starts the fault. The error wraps ErrUnknown, ErrParameter or
	// ErrNotListening.
	Inject(command Command) error
}

// ErrorBody is the JSON body of every error response of the stand-ins.
type ErrorBody struct {
	Error string `json:"error"`
}

// Handler returns the handler of POST /v1/faults. It responds with status 204
// if the fault was injected, and otherwise with status 400 and an ErrorBody.
func Handler(injector Injector) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var command Command
		decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxCommandBytes))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&command)
		if err == nil {
			err = command.Validate()
		}
		if err == nil {
			err = injector.Inject(command)
		}
		if err != nil {
			WriteError(writer, http.StatusBadRequest, err.Error())
			return
		}
		writer.WriteHeader(http.StatusNoContent)
	})
}

// WriteError responds with status and text in an ErrorBody.
func WriteError(writer http.ResponseWriter, status int, text string) {
	WriteJSON(writer, status, ErrorBody{
		Error: text,
	})
}

// WriteJSON responds with status and body as JSON. It panics if body cannot be
// encoded, which does not happen with the types of the protocol.
func WriteJSON[Body any](writer http.ResponseWriter, status int, body Body) {
	data, err := json.Marshal(body)
	if err != nil {
		panic("fault: encoding a response: " + err.Error())
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	writer.Write(data)
}
