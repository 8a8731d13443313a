package gateway

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/quota"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// grantRound announces this entry as the grantor, if that is due, and distributes
// permits.
func (g *Gateway) grantRound(now time.Duration) time.Duration {
	q := g.quotas
	limits, revision := g.rateLimits.limits.All()
	entries := g.peers.entries(now)
	interval := quota.AnnounceInterval(entries)
	if q.granting && q.announced != revision {
		interval = minAnnounceGap
	}
	if len(g.warmup.List(now, true)) > 0 {
		interval = minAnnounceGap
	}
	if !q.granting || now-q.announcedAt >= interval {
		q.granting, q.announced, q.announcedAt = true, revision, now
		g.announce(now, quota.AnnounceInterval(entries), limits, revision)
	}
	next := max(q.announcedAt+interval-now, minDistributeGap)
	if gap := q.distributedAt + minDistributeGap - now; gap > 0 {
		return min(next, gap)
	}
	q.distributedAt = now
	q.grantor.Request(now, g.wantedPermits(now))
	for _, grant := range q.grantor.Distribute(now, g.withCold(now, limits), entries) {
		g.deliver(now, grant)
	}
	fraction, _ := q.grantor.Fraction(now, entries)
	g.metrics.QuotaFraction.Set(fraction)
	if q.grantor.Pending() {
		next = min(next, distributeInterval)
	}
	return next
}

// announce sends an announcement to all entries and renews this entry's vote for itself.
func (g *Gateway) announce(now time.Duration, interval time.Duration, limits []quota.Observation, revision uint64) {
	a := quota.Announcement{
		Address: g.self.PeerAddress, Incarnation: g.self.Incarnation, Stamp: uint64(now), Interval: interval, Revision: revision,
	}
	if lease := g.quotas.election.Vote(now, a); lease > 0 {
		g.quotas.grantor.Vote(quota.Vote{Address: a.Address, Incarnation: a.Incarnation, Until: now + lease, Entries: g.peers.entries(now)})
	}
	cold := coldMessages(g.warmup.List(now, false))
	g.warmup.Announced(now)
	known := []*nodev1.QuotaAnnouncement{announcement(a)}
	complete := completeAnnouncements(now, a, limits)
	known[0].Cold, complete[0].Cold = cold, cold
	for _, address := range g.peers.all() {
		messages := complete
		if g.quotas.grantor.HasRevision(address, revision) {
			messages = known
		}
		for _, m := range messages {
			g.sendDatagram(address, &nodev1.Datagram{Content: &nodev1.Datagram_QuotaAnnouncement{QuotaAnnouncement: m}})
		}
	}
}

// deliver sends a grant to the entry that requested it, or uses it if that is this one.
func (g *Gateway) deliver(now time.Duration, grant quota.Grant) {
	if grant.Address == g.self.PeerAddress {
		g.usePermits(now, grant)
		return
	}
	m := &nodev1.QuotaGrant{Address: g.self.PeerAddress, Echo: grant.Stamp, EchoIncarnation: grant.Incarnation}
	for _, p := range grant.Permits {
		m.Permits = append(m.Permits, &nodev1.EndpointPermits{
			Endpoint: p.Endpoint.Hash, Started: p.Endpoint.Started, Count: uint32(p.Count), Share: float32(p.Share),
		})
	}
	g.sendDatagram(grant.Address, &nodev1.Datagram{Content: &nodev1.Datagram_QuotaGrant{QuotaGrant: m}})
}

// stopGranting forgets what this entry knew as the grantor.
func (g *Gateway) stopGranting() {
	if g.quotas.granting {
		g.quotas.granting = false
		g.quotas.grantor.Reset()
		g.metrics.QuotaFraction.Set(0)
	}
}
