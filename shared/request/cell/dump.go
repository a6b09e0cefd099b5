package cell

// Dump is the state of a Cell for operators. Token is the fencing token of the next
// order, Jobs the number of jobs, and WaitingJobs that of the jobs with waiting tasks.
type Dump struct {
	Token       int64    `json:"token"`
	Jobs        int      `json:"jobs"`
	WaitingJobs int      `json:"waiting-jobs"`
	Counters    Counters `json:"counters"`
	// Loads holds the load by service.
	Loads     map[string]ServiceLoad `json:"loads"`
	Upstreams []UpstreamDump         `json:"upstreams"`
}

// UpstreamDump is the state of one upstream for operators. State is foreign, looking,
// open or silent, as explained at UpstreamStates. Leaving is set while the upstream
// drains, Evacuated while its failure domain is evacuated, and Present while it is on
// the platform's list. ColdMs is the time until its full speed. FreeMilliCores is in
// thousandths of a core. Speed is the estimated speed relative to the reference speed
// 1, Slowdown the recent ratio of actual to expected run times, and Failures the number
// of consecutive failed runs.
type UpstreamDump struct {
	ID             string  `json:"id"`
	State          string  `json:"state"`
	Leaving        bool    `json:"leaving"`
	Evacuated      bool    `json:"evacuated,omitempty"`
	ColdMs         int64   `json:"cold-ms,omitempty"`
	Present        bool    `json:"present"`
	Runs           int     `json:"runs"`
	FreeMilliCores int     `json:"free-milli-cores"`
	Speed          float64 `json:"speed"`
	Slowdown       float64 `json:"drag"`
	Failures       int     `json:"failures"`
	Ejected        bool    `json:"set-aside"`
}

// ServiceLoad describes the last decision about the waiting jobs of a service. Load is the
// work that has to be done before the deadlines relative to the capacity until then,
// Waiting the number of jobs, and Deferred that of the jobs that are predicted to miss
// their objective. Packing is the share of the cores that tasks can use.
type ServiceLoad struct {
	Load       float64 `json:"load"`
	Overloaded bool    `json:"overloaded"`
	Waiting    int     `json:"waiting"`
	Deferred   int     `json:"deferred"`
	Packing    float64 `json:"packing"`
}

// Loads returns the loads of the services with jobs.
func (cell *Cell) Loads() map[string]ServiceLoad {
	loads := make(map[string]ServiceLoad)
	for _, plan := range cell.planOrder {
		loads[plan.service] = plan.describe()
	}
	return loads
}

func (plan *servicePlan) describe() ServiceLoad {
	return ServiceLoad{
		Load:       plan.load,
		Overloaded: plan.overloaded,
		Waiting:    len(plan.jobs),
		Deferred:   plan.deferred,
		Packing:    plan.packing,
	}
}

// Dump returns the state for operators.
func (cell *Cell) Dump() Dump {
	dump := Dump{
		Token:       cell.token,
		Jobs:        len(cell.jobs),
		WaitingJobs: len(cell.waitingJobs),
		Counters:    cell.counters,
		Loads:       cell.Loads(),
	}
	for _, upstream := range cell.upstreamOrder {
		dump.Upstreams = append(dump.Upstreams, UpstreamDump{
			ID:             upstream.listing.ID,
			State:          upstream.status.String(),
			Leaving:        upstream.listing.Leaving,
			Evacuated:      upstream.evacuated,
			ColdMs:         max(upstream.listing.ColdUntil.Sub(cell.now), 0).Milliseconds(),
			Present:        upstream.present,
			Runs:           len(upstream.runs),
			FreeMilliCores: upstream.free.MilliCores,
			Speed:          cell.config.Estimator.Speed(upstream.listing.ID),
			Slowdown:       upstream.slowdown,
			Failures:       upstream.consecutiveFailures,
			Ejected:        upstream.ejectedUntil.After(cell.now),
		})
	}
	return dump
}

// UpstreamStates counts the upstreams by status. The keys are foreign (owned
// elsewhere), looking (not verified), open, silent and set-aside. An ejected
// upstream is counted under set-aside as well as under its status.
func (cell *Cell) UpstreamStates() map[string]int {
	counts := map[string]int{
		"set-aside": 0,
	}
	for state := upstreamOwnedElsewhere; state <= upstreamSilent; state++ {
		counts[state.String()] = 0
	}
	for _, upstream := range cell.upstreamOrder {
		counts[upstream.status.String()]++
		if upstream.ejectedUntil.After(cell.now) {
			counts["set-aside"]++
		}
	}
	return counts
}
