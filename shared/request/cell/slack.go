package cell

import "time"

// kindSlack is the average time that the latency objective leaves a kind of job
// beside its run on the fastest upstream.
type kindSlack struct {
	slack      time.Duration
	observedAt time.Time
}

// slackMemory is how long the slack of a kind counts after its last job.
const slackMemory = 5 * time.Second

// slackGain is the weight of one job in the average slack of its kind.
const slackGain = 0.1

// recordSlack updates the average slack of a kind.
func (cell *Cell) recordSlack(kind string, slack time.Duration) {
	observed, known := cell.slacks[kind]
	if known {
		slack = observed.slack + time.Duration(slackGain*float64(slack-observed.slack))
	}
	cell.slacks[kind] = kindSlack{
		slack:      slack,
		observedAt: cell.now,
	}
}

// TightestSlack returns the smallest average slack of the kinds of which jobs arrived lately;
// 0 if there were none.
func (cell *Cell) TightestSlack() time.Duration {
	tightest := time.Duration(0)
	for kind, observed := range cell.slacks {
		if cell.now.Sub(observed.observedAt) > slackMemory {
			delete(cell.slacks, kind)
			continue
		}
		if tightest == 0 || observed.slack < tightest {
			tightest = max(observed.slack, time.Millisecond)
		}
	}
	return tightest
}
