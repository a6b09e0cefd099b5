package dispatcher

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

const scheduler = "10.0.0.9:1"

// newFront returns the loop of an entry VM that follows a scheduler.
func newFront(t *testing.T) *loop {
	t.Helper()
	dispatcher := New(Options{
		Self: region.Member{
			Address:     "10.0.0.1:1",
			Incarnation: 1,
		},
		Logger: logevent.New(io.Discard, log.ErrorLevel, "test"),
		Limits: cell.DefaultLimits(),
	})
	front := dispatcher.loop
	front.ctx = context.Background()
	front.now = time.Unix(1_000_000, 0)
	front.leader = scheduler
	return front
}

func (loop *loop) acceptJob() chan cell.Answer {
	answer := make(chan cell.Answer, 1)
	loop.accept(accepted{
		job: cell.Job{
			ID: "j",
			Steps: []cell.Step{{
				Count:    1,
				Estimate: 100 * time.Millisecond,
			}},
			Stretch:  1.6,
			TimeLeft: 2 * time.Second,
		},
		answer: answer,
	})
	return answer
}

// "Not run" must be true: only a job that no scheduler can have taken is told
// so by its entry VM. Found as a job that ran after its caller had been told
// otherwise; the submission had been repeated after a connection broke, and
// counted as not sent.
func TestFrontTellsNotRunOnlyWhereNobodyHadTheJob(t *testing.T) {
	for _, test := range []struct {
		name   string
		events func(front *loop)
		want   cell.Result
	}{
		{"never sent", func(front *loop) {
			delete(front.held, "j")
			front.leader = ""
		}, cell.NotRun},
		{"declined", func(front *loop) { front.declined(scheduler, "j") }, cell.NotRun},
		{"sent", func(*loop) {}, cell.Interrupted},
		{"connection broke, then declined", func(front *loop) {
			front.linked(link.Up{
				Address: scheduler,
			})
			front.declined(scheduler, "j")
		}, cell.Interrupted},
		{"released without a start", func(front *loop) {
			front.released(scheduler, cell.Release{
				ID:         "j",
				NotStarted: true,
			})
		}, cell.NotRun},
		{"released with a start", func(front *loop) {
			front.released(scheduler, cell.Release{
				ID: "j",
			})
		}, cell.Interrupted},
	} {
		t.Run(test.name, func(t *testing.T) {
			front := newFront(t)
			answer := front.acceptJob()
			test.events(front)
			if len(front.held) == 0 {
				answer = front.acceptJob()
			}
			front.leader = ""
			front.now = front.now.Add(2 * time.Second)
			front.tickHeld()
			told := <-answer
			assert.Equal(t, told.Result, test.want)
			assert.Equal(t, told.RetryAfter > 0, test.want == cell.NotRun)
		})
	}
}

// A repeated submission may meet a Cell that has dropped the job and its runs,
// so it must not pass for a new one.
func TestRepeatedSubmissionIsOfALaterGeneration(t *testing.T) {
	front := newFront(t)
	front.acceptJob()
	held := front.held["j"]
	assert.Equal(t, held.job.Generation, 0)
	front.linked(link.Up{
		Address: scheduler,
	})
	assert.Equal(t, held.job.Generation, 1)
	assert.Assert(t, held.safeAt.After(front.now))
}
