package region

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tanagerfall/soak/check"
)

// caller submits one job. As the platform's callers do, it submits the job again with the rest
// of its time after a lost connection, and as a new request after a refusal.
type caller struct {
	region *region
	id     string
	tasks  int
	// route is the path prefix of the route, and body the body of the request.
	route  string
	body   string
	random *rand.Rand
	// timeBudget is the time for which the caller waits for the answer to a request that
	// was not refused. leaveAfter, if it is not 0, is the time after which the caller closes
	// the connection.
	timeBudget time.Duration
	leaveAfter time.Duration
	// afterRecovery means that the job is submitted after recoveryTime and must
	// complete, without a refusal.
	afterRecovery bool
	// lastAttempt describes the last request and its answer.
	lastAttempt string
}

const (
	// defaultRoute is the path prefix of the route that most jobs use.
	defaultRoute = "/q/"
	// callerTimeout is the time for which a caller waits for the answer.
	callerTimeout = 4 * time.Second
	// resendDelay is the time after which a caller sends a job again whose
	// connection broke.
	resendDelay = 1300 * time.Millisecond
	// maxRequests is the largest number of requests after which a caller whose job is refused
	// gives up.
	maxRequests = 4
	// minRetryDelay is the shortest time after which a caller sends a refused job again.
	minRetryDelay = 20 * time.Millisecond
	// taskMilliCores is the processor capacity that a task takes: two run on a worker.
	taskMilliCores = 7000
	// defaultEstimateMs is the run time that callers declare in a soak without cuts.
	defaultEstimateMs = 200
)

// answer is the response to an attempt. The status is 0 if there was none.
type answer struct {
	status     int
	body       string
	retryAfter time.Duration
}

// isRefusal reports whether the job was not accepted and never runs.
func (answer answer) isRefusal() bool {
	return answer.status == http.StatusServiceUnavailable || answer.status == http.StatusTooManyRequests ||
		answer.status == http.StatusNotFound
}

// submit sends the job until there is an answer, the time is up or it was refused too often,
// and records the outcome.
func (caller *caller) submit() {
	defer caller.region.checker.RecordLastAttempt(caller.id)
	start := time.Now()
	process := caller.randomProcess()
	patience := 1 + caller.random.IntN(maxRequests)
	for requests := 1; ; {
		timeLeft := caller.timeBudget - time.Since(start)
		if timeLeft <= 0 {
			caller.finish("no answer")
			return
		}
		answer := caller.attempt(process, timeLeft)
		switch {
		case answer.status == 0 && caller.leaveAfter > 0:
			caller.finish("left")
			return
		case answer.status == http.StatusOK && strings.Contains(answer.body, "completed"):
			caller.region.checker.RecordShownCompleted(caller.id, time.Now())
			caller.region.checker.RecordCompleted(caller.id, caller.tasks)
			return
		case answer.status == http.StatusOK:
			caller.finish("failed")
			return
		case answer.isRefusal():
			if caller.afterRecovery || requests == patience {
				caller.finish("refused")
				return
			}
			requests++
			time.Sleep(caller.retryDelay(answer.retryAfter))
			start = time.Now()
			if caller.random.IntN(2) == 0 {
				process = caller.randomProcess()
			}
		default:
			time.Sleep(resendDelay)
			process = caller.randomProcess()
		}
	}
}

// randomProcess returns one of the processes; in a soak with bursts more often one that is
// paused, so that it finds many requests when it continues.
func (caller *caller) randomProcess() *process {
	processes := caller.region.processes
	if caller.region.options.overloads() && caller.random.Float64() < pausedShare {
		if paused := caller.region.pausedProcesses(); len(paused) > 0 {
			processes = paused
		}
	}
	return processes[caller.random.IntN(len(processes))]
}

// retryDelay returns the time after which a refused job is sent again: the one that the answer
// names, or less.
func (caller *caller) retryDelay(retryAfter time.Duration) time.Duration {
	if retryAfter == 0 {
		retryAfter = time.Second
	}
	if caller.random.IntN(2) == 0 {
		return retryAfter
	}
	return minRetryDelay + time.Duration(caller.random.Int64N(int64(retryAfter)))
}

// attempt sends the job to a process, and records and returns the answer.
func (caller *caller) attempt(process *process, timeLeft time.Duration) answer {
	caller.region.checker.RecordSent(caller.id)
	sentAt := time.Now()
	answer := caller.request(process, timeLeft)
	caller.lastAttempt = fmt.Sprintf("%s at %s: %d %s", process.name, sentAt.Format(time.RFC3339Nano), answer.status, answer.body)
	caller.region.checker.RecordAttempt(check.Attempt{
		Job:      caller.id,
		Process:  process.name,
		SentAt:   sentAt,
		EndedAt:  time.Now(),
		Rejected: answer.isRefusal(),
	})
	return answer
}

// request sends the job to a process and returns the answer.
func (caller *caller) request(process *process, timeLeft time.Duration) answer {
	timeout := timeLeft
	if caller.leaveAfter > 0 {
		timeout = min(timeout, caller.leaveAfter)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address(process.ip, callerPort)+caller.route+caller.id, strings.NewReader(caller.body))
	if err != nil {
		return answer{}
	}
	request.Host = "h.example"
	client, closeAfter := caller.region.callerClient()
	request.Close = closeAfter
	// A value below the route's timeout would mark a first request as one sent again.
	request.Header.Set("Deadline-Ms", fmt.Sprint(int64(math.Ceil(timeLeft.Seconds()*1000))))
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	retryAfter, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return answer{
		status:     response.StatusCode,
		body:       string(data),
		retryAfter: time.Duration(retryAfter) * time.Second,
	}
}

// finish counts a job that didn't complete. After the recovery time it is a
// violation.
func (caller *caller) finish(outcome string) {
	caller.region.checker.Count(outcome)
	if caller.afterRecovery {
		caller.region.checker.AddViolation(fmt.Sprintf("job %s: %s after the recovery time; %s", caller.id, outcome, caller.lastAttempt))
	}
}
