package cell

// Dump is the state of a Cell for operators.
type Dump struct {
	Token     int64          `json:"token"`
	Jobs      int            `json:"jobs"`
	Waiting   int            `json:"waiting-jobs"`
	Counters  Counters       `json:"counters"`
	Upstreams []UpstreamDump `json:"upstreams"`
}

// UpstreamDump is the state of one upstream for operators.
type UpstreamDump struct {
	ID        string  `json:"id"`
	State     string  `json:"state"`
	Leaving   bool    `json:"leaving"`
	Present   bool    `json:"present"`
	Runs      int     `json:"runs"`
	FreeCores int     `json:"free-milli-cores"`
	Speed     float64 `json:"speed"`
	Drag      float64 `json:"drag"`
	Failures  int     `json:"failures"`
	SetAside  bool    `json:"set-aside"`
}

// Dump returns the state.
func (cell *Cell) Dump() Dump {
	dump := Dump{
		Token:    cell.token,
		Jobs:     len(cell.jobs),
		Waiting:  len(cell.waiting),
		Counters: cell.counters,
	}
	for _, at := range cell.order {
		dump.Upstreams = append(dump.Upstreams, UpstreamDump{
			ID:        at.listed.ID,
			State:     at.state.String(),
			Leaving:   at.listed.Leaving,
			Present:   at.present,
			Runs:      len(at.runs),
			FreeCores: at.free.MilliCores,
			Speed:     cell.config.Estimator.Speed(at.listed.ID),
			Drag:      at.drag,
			Failures:  at.failures,
			SetAside:  at.asideUntil.After(cell.now),
		})
	}
	return dump
}

// UpstreamStates counts the upstreams by what the Cell believes of them.
func (cell *Cell) UpstreamStates() map[string]int {
	counts := map[string]int{
		"set-aside": 0,
	}
	for state := upstreamForeign; state <= upstreamSilent; state++ {
		counts[state.String()] = 0
	}
	for _, at := range cell.order {
		counts[at.state.String()]++
		if at.asideUntil.After(cell.now) {
			counts["set-aside"]++
		}
	}
	return counts
}
