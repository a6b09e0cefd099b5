package explanation

import (
	"fmt"
	"time"
)

// changeMargin is the time before a job's acceptance in which a change of the
// scheduler still explains its end: the job was accepted while none was known,
// or went to one that was lost already.
const changeMargin = time.Second

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
	var all []Explanation
	for _, end := range logs.ends {
		if job != "" && end.fields["job"] != job {
			continue
		}
		found := Explanation{
			Job:    end.fields["job"],
			VM:     end.vm,
			At:     end.at.UTC().Format(time.RFC3339Nano),
			Result: end.fields["result"],
		}
		switch end.event {
		case "E715":
			found.Result = "refused"
			found.Cause = end.fields["reason"]
			found.Detail = fmt.Sprintf("path %s, version %s", end.fields["path"], end.fields["version"])
		case "E716":
			found.Result = "late"
			found.Cause, found.Detail = logs.lateCause(end)
		default:
			found.Cause, found.Detail = logs.endCause(end)
		}
		all = append(all, found)
	}
	return all
}

// endCause explains a job that was not completed.
func (logs *Logs) endCause(end line) (cause, detail string) {
	reason := end.fields["reason"]
	if end.fields["result"] == "not-run" {
		switch reason {
		case "overload":
			return "no worker was free in time", "given up after " + end.fields["took"]
		case "scheduler full":
			return "the scheduler turned a share of jobs away", ""
		case "no scheduler":
			return "no scheduler was known", logs.change(end)
		default:
			return reason, ""
		}
	}
	if cause, detail = logs.runCause(end); cause != "" {
		return cause, detail
	}
	if change := logs.change(end); change != "" {
		return "its scheduler changed", change
	}
	waiting, running := end.count("waiting"), end.count("running")
	progress := fmt.Sprintf("%s after %s: %d tasks done, %d running, %d waiting", reason, end.fields["took"],
		end.count("done"), running, waiting)
	switch {
	case waiting > 0:
		return "no worker was free for some of its tasks", progress
	case running > 0:
		return "its tasks still ran", progress
	case reason == "cancelled" || reason == "stopping":
		return reason, progress
	case end.fields["done"] == "":
		return "its scheduler did not answer", reason + " after " + end.fields["took"]
	default:
		return Unexplained, progress
	}
}

// lateCause explains a job that was completed after its latency objective.
func (logs *Logs) lateCause(end line) (cause, detail string) {
	if cause, detail = logs.runCause(end); cause != "" {
		return cause, detail
	}
	if change := logs.change(end); change != "" {
		return "its scheduler changed", change
	}
	return "its tasks waited or ran longer than expected", "took " + end.fields["took"] + ", allowed " + end.fields["allowed"]
}

// runCause names the last run of the job that was stopped or lost before its
// end.
func (logs *Logs) runCause(end line) (cause, detail string) {
	began := end.at.Add(-end.took())
	for _, run := range logs.runs[end.fields["job"]] {
		reason := run.fields["reason"]
		// What stops a job's runs after its end is no cause of it.
		if run.at.After(end.at) || run.at.Before(began) || reason == end.fields["reason"] || reason == "withdrawn" {
			continue
		}
		cause = "a run was lost or moved: " + reason
		detail = fmt.Sprintf("task %s run %s on %s", run.fields["task"], run.fields["run"], run.fields["upstream"])
	}
	return cause, detail
}

// change returns the last change of the scheduler that the entry VM saw in the
// job's time, or an empty text.
func (logs *Logs) change(end line) string {
	began := end.at.Add(-end.took() - changeMargin)
	text := ""
	for _, change := range logs.schedulers[end.vm] {
		if change.event == "E703" && !change.at.Before(began) && !change.at.After(end.at) {
			text = fmt.Sprintf("from %q to %q: %s", change.fields["before"], change.fields["scheduler"], change.fields["reason"])
		}
	}
	return text
}
