package placement

// Policy decides the order of waiting tasks and the choice of the upstream for
// each of them.
type Policy interface{ policy() }

// The placement policies. All but Target are baselines for measurements.
type (
	// Target gives each job a target response time of Theta times its ideal
	// response time, uses slow slots for tasks that meet the target there and
	// keeps fast slots for tasks that need them. A Theta below 1 stands for the
	// default of 1.3.
	Target struct {
		Theta float64
	}
	// Greedy places the longest task of the job with the least remaining work
	// on the fastest idle slot.
	Greedy struct{}
	// Random places tasks in order of arrival on a random idle slot.
	Random struct{}
	// RoundRobin places tasks in order of arrival on the upstreams in turn.
	RoundRobin struct{}
	// LeastLoaded places tasks in order of arrival on the upstream with the
	// lowest occupancy in a view that is refreshed every ViewAgeMs
	// milliseconds.
	LeastLoaded struct {
		ViewAgeMs int64
	}
	// TwoChoices places tasks in order of arrival on the less occupied of two
	// random upstreams.
	TwoChoices struct{}
)

func (Target) policy()      {}
func (Greedy) policy()      {}
func (Random) policy()      {}
func (RoundRobin) policy()  {}
func (LeastLoaded) policy() {}
func (TwoChoices) policy()  {}
