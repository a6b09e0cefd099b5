package dispatcher

import (
	"slices"
	"time"

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
	loop.upstreams = loop.retainRemoved(upstreams)
	loop.passUpstreams()
}

// passUpstreams passes the upstreams of this process's cell to the Cell and the
// relays, if this process schedules.
func (loop *loop) passUpstreams() {
	if loop.cell == nil {
		return
	}
	cellUpstreams := loop.view.Upstreams(loop.upstreams)
	loop.relays.SetUpstreams(cellUpstreams)
	loop.notifyCell(cell.UpstreamsListed{
		Upstreams: cellUpstreams,
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

// listAge returns the age of the list of upstreams, or an hour if there is none.
func (loop *loop) listAge() time.Duration {
	if loop.listReadAt.IsZero() {
		return time.Hour
	}
	return loop.now.Sub(loop.listReadAt)
}
