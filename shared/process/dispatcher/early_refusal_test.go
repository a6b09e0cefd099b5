package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/admission"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

// Load: an overload that the scheduler has reported. Guards against refusals by a report
// that is old, of a job that the scheduler would take, or of one that may have run before;
// and against a hop to a scheduler that is sure to refuse.
func TestEarlyRefusalFollowsTheScheduler(t *testing.T) {
	for _, test := range []struct {
		name    string
		age     time.Duration
		excess  time.Duration
		change  func(job *cell.Job)
		refused bool
	}{
		{"fresh", 100 * time.Millisecond, 2 * time.Second, func(*cell.Job) {}, true},
		{"short excess", 100 * time.Millisecond, 200 * time.Millisecond, func(*cell.Job) {}, false},
		{"old", 1100 * time.Millisecond, 2 * time.Second, func(*cell.Job) {}, false},
		{"cheap job", 100 * time.Millisecond, 2 * time.Second, func(job *cell.Job) { job.Steps[0].Count = 1 }, false},
		{"other kind", 100 * time.Millisecond, 2 * time.Second, func(job *cell.Job) { job.Kind = "other" }, false},
		{"other service", 100 * time.Millisecond, 2 * time.Second, func(job *cell.Job) { job.Service = "other" }, false},
		{"sent again", 100 * time.Millisecond, 2 * time.Second, func(job *cell.Job) { job.ResentAfter = time.Second }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop := newEntryVMLoop(t)
			loop.view.Advance(loop.now, 0)
			loop.view.HandleHeartbeat(region.Heartbeat{
				Member: region.Member{
					Address:     schedulerAddress,
					Incarnation: 1,
				},
				Admission: map[string]cell.AdmissionState{
					"orders": {
						Digest: admission.Digest{
							Load:          2,
							Threshold:     1.2,
							MinRetryAfter: time.Second,
							MaxRetryAfter: 5 * time.Second,
							DomainFactor:  1,
							Full:          true,
							Excess:        test.excess,
							Kinds: []admission.KindDigest{{
								Kind:   "quote",
								Mean:   1,
								Large:  10,
								Served: 0.6,
								Factor: 1,
							}},
						},
						Ratios: map[string]float64{
							"quote": 1,
						},
					},
				},
			}, 0)
			loop.now = loop.now.Add(test.age)
			loop.view.Advance(loop.now, 0)
			job := cell.Job{
				ID:      "j",
				Kind:    "quote",
				Service: "orders",
				Steps: []cell.Step{{
					Count: 4,
					Need: cell.Resources{
						MilliCores: 5_000,
					},
					Estimate: 100 * time.Millisecond,
				}},
				Stretch:  1.6,
				TimeLeft: 2 * time.Second,
			}
			test.change(&job)
			asked := loop.explain(job).Admission
			assert.Equal(t, asked.Refused, test.refused, "the explanation agrees")
			answer := make(chan cell.Answer, 1)
			loop.acceptCallerJob(jobAccepted{
				job:    job,
				answer: answer,
			})
			assert.Equal(t, len(loop.heldJobs), map[bool]int{true: 0, false: 1}[test.refused])
			if !test.refused {
				return
			}
			refusal := <-answer
			assert.Equal(t, refusal.Result, cell.NotRun)
			assert.Assert(t, refusal.RetryAfter >= time.Second)
			assert.Equal(t, refusal.RetryAfter.Milliseconds(), asked.RetryAfterMs)
		})
	}
}

// Load: a scheduler that can't start all that arrives. Guards against a share of shed jobs
// that differs from the requested share.
func TestShedShareIsThatOfTheScheduler(t *testing.T) {
	for _, share := range []float64{0, 0.3} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			loop := newEntryVMLoop(t)
			loop.view.Advance(loop.now, 0)
			loop.view.HandleHeartbeat(region.Heartbeat{
				Member: region.Member{
					Address:     schedulerAddress,
					Incarnation: 1,
				},
				ShedShare: share,
			}, 0)
			const jobs = 10_000
			for number := range jobs {
				loop.now = loop.now.Add(time.Millisecond)
				loop.acceptCallerJob(jobAccepted{
					job: cell.Job{
						ID:      fmt.Sprintf("%016x", number),
						Service: "orders",
						Steps: []cell.Step{{
							Count: 1,
							Need: cell.Resources{
								MilliCores: 1_000,
							},
							Estimate: 100 * time.Millisecond,
						}},
						Stretch:  1.6,
						TimeLeft: 2 * time.Second,
					},
					answer: make(chan cell.Answer, 1),
				})
			}
			shed := float64(jobs - len(loop.heldJobs))
			assert.Assert(t, shed >= (share-0.02)*jobs && shed <= (share+0.02)*jobs && (share > 0 || shed == 0), "%v of %d", shed, jobs)
		})
	}
}
