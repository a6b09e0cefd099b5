package cell

import (
	"time"

	"tanagerfall/shared/version/routing"
)

// minWarmShare is the share of its full speed at which an upstream is assumed to start.
// The platform does not say it; what is missing shows in the upstream's slowdown.
const minWarmShare = 0.5

// warmUpOf returns how an upstream that is cold warms up, and whether it is cold.
func (cell *Cell) warmUpOf(upstream *upstreamState) (routing.WarmUp, bool) {
	if !upstream.listing.ColdUntil.After(cell.now) || cell.config.WarmUp == nil {
		return routing.WarmUp{}, false
	}
	return cell.config.WarmUp(upstream.listing.Service), true
}

// warmShare returns the share of its full speed that an upstream has. It rises evenly
// until the end of the warm-up.
func (cell *Cell) warmShare(upstream *upstreamState) float64 {
	warmUp, cold := cell.warmUpOf(upstream)
	if !cold {
		return 1
	}
	left := upstream.listing.ColdUntil.Sub(cell.now)
	coldShare := float64(left) / float64(max(warmUp.Duration, left))
	return 1 - (1-minWarmShare)*coldShare
}

// recordColdStart spaces the starts at a cold upstream by the limit of its service.
func (cell *Cell) recordColdStart(run *runState) {
	warmUp, cold := cell.warmUpOf(run.upstream)
	run.cold = cold
	if !cold || warmUp.StartsPerSecond <= 0 {
		return
	}
	// The limit ends with the warm-up.
	left := run.upstream.listing.ColdUntil.Sub(cell.now)
	spacing := min(float64(time.Second)/warmUp.StartsPerSecond, float64(left))
	run.upstream.nextColdStartAt = cell.now.Add(time.Duration(spacing))
}
