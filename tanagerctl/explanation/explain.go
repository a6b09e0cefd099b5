package explanation

import (
	"fmt"
	"time"
)

// schedulerChangeMargin is the time before a job's acceptance in which a change of
// the scheduler still explains its result: the entry VM accepted the job while it
// knew no scheduler, or sent it to one that had already failed.
const schedulerChangeMargin = time.Second

// Unexplained is the Cause of a job whose result the logs do not explain.
const Unexplained = "unexplained"

// Explanation says why one job was not completed in time, or why one request was
// refused before it became a job.
type Explanation struct {
	// Job is the job's ID, empty for a refused request.
	Job string `json:"job,omitempty"`
	// VM is the entry VM that logged the end of the job.
	VM string `json:"vm"`
	// At is the UTC time of the end, in RFC 3339 format.
	At string `json:"at"`
	// Result is refused (the request did not become a job), not-run (no task of
	// the job ran or will run), interrupted (the job was abandoned and some of
	// its tasks may have run), failed (a task failed as often as its kind
	// allows) or late (the job was completed after its latency objective).
	Result string `json:"result"`
	// Cause is a phrase that is the same for all jobs with this cause, or the
	// reason that the entry VM logged.
	Cause string `json:"cause"`
	// Detail holds the values from the logs that support the cause.
	Detail string `json:"detail"`
}

// Explain returns an Explanation for each job that was not completed in time and
// for each refused request, in the order in which the logs were read. If job is not
// empty, it returns only those of the job with this ID.
func (logs *Logs) Explain(job string) []Explanation {
	var explanations []Explanation
	for _, endLine := range logs.endLines {
		if job != "" && endLine.fields["job"] != job {
			continue
		}
		explanation := Explanation{
			Job:    endLine.fields["job"],
			VM:     endLine.vm,
			At:     endLine.timestamp.UTC().Format(time.RFC3339Nano),
			Result: endLine.fields["result"],
		}
		switch endLine.event {
		case "E715":
			explanation.Result = "refused"
			explanation.Cause = endLine.fields["reason"]
			explanation.Detail = fmt.Sprintf("path %s, version %s", endLine.fields["path"], endLine.fields["version"])
		case "E716":
			explanation.Result = "late"
			explanation.Cause, explanation.Detail = logs.lateCause(endLine)
		default:
			explanation.Cause, explanation.Detail = logs.incompleteCause(endLine)
		}
		explanations = append(explanations, explanation)
	}
	return explanations
}

// incompleteCause returns the cause and the detail for a job that was not
// completed.
func (logs *Logs) incompleteCause(endLine logLine) (cause, detail string) {
	reason := endLine.fields["reason"]
	if endLine.fields["result"] == "not-run" {
		switch reason {
		case "overload":
			return "no worker was free in time", "given up after " + endLine.fields["took"]
		case "scheduler full":
			return "the scheduler turned a share of jobs away", ""
		case "evacuated":
			return "all failure domains of its service are evacuated", ""
		case "no scheduler":
			return "no scheduler was known", logs.schedulerChange(endLine)
		default:
			return reason, ""
		}
	}
	if cause, detail = logs.lostRunCause(endLine); cause != "" {
		return cause, detail
	}
	if schedulerChange := logs.schedulerChange(endLine); schedulerChange != "" {
		return "its scheduler changed", schedulerChange
	}
	waiting, running := endLine.intField("waiting"), endLine.intField("running")
	progress := fmt.Sprintf("%s after %s: %d tasks done, %d running, %d waiting", reason, endLine.fields["took"],
		endLine.intField("done"), running, waiting)
	switch {
	case waiting > 0:
		return "no worker was free for some of its tasks", progress
	case running > 0:
		return "its tasks still ran", progress
	case reason == "cancelled" || reason == "stopping":
		return reason, progress
	case endLine.fields["done"] == "":
		return "its scheduler did not answer", reason + " after " + endLine.fields["took"]
	default:
		return Unexplained, progress
	}
}

// lateCause returns the cause and the detail for a job that was completed after
// its latency objective.
func (logs *Logs) lateCause(endLine logLine) (cause, detail string) {
	if cause, detail = logs.lostRunCause(endLine); cause != "" {
		return cause, detail
	}
	if schedulerChange := logs.schedulerChange(endLine); schedulerChange != "" {
		return "its scheduler changed", schedulerChange
	}
	return "its tasks waited or ran longer than expected", "took " + endLine.fields["took"] + ", allowed " + endLine.fields["allowed"]
}

// lostRunCause returns the cause and the detail for the last run of the job that
// was stopped or lost before the job's end, or empty texts if there is none.
func (logs *Logs) lostRunCause(endLine logLine) (cause, detail string) {
	start := endLine.timestamp.Add(-endLine.jobDuration())
	for _, runLine := range logs.runLines[endLine.fields["job"]] {
		reason := runLine.fields["reason"]
		// Runs that are stopped because the job ended or was withdrawn did not
		// cause its result.
		if runLine.timestamp.After(endLine.timestamp) || runLine.timestamp.Before(start) || reason == endLine.fields["reason"] || reason == "withdrawn" {
			continue
		}
		cause = "a run was lost or moved: " + reason
		detail = fmt.Sprintf("task %s run %s on %s", runLine.fields["task"], runLine.fields["run"], runLine.fields["upstream"])
	}
	return cause, detail
}

// schedulerChange describes the last change of the scheduler that the entry VM
// logged between the job's acceptance, less schedulerChangeMargin, and its end. It
// returns an empty text if there is none.
func (logs *Logs) schedulerChange(endLine logLine) string {
	start := endLine.timestamp.Add(-endLine.jobDuration() - schedulerChangeMargin)
	description := ""
	for _, schedulerLine := range logs.schedulerLines[endLine.vm] {
		if schedulerLine.event == "E703" && !schedulerLine.timestamp.Before(start) && !schedulerLine.timestamp.After(endLine.timestamp) {
			description = fmt.Sprintf("from %q to %q: %s", schedulerLine.fields["before"], schedulerLine.fields["scheduler"], schedulerLine.fields["reason"])
		}
	}
	return description
}
