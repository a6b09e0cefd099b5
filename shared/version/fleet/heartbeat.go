package fleet

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerfall/shared/connection/peer"
)

// sendDue returns the exchanges that are due.
func (view *View) sendDue(now time.Time) []Decision {
	early := view.earlyDue && now.Sub(view.earlyAt) >= earlyGap
	if early {
		view.earlyDue = false
		view.earlyAt = now
	}
	if now.Sub(view.linksAt) >= linkPeriod {
		view.links = view.contacts(now)
		view.linksAt = now
	}
	var decisions []Decision
	for _, member := range view.sortedMembers() {
		period, initiates := view.schedule(now, member)
		if early && member.domain == view.self.Domain && member.live {
			initiates = true
			member.nextAt = now
		}
		// The daemon bounds an exchange by its period; a missing outcome
		// would otherwise end the exchanges with this member.
		if member.inFlight && now.Sub(member.sentAt) > 2*period {
			member.inFlight = false
		}
		if !initiates || member.inFlight || now.Before(member.nextAt) {
			continue
		}
		member.inFlight = true
		member.sentAt = now
		member.nextAt = now.Add(period)
		decisions = append(decisions, SendHeartbeat{
			Address: member.address,
			Message: view.message(now, member),
			Timeout: period,
		})
	}
	return decisions
}

// schedule returns the period of the exchanges with a member and whether this
// VM starts them. In a domain the smaller address starts them, so that a pair
// has one exchange a period; the other side does so while it hears nothing.
func (view *View) schedule(now time.Time, member *member) (time.Duration, bool) {
	if member.domain != view.self.Domain {
		return linkPeriod, view.links[member.address]
	}
	period := view.period()
	unheard := now.Sub(member.heardAt) > period*3/2
	if !member.live {
		return failPeriods * period, member.listed
	}
	return period, view.self.Address < member.address || unheard
}

// contacts returns the VMs of other domains to which this VM starts exchanges.
// Each two domains have linksPerPair links: the VMs of each are ranked by a
// hash with the pair as salt, and those of equal rank are linked. The domain
// with the smaller name starts the exchanges.
func (view *View) contacts(now time.Time) map[string]bool {
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
		ranked := rank(salt, own)
		for i := range min(linksPerPair, len(ranked)) {
			if ranked[i] == view.self.Address {
				targets := rank(salt, addresses)
				contacts[targets[i%len(targets)]] = true
			}
		}
	}
	return contacts
}

// message returns this VM's heartbeat to a member, which may be nil.
func (view *View) message(now time.Time, member *member) peer.HeartbeatMessage {
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
		Released:       !view.owns(now),
		PlanVersion:    view.status.PlanVersion,
		PlanDigest:     view.status.PlanDigest,
		FleetDigest:    view.fleetDigest(now),
		RedirectDigest: digest,
		Load:           view.status.Load,
	}
	if member == nil || member.last.RedirectDigest != digest {
		message.Redirects = view.redirectsToTell()
	}
	if member != nil && member.domain == view.self.Domain {
		message.Drains = view.drainsToTell()
		message.Wants = view.status.Wants[:min(len(view.status.Wants), maxQuotasTold)]
		spares := min(len(view.status.Spares), maxQuotasTold-len(message.Wants))
		message.Spares = view.status.Spares[:spares]
	}
	return message
}

// fleetDigest is the same at two VMs of a domain that know the same list and
// count the same incarnations as owners.
func (view *View) fleetDigest(now time.Time) uint64 {
	digest := mix(uint64(view.listVersion), 0)
	if view.owns(now) {
		digest ^= mix(view.self.Incarnation, 1)
	}
	for _, member := range view.members {
		if view.isOwner(member) {
			digest ^= mix(member.last.Incarnation, 1)
		}
	}
	return digest
}

// Agreement tells whether the live VMs of the domain tell the same ownership
// and plan version as this VM.
func (view *View) Agreement(now time.Time) Agreement {
	digest := view.fleetDigest(now)
	agreed := view.owns(now) || view.released
	for _, member := range view.members {
		if member.domain != view.self.Domain || !member.live {
			continue
		}
		if member.last.FleetDigest != digest || member.last.PlanVersion != view.status.PlanVersion {
			agreed = false
		}
	}
	return Agreement{
		Agreed: agreed,
		LostAt: view.lostAt,
	}
}

func mix(a, b uint64) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], a)
	binary.LittleEndian.PutUint64(data[8:], b)
	return xxhash.Sum64(data[:])
}

// Redirects.

func (view *View) learnRedirects(now time.Time, redirects []peer.Redirect) {
	for _, redirect := range redirects {
		// After a chain of hand-overs an incarnation may be told with an
		// earlier and a later successor. Both resolve to the same VM; all VMs
		// keep the same one, so that their digests become equal.
		held, known := view.redirects[redirect.Incarnation]
		if (known && held.Successor <= redirect.Successor) || now.Unix() >= redirect.ExpiryUnix {
			continue
		}
		view.redirects[redirect.Incarnation] = redirect
		view.earlyDue = true
	}
}

func (view *View) redirectDigest() uint64 {
	digest := uint64(0)
	for _, redirect := range view.redirects {
		digest ^= mix(redirect.Incarnation, redirect.Successor)
	}
	return digest
}

func (view *View) redirectsToTell() []peer.Redirect {
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
	return redirects[:min(len(redirects), maxRedirectsTold)]
}

// Resolve follows the redirects of an incarnation and returns the last
// successor. It reports false if there is no redirect.
func (view *View) Resolve(incarnation uint64) (peer.Redirect, bool) {
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
	if view.pulling || now.Before(view.pullAt) {
		return nil
	}
	var best *member
	for _, member := range view.sortedMembers() {
		if member.heardAt.IsZero() || !member.live || member.last.PlanVersion <= view.status.PlanVersion {
			continue
		}
		if best == nil || view.betterSource(member, best) {
			best = member
		}
	}
	if best == nil {
		return nil
	}
	view.pulling = true
	return []Decision{PullPlan{
		Address: best.address,
		Version: best.last.PlanVersion,
	}}
}

func (view *View) betterSource(a, b *member) bool {
	if a.last.PlanVersion != b.last.PlanVersion {
		return a.last.PlanVersion > b.last.PlanVersion
	}
	return a.domain == view.self.Domain && b.domain != view.self.Domain
}

// Behind lists the peers whose plan is older than this VM's.
func (view *View) Behind() []string {
	var behind []string
	for _, member := range view.sortedMembers() {
		if !member.heardAt.IsZero() && member.live && member.last.PlanVersion < view.status.PlanVersion {
			behind = append(behind, member.address)
		}
	}
	return behind
}
