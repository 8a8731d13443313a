package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/quota"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// announcement returns the message of an announcement without limits.
func announcement(a quota.Announcement) *nodev1.QuotaAnnouncement {
	return &nodev1.QuotaAnnouncement{
		Address: a.Address, Incarnation: a.Incarnation, Stamp: a.Stamp, IntervalMs: uint32(a.Interval.Milliseconds()), Revision: a.Revision,
	}
}

// completeAnnouncements returns the messages of an announcement with all limits. If they
// do not fit into one message, none of the messages is complete, and receivers are sent
// all of them again each time.
func completeAnnouncements(now time.Duration, a quota.Announcement, limits []quota.Observation) []*nodev1.QuotaAnnouncement {
	var messages []*nodev1.QuotaAnnouncement
	for part := range slices.Chunk(limits, maxAnnouncedLimits) {
		m := announcement(a)
		m.Limits = limitMessages(now, part)
		m.Complete = len(part) == len(limits)
		messages = append(messages, m)
	}
	if len(messages) == 0 {
		m := announcement(a)
		m.Complete = true
		messages = append(messages, m)
	}
	return messages
}

// ReceiveQuotaReport processes the report of another entry. A report that reaches an
// entry which is not the grantor still brings it the observed limits.
func (g *Gateway) ReceiveQuotaReport(ctx context.Context, m *nodev1.QuotaReport) {
	now := g.now()
	g.mergeLimits(ctx, now, m.GetAddress(), m.GetLimits())
	g.mergeCold(now, m.GetCold(), false)
	grantor := g.quotas.grantor
	if m.GetEchoIncarnation() == g.self.Incarnation && m.GetEcho() != 0 && m.GetEcho() <= uint64(now) {
		lease := min(time.Duration(m.GetVoteLeaseMs())*time.Millisecond, maxVoteLease)
		grantor.Vote(quota.Vote{
			Address: m.GetAddress(), Incarnation: m.GetIncarnation(), Until: time.Duration(m.GetEcho()) + lease, Entries: int(m.GetEntries()),
		})
		grantor.SetRevision(m.GetAddress(), m.GetRevision())
	}
	r := quota.PermitRequest{
		Address: m.GetAddress(), Incarnation: m.GetIncarnation(), Stamp: m.GetStamp(),
		Total: min(int(m.GetWantedTotal()), maxWanted), TTL: time.Duration(m.GetWantedMs()) * time.Millisecond,
	}
	for _, w := range m.GetWanted() {
		r.Wanted = append(r.Wanted, quota.Wanted{Endpoint: quota.Endpoint{Hash: w.GetEndpoint(), Started: w.GetStarted()}, Count: min(int(w.GetCount()), maxWanted)})
	}
	grantor.Request(now, r)
	if len(r.Wanted) > 0 || m.GetEcho() == 0 {
		g.wakeQuotas()
	}
}

// ReceiveQuotaAnnouncement processes the announcement of a grantor and answers it.
func (g *Gateway) ReceiveQuotaAnnouncement(ctx context.Context, m *nodev1.QuotaAnnouncement) {
	now := g.now()
	g.mergeLimits(ctx, now, m.GetAddress(), m.GetLimits())
	g.mergeCold(now, m.GetCold(), true)
	a := quota.Announcement{
		Address: m.GetAddress(), Incarnation: m.GetIncarnation(), Stamp: m.GetStamp(),
		Interval: min(time.Duration(m.GetIntervalMs())*time.Millisecond, maxAnnounceInterval), Revision: m.GetRevision(),
	}
	q := g.quotas
	q.election.RecordAnnouncement(now, a)
	if m.GetComplete() {
		q.complete.Store(&a)
	}
	grantor, _ := q.election.Grantor(now, func() []string { return g.peers.live(now) })
	if grantor != a.Address {
		g.wakeQuotas()
		return
	}
	g.sendDatagram(a.Address, &nodev1.Datagram{Content: &nodev1.Datagram_QuotaReport{QuotaReport: g.report(now, a)}})
}

// ReceiveQuotaGrant processes the permits that a grantor grants to this entry.
func (g *Gateway) ReceiveQuotaGrant(_ context.Context, m *nodev1.QuotaGrant) {
	if m.GetEchoIncarnation() != g.self.Incarnation {
		return
	}
	grant := quota.Grant{Address: g.self.PeerAddress, Incarnation: g.self.Incarnation, Stamp: m.GetEcho()}
	for _, p := range m.GetPermits() {
		grant.Permits = append(grant.Permits, quota.Granted{
			Endpoint: quota.Endpoint{Hash: p.GetEndpoint(), Started: p.GetStarted()}, Count: min(int(p.GetCount()), maxWanted), Share: shareOf(p),
		})
	}
	g.usePermits(g.now(), grant)
}

// mergeLimits takes over the limits that another entry knows.
func (g *Gateway) mergeLimits(ctx context.Context, now time.Duration, from string, list []*nodev1.EndpointLimit) {
	changed := false
	for _, m := range list {
		if !validStart(m.GetStarted()) {
			continue
		}
		o := quota.Observation{
			Endpoint: quota.Endpoint{Hash: m.GetEndpoint(), Started: m.GetStarted()},
			At:       now - time.Duration(m.GetAgeMs())*time.Millisecond,
		}
		if m.PerSecond != nil {
			if !(m.GetPerSecond() >= 0) {
				continue // negative, or not a number
			}
			o.Limit = quota.NewLimit(m.GetPerSecond())
		}
		if !g.rateLimits.limits.Merge(o) {
			continue
		}
		changed = true
		if e := g.snapshot.Load().endpointByHash(o.Endpoint.Hash); e != nil {
			telemetry.EndpointLimited.Log(ctx, g.logger, "from", from, "endpoint", e.ID(), "started", o.Endpoint.Started,
				"limited", o.Limit.Limited(), "perSecond", o.Limit.PerSecond(), "sent", g.rateLimits.takeSent(o.Endpoint.Hash))
		}
	}
	if changed {
		g.rateLimitsChanged()
	}
}

// limitMessages returns the messages of observations.
func limitMessages(now time.Duration, list []quota.Observation) []*nodev1.EndpointLimit {
	messages := make([]*nodev1.EndpointLimit, 0, len(list))
	for _, o := range list {
		m := &nodev1.EndpointLimit{Endpoint: o.Endpoint.Hash, Started: o.Endpoint.Started, AgeMs: uint32((now - o.At).Milliseconds())}
		if o.Limit.Limited() {
			perSecond := o.Limit.PerSecond()
			m.PerSecond = &perSecond
		}
		messages = append(messages, m)
	}
	return messages
}
