package region

import "tanagerfall/shared/request/cell"

// Claim returns the claim of this process on an upstream, for the case that it
// schedules. The claim is firm if the home of the upstream is this process or
// follows it. It is weak if the home is not live and most of the known
// processes follow this one; those that are absent don't count. Two schedulers that reach each other again after a
// partition therefore don't take upstreams from each other before one of them
// has stepped down.
func (view *View) Claim(upstream cell.Upstream) cell.Claim {
	home := view.home(upstream)
	if view.isFollower(home) {
		return cell.ClaimFirm
	}
	if !view.Live(home) && 2*view.followerCount() > 1+view.presentPeerCount() {
		return cell.ClaimWeak
	}
	return cell.ClaimNone
}

// home returns the address of the process with the highest rendezvous score for
// an upstream. Processes of other failure domains count only if the domain of
// the upstream has none.
func (view *View) home(upstream cell.Upstream) string {
	if home, cached := view.homes[upstream.ID]; cached {
		return home
	}
	home := view.chooseHome(upstream)
	view.homes[upstream.ID] = home
	return home
}

// chooseHome computes the result of home.
func (view *View) chooseHome(upstream cell.Upstream) string {
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

// isFollower reports whether the process at an address is this one, or is live
// and follows this one.
func (view *View) isFollower(address string) bool {
	if address == view.self.Address {
		return true
	}
	peer, ok := view.peers[address]
	return ok && view.live(peer) && view.inCell(peer.heartbeat.Member) && peer.heartbeat.Follows == view.self.Address
}

// followerCount returns the number of live processes that follow this one and count for
// its majority, itself included.
func (view *View) followerCount() int {
	count := 1
	for address, peer := range view.peers {
		if view.isFollower(address) && view.votesHere(peer) {
			count++
		}
	}
	return count
}
