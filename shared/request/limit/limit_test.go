package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagerfall/shared/request/limit"
)

// Guards against delays that overflow, pass their bound or lack jitter.
func TestBackoffStaysWithinItsBound(t *testing.T) {
	backoff := limit.Backoff{Base: 10 * time.Millisecond, Max: time.Second}
	random := rand.New(rand.NewPCG(1, 1))
	low, high := 0, 0
	for retry := range 200 {
		bound := min(10*time.Millisecond<<min(retry, 10), time.Second)
		delay := backoff.Delay(retry, random)
		if backoff.Bound(retry) != bound || delay < 0 || delay > bound {
			t.Errorf("retry %d: bound %s, delay %s", retry, backoff.Bound(retry), delay)
		}
		if delay < bound/2 {
			low++
		} else {
			high++
		}
	}
	if low < 60 || high < 60 {
		t.Errorf("%d delays in the lower half, %d in the upper", low, high)
	}
}

// Guards against a budget that gives more than its burst and its share.
func TestBudgetIsAShareOfTheTraffic(t *testing.T) {
	budget := limit.NewBudget(0.1, 5)
	taken := 0
	for range 1000 {
		budget.Deposit()
		for budget.TryWithdraw() {
			taken++
		}
	}
	if taken < 100 || taken > 105 {
		t.Errorf("%d tokens taken in 1000 units, 100 to 105 expected", taken)
	}
}

// Guards against wrong causes and advice outside the bounds.
func TestAdmissionDecides(t *testing.T) {
	admission := limit.Admission{MaxTasks: 10, MinRetryAfter: 50 * time.Millisecond, MaxRetryAfter: 5 * time.Second}
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		request limit.Request
		verdict limit.Decision
	}{
		{"fits", limit.Request{Tasks: 4, WaitingTasks: 6, Deadline: now, PredictedEnd: now}, limit.Decision{}},
		{"full", limit.Request{Tasks: 5, WaitingTasks: 6, DrainTime: time.Second}, limit.Decision{Cause: limit.QueueFull, RetryAfter: 500 * time.Millisecond}},
		{"late", limit.Request{Deadline: now, PredictedEnd: now.Add(1)}, limit.Decision{Cause: limit.TooLate, RetryAfter: 50 * time.Millisecond}},
		{"far too late", limit.Request{Deadline: now, PredictedEnd: now.Add(time.Hour)}, limit.Decision{Cause: limit.TooLate, RetryAfter: 5 * time.Second}},
	}
	for _, test := range tests {
		if verdict := admission.Decide(test.request); verdict != test.verdict {
			t.Errorf("%s: %+v", test.name, verdict)
		}
	}
}
