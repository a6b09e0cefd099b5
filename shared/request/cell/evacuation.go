package cell

import "slices"

// evacuate applies the evacuations. Runs in evacuated domains go on and are adopted as
// elsewhere.
func (cell *Cell) evacuate(event DomainsEvacuated) {
	cell.evacuatedDomains = setOf(event.Domains)
	cell.unservedServices = setOf(event.Unserved)
	for _, upstream := range cell.upstreamOrder {
		upstream.evacuated = cell.evacuatedDomains[upstream.listing.Domain]
	}
	cell.measureSpeeds()
	cell.placementPending = true
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// serves reports whether the Cell schedules the upstream and its failure domain is not
// evacuated. Only such upstreams count in predictions.
func (upstream *upstreamState) serves() bool {
	return upstream.status == upstreamOpen && !upstream.evacuated
}

// refuseUnserved answers a job that waits although all upstreams of its service are
// evacuated, and reports whether it did. Nobody can say when they are taken back.
// Tasks of jobs that may have started wait until their deadline.
func (cell *Cell) refuseUnserved(job *jobState) bool {
	if !cell.unservedServices[job.submitted.Service] || job.started || job.activeTasks > 0 ||
		!job.submitted.neverStarted() || !cell.mayStartTasks(job) {
		return false
	}
	cell.abandon(job, "evacuated", cell.config.Limits.MaxRetryAfter)
	return true
}

// allEvacuated reports whether all upstreams of the Cell are evacuated.
func (cell *Cell) allEvacuated() bool {
	return len(cell.evacuatedDomains) > 0 &&
		!slices.ContainsFunc(cell.upstreamOrder, func(upstream *upstreamState) bool { return !upstream.evacuated })
}

// mayHandOver reports whether a job that waits may go to another cell now. A job that no
// upstream here will take goes at once, also if another cell handed it over: that cell
// may be evacuated as well.
func (cell *Cell) mayHandOver(job *jobState, allEvacuated bool) bool {
	return allEvacuated || (!job.submitted.Spilled && cell.now.Sub(job.submittedAt) >= cell.config.Limits.SurplusAfter)
}
