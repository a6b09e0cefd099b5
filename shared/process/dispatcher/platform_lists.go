package dispatcher

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/routing"
)

const (
	// removedRetention is how long an upstream that left the list is kept as
	// removed, because it may still run what a partitioned process started. It
	// exceeds the longest partitions that the scheduling rules are designed for.
	removedRetention = 15 * time.Second
)

// adoptRoutes puts a routing table in force if it is newer than the present one.
// The source, for the log, is the platform or the address of a peer.
func (loop *loop) adoptRoutes(table *routing.Table, source string) {
	if loop.routes != nil && table.Version <= loop.routes.Version {
		return
	}
	loop.routes = table
	loop.dispatcher.routes.Store(table)
	loop.log(logevent.PlanAdopted, "version", table.Version, "routes", len(table.Routes), "source", source)
}

// adoptUpstreams puts a list of upstreams of the given age in force, unless a
// newer one is.
func (loop *loop) adoptUpstreams(upstreams []cell.Upstream, age time.Duration) {
	readAt := loop.now.Add(-age)
	if readAt.Before(loop.listReadAt) {
		return
	}
	loop.listReadAt = readAt
	loop.endListWait()
	loop.upstreams = loop.markLeaving(loop.retainRemoved(setColdUntil(readAt, upstreams)))
	loop.passUpstreams()
}

// setColdUntil sets the time at which each upstream of a list has its full speed.
func setColdUntil(readAt time.Time, upstreams []cell.Upstream) []cell.Upstream {
	for i := range upstreams {
		if upstream := &upstreams[i]; upstream.ColdFor > 0 {
			upstream.ColdUntil = readAt.Add(upstream.ColdFor)
		}
	}
	return upstreams
}

// updateKnownUpstreams updates the set of upstreams that heartbeats report, and delays the
// use of new members. An entry VM that stops hearing this process leaves it after one
// liveness timeout and names the set of the last heartbeat to the next scheduler. This
// process may start its jobs for one more timeout, until it withdraws them.
func (loop *loop) updateKnownUpstreams() {
	cellUpstreams := loop.view.Upstreams(loop.upstreams)
	if loop.knownUpstreams.anyLeftCell(loop.upstreams, cellUpstreams) {
		loop.knownUpstreams.leaveCell()
	}
	loop.knownUpstreams.update(loop.now, cellUpstreams, loop.removedAt)
	announcementTime := 2 * (loop.view.LivenessTimeout() + tickInterval)
	for i := range loop.upstreams {
		upstream := &loop.upstreams[i]
		if joined := loop.knownUpstreams.joinedAt[upstream.ID]; !joined.IsZero() {
			upstream.UsableAt = joined.Add(announcementTime)
		}
	}
}

// passUpstreams passes the upstreams of this process's cell to the Cell and the
// relays, if this process schedules.
func (loop *loop) passUpstreams() {
	loop.updateKnownUpstreams()
	if loop.cell == nil {
		return
	}
	if len(loop.evacuations.Domains()) > 0 {
		loop.passEvacuations()
	}
	cellUpstreams := loop.view.Upstreams(loop.upstreams)
	loop.relays.SetUpstreams(cellUpstreams)
	loop.notifyCell(cell.UpstreamsListed{
		Upstreams: cellUpstreams,
		Outdated:  loop.listWait.active,
	})
}

// retainRemoved returns the list with the upstreams that recently left it, marked
// as removed.
func (loop *loop) retainRemoved(upstreams []cell.Upstream) []cell.Upstream {
	listed := make(map[string]bool, len(upstreams))
	for _, upstream := range upstreams {
		if !upstream.Removed {
			listed[upstream.ID] = true
			delete(loop.removedAt, upstream.ID)
		}
	}
	retained := slices.DeleteFunc(slices.Clone(upstreams), func(upstream cell.Upstream) bool { return upstream.Removed })
	for _, upstream := range loop.upstreams {
		if listed[upstream.ID] {
			continue
		}
		if !upstream.Removed {
			loop.removedAt[upstream.ID] = loop.now
			upstream.Removed = true
		}
		if loop.now.Sub(loop.removedAt[upstream.ID]) > removedRetention {
			delete(loop.removedAt, upstream.ID)
			continue
		}
		retained = append(retained, upstream)
	}
	return retained
}

// markLeaving marks the upstreams that have begun to leave according to an earlier
// list or a peer, and remembers those of this list.
func (loop *loop) markLeaving(upstreams []cell.Upstream) []cell.Upstream {
	listed := make(map[string]int64, len(loop.leavingIncarnations))
	for i := range upstreams {
		upstream := &upstreams[i]
		if leaving, known := loop.leavingIncarnations[upstream.ID]; known && leaving >= upstream.Incarnation {
			upstream.Leaving = true
			listed[upstream.ID] = leaving
		} else if upstream.Leaving {
			listed[upstream.ID] = upstream.Incarnation
		}
	}
	loop.leavingIncarnations = listed
	return upstreams
}

// recordLeaving records what a peer reports on upstreams that have begun to leave.
func (loop *loop) recordLeaving(incarnations map[string]int64) {
	for id, incarnation := range incarnations {
		if incarnation > 0 {
			loop.leavingIncarnations[id] = max(loop.leavingIncarnations[id], incarnation)
		}
	}
	if loop.listReadAt.IsZero() {
		return
	}
	// An upstream that the peer knows and the list does not have yet is kept until
	// the next list.
	for i := range loop.upstreams {
		upstream := &loop.upstreams[i]
		if leaving, known := loop.leavingIncarnations[upstream.ID]; known && leaving >= upstream.Incarnation {
			upstream.Leaving = true
		}
	}
	loop.passUpstreams()
}

// leavingUpstreams returns the upstreams that have begun to leave.
func (loop *loop) leavingUpstreams() link.LeavingUpstreams {
	leaving := link.LeavingUpstreams{
		Incarnations: make(map[string]int64),
	}
	for id, incarnation := range loop.leavingIncarnations {
		if incarnation > 0 {
			leaving.Incarnations[id] = incarnation
		}
	}
	return leaving
}

// listAge returns the age of the list of upstreams, or an hour if there is none.
func (loop *loop) listAge() time.Duration {
	if loop.listReadAt.IsZero() {
		return time.Hour
	}
	return loop.now.Sub(loop.listReadAt)
}
