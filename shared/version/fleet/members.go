package fleet

import (
	"sort"
	"time"

	"tanagerfall/shared/connection/peer"
)

func (view *View) countDomainPeers() int {
	count := 0
	for _, member := range view.members {
		if member.domain == view.self.Domain && (member.live || member.listed) {
			count++
		}
	}
	return count
}

func (view *View) heartbeatPeriod() time.Duration { return view.domainPeriod }

func (view *View) failureTimeout() time.Duration {
	return failureTimeoutPeriods * view.heartbeatPeriod()
}

// isLive reports whether a member counts as live. A listed member that has not
// sent a heartbeat yet counts as live for one failure timeout, so that a
// starting VM does not take all upstreams before its peers report themselves.
func (view *View) isLive(now time.Time, member *member) bool {
	if member.undelivered >= undeliveredUntilDead && now.Sub(member.lastHeartbeatAt) > view.heartbeatPeriod() {
		return false
	}
	if member.domain != view.self.Domain {
		return member.listed || now.Sub(member.lastHeartbeatAt) <= view.failureTimeout()
	}
	if member.lastHeartbeatAt.IsZero() {
		return member.listed && !member.leaving && now.Sub(member.knownSince) <= view.failureTimeout()
	}
	return now.Sub(member.lastHeartbeatAt) <= view.failureTimeout()
}

// updateLiveness returns the VMs of the domain that joined or were lost.
func (view *View) updateLiveness(now time.Time) []Decision {
	view.updatePeriod()
	var decisions []Decision
	for _, member := range view.sortedMembers() {
		live := view.isLive(now, member)
		if live == member.live {
			continue
		}
		member.live = live
		view.linksChosenAt = time.Time{}
		if member.domain != view.self.Domain {
			continue
		}
		view.ownershipDirty = true
		if live {
			decisions = append(decisions, MemberJoined{
				Address:     member.address,
				Incarnation: member.lastHeartbeat.Incarnation,
			})
			continue
		}
		view.memberLostAt = now
		decisions = append(decisions, MemberLost{
			Address:     member.address,
			Incarnation: member.lastHeartbeat.Incarnation,
		})
	}
	return decisions
}

// sortedMembers returns the members sorted by address. The result is valid until
// a member is added or removed.
func (view *View) sortedMembers() []*member {
	if view.membersByAddress == nil {
		view.membersByAddress = make([]*member, 0, len(view.members))
		for _, member := range view.members {
			view.membersByAddress = append(view.membersByAddress, member)
		}
		sort.Slice(view.membersByAddress, func(i, j int) bool { return view.membersByAddress[i].address < view.membersByAddress[j].address })
	}
	return view.membersByAddress
}

// ensureMember returns the member at an address, and adds it if it is new.
func (view *View) ensureMember(now time.Time, address, domain string) *member {
	entryVM, exists := view.members[address]
	if !exists {
		entryVM = &member{
			address:        address,
			domain:         domain,
			knownSince:     now,
			nextExchangeAt: now,
		}
		view.members[address] = entryVM
		view.invalidateMemberOrder()
	}
	return entryVM
}

// recordHeartbeat applies a heartbeat of a peer. A message older than the last
// one applied, of the same or of an earlier incarnation, is ignored.
func (view *View) recordHeartbeat(now time.Time, message peer.HeartbeatMessage) {
	if message.Address == "" || message.Address == view.self.Address {
		return
	}
	member := view.ensureMember(now, message.Address, message.Domain)
	if member.lastHeartbeat.Incarnation == message.Incarnation && !member.lastHeartbeatAt.IsZero() {
		if message.Sequence <= member.lastHeartbeat.Sequence {
			return
		}
	} else if !view.supersedes(now, member, message) {
		return
	} else {
		member.leaving = false
		view.ownershipDirty = true
	}
	if member.lastHeartbeat.Released != message.Released || member.lastHeartbeat.Size != message.Size {
		view.ownershipDirty = true
	}
	member.domain = message.Domain
	member.size = message.Size
	member.leaving = member.leaving || message.Leaving
	member.lastHeartbeatAt = now
	member.undelivered = 0
	member.lastHeartbeat = message
	for _, drain := range message.Drains {
		view.recordReportedDrain(now, drain)
	}
	view.addRedirects(now, message.Redirects)
}

// supersedes reports whether a heartbeat of another incarnation replaces the
// state of its address. A later start supersedes an earlier one. Any incarnation
// supersedes a silent one, because the VM's clock may have been set back.
func (view *View) supersedes(now time.Time, member *member, message peer.HeartbeatMessage) bool {
	return member.lastHeartbeatAt.IsZero() ||
		message.StartedMs > member.lastHeartbeat.StartedMs ||
		now.Sub(member.lastHeartbeatAt) > view.failureTimeout()
}

// recordFailure applies a failed exchange. A VM of another domain is avoided as
// a link peer for a while; an undelivered exchange with a live VM of this domain
// is retried soon.
func (view *View) recordFailure(now time.Time, event HeartbeatFailed) {
	member, exists := view.members[event.Address]
	if !exists {
		return
	}
	member.inFlight = false
	if member.domain != view.self.Domain {
		member.avoidUntil = now.Add(linkAvoidance)
		view.linksChosenAt = time.Time{}
		return
	}
	if event.Undelivered && member.live {
		member.undelivered++
		member.nextExchangeAt = now.Add(undeliveredRetryDelay)
	}
}

func (view *View) isOwner(member *member) bool {
	return member.domain == view.self.Domain && member.live && !member.lastHeartbeat.Released
}

// LendingPeers returns the entry VMs of the failure domain from which slots can
// be borrowed, with the load and spare quotas of their last heartbeats.
func (view *View) LendingPeers() []LendingPeer {
	var peers []LendingPeer
	for _, member := range view.sortedMembers() {
		if !view.isOwner(member) || member.leaving || member.lastHeartbeatAt.IsZero() {
			continue
		}
		peers = append(peers, LendingPeer{
			Address:     member.address,
			Load:        member.lastHeartbeat.Load,
			SpareQuotas: member.lastHeartbeat.SpareQuotas,
		})
	}
	return peers
}

// Successors returns the addresses of the entry VMs of the failure domain that
// can take over this VM's submissions, best first. The order does not change
// while the set of candidates stays the same.
func (view *View) Successors() []string {
	var candidates []string
	for address, member := range view.members {
		if member.domain == view.self.Domain && member.live && !member.leaving && !member.lastHeartbeatAt.IsZero() {
			candidates = append(candidates, address)
		}
	}
	return rankByHash(view.self.Address, candidates)
}

// Members returns the state of all other entry VMs, sorted by address.
func (view *View) Members(now time.Time) []MemberState {
	digest := view.fleetDigest(now)
	states := make([]MemberState, 0, len(view.members))
	for _, member := range view.sortedMembers() {
		lastHeartbeatAgo := int64(-1)
		if !member.lastHeartbeatAt.IsZero() {
			lastHeartbeatAgo = now.Sub(member.lastHeartbeatAt).Milliseconds()
		}
		states = append(states, MemberState{
			Address:            member.address,
			Domain:             member.domain,
			Incarnation:        member.lastHeartbeat.Incarnation,
			Live:               member.live,
			Leaving:            member.leaving,
			Listed:             member.listed,
			LastHeartbeatAgoMs: lastHeartbeatAgo,
			PlanVersion:        member.lastHeartbeat.PlanVersion,
			Agrees:             member.lastHeartbeat.FleetDigest == digest,
			Load:               member.lastHeartbeat.Load,
		})
	}
	return states
}
