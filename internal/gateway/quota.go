package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/quota"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Intervals and limits of the messages about permits.
const (
	// distributeInterval is how often a grantor looks for new permits while entries wait
	// for some. minDistributeGap combines the requests that arrive together.
	distributeInterval = 50 * time.Millisecond
	minDistributeGap   = 5 * time.Millisecond
	// reportInterval is how often an entry reports to a grantor that does not announce
	// itself yet.
	reportInterval = 200 * time.Millisecond
	// quotaIdle is how often the need for permits is looked at while no grantor is
	// expected to do anything.
	quotaIdle = time.Second
	// noLimits is the time to the next round while no endpoint has a limit; the first
	// limit starts one at once.
	noLimits = time.Hour
	// minAnnounceGap combines limits that change in quick succession.
	minAnnounceGap = 50 * time.Millisecond
	// maxReportedLimits bounds the limits in one report, and maxAnnouncedLimits those in
	// one announcement, so that each fits in one datagram.
	maxReportedLimits  = 64
	maxAnnouncedLimits = 240
	// maxWanted bounds the permits, and maxVoteLease the lease, that a message may
	// contain.
	maxWanted    = 1024
	maxVoteLease = time.Minute
)

// quotas is the part of a gateway that obtains and grants permits for endpoints with a
// rate limit. The fields from granting on are
// used by the goroutine of runQuotas alone.
type quotas struct {
	election *quota.Election
	grantor  *quota.Grantor
	complete atomic.Pointer[quota.Announcement] // last one whose limits this entry has
	wake     chan struct{}

	granting      bool
	announcedAt   time.Duration
	announced     uint64        // revision of the limits that was announced last
	distributedAt time.Duration // last distribution of permits
	reportedAt    time.Duration
	lastGrantor   string
}

func newQuotas(self string, started time.Duration) *quotas {
	return &quotas{election: quota.NewElection(self, started), grantor: quota.NewGrantor(), wake: make(chan struct{}, 1)}
}

// wakeQuotas makes runQuotas look at once at what is wanted. It does not block.
func (g *Gateway) wakeQuotas() {
	select {
	case g.quotas.wake <- struct{}{}:
	default:
	}
}

// runQuotas obtains permits for this entry, and grants them to all entries if this one
// is the grantor, until ctx is done.
func (g *Gateway) runQuotas(ctx context.Context) {
	timer := time.NewTimer(quotaIdle)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.quotas.wake:
		case <-timer.C:
		}
		timer.Reset(g.quotaRound(ctx, g.now()))
	}
}

// quotaRound does what is due and returns the time until the next round.
func (g *Gateway) quotaRound(ctx context.Context, now time.Duration) time.Duration {
	q := g.quotas
	if g.rateLimits.limits.Empty() {
		g.stopGranting()
		q.election.Reset()
		return noLimits
	}
	grantor, candidates := q.election.Grantor(now, func() []string { return g.peers.live(now) })
	if grantor != q.lastGrantor {
		telemetry.QuotaGrantor.Log(ctx, g.logger, "grantor", grantor, "before", q.lastGrantor, "limits", g.rateLimits.limits.Count())
		q.lastGrantor = grantor
	}
	if grantor == g.self.PeerAddress {
		return g.grantRound(now)
	}
	g.stopGranting()
	if grantor == "" {
		return g.seekGrantor(now, candidates)
	}
	return g.reportRound(now, grantor)
}

// stopGranting forgets what this entry knew as the grantor.
func (g *Gateway) stopGranting() {
	if g.quotas.granting {
		g.quotas.granting = false
		g.quotas.grantor.Reset()
		g.metrics.QuotaFraction.Set(0)
	}
}

// seekGrantor reports to the entries of which one should become the grantor.
func (g *Gateway) seekGrantor(now time.Duration, candidates []string) time.Duration {
	if due := g.quotas.reportedAt + reportInterval; now < due {
		return due - now
	}
	g.quotas.reportedAt = now
	m := g.report(now, quota.Announcement{})
	for _, address := range candidates {
		if address == g.self.PeerAddress {
			continue
		}
		g.quotas.election.Asked(now, address)
		g.sendDatagram(address, &nodev1.Datagram{Content: &nodev1.Datagram_QuotaReport{QuotaReport: m}})
	}
	return reportInterval
}

// reportRound sends a report to the grantor if one is due, while this entry wants permits
// or has observed a limit.
func (g *Gateway) reportRound(now time.Duration, grantor string) time.Duration {
	q := g.quotas
	interval := quota.AskInterval(g.peers.entries(now))
	if due := q.reportedAt + interval; now < due {
		return due - now
	}
	a, announced := q.election.Announced(now, grantor)
	if !announced || !g.hasReport(now) {
		return quotaIdle
	}
	q.reportedAt = now
	g.sendDatagram(grantor, &nodev1.Datagram{Content: &nodev1.Datagram_QuotaReport{QuotaReport: g.report(now, a)}})
	return interval
}

// hasReport reports whether there is anything to report to a grantor.
func (g *Gateway) hasReport(now time.Duration) bool {
	if len(g.rateLimits.limits.Unreported(1)) > 0 {
		return true
	}
	return len(g.wantedPermits(now).Wanted) > 0
}

// report returns the report that answers an announcement; the zero announcement stands
// for none.
func (g *Gateway) report(now time.Duration, a quota.Announcement) *nodev1.QuotaReport {
	m := &nodev1.QuotaReport{
		Address:         g.self.PeerAddress,
		Incarnation:     g.self.Incarnation,
		Stamp:           uint64(now),
		Echo:            a.Stamp,
		EchoIncarnation: a.Incarnation,
		Entries:         uint32(g.peers.entries(now)),
	}
	if a.Stamp == 0 {
		// An entry that becomes the grantor may not know any limit.
		limits, _ := g.rateLimits.limits.All()
		m.Limits = limitMessages(now, limits[:min(len(limits), maxReportedLimits)])
	} else {
		m.VoteLeaseMs = uint32(g.quotas.election.Vote(now, a).Milliseconds())
		m.Limits = limitMessages(now, g.rateLimits.limits.Unreported(maxReportedLimits))
	}
	if c := g.quotas.complete.Load(); c != nil && c.Address == a.Address && c.Incarnation == a.Incarnation {
		m.Revision = c.Revision
	}
	ask := g.wantedPermits(now)
	m.WantedMs, m.WantedTotal = uint32(ask.TTL.Milliseconds()), uint32(ask.Total)
	for _, w := range ask.Wanted {
		m.Wanted = append(m.Wanted, &nodev1.EndpointPermits{Endpoint: w.Endpoint.Hash, Started: w.Endpoint.Started, Count: uint32(w.Count)})
	}
	return m
}

// wantedPermits returns a request for the permits that this entry wants for all services.
func (g *Gateway) wantedPermits(now time.Duration) quota.Ask {
	ask := quota.Ask{Address: g.self.PeerAddress, Incarnation: g.self.Incarnation, Stamp: uint64(now)}
	g.traffic.each(func(_ string, s *serviceTraffic) {
		demands := s.placement.WantedPermits(now)
		for _, d := range demands.Endpoints {
			ask.Wanted = append(ask.Wanted, quota.Wanted{Endpoint: quotaEndpoint(d.Candidate), Count: d.Count})
		}
		ask.Total += demands.Total
		if demands.Expected {
			ask.TTL = quota.AskTTL(g.peers.entries(now))
		}
	})
	return ask
}

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
	if !q.granting || now-q.announcedAt >= interval {
		q.granting, q.announced, q.announcedAt = true, revision, now
		g.announce(now, quota.AnnounceInterval(entries), limits, revision)
	}
	next := max(q.announcedAt+interval-now, minDistributeGap)
	if gap := q.distributedAt + minDistributeGap - now; gap > 0 {
		return min(next, gap)
	}
	q.distributedAt = now
	q.grantor.Ask(now, g.wantedPermits(now))
	for _, grant := range q.grantor.Distribute(now, limits, entries) {
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
	known := []*nodev1.QuotaAnnouncement{announcement(a)}
	complete := completeAnnouncements(now, a, limits)
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
	return messages
}

// deliver sends a grant to the entry that asked for it, or uses it if that is this one.
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

// usePermits passes permits to placement. They are valid from the time at which they
// were asked for, so that a late answer leaves little to use.
func (g *Gateway) usePermits(now time.Duration, grant quota.Grant) {
	asked := time.Duration(grant.Stamp)
	if asked > now || now-asked > quota.MaxGrantDelay {
		return
	}
	v := g.snapshot.Load()
	byService := make(map[string][]placement.Permits)
	for _, p := range grant.Permits {
		if e := v.endpointByHash(p.Endpoint.Hash); e != nil {
			byService[e.Service()] = append(byService[e.Service()],
				placement.Permits{ID: e.ID(), Count: p.Count, Until: asked + quota.PermitTTL, Share: p.Share})
		}
	}
	for service, permits := range byService {
		g.trafficOf(service).placement.GrantPermits(now, permits)
	}
}

// ReceiveQuotaReport processes the report of another entry. A report that reaches an
// entry which is not the grantor still brings it the observed limits.
func (g *Gateway) ReceiveQuotaReport(ctx context.Context, m *nodev1.QuotaReport) {
	now := g.now()
	g.mergeLimits(ctx, now, m.GetAddress(), m.GetLimits())
	grantor := g.quotas.grantor
	if m.GetEchoIncarnation() == g.self.Incarnation && m.GetEcho() != 0 && m.GetEcho() <= uint64(now) {
		lease := min(time.Duration(m.GetVoteLeaseMs())*time.Millisecond, maxVoteLease)
		grantor.Vote(quota.Vote{
			Address: m.GetAddress(), Incarnation: m.GetIncarnation(), Until: time.Duration(m.GetEcho()) + lease, Entries: int(m.GetEntries()),
		})
		grantor.SetRevision(m.GetAddress(), m.GetRevision())
	}
	a := quota.Ask{
		Address: m.GetAddress(), Incarnation: m.GetIncarnation(), Stamp: m.GetStamp(),
		Total: min(int(m.GetWantedTotal()), maxWanted), TTL: time.Duration(m.GetWantedMs()) * time.Millisecond,
	}
	for _, w := range m.GetWanted() {
		a.Wanted = append(a.Wanted, quota.Wanted{Endpoint: quota.Endpoint{Hash: w.GetEndpoint(), Started: w.GetStarted()}, Count: min(int(w.GetCount()), maxWanted)})
	}
	grantor.Ask(now, a)
	if len(a.Wanted) > 0 || m.GetEcho() == 0 {
		g.wakeQuotas()
	}
}

// ReceiveQuotaAnnouncement processes the announcement of a grantor and answers it.
func (g *Gateway) ReceiveQuotaAnnouncement(ctx context.Context, m *nodev1.QuotaAnnouncement) {
	now := g.now()
	g.mergeLimits(ctx, now, m.GetAddress(), m.GetLimits())
	a := quota.Announcement{
		Address: m.GetAddress(), Incarnation: m.GetIncarnation(), Stamp: m.GetStamp(),
		Interval: time.Duration(m.GetIntervalMs()) * time.Millisecond, Revision: m.GetRevision(),
	}
	q := g.quotas
	q.election.Hear(now, a)
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
			Endpoint: quota.Endpoint{Hash: p.GetEndpoint(), Started: p.GetStarted()}, Count: int(p.GetCount()), Share: float64(p.GetShare()),
		})
	}
	g.usePermits(g.now(), grant)
}

// mergeLimits takes over the limits that another entry knows.
func (g *Gateway) mergeLimits(ctx context.Context, now time.Duration, from string, list []*nodev1.EndpointLimit) {
	changed := false
	for _, m := range list {
		o := quota.Observation{
			Endpoint: quota.Endpoint{Hash: m.GetEndpoint(), Started: m.GetStarted()},
			At:       now - time.Duration(m.GetAgeMs())*time.Millisecond,
		}
		if m.PerSecond != nil {
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

func (g *Gateway) sendDatagram(address string, m *nodev1.Datagram) {
	if err := g.send(address, m); err != nil {
		g.metrics.SummariesNotSent.Inc()
	}
}
