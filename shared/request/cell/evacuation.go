package cell

import (
	"slices"
	"time"
)

// DomainsEvacuated is the Event that carries the failure domains whose upstreams get no new
// tasks until the next one.
type DomainsEvacuated struct {
	Domains []string
	// Unserved holds the services that have upstreams in these domains only.
	Unserved []string
	// MayHandOver is set if another cell may take jobs that wait here.
	MayHandOver bool
}

func (DomainsEvacuated) event() {}

// evacuate applies the evacuations. Runs in evacuated domains go on and are adopted as
// elsewhere.
func (cell *Cell) evacuate(event DomainsEvacuated) {
	cell.evacuatedDomains = setOf(event.Domains)
	cell.unservedServices = setOf(event.Unserved)
	cell.mayHandOver = event.MayHandOver
	if len(event.Domains) == 0 || cell.reachedAt == nil {
		cell.reachedAt = make(map[string]time.Time)
	}
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

// recordReach records which services have upstreams of this Cell outside the evacuated
// domains. An upstream that is owned elsewhere serves none of its jobs.
func (cell *Cell) recordReach() {
	if len(cell.evacuatedDomains) == 0 {
		return
	}
	for _, upstream := range cell.upstreamOrder {
		service := upstream.listing.Service
		if _, known := cell.reachedAt[service]; !known || cell.mayHandOver || (upstream.present && !upstream.evacuated && upstream.status != upstreamOwnedElsewhere) {
			cell.reachedAt[service] = cell.now
		}
	}
}

// unserved reports whether no upstream of a service may get tasks of this Cell because of
// evacuations: all upstreams of the region are evacuated, or all that the Cell has while
// no other cell takes its jobs, as when an evacuated domain is cut off.
func (cell *Cell) unserved(service string) bool {
	if cell.unservedServices[service] {
		return true
	}
	reachedAt, known := cell.reachedAt[service]
	if !known || cell.now.Sub(reachedAt) < cell.config.Limits.IsolatedAfter {
		return false
	}
	return slices.ContainsFunc(cell.upstreamOrder, func(upstream *upstreamState) bool {
		return upstream.evacuated && upstream.listing.Service == service && upstream.status == upstreamOpen
	})
}

// refuseUnserved answers a job that waits although its service is unserved, and reports
// whether it did. Nobody can say when that ends. Tasks of jobs that may have started wait
// until their deadline.
func (cell *Cell) refuseUnserved(job *jobState) bool {
	if len(cell.evacuatedDomains) == 0 || job.mayHaveRun() ||
		!cell.unserved(job.submitted.Service) || !cell.mayStartTasks(job) {
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

// handsOver reports whether a job that waits may go to another cell now. A job that no
// upstream here will take goes at once, also if another cell handed it over: that cell
// may be evacuated as well.
func (cell *Cell) handsOver(job *jobState, allEvacuated bool) bool {
	return allEvacuated || (!job.submitted.Spilled && cell.now.Sub(job.submittedAt) >= cell.config.Limits.SurplusAfter)
}
