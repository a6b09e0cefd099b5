package fault

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// PathFaults is the path of the fault commands: POST a Command.
const PathFaults = "/v1/faults"

// maxCommandBytes bounds the body of a fault command.
const maxCommandBytes = 64 << 10

// The errors of commands.
var (
	// ErrUnknown is wrapped if a stand-in does not know the named fault.
	ErrUnknown = eris.New("unknown fault")
	// ErrParameter is wrapped if a parameter of a command is missing or out
	// of bounds.
	ErrParameter = eris.New("bad parameter of a fault")
	// ErrNotListening is wrapped by faults of the listener if the stand-in is
	// served by another server than its own.
	ErrNotListening = eris.New("the fault needs the stand-in's own listener")
)

// Name names a fault.
type Name string

// The faults of every stand-in.
const (
	// Freeze stops all processing for ForMs, as if the process were paused.
	Freeze Name = "freeze"
	// Silence makes the open connections silent for good: they accept bytes
	// and answer nothing. New connections work.
	Silence Name = "silence"
	// Refuse closes the listener for ForMs; open connections keep working.
	Refuse Name = "refuse"
	// Stop closes the listener and all connections and drops all state but
	// the journal; with ForMs the stand-in starts again after it.
	Stop Name = "stop"
	// Slow delays every answer by DelayMs.
	Slow Name = "slow"
	// CutDomains leaves requests from Domains without an answer.
	CutDomains Name = "cut-domains"
	// Clear ends every fault that is not final.
	Clear Name = "clear"
)

// The faults of workers.
const (
	// FailTasks lets every task that starts fail at once.
	FailTasks Name = "fail-tasks"
	// Straggle divides the worker's speed by Factor.
	Straggle Name = "straggle"
	// Drain gives the worker's own drain signal.
	Drain Name = "drain"
	// LoseReplies cuts the connection instead of answering POST /v1/tasks.
	LoseReplies Name = "lose-replies"
)

// The faults of the platform.
const (
	// LogDown lets the log answer 503, or nothing with NoAnswer.
	LogDown Name = "log-down"
	// LogSlow delays the log's answers by DelayMs.
	LogSlow Name = "log-slow"
	// LoseAppendReplies cuts the connection after the append took effect.
	LoseAppendReplies Name = "lose-append-replies"
	// Trim removes the records of Stream below Before.
	Trim Name = "trim"
	// VmsFrozen keeps the VM list as it is (stale).
	VmsFrozen Name = "vms-frozen"
	// VmsDown lets the VM list answer 503, or nothing with NoAnswer.
	VmsDown Name = "vms-down"
)

// Command is the body of POST /v1/faults.
type Command struct {
	Fault Name `json:"fault" yaml:"fault"`
	// ForMs is how long the fault lasts; 0 means until Clear.
	ForMs int64 `json:"for-ms,omitempty" yaml:"for-ms,omitempty"`
	// Factor is the divisor of the speed for Straggle.
	Factor float64 `json:"factor,omitempty" yaml:"factor,omitempty"`
	// Count bounds the number of replies lost; 0 means no bound.
	Count int `json:"count,omitempty" yaml:"count,omitempty"`
	// DelayMs is the delay of Slow and LogSlow.
	DelayMs int64 `json:"delay-ms,omitempty" yaml:"delay-ms,omitempty"`
	// Domains lists the failure domains that are cut off.
	Domains []string `json:"domains,omitempty" yaml:"domains,omitempty"`
	// Stream and Before say what Trim removes.
	Stream string `json:"stream,omitempty" yaml:"stream,omitempty"`
	Before int64  `json:"before,omitempty" yaml:"before,omitempty"`
	// NoAnswer makes LogDown and VmsDown answer nothing in place of 503.
	NoAnswer bool `json:"no-answer,omitempty" yaml:"no-answer,omitempty"`
}

// Duration returns the duration of the fault; 0 means until Clear.
func (command *Command) Duration() time.Duration {
	return time.Duration(command.ForMs) * time.Millisecond
}

// Delay returns the delay of Slow and LogSlow.
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

// Injector carries out commands.
type Injector interface {
	// Inject starts the fault. The error wraps ErrUnknown, ErrParameter or
	// ErrNotListening.
	Inject(command Command) error
}

// ErrorBody is the JSON body of every error answer of the stand-ins.
type ErrorBody struct {
	Error string `json:"error"`
}

// Handler returns the handler of POST /v1/faults: 204 if the fault is in
// force, 400 with an ErrorBody otherwise.
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

// WriteError answers with an ErrorBody.
func WriteError(writer http.ResponseWriter, status int, text string) {
	WriteJSON(writer, status, ErrorBody{
		Error: text,
	})
}

// WriteJSON answers with status and body as JSON. It panics if body cannot be
// encoded, which no type of the protocol allows.
func WriteJSON[Body any](writer http.ResponseWriter, status int, body Body) {
	data, err := json.Marshal(body)
	if err != nil {
		panic("fault: encoding an answer: " + err.Error())
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	writer.Write(data)
}
