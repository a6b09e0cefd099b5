package dispatcher

import (
	"slices"
	"time"

	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/routing"
)

const (
	// keepGoneFor is how long an upstream that left the list may still run
	// what a cut off process started. It exceeds the partitions that the rules
	// are made for.
	keepGoneFor = 15 * time.Second
)

func (loop *loop) adoptRoutes(table *routing.Table, source string) {
	if loop.routes != nil && table.Version <= loop.routes.Version {
		return
	}
	loop.routes = table
	loop.dispatcher.routes.Store(table)
	loop.log(logevent.PlanAdopted, "version", table.Version, "routes", len(table.Routes), "source", source)
}

func (loop *loop) adoptUpstreams(rows []cell.Upstream, age time.Duration) {
	readAt := loop.now.Add(-age)
	if readAt.Before(loop.listedAt) {
		return
	}
	loop.listedAt = readAt
	loop.upstreams = loop.keepGone(rows)
	if loop.relays != nil {
		loop.relays.SetUpstreams(loop.upstreams)
	}
	loop.tell(cell.UpstreamsListed{
		Upstreams: loop.upstreams,
	})
}

// keepGone adds the upstreams that left the list lately.
func (loop *loop) keepGone(rows []cell.Upstream) []cell.Upstream {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		if !row.Removed {
			listed[row.ID] = true
			delete(loop.goneAt, row.ID)
		}
	}
	kept := slices.DeleteFunc(slices.Clone(rows), func(row cell.Upstream) bool { return row.Removed })
	for _, row := range loop.upstreams {
		if listed[row.ID] {
			continue
		}
		if !row.Removed {
			loop.goneAt[row.ID] = loop.now
			row.Removed = true
		}
		if loop.now.Sub(loop.goneAt[row.ID]) > keepGoneFor {
			delete(loop.goneAt, row.ID)
			continue
		}
		kept = append(kept, row)
	}
	return kept
}

func (loop *loop) listAge() time.Duration {
	if loop.listedAt.IsZero() {
		return time.Hour
	}
	return loop.now.Sub(loop.listedAt)
}
