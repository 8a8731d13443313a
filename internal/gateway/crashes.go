package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/endpoints"
)

const (
	// maxChecks bounds the endpoints that are checked at a time, and maxPendingChecks
	// those that wait for that.
	maxChecks        = 8
	maxPendingChecks = 64
	// checkTimeout bounds the check whether an endpoint is there.
	checkTimeout = 500 * time.Millisecond
	// reportDelay gathers the crashes and answers of one moment, and reportJitter spreads
	// reports of the same by several entries: those that hear of it first send none.
	reportDelay  = 10 * time.Millisecond
	reportJitter = 40 * time.Millisecond
)

// crashes is the part of a gateway that finds out whether endpoints have crashed and
// reports it to the other entries.
type crashes struct {
	checks chan placement.Candidate
	due    chan struct{} // signals that there is something to report
}

func newCrashes() *crashes {
	return &crashes{checks: make(chan placement.Candidate, maxPendingChecks), due: make(chan struct{}, 1)}
}

// wakeUp makes runCrashes report soon. It does not block.
func (c *crashes) wakeUp() {
	select {
	case c.due <- struct{}{}:
	default:
	}
}

// incarnationKey returns the incarnation of a candidate as evidence names it.
func incarnationKey(c placement.Candidate) suspects.Incarnation {
	return suspects.Incarnation{Endpoint: endpointHash(c.ID), Started: c.Started}
}

// newSuspect returns what the request may be blamed for.
func newSuspect(q *request) suspects.Request {
	var parts []suspects.Key
	for _, p := range q.head.SharedParts {
		parts = append(parts, suspects.PartKey(q.service.Name(), p))
	}
	return suspects.NewRequest(suspects.Key(q.fingerprint), parts)
}

// suspicion decides whether a request may be sent by what is known of crashes. A request
// that is the trial of a quarantine stays it until it is sent.
func (g *Gateway) suspicion(q *request) suspects.Decision {
	if q.trial {
		return suspects.Decision{}
	}
	d := g.traffic.suspects.Check(g.now(), q.suspect)
	q.trial = d.Kind() == suspects.Trial
	return d
}

// recordBreak records that an endpoint broke off an attempt. An answer that had gone on for
// some time is no evidence: crashes come when answers begin.
func (g *Gateway) recordBreak(ctx context.Context, q *request, c placement.Candidate) {
	now := g.now()
	if q.begunAt > 0 && now-q.begunAt > suspects.BeginTime {
		return
	}
	a := suspects.Attempt{Request: q.suspect, Progress: q.progress()}
	if !g.traffic.suspects.Break(now, incarnationKey(c), a) {
		return
	}
	select {
	case g.crashes.checks <- c:
	default:
		telemetry.EndpointNotChecked.Log(ctx, g.logger, "endpoint", c.ID)
	}
}

// progress returns how far the last attempt is.
func (q *request) progress() suspects.Progress {
	switch {
	case q.begunAt > 0:
		return suspects.Answering
	case q.answered:
		return suspects.Begun
	}
	return suspects.Queued
}

// recordProgress records that the answer to a request has gone on for so long that it does
// not crash its endpoint.
func (g *Gateway) recordProgress(q *request) {
	now := g.now()
	if q.sound || q.begunAt == 0 || now-q.begunAt <= suspects.BeginTime {
		return
	}
	q.sound = true
	g.traffic.suspects.Survived(now, q.suspect, q.begunAt)
}

// recordStream records that a stream is complete. One without events shows nothing.
func (g *Gateway) recordStream(q *request) {
	if q.begunAt > 0 {
		g.traffic.suspects.Survived(g.now(), q.suspect, q.begunAt)
	}
}

// recordAnswer records that the whole answer to a request was read. An endpoint may fail a
// request before it looks at the parts of its prompt.
func (g *Gateway) recordAnswer(q *request, success bool) {
	r := q.suspect
	if !success {
		r = suspects.NewRequest(r.Whole(), nil)
	}
	g.traffic.suspects.Survived(g.now(), r, q.sentAt)
}

// confirmMissing confirms the crashes of endpoints that the list does not show any more,
// or shows as another incarnation.
func (g *Gateway) confirmMissing(v *snapshot) {
	g.traffic.suspects.ConfirmMissing(g.now(), func(i suspects.Incarnation) bool {
		e := v.endpointByHash(i.Endpoint)
		return e != nil && e.Started() == i.Started
	})
}

// trialRank returns the rank of this entry among the live ones that try whether a
// quarantine may end.
func (g *Gateway) trialRank(signature []suspects.Key) int {
	weight := func(address string) uint64 { return rendezvous.Mix(rendezvous.Hash(address) ^ uint64(signature[0])) }
	own := weight(g.self.PeerAddress)
	rank := 0
	for _, address := range g.peers.live(g.now()) {
		if weight(address) < own {
			rank++
		}
	}
	return rank
}

// logQuarantine logs that a quarantine has begun or ended.
func (g *Gateway) logQuarantine(c suspects.Change) {
	g.metrics.Quarantines.Set(float64(g.traffic.suspects.Quarantines()))
	args := []any{"keys", c.Signature, "incidents", c.Incidents, "sinceCrash", c.SinceCrash, "left", c.Left}
	if c.InForce {
		telemetry.QuarantineBegun.Log(context.Background(), g.logger, args...)
		return
	}
	telemetry.QuarantineEnded.Log(context.Background(), g.logger, args...)
}

// runCrashes checks endpoints that broke off attempts, and reports crashes, until ctx is
// done.
func (g *Gateway) runCrashes(ctx context.Context) {
	checks := pool.New().WithMaxGoroutines(maxChecks)
	defer checks.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-g.crashes.checks:
			checks.Go(func() { g.checkEndpoint(ctx, c) })
		case <-g.crashes.due:
			timer.Reset(reportDelay + rand.N(reportJitter))
		case <-timer.C:
			if next := g.reportCrashes(); next > 0 {
				timer.Reset(next)
			}
		}
	}
}

// checkEndpoint finds out whether an endpoint that broke off an attempt is there. If it
// accepts connections it may still be another incarnation; the list shows that.
func (g *Gateway) checkEndpoint(ctx context.Context, c placement.Candidate) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if errors.Is(g.probe(ctx, c.Address), endpoints.ErrRefused) {
		g.confirmCrash(c)
	}
}

// confirmCrash records that an endpoint is gone.
func (g *Gateway) confirmCrash(c placement.Candidate) {
	if g.traffic.suspects.Confirm(g.now(), incarnationKey(c)) {
		g.metrics.Crashes.Inc()
		telemetry.EndpointCrashed.Log(context.Background(), g.logger, "endpoint", c.ID, "started", c.Started)
	}
}
