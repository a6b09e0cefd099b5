package placement

// Policy is a placement rule.
type Policy interface{ policy() }

// The policies. All but Target are baselines for measurements.
type (
	// Target gives each job a finish target of Theta times its ideal and
	// saves fast slots for the tasks that need them. A Theta below 1 stands
	// for the default of 1.3.
	Target struct {
		Theta float64
	}
	// Greedy takes the longest task of the job with the least work left and
	// the fastest idle slot.
	Greedy struct{}
	// Random takes tasks in order of arrival and any idle slot.
	Random struct{}
	// RoundRobin takes tasks in order of arrival and upstreams in turn.
	RoundRobin struct{}
	// LeastLoaded takes tasks in order of arrival and the upstream with the
	// lowest occupancy in a view that is refreshed every ViewAgeMs.
	LeastLoaded struct {
		ViewAgeMs int64
	}
	// TwoChoices takes tasks in order of arrival and the less occupied of two
	// random upstreams.
	TwoChoices struct{}
)

func (Target) policy()      {}
func (Greedy) policy()      {}
func (Random) policy()      {}
func (RoundRobin) policy()  {}
func (LeastLoaded) policy() {}
func (TwoChoices) policy()  {}
