package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/quota"
	"github.com/primrosetally/primrosetally/internal/coordination/warmup"
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
	// maxWanted bounds the permits for one endpoint, maxVoteLease the lease and
	// maxAnnounceInterval the interval that a message may contain.
	maxWanted           = 1024
	maxVoteLease        = time.Minute
	maxAnnounceInterval = 10 * time.Second
)

// quotas is the part of a gateway that obtains and grants permits for endpoints with a
// rate limit. The fields from granting on are used by the goroutine of runQuotas alone.
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
	lastCold      int
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
	g.logCold(ctx, now)
	if g.rateLimits.limits.Empty() && !g.warmup.Any(now) {
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
		g.quotas.election.RecordReport(now, address)
		g.sendDatagram(address, &nodev1.Datagram{Content: &nodev1.Datagram_QuotaReport{QuotaReport: m}})
	}
	return reportInterval
}

// reportRound sends a report to the grantor if this entry wants permits or has observed a
// limit. Reports that only renew the vote answer the grantor's announcements.
func (g *Gateway) reportRound(now time.Duration, grantor string) time.Duration {
	q := g.quotas
	interval := quota.RequestInterval(g.peers.entries(now))
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
	if len(g.rateLimits.limits.Unreported(1)) > 0 || len(g.warmup.List(now, true)) > 0 {
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
	m.Cold = coldMessages(g.warmup.List(now, a.Stamp != 0))
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
	r := g.wantedPermits(now)
	m.WantedMs, m.WantedTotal = uint32(r.TTL.Milliseconds()), uint32(r.Total)
	for _, w := range r.Wanted {
		m.Wanted = append(m.Wanted, &nodev1.EndpointPermits{Endpoint: w.Endpoint.Hash, Started: w.Endpoint.Started, Count: uint32(w.Count)})
	}
	return m
}

// wantedPermits returns a request for the permits that this entry wants for all services.
func (g *Gateway) wantedPermits(now time.Duration) quota.PermitRequest {
	r := quota.PermitRequest{Address: g.self.PeerAddress, Incarnation: g.self.Incarnation, Stamp: uint64(now)}
	g.traffic.each(func(_ string, s *serviceTraffic) {
		demands := s.placement.WantedPermits(now)
		for _, d := range demands.Endpoints {
			r.Wanted = append(r.Wanted, quota.Wanted{Endpoint: quotaEndpoint(d.Candidate), Count: d.Count})
		}
		r.Total += demands.Total
		if demands.Expected {
			r.TTL = quota.RequestTTL(g.peers.entries(now))
		}
	})
	return r
}

// usePermits passes permits to placement. They are valid from the time at which they
// were requested, so that a late answer leaves little to use.
func (g *Gateway) usePermits(now time.Duration, grant quota.Grant) {
	requestedAt := time.Duration(grant.Stamp)
	if requestedAt > now || now-requestedAt > quota.MaxGrantDelay {
		return
	}
	v := g.snapshot.Load()
	byService := make(map[string][]placement.Permits)
	for _, p := range grant.Permits {
		e := v.endpointByHash(p.Endpoint.Hash)
		if e != nil && p.Endpoint.Matches(quota.Endpoint{Hash: p.Endpoint.Hash, Started: e.Started()}) {
			ttl := quota.PermitTTL
			if g.warmup.Limit(now, warmup.KeyOf(e)).Limited() {
				ttl = warmup.PermitTTL
			}
			byService[e.Service()] = append(byService[e.Service()],
				placement.Permits{ID: e.ID(), Count: p.Count, Until: requestedAt + ttl, Share: p.Share})
		}
	}
	for service, permits := range byService {
		g.trafficOf(service).placement.GrantPermits(now, permits)
	}
}

func (g *Gateway) sendDatagram(address string, m *nodev1.Datagram) {
	if err := g.send(address, m); err != nil {
		g.metrics.SummariesNotSent.Inc()
	}
}
