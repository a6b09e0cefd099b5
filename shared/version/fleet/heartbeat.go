package fleet

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerfall/shared/connection/peer"
)

// dueHeartbeats returns the exchanges that are due.
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
		// The daemon bounds an exchange by its period; a missing outcome
		// would otherwise end the exchanges with this member.
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

// exchangeSchedule returns the period of the exchanges with a member and whether this
// VM starts them. In a domain the smaller address starts them, so that a pair
// has one exchange a period; the other side does so while it hears nothing.
func (view *View) exchangeSchedule(now time.Time, member *member) (time.Duration, bool) {
	if member.domain != view.self.Domain {
		return linkPeriod, view.linkPeers[member.address]
	}
	period := view.heartbeatPeriod()
	unheard := now.Sub(member.lastHeartbeatAt) > period*3/2
	if !member.live {
		return failureTimeoutPeriods * period, member.listed
	}
	return period, view.self.Address < member.address || unheard
}

// chooseLinkPeers returns the VMs of other domains to which this VM starts exchanges.
// Each two domains have linksPerPair links: the VMs of each are ranked by a
// hash with the pair as salt, and those of equal rank are linked. The domain
// with the smaller name starts the exchanges.
func (view *View) chooseLinkPeers(now time.Time) map[string]bool {
	byDomain := make(map[string][]string)
	own := []string{view.self.Address}
	for address, member := range view.members {
		switch {
		case member.domain == view.self.Domain:
			if member.live && !member.leaving {
				own = append(own, address)
			}
		case view.self.Domain < member.domain && member.live && !member.leaving && !now.Before(member.avoidUntil):
			byDomain[member.domain] = append(byDomain[member.domain], address)
		}
	}
	contacts := make(map[string]bool)
	for domain, addresses := range byDomain {
		salt := view.self.Domain + "/" + domain
		ranked := rankByHash(salt, own)
		for i := range min(linksPerPair, len(ranked)) {
			if ranked[i] == view.self.Address {
				targets := rankByHash(salt, addresses)
				contacts[targets[i%len(targets)]] = true
			}
		}
	}
	return contacts
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
		message.Wants = view.status.Wants[:min(len(view.status.Wants), maxReportedQuotas)]
		spares := min(len(view.status.Spares), maxReportedQuotas-len(message.Wants))
		message.Spares = view.status.Spares[:spares]
	}
	return message
}

// fleetDigest is the same at two VMs of a domain that know the same list and
// count the same incarnations as owners.
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

// Agreement tells whether the live VMs of the domain tell the same ownership
// and plan version as this VM.
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
		Agreed: agreed,
		MemberLostAt: view.memberLostAt,
	}
}

func hashIntegers(a, b uint64) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], a)
	binary.LittleEndian.PutUint64(data[8:], b)
	return xxhash.Sum64(data[:])
}

// Redirects.

func (view *View) addRedirects(now time.Time, redirects []peer.Redirect) {
	for _, redirect := range redirects {
		// After a chain of hand-overs an incarnation may be told with an
		// earlier and a later successor. Both resolve to the same VM; all VMs
		// keep the same one, so that their digests become equal.
		held, known := view.redirects[redirect.Incarnation]
		if (known && held.Successor <= redirect.Successor) || now.Unix() >= redirect.ExpiryUnix {
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
	// The newest come first, because they are the least known.
	sort.Slice(redirects, func(i, j int) bool {
		a, b := redirects[i], redirects[j]
		if a.ExpiryUnix != b.ExpiryUnix {
			return a.ExpiryUnix > b.ExpiryUnix
		}
		return a.Incarnation < b.Incarnation
	})
	return redirects[:min(len(redirects), maxReportedRedirects)]
}

// ResolveRedirects follows the redirects of an incarnation and returns the last
// successor. It reports false if there is no redirect.
func (view *View) ResolveRedirects(incarnation uint64) (peer.Redirect, bool) {
	var last peer.Redirect
	found := false
	// The bound ends a cycle, which a correct hand-over never makes.
	for range len(view.redirects) {
		redirect, known := view.redirects[incarnation]
		if !known {
			break
		}
		last, found = redirect, true
		incarnation = redirect.Successor
	}
	return last, found
}

// Plan versions.

// pullPlan asks the best peer for a plan newer than this VM's. Peers of the
// domain go first.
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

// PeersWithOlderPlan lists the peers whose plan is older than this VM's.
func (view *View) PeersWithOlderPlan() []string {
	var behind []string
	for _, member := range view.sortedMembers() {
		if !member.lastHeartbeatAt.IsZero() && member.live && member.lastHeartbeat.PlanVersion < view.status.PlanVersion {
			behind = append(behind, member.address)
		}
	}
	return behind
}
