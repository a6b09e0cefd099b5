package placement

// debtQuantumMs is the work, in milliseconds of the whole capacity at weight
// 1, by which a team may be ahead of the others before they go first. Within
// it the jobs of all teams are ordered as if they were of one team. At 500, 20
// teams of equal weight had a p99 of 4.3 instead of 1.9 at 95% load.
const debtQuantumMs = 4000

// team is the share of one team in the fair queue.
type team struct {
	weight float64
	cap    int
	used   int
	// waiting is the number of waiting tasks.
	waiting int
	// servedMs is the work started, over the weight. It is raised to the
	// least of the waiting teams when the team gets its first waiting task, so
	// that idle time earns no credit.
	servedMs float64
	// parked holds the groups that were found while the team was at its cap.
	parked groupHeap
}

func (team *team) atCap() bool {
	return team.cap != 0 && team.used >= team.cap
}

func debtOf(team *team) int64 {
	return int64(team.servedMs / debtQuantumMs)
}
