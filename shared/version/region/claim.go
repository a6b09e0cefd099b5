package region

import "tanagerfall/shared/request/cell"

// Claim says whether this process, if it schedules, may take an upstream. The
// home of an upstream is a process of its failure domain. A process takes the
// upstreams whose home follows it, and those of homes that are gone if most of
// the processes follow it. So two schedulers that begin to see each other
// after a partition do not take upstreams from each other before one of them
// has stood down.
func (view *View) Claim(upstream cell.Upstream) cell.Claim {
	home := view.home(upstream)
	if view.followsSelf(home) {
		return cell.ClaimFirm
	}
	if !view.Live(home) && 2*view.followerCount() > 1+len(view.remotes) {
		return cell.ClaimWeak
	}
	return cell.ClaimNone
}

// home returns the address of the process that an upstream goes with.
func (view *View) home(upstream cell.Upstream) string {
	members := view.Members()
	sameDomain := false
	for _, member := range members {
		sameDomain = sameDomain || member.Domain == upstream.Domain
	}
	home := view.self.Address
	best := -1.0
	for _, member := range members {
		if sameDomain && member.Domain != upstream.Domain {
			continue
		}
		if score := RendezvousScore(member, upstream.ID); score > best {
			home = member.Address
			best = score
		}
	}
	return home
}

func (view *View) followsSelf(address string) bool {
	if address == view.self.Address {
		return true
	}
	held, known := view.remotes[address]
	return known && view.live(held) && held.beat.Follows == view.self.Address
}

// followerCount returns the number of live processes that follow this one,
// itself included.
func (view *View) followerCount() int {
	count := 1
	for address := range view.remotes {
		if view.followsSelf(address) {
			count++
		}
	}
	return count
}
