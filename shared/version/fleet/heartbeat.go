package fleet

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerfall/shared/connection/peer"
)

// dueHeartbeats returns the heartbeat exchanges that are due and marks them as
// in flight.
func (view *View) dueHeartbeats(now time.Time) []Decision {
	early := view.earlyRoundDue && now.Sub(view.lastEarlyRoundAt) >= minEarlyInterval
	if early {
		view.earlyRoundDue = false
		view.lastEarlyRoundAt = now
	}
	if now.Sub(view.linksChosenAt) >= linkPeriod {
		view.linkPeers = view.chooseLinkPeers(now)
		view.linksChosenAt = now
	}
	var decisions []Decision
	for _, member := range view.sortedMembers() {
		period, initiates := view.exchangeSchedule(now, member)
		if early && member.domain == view.self.Domain && member.live {
			initiates = true
			member.nextExchangeAt = now
		}
		// The caller bounds an exchange by its period. Without this reset a
		// missing outcome would end the exchanges with this member.
		if member.inFlight && now.Sub(member.sentAt) > 2*period {
			member.inFlight = false
		}
		if !initiates || member.inFlight || now.Before(member.nextExchangeAt) {
			continue
		}
		member.inFlight = true
		member.sentAt = now
		member.nextExchangeAt = now.Add(period)
		decisions = append(decisions, SendHeartbeat{
			Address: member.address,
			Message: view.heartbeatTo(now, member),
			Timeout: period,
		})
	}
	return decisions
}

// exchangeSchedule returns the period of the exchanges with a member and whether
// this VM starts them. Within a domain the VM with the smaller address starts
// them, so that a pair has one exchange per period; the other VM starts them too
// while it receives no heartbeats.
func (view *View) exchangeSchedule(now time.Time, member *member) (time.Duration, bool) {
	if member.domain != view.self.Domain {
		return linkPeriod, view.linkPeers[member.address]
	}
	period := view.heartbeatPeriod()
	silent := now.Sub(member.lastHeartbeatAt) > period*3/2
	if !member.live {
		return failureTimeoutPeriods * period, member.listed
	}
	return period, view.self.Address < member.address || silent
}

// chooseLinkPeers returns the VMs of other domains to which this VM starts
// exchanges. Each pair of domains has linksPerPair links: the VMs of each domain
// are ranked by a hash salted with the pair, and VMs of equal rank are linked.
// The domain with the smaller name starts the exchanges.
func (view *View) chooseLinkPeers(now time.Time) map[string]bool {
	byDomain := make(map[string][]string)
	domainPeers := []string{view.self.Address}
	for address, member := range view.members {
		switch {
		case member.domain == view.self.Domain:
			if member.live && !member.leaving {
				domainPeers = append(domainPeers, address)
			}
		case view.self.Domain < member.domain && member.live && !member.leaving && !now.Before(member.avoidUntil):
			byDomain[member.domain] = append(byDomain[member.domain], address)
		}
	}
	linkPeers := make(map[string]bool)
	for domain, addresses := range byDomain {
		salt := view.self.Domain + "/" + domain
		ranked := rankByHash(salt, domainPeers)
		for i := range min(linksPerPair, len(ranked)) {
			if ranked[i] == view.self.Address {
				targets := rankByHash(salt, addresses)
				linkPeers[targets[i%len(targets)]] = true
			}
		}
	}
	return linkPeers
}

// heartbeatTo returns this VM's heartbeat to a member, which may be nil.
func (view *View) heartbeatTo(now time.Time, member *member) peer.HeartbeatMessage {
	view.sequence++
	digest := view.redirectDigest()
	message := peer.HeartbeatMessage{
		Address:        view.self.Address,
		Domain:         view.self.Domain,
		Incarnation:    view.self.Incarnation,
		StartedMs:      view.self.Started.UnixMilli(),
		Sequence:       view.sequence,
		Size:           view.self.Size,
		Leaving:        view.leaving,
		Released:       !view.ownsUpstreams(now),
		PlanVersion:    view.status.PlanVersion,
		PlanDigest:     view.status.PlanDigest,
		FleetDigest:    view.fleetDigest(now),
		RedirectDigest: digest,
		Load:           view.status.Load,
	}
	if member == nil || member.lastHeartbeat.RedirectDigest != digest {
		message.Redirects = view.redirectsToReport()
	}
	if member != nil && member.domain == view.self.Domain {
		message.Drains = view.drainsToReport()
		message.WantedQuotas = view.status.WantedQuotas[:min(len(view.status.WantedQuotas), maxReportedQuotas)]
		spareCount := min(len(view.status.SpareQuotas), maxReportedQuotas-len(message.WantedQuotas))
		message.SpareQuotas = view.status.SpareQuotas[:spareCount]
	}
	return message
}

// fleetDigest returns a hash that is equal on two VMs of a domain if they know
// the same list version and count the same incarnations as owners.
func (view *View) fleetDigest(now time.Time) uint64 {
	digest := hashIntegers(uint64(view.listVersion), 0)
	if view.ownsUpstreams(now) {
		digest ^= hashIntegers(view.self.Incarnation, 1)
	}
	for _, member := range view.members {
		if view.isOwner(member) {
			digest ^= hashIntegers(member.lastHeartbeat.Incarnation, 1)
		}
	}
	return digest
}

// Agreement returns whether all live VMs of the failure domain report the same
// ownership and plan version as this VM, and when one was last lost.
func (view *View) Agreement(now time.Time) Agreement {
	digest := view.fleetDigest(now)
	agreed := view.ownsUpstreams(now) || view.released
	for _, member := range view.members {
		if member.domain != view.self.Domain || !member.live {
			continue
		}
		if member.lastHeartbeat.FleetDigest != digest || member.lastHeartbeat.PlanVersion != view.status.PlanVersion {
			agreed = false
		}
	}
	return Agreement{
		Agreed:       agreed,
		MemberLostAt: view.memberLostAt,
	}
}

func hashIntegers(a, b uint64) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], a)
	binary.LittleEndian.PutUint64(data[8:], b)
	return xxhash.Sum64(data[:])
}

// addRedirects adds redirects that are new and not expired, and requests an early
// round of heartbeats to spread them.
func (view *View) addRedirects(now time.Time, redirects []peer.Redirect) {
	for _, redirect := range redirects {
		// After a chain of hand-overs, peers may report an earlier and a later
		// successor of an incarnation. Both resolve to the same VM. All VMs keep
		// the smaller one, so that their digests converge.
		current, exists := view.redirects[redirect.Incarnation]
		if (exists && current.Successor <= redirect.Successor) || now.Unix() >= redirect.ExpiryUnix {
			continue
		}
		view.redirects[redirect.Incarnation] = redirect
		view.earlyRoundDue = true
	}
}

func (view *View) redirectDigest() uint64 {
	digest := uint64(0)
	for _, redirect := range view.redirects {
		digest ^= hashIntegers(redirect.Incarnation, redirect.Successor)
	}
	return digest
}

func (view *View) redirectsToReport() []peer.Redirect {
	redirects := make([]peer.Redirect, 0, len(view.redirects))
	for _, redirect := range view.redirects {
		redirects = append(redirects, redirect)
	}
	// The newest redirects come first, because the fewest VMs know them.
	sort.Slice(redirects, func(i, j int) bool {
		a, b := redirects[i], redirects[j]
		if a.ExpiryUnix != b.ExpiryUnix {
			return a.ExpiryUnix > b.ExpiryUnix
		}
		return a.Incarnation < b.Incarnation
	})
	return redirects[:min(len(redirects), maxReportedRedirects)]
}

// ResolveRedirects follows the chain of redirects of an incarnation and returns
// the last one, whose successor holds the submissions. It returns false if there
// is no redirect.
func (view *View) ResolveRedirects(incarnation uint64) (peer.Redirect, bool) {
	var last peer.Redirect
	redirected := false
	// The bound stops at a cycle, which a correct hand-over never creates.
	for range len(view.redirects) {
		redirect, exists := view.redirects[incarnation]
		if !exists {
			break
		}
		last, redirected = redirect, true
		incarnation = redirect.Successor
	}
	return last, redirected
}

// pullPlan returns a pull from the peer with the newest plan, if it is newer than
// this VM's. Among equal versions a peer of the domain is preferred.
func (view *View) pullPlan(now time.Time) []Decision {
	if view.pullInFlight || now.Before(view.nextPullAt) {
		return nil
	}
	var best *member
	for _, member := range view.sortedMembers() {
		if member.lastHeartbeatAt.IsZero() || !member.live || member.lastHeartbeat.PlanVersion <= view.status.PlanVersion {
			continue
		}
		if best == nil || view.isBetterPlanSource(member, best) {
			best = member
		}
	}
	if best == nil {
		return nil
	}
	view.pullInFlight = true
	return []Decision{PullPlan{
		Address: best.address,
		Version: best.lastHeartbeat.PlanVersion,
	}}
}

func (view *View) isBetterPlanSource(a, b *member) bool {
	if a.lastHeartbeat.PlanVersion != b.lastHeartbeat.PlanVersion {
		return a.lastHeartbeat.PlanVersion > b.lastHeartbeat.PlanVersion
	}
	return a.domain == view.self.Domain && b.domain != view.self.Domain
}

// PeersWithOlderPlan returns the addresses of the live peers whose plan is older
// than this VM's.
func (view *View) PeersWithOlderPlan() []string {
	var addresses []string
	for _, member := range view.sortedMembers() {
		if !member.lastHeartbeatAt.IsZero() && member.live && member.lastHeartbeat.PlanVersion < view.status.PlanVersion {
			addresses = append(addresses, member.address)
		}
	}
	return addresses
}
