package dispatcher

import (
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/estimate"
)

// estimatesInterval is the time between two digests of what a scheduler has learned.
const estimatesInterval = 5 * time.Second

// sendDueEstimates sends what this scheduler has learned of kinds and upstreams to the
// processes that may schedule next.
func (loop *loop) sendDueEstimates() {
	if loop.cell == nil || loop.now.Sub(loop.estimatesSentAt) < estimatesInterval {
		return
	}
	loop.estimatesSentAt = loop.now
	digest := loop.estimator.Digest(loop.knownIncarnations())
	for _, address := range loop.view.Successors(standbys) {
		loop.send(address, link.Message{
			Estimates: &digest,
		})
	}
}

// adoptEstimates adopts what the scheduler has learned. The digest of a process that
// this one does not follow is ignored: it was paused or cut off, and others have learned
// since.
func (loop *loop) adoptEstimates(from string, digest estimate.Digest, delay time.Duration) {
	if loop.cell != nil || from != loop.leader {
		return
	}
	if !loop.estimator.Adopt(digest, delay, loop.knownIncarnations()) {
		loop.log(logevent.EstimatesIgnored, "member", from, "format", digest.Format)
		return
	}
	loop.estimatesAdoptedAt = loop.now
}

// ageEstimates ages what this process learned from the scheduler before it.
func (loop *loop) ageEstimates() {
	if loop.estimatesAdoptedAt.IsZero() {
		return
	}
	age := loop.now.Sub(loop.estimatesAdoptedAt)
	loop.estimator.Age(age)
	loop.log(logevent.EstimatesInherited, "age", age)
	loop.estimatesAdoptedAt = time.Time{}
}

// knownIncarnations returns the incarnations of the listed upstreams by ID.
func (loop *loop) knownIncarnations() map[string]int64 {
	incarnations := make(map[string]int64, len(loop.upstreams))
	for _, upstream := range loop.upstreams {
		incarnations[upstream.ID] = upstream.Incarnation
	}
	return incarnations
}
