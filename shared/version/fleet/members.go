package fleet

import (
	"sort"
	"time"

	"tanagerfall/shared/connection/peer"
)

func (view *View) peersOfDomain() int {
	count := 0
	for _, member := range view.members {
		if member.domain == view.self.Domain && (member.live || member.listed) {
			count++
		}
	}
	return count
}

func (view *View) period() time.Duration { return view.interval }

func (view *View) failAfter() time.Duration {
	return failPeriods * view.period()
}

// isLive says whether a member counts as live. A member that was never heard
// counts for a while if the list names it, so that a VM that starts does not
// take everything before its peers had the time to tell of themselves.
func (view *View) isLive(now time.Time, member *member) bool {
	if member.refusals >= refusalsUntilDead && now.Sub(member.heardAt) > view.period() {
		return false
	}
	if member.domain != view.self.Domain {
		return member.listed || now.Sub(member.heardAt) <= view.failAfter()
	}
	if member.heardAt.IsZero() {
		return member.listed && !member.leaving && now.Sub(member.seenAt) <= view.failAfter()
	}
	return now.Sub(member.heardAt) <= view.failAfter()
}

func (view *View) updateLive(now time.Time) []Decision {
	view.updatePeriod()
	var decisions []Decision
	for _, member := range view.sortedMembers() {
		live := view.isLive(now, member)
		if live == member.live {
			continue
		}
		member.live = live
		view.linksAt = time.Time{}
		if member.domain != view.self.Domain {
			continue
		}
		view.dirty = true
		if live {
			decisions = append(decisions, MemberJoined{
				Address:     member.address,
				Incarnation: member.last.Incarnation,
			})
			continue
		}
		view.lostAt = now
		decisions = append(decisions, MemberLost{
			Address:     member.address,
			Incarnation: member.last.Incarnation,
		})
	}
	return decisions
}

// sortedMembers returns the members by address. The result is valid until the
// next change of members.
func (view *View) sortedMembers() []*member {
	if view.order == nil {
		view.order = make([]*member, 0, len(view.members))
		for _, member := range view.members {
			view.order = append(view.order, member)
		}
		sort.Slice(view.order, func(i, j int) bool { return view.order[i].address < view.order[j].address })
	}
	return view.order
}

func (view *View) member(now time.Time, address, domain string) *member {
	held, known := view.members[address]
	if !known {
		held = &member{
			address: address,
			domain:  domain,
			seenAt:  now,
			nextAt:  now,
		}
		view.members[address] = held
		view.membersChanged()
	}
	return held
}

// hear takes a heartbeat of a peer. A message that is older than one already
// taken, of the same or of an earlier incarnation, is ignored.
func (view *View) hear(now time.Time, message peer.HeartbeatMessage) {
	if message.Address == "" || message.Address == view.self.Address {
		return
	}
	member := view.member(now, message.Address, message.Domain)
	if member.last.Incarnation == message.Incarnation && !member.heardAt.IsZero() {
		if message.Sequence <= member.last.Sequence {
			return
		}
	} else if !view.succeeds(now, member, message) {
		return
	} else {
		member.leaving = false
		view.dirty = true
	}
	if member.last.Released != message.Released || member.last.Size != message.Size {
		view.dirty = true
	}
	member.domain = message.Domain
	member.size = message.Size
	member.leaving = member.leaving || message.Leaving
	member.heardAt = now
	member.refusals = 0
	member.last = message
	for _, drain := range message.Drains {
		view.drainTold(now, drain)
	}
	view.learnRedirects(now, message.Redirects)
}

// succeeds says whether a message of another incarnation replaces what is
// known of its address. A VM's clock may have been set back, so any
// incarnation replaces one that went silent.
func (view *View) succeeds(now time.Time, member *member, message peer.HeartbeatMessage) bool {
	return member.heardAt.IsZero() ||
		message.StartedMs > member.last.StartedMs ||
		now.Sub(member.heardAt) > view.failAfter()
}

func (view *View) failed(now time.Time, event HeartbeatFailed) {
	member, known := view.members[event.Address]
	if !known {
		return
	}
	member.inFlight = false
	if member.domain != view.self.Domain {
		member.avoidUntil = now.Add(avoidLink)
		view.linksAt = time.Time{}
		return
	}
	if event.Refused && member.live {
		member.refusals++
		member.nextAt = now.Add(refusalRetry)
	}
}

func (view *View) isOwner(member *member) bool {
	return member.domain == view.self.Domain && member.live && !member.last.Released
}

// Lendings lists the VMs of the domain from which slots can be borrowed, with
// what their heartbeats told.
func (view *View) Lendings() []Lending {
	var lendings []Lending
	for _, member := range view.sortedMembers() {
		if !view.isOwner(member) || member.leaving || member.heardAt.IsZero() {
			continue
		}
		lendings = append(lendings, Lending{
			Address: member.address,
			Load:    member.last.Load,
			Spares:  member.last.Spares,
		})
	}
	return lendings
}

// Successors lists the VMs of the domain that can take this VM's submissions
// over, best first. The order is the same at each call while the VMs stay.
func (view *View) Successors() []string {
	var candidates []string
	for address, member := range view.members {
		if member.domain == view.self.Domain && member.live && !member.leaving && !member.heardAt.IsZero() {
			candidates = append(candidates, address)
		}
	}
	return rank(view.self.Address, candidates)
}

// Members returns the state of all other entry VMs, by address.
func (view *View) Members(now time.Time) []MemberState {
	digest := view.fleetDigest(now)
	states := make([]MemberState, 0, len(view.members))
	for _, member := range view.sortedMembers() {
		heardAgo := int64(-1)
		if !member.heardAt.IsZero() {
			heardAgo = now.Sub(member.heardAt).Milliseconds()
		}
		states = append(states, MemberState{
			Address:     member.address,
			Domain:      member.domain,
			Incarnation: member.last.Incarnation,
			Live:        member.live,
			Leaving:     member.leaving,
			Listed:      member.listed,
			HeardAgoMs:  heardAgo,
			PlanVersion: member.last.PlanVersion,
			Agrees:      member.last.FleetDigest == digest,
			Load:        member.last.Load,
		})
	}
	return states
}
