package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagerfall/shared/request/limit"
)

// TestBackoffStaysWithinItsBound guards against delays that overflow, exceed their
// bound or lack jitter.
func TestBackoffStaysWithinItsBound(t *testing.T) {
	backoff := limit.Backoff{Base: 10 * time.Millisecond, Max: time.Second}
	random := rand.New(rand.NewPCG(1, 1))
	low, high := 0, 0
	for retry := range 200 {
		bound := min(10*time.Millisecond<<min(retry, 10), time.Second)
		delay := backoff.Delay(retry, random)
		if backoff.Bound(retry) != bound || delay < 0 || delay > bound {
			t.Errorf("retry %d has bound %s and delay %s, expected bound %s and a delay within it", retry, backoff.Bound(retry), delay, bound)
		}
		if delay < bound/2 {
			low++
		} else {
			high++
		}
	}
	if low < 60 || high < 60 {
		t.Errorf("%d delays are in the lower half of their bound and %d in the upper half, expected 60 or more in each", low, high)
	}
}

// TestBudgetIsAShareOfTheTraffic guards against a budget that allows more than its
// burst plus its share of the traffic.
func TestBudgetIsAShareOfTheTraffic(t *testing.T) {
	budget := limit.NewBudget(0.1, 5)
	withdrawn := 0
	for range 1000 {
		budget.Deposit()
		for budget.TryWithdraw() {
			withdrawn++
		}
	}
	if withdrawn < 100 || withdrawn > 105 {
		t.Errorf("%d tokens were withdrawn in 1000 units of traffic, expected 100 to 105", withdrawn)
	}
}

// TestAdmissionReturnsCauseAndRetryAfter guards against wrong causes and against a
// RetryAfter outside its bounds.
func TestAdmissionReturnsCauseAndRetryAfter(t *testing.T) {
	admission := limit.Admission{MaxTasks: 10, MinRetryAfter: 50 * time.Millisecond, MaxRetryAfter: 5 * time.Second}
	now := time.Unix(1000, 0)
	tests := []struct {
		name     string
		request  limit.Request
		decision limit.Decision
	}{
		{"fits", limit.Request{Tasks: 4, WaitingTasks: 6, Deadline: now, PredictedEnd: now}, limit.Decision{}},
		{"full", limit.Request{Tasks: 5, WaitingTasks: 6, DrainTime: time.Second}, limit.Decision{Cause: limit.QueueFull, RetryAfter: 500 * time.Millisecond}},
		{"late", limit.Request{Deadline: now, PredictedEnd: now.Add(1)}, limit.Decision{Cause: limit.TooLate, RetryAfter: 50 * time.Millisecond}},
		{"far too late", limit.Request{Deadline: now, PredictedEnd: now.Add(time.Hour)}, limit.Decision{Cause: limit.TooLate, RetryAfter: 5 * time.Second}},
	}
	for _, test := range tests {
		if decision := admission.Decide(test.request); decision != test.decision {
			t.Errorf("%s: the decision is %+v, expected %+v", test.name, decision, test.decision)
		}
	}
}
