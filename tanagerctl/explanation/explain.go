package explanation

import (
	"fmt"
	"time"
)

// schedulerChangeMargin is the time before a job's acceptance in which a change of the
// scheduler still explains its end: the job was accepted while none was known,
// or went to one that was lost already.
const schedulerChangeMargin = time.Second

// Unexplained is the cause of a job of which the logs do not tell why it ended
// as it did.
const Unexplained = "unexplained"

// Explanation says why one job, or one request that never became one, was not
// served in time.
type Explanation struct {
	// Job is empty for a request that was refused before it became a job.
	Job string `json:"job,omitempty"`
	VM  string `json:"vm"`
	At  string `json:"at"`
	// Result is refused, not-run, interrupted, failed or late.
	Result string `json:"result"`
	// Cause is one of a few phrases, and Detail what the logs say.
	Cause  string `json:"cause"`
	Detail string `json:"detail"`
}

// Explain returns an Explanation for each job that was not served in time, in
// the order of the logs. Job limits them to one job, unless it is empty.
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

// incompleteCause explains a job that was not completed.
func (logs *Logs) incompleteCause(endLine logLine) (cause, detail string) {
	reason := endLine.fields["reason"]
	if endLine.fields["result"] == "not-run" {
		switch reason {
		case "overload":
			return "no worker was free in time", "given up after " + endLine.fields["took"]
		case "scheduler full":
			return "the scheduler turned a share of jobs away", ""
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

// lateCause explains a job that was completed after its latency objective.
func (logs *Logs) lateCause(endLine logLine) (cause, detail string) {
	if cause, detail = logs.lostRunCause(endLine); cause != "" {
		return cause, detail
	}
	if schedulerChange := logs.schedulerChange(endLine); schedulerChange != "" {
		return "its scheduler changed", schedulerChange
	}
	return "its tasks waited or ran longer than expected", "took " + endLine.fields["took"] + ", allowed " + endLine.fields["allowed"]
}

// lostRunCause names the last run of the job that was stopped or lost before its
// end.
func (logs *Logs) lostRunCause(endLine logLine) (cause, detail string) {
	start := endLine.timestamp.Add(-endLine.duration())
	for _, runLine := range logs.runLines[endLine.fields["job"]] {
		reason := runLine.fields["reason"]
		// What stops a job's runs after its end is no cause of it.
		if runLine.timestamp.After(endLine.timestamp) || runLine.timestamp.Before(start) || reason == endLine.fields["reason"] || reason == "withdrawn" {
			continue
		}
		cause = "a run was lost or moved: " + reason
		detail = fmt.Sprintf("task %s run %s on %s", runLine.fields["task"], runLine.fields["run"], runLine.fields["upstream"])
	}
	return cause, detail
}

// schedulerChange returns the last change of the scheduler that the entry VM saw in the
// job's time, or an empty text.
func (logs *Logs) schedulerChange(endLine logLine) string {
	start := endLine.timestamp.Add(-endLine.duration() - schedulerChangeMargin)
	description := ""
	for _, schedulerLine := range logs.schedulerLines[endLine.vm] {
		if schedulerLine.event == "E703" && !schedulerLine.timestamp.Before(start) && !schedulerLine.timestamp.After(endLine.timestamp) {
			description = fmt.Sprintf("from %q to %q: %s", schedulerLine.fields["before"], schedulerLine.fields["scheduler"], schedulerLine.fields["reason"])
		}
	}
	return description
}
