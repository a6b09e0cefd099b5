package logevent

import "github.com/charmbracelet/log"

// Event is a kind of log line.
type Event struct {
	// Number identifies the event in the log, as E701. A number is never reused
	// with another meaning.
	Number int
	// Name identifies the event in the catalogue.
	Name string
	// Level is the severity of the line.
	Level log.Level
	// Text is the message of the line.
	Text string
	// ListsJobs is set if the report about dropped lines of the event lists their jobs.
	ListsJobs bool
}

// The numbers of events are grouped by subject: 1xx process, 2xx fleet, 3xx plan,
// 4xx requests, 5xx upstreams, 6xx peers and hand-over, 7xx scheduling of a region.
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
		Text:   "process was paused; leases are checked before other work",
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
		Text:   "keys and certificates were reloaded",
	}
	KeysRejected = Event{
		Number: 107,
		Name:   "keys-rejected",
		Level:  log.ErrorLevel,
		Text:   "keys and certificates could not be reloaded; the old ones stay in use",
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
		Text:   "VM list can't be read; the last one stays in use",
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
		Text:   "publication lost to another one on the same base",
	}
	PlanInvalid = Event{
		Number: 303,
		Name:   "plan-invalid",
		Level:  log.ErrorLevel,
		Text:   "plan record can't be decoded and is skipped",
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
		Text:   "status query about tasks was sent to an upstream",
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
	SchedulerStarted = Event{
		Number: 701,
		Name:   "scheduler-started",
		Level:  log.InfoLevel,
		Text:   "this process schedules the region",
	}
	SchedulerStopped = Event{
		Number: 702,
		Name:   "scheduler-stopped",
		Level:  log.InfoLevel,
		Text:   "this process no longer schedules the region",
	}
	SchedulerFollowed = Event{
		Number: 703,
		Name:   "scheduler-followed",
		Level:  log.InfoLevel,
		Text:   "jobs go to another scheduler",
	}
	UpstreamState = Event{
		Number: 704,
		Name:   "upstream-state",
		Level:  log.InfoLevel,
		Text:   "scheduler's state of an upstream changed",
	}
	SchedulerSlow = Event{
		Number: 705,
		Name:   "scheduler-slow",
		Level:  log.WarnLevel,
		Text:   "this process is too slow to schedule and yields to another",
	}
	RelaysSuspected = Event{
		Number: 706,
		Name:   "relays-suspected",
		Level:  log.InfoLevel,
		Text:   "set of relays that temporarily get no orders changed",
	}
	MessageStale = Event{
		Number: 707,
		Name:   "message-stale",
		Level:  log.InfoLevel,
		Text:   "message was delayed too long and is declined",
	}
	RegionDivided = Event{
		Number: 708,
		Name:   "region-divided",
		Level:  log.InfoLevel,
		Text:   "this process determined how the region is divided among schedulers",
	}
	MessageInvalid = Event{
		Number: 710,
		Name:   "message-invalid",
		Level:  log.WarnLevel,
		Text:   "message of a peer is not valid and is rejected",
	}
	JobHandedOver = Event{
		Number: 709,
		Name:   "job-handed-over",
		Level:  log.DebugLevel,
		Text:   "job that waits goes to another cell",
	}
	JobAccepted = Event{
		Number: 711,
		Name:   "job-accepted",
		Level:  log.DebugLevel,
		Text:   "job accepted from a caller",
	}
	JobAnswered = Event{
		Number: 712,
		Name:   "job-answered",
		Level:  log.DebugLevel,
		Text:   "job completed",
	}
	JobGivenUp = Event{
		Number:    713,
		Name:      "job-given-up",
		Level:     log.WarnLevel,
		Text:      "job was not completed",
		ListsJobs: true,
	}
	JobWithdrawn = Event{
		Number: 714,
		Name:   "job-withdrawn",
		Level:  log.InfoLevel,
		Text:   "job withdrawn because no caller waits for it",
	}
	CancelApplied = Event{
		Number: 718,
		Name:   "cancel-applied",
		Level:  log.InfoLevel,
		Text:   "job ended because a peer reported its cancellation",
	}
	CancelledSubmission = Event{
		Number: 719,
		Name:   "cancelled-submission",
		Level:  log.InfoLevel,
		Text:   "submitted job is not accepted because it was cancelled",
	}
	RequestRefused = Event{
		Number:    715,
		Name:      "request-refused",
		Level:     log.InfoLevel,
		Text:      "request refused before it became a job",
		ListsJobs: true,
	}
	JobLate = Event{
		Number: 716,
		Name:   "job-late",
		Level:  log.InfoLevel,
		Text:   "job completed after its latency objective",
	}
	RunPlaced = Event{
		Number: 721,
		Name:   "run-placed",
		Level:  log.DebugLevel,
		Text:   "start of a run was ordered at an upstream",
	}
	RunStopped = Event{
		Number: 722,
		Name:   "run-stopped",
		Level:  log.InfoLevel,
		Text:   "run is stopped",
	}
	RunLost = Event{
		Number: 723,
		Name:   "run-lost",
		Level:  log.InfoLevel,
		Text:   "run ended without a result",
	}
	OrderFailed = Event{
		Number: 724,
		Name:   "order-failed",
		Level:  log.InfoLevel,
		Text:   "order to an upstream was not carried out",
	}
	StartsAllowed = Event{
		Number: 725,
		Name:   "starts-allowed",
		Level:  log.InfoLevel,
		Text:   "tasks of a job that an earlier scheduler had may start",
	}
	LeaseExpired = Event{
		Number: 726,
		Name:   "lease-expired",
		Level:  log.InfoLevel,
		Text:   "lease of an upstream with runs is considered expired",
	}
	RunSettled = Event{
		Number: 727,
		Name:   "run-settled",
		Level:  log.DebugLevel,
		Text:   "run that the upstream does not list is considered over",
	}
	StreamReset = Event{
		Number: 728,
		Name:   "stream-reset",
		Level:  log.InfoLevel,
		Text:   "peer does not hear this process; the stream to it is replaced",
	}
	JobResubmitted = Event{
		Number: 729,
		Name:   "job-resubmitted",
		Level:  log.InfoLevel,
		Text:   "job is submitted again; an earlier submission may have been accepted",
	}
	ReplyIgnored = Event{
		Number: 730,
		Name:   "reply-ignored",
		Level:  log.InfoLevel,
		Text:   "reply about a job is not from its last submission and is ignored",
	}
	ListAwaited = Event{
		Number: 735,
		Name:   "list-awaited",
		Level:  log.InfoLevel,
		Text:   "scheduler waited for a recent list of upstreams before its first starts",
	}
	WithdrawalsRepeated = Event{
		Number: 734,
		Name:   "withdrawals-repeated",
		Level:  log.InfoLevel,
		Text:   "withdrawals are sent again on a new stream; the one before may have lost them",
	}
	EarlierJobReceived = Event{
		Number: 717,
		Name:   "earlier-job-received",
		Level:  log.InfoLevel,
		Text:   "scheduler received a job that was submitted before",
	}
	JobRefusedEarly = Event{
		Number:    761,
		Name:      "job-refused-early",
		Level:     log.InfoLevel,
		Text:      "job refused by the admission state in the scheduler's last heartbeat",
		ListsJobs: true,
	}
	OverloadBegan = Event{
		Number: 762,
		Name:   "overload-began",
		Level:  log.WarnLevel,
		Text:   "not all jobs of a service can meet their objectives",
	}
	OverloadEnded = Event{
		Number: 763,
		Name:   "overload-ended",
		Level:  log.InfoLevel,
		Text:   "all jobs of a service can meet their objectives again",
	}
	StoreUnreachable = Event{
		Number: 731,
		Name:   "store-unreachable",
		Level:  log.WarnLevel,
		Text:   "platform's store does not answer",
	}
	StoreReachable = Event{
		Number: 732,
		Name:   "store-reachable",
		Level:  log.InfoLevel,
		Text:   "platform's store answers again",
	}
	RecordInvalid = Event{
		Number: 733,
		Name:   "record-invalid",
		Level:  log.WarnLevel,
		Text:   "record of the platform's store can't be decoded and is skipped",
	}
	SettingsReloaded = Event{
		Number: 741,
		Name:   "settings-reloaded",
		Level:  log.InfoLevel,
		Text:   "settings were reloaded",
	}
	SettingsRejected = Event{
		Number: 742,
		Name:   "settings-rejected",
		Level:  log.ErrorLevel,
		Text:   "settings could not be reloaded; the old ones stay in use",
	}
	LinesSuppressed = Event{
		Number: 751,
		Name:   "lines-suppressed",
		Level:  log.WarnLevel,
		Text:   "log lines over the budget were dropped",
	}
	EstimatesInherited = Event{
		Number: 771,
		Name:   "estimates-inherited",
		Level:  log.InfoLevel,
		Text:   "scheduler starts with the estimates of the one before",
	}
	EstimatesIgnored = Event{
		Number: 772,
		Name:   "estimates-ignored",
		Level:  log.WarnLevel,
		Text:   "estimates of the scheduler are of another format and are ignored",
	}
	EvacuationsChanged = Event{
		Number: 781,
		Name:   "evacuations-changed",
		Level:  log.InfoLevel,
		Text:   "failure domains that operators have evacuated changed",
	}
	IntakeRefused = Event{
		Number:    791,
		Name:      "intake-refused",
		Level:     log.InfoLevel,
		Text:      "client turned away at a limit of this process",
		ListsJobs: true,
	}
)

// Events returns all events in the order of their numbers.
func Events() []Event {
	return []Event{
		ProcessStarted, ProcessStopping, ProcessStopped, ProcessPaused, StateDumped, KeysReloaded, KeysRejected,
		FleetChanged, ListUnreachable, ListReachable, MemberJoined, MemberLost,
		PlanAdopted, PlanConflict, PlanInvalid, PlanTrimmed, PlanSnapshot, LogUnreachable, LogReachable,
		JobFailed, JobRefused,
		UpstreamLost, UpstreamDraining, UpstreamAsked,
		PeerUnreachable, HandoverStarted, HandoverDone, HandoverFailed, HandoverReceived, PeerReachable,
		SchedulerStarted, SchedulerStopped, SchedulerFollowed, UpstreamState, SchedulerSlow, RelaysSuspected, MessageStale, RegionDivided, JobHandedOver, MessageInvalid,
		JobAccepted, JobAnswered, JobGivenUp, JobWithdrawn, RequestRefused, JobLate, EarlierJobReceived, CancelApplied, CancelledSubmission,
		RunPlaced, RunStopped, RunLost, OrderFailed, StartsAllowed, LeaseExpired, RunSettled, StreamReset, JobResubmitted, ReplyIgnored,
		StoreUnreachable, StoreReachable, RecordInvalid, WithdrawalsRepeated, ListAwaited, SettingsReloaded, SettingsRejected, LinesSuppressed,
		JobRefusedEarly, OverloadBegan, OverloadEnded, EstimatesInherited, EstimatesIgnored, EvacuationsChanged, IntakeRefused,
	}
}
