package explanation_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/tanagerctl/explanation"
)

// Guards against ends of jobs that Explain doesn't trace to their cause by the
// job's ID alone: operators have no other information about a job.
func TestExplainNamesTheCause(t *testing.T) {
	const end = `time=x level=warn msg="job was not completed" vm=a event=E713 at=10000 job=j kind=k allowed=100ms `
	for _, test := range []struct {
		name   string
		lines  []string
		result string
		cause  string
		detail string
	}{
		{
			name:   "refused in a burst",
			lines:  []string{end + `result=not-run reason=overload took=300ms schedulers=1 done=0 running=0 waiting=2`},
			result: "not-run",
			cause:  "no worker was free in time",
			detail: "given up after 300ms",
		},
		{
			name:   "scheduler full",
			lines:  []string{end + `result=not-run reason="scheduler full" took=0s schedulers=0`},
			result: "not-run",
			cause:  "the scheduler turned a share of jobs away",
		},
		{
			name: "run on a silent worker",
			lines: []string{
				`vm=b event=E723 at=9500 upstream=w1 job=j task=2 run=1 reason=lapsed`,
				`vm=b event=E722 at=9990 upstream=w2 job=j task=1 run=1 reason=deadline`,
				end + `result=interrupted reason=deadline took=1.9s schedulers=1 done=1 running=1 waiting=0`,
			},
			result: "interrupted",
			cause:  "a run was lost or moved: lapsed",
			detail: "task 2 run 1 on w1",
		},
		{
			name: "scheduler killed",
			lines: []string{
				`vm=a event=E703 at=9600 scheduler=h2:1 before=h1:1 reason="schedules"`,
				end + `result=interrupted reason=overload took=900ms schedulers=2 done=0 running=0 waiting=2`,
			},
			result: "interrupted",
			cause:  "its scheduler changed",
			detail: `from "h1:1" to "h2:1": schedules`,
		},
		{
			name: "another VM's scheduler is no cause",
			lines: []string{
				`vm=b event=E703 at=9600 scheduler=h2:1 before=h1:1 reason="schedules"`,
				end + `result=interrupted reason=overload took=900ms schedulers=1 done=1 running=1 waiting=2`,
			},
			result: "interrupted",
			cause:  "no worker was free for some of its tasks",
			detail: "overload after 900ms: 1 tasks done, 1 running, 2 waiting",
		},
		{
			name:   "long tasks",
			lines:  []string{end + `result=interrupted reason=deadline took=1.9s schedulers=1 done=1 running=3 waiting=0`},
			result: "interrupted",
			cause:  "its tasks still ran",
			detail: "deadline after 1.9s: 1 tasks done, 3 running, 0 waiting",
		},
		{
			name:   "silent scheduler",
			lines:  []string{end + `result=interrupted reason=deadline took=1.9s schedulers=1`},
			result: "interrupted",
			cause:  "its scheduler did not answer",
			detail: "deadline after 1.9s",
		},
		{
			name:   "nothing known",
			lines:  []string{end + `result=interrupted reason=odd took=1.9s schedulers=1 done=2 running=0 waiting=0`},
			result: "interrupted",
			cause:  explanation.Unexplained,
			detail: "odd after 1.9s: 2 tasks done, 0 running, 0 waiting",
		},
		{
			name: "task fails again and again",
			lines: []string{
				`vm=b event=E723 at=9900 upstream=w1 job=j task=0 run=3 reason=failed`,
				end + `result=failed reason=attempts took=200ms schedulers=1 done=0 running=0 waiting=1`,
			},
			result: "failed",
			cause:  "a run was lost or moved: failed",
			detail: "task 0 run 3 on w1",
		},
		{
			name:   "late",
			lines:  []string{`vm=a event=E716 at=10000 job=j kind=k result=completed reason= took=250ms allowed=100ms schedulers=1`},
			result: "late",
			cause:  "its tasks waited or ran longer than expected",
			detail: "took 250ms, allowed 100ms",
		},
	} {
		logs := explanation.NewLogs()
		// Collected logs have the time and the VM before each line, and lines that
		// are no log events. Read must skip both.
		text := "  9.1 vm-a " + strings.Join(test.lines, "\n  9.1 vm-a ") + "\nno log line\n"
		assert.NilError(t, logs.Read(strings.NewReader(text)))
		explanations := logs.Explain("j")
		assert.Equal(t, len(explanations), 1, test.name)
		assert.Equal(t, explanations[0].Result, test.result, test.name)
		assert.Equal(t, explanations[0].Cause, test.cause, test.name)
		assert.Equal(t, explanations[0].Detail, test.detail, test.name)
		assert.Equal(t, len(logs.Explain("other")), 0)
	}
}

// Guards against refused requests that are left out because they have no job ID.
// Their path and the plan version in force explain the refusal.
func TestExplainRefusedRequests(t *testing.T) {
	logs := explanation.NewLogs()
	assert.NilError(t, logs.Read(strings.NewReader(
		`level=info vm=a event=E715 at=10000 path=/q/ reason="no route" version=4`+"\n")))
	explanations := logs.Explain("")
	assert.Equal(t, len(explanations), 1)
	assert.Equal(t, explanations[0].Cause, "no route")
	assert.Equal(t, explanations[0].Detail, "path /q/, version 4")
	assert.Equal(t, explanations[0].At, "1970-01-01T00:00:10Z")
}
