package logevent

import (
	"fmt"
	"io"

	"github.com/charmbracelet/log"
)

// Event is a kind of log line. Its number never changes its meaning.
type Event struct {
	Number int
	Name   string
	Level  log.Level
	// Text is the message of the line.
	Text string
}

// The events. 1xx: process, 2xx: fleet, 3xx: plan, 4xx: requests,
// 5xx: upstreams, 6xx: peers and hand-over.
var (
	ProcessStarted = Event{
		Number: 101,
		Name:   "process-started",
		Level:  log.InfoLevel,
		Text:   "process started",
	}
	ProcessStopping = Event{
		Number: 102,
		Name:   "process-stopping",
		Level:  log.InfoLevel,
		Text:   "process is stopping",
	}
	ProcessStopped = Event{
		Number: 103,
		Name:   "process-stopped",
		Level:  log.InfoLevel,
		Text:   "process stopped",
	}
	ProcessPaused = Event{
		Number: 104,
		Name:   "process-paused",
		Level:  log.WarnLevel,
		Text:   "process was paused; leases are checked before anything else",
	}
	StateDumped = Event{
		Number: 105,
		Name:   "state-dumped",
		Level:  log.InfoLevel,
		Text:   "state dump",
	}
	KeysReloaded = Event{
		Number: 106,
		Name:   "keys-reloaded",
		Level:  log.InfoLevel,
		Text:   "keys and certificates were read again",
	}
	KeysRejected = Event{
		Number: 107,
		Name:   "keys-rejected",
		Level:  log.ErrorLevel,
		Text:   "keys and certificates could not be read again; the old ones stay",
	}
	FleetChanged = Event{
		Number: 201,
		Name:   "fleet-changed",
		Level:  log.InfoLevel,
		Text:   "fleet changed",
	}
	ListUnreachable = Event{
		Number: 202,
		Name:   "list-unreachable",
		Level:  log.WarnLevel,
		Text:   "VM list can't be read; the last view stays",
	}
	ListReachable = Event{
		Number: 203,
		Name:   "list-reachable",
		Level:  log.InfoLevel,
		Text:   "VM list can be read again",
	}
	MemberJoined = Event{
		Number: 204,
		Name:   "member-joined",
		Level:  log.InfoLevel,
		Text:   "entry VM of the failure domain is live",
	}
	MemberLost = Event{
		Number: 205,
		Name:   "member-lost",
		Level:  log.WarnLevel,
		Text:   "entry VM of the failure domain is not live any more",
	}
	PlanAdopted = Event{
		Number: 301,
		Name:   "plan-adopted",
		Level:  log.InfoLevel,
		Text:   "plan is in force",
	}
	PlanConflict = Event{
		Number: 302,
		Name:   "plan-conflict",
		Level:  log.WarnLevel,
		Text:   "publication lost against another on the same base",
	}
	PlanInvalid = Event{
		Number: 303,
		Name:   "plan-invalid",
		Level:  log.ErrorLevel,
		Text:   "plan record does not decode and is passed over",
	}
	PlanTrimmed = Event{
		Number: 304,
		Name:   "plan-trimmed",
		Level:  log.WarnLevel,
		Text:   "plan records were trimmed before they were read",
	}
	PlanSnapshot = Event{
		Number: 305,
		Name:   "plan-snapshot",
		Level:  log.InfoLevel,
		Text:   "plan snapshot appended",
	}
	LogUnreachable = Event{
		Number: 306,
		Name:   "log-unreachable",
		Level:  log.WarnLevel,
		Text:   "log can't be reached",
	}
	LogReachable = Event{
		Number: 307,
		Name:   "log-reachable",
		Level:  log.InfoLevel,
		Text:   "log can be reached again",
	}
	JobFailed = Event{
		Number: 401,
		Name:   "job-failed",
		Level:  log.DebugLevel,
		Text:   "job failed",
	}
	JobRefused = Event{
		Number: 402,
		Name:   "job-refused",
		Level:  log.DebugLevel,
		Text:   "job refused",
	}
	UpstreamLost = Event{
		Number: 501,
		Name:   "upstream-lost",
		Level:  log.WarnLevel,
		Text:   "connection to an upstream was lost with a task on it",
	}
	UpstreamDraining = Event{
		Number: 502,
		Name:   "upstream-draining",
		Level:  log.InfoLevel,
		Text:   "upstream is draining",
	}
	UpstreamAsked = Event{
		Number: 503,
		Name:   "upstream-asked",
		Level:  log.DebugLevel,
		Text:   "upstream was asked about tasks",
	}
	PeerUnreachable = Event{
		Number: 601,
		Name:   "peer-unreachable",
		Level:  log.WarnLevel,
		Text:   "peer can't be reached",
	}
	HandoverStarted = Event{
		Number: 602,
		Name:   "handover-started",
		Level:  log.InfoLevel,
		Text:   "hand-over of submission IDs started",
	}
	HandoverDone = Event{
		Number: 603,
		Name:   "handover-done",
		Level:  log.InfoLevel,
		Text:   "hand-over of submission IDs committed",
	}
	HandoverFailed = Event{
		Number: 604,
		Name:   "handover-failed",
		Level:  log.ErrorLevel,
		Text:   "hand-over failed; answers for this VM's IDs will be unknown",
	}
	HandoverReceived = Event{
		Number: 605,
		Name:   "handover-received",
		Level:  log.InfoLevel,
		Text:   "submission IDs of another VM were taken over",
	}
	PeerReachable = Event{
		Number: 606,
		Name:   "peer-reachable",
		Level:  log.InfoLevel,
		Text:   "peer can be reached again",
	}
)

// Events returns all events in order of their numbers.
func Events() []Event {
	return []Event{
		ProcessStarted, ProcessStopping, ProcessStopped, ProcessPaused, StateDumped, KeysReloaded, KeysRejected,
		FleetChanged, ListUnreachable, ListReachable, MemberJoined, MemberLost,
		PlanAdopted, PlanConflict, PlanInvalid, PlanTrimmed, PlanSnapshot, LogUnreachable, LogReachable,
		JobFailed, JobRefused,
		UpstreamLost, UpstreamDraining, UpstreamAsked,
		PeerUnreachable, HandoverStarted, HandoverDone, HandoverFailed, HandoverReceived, PeerReachable,
	}
}

// Logger writes events.
type Logger struct {
	logger *log.Logger
}

// New returns a Logger that writes lines at or above level in logfmt.
func New(writer io.Writer, level log.Level, vm string) *Logger {
	logger := log.NewWithOptions(writer, log.Options{
		Level:           level,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
	return &Logger{
		logger: logger.With("vm", vm),
	}
}

// Log writes one event with alternating keys and values.
func (logger *Logger) Log(event Event, pairs ...any) {
	pairs = append([]any{"event", fmt.Sprintf("E%03d", event.Number)}, pairs...)
	logger.logger.Log(event.Level, event.Text, pairs...)
}
