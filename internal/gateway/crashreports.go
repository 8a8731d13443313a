package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

const (
	// maxReportedCrashes bounds the crashes in one datagram.
	maxReportedCrashes = 4
	// informants is the number of entries of a region that inform others whose evidence
	// differs, each at most every informInterval.
	informants     = 2
	informInterval = time.Second
)

// reportCrashes sends to all other entries what they need to know of crashes, and returns
// the time until there is more to send, 0 if there is nothing.
func (g *Gateway) reportCrashes() time.Duration {
	now := g.now()
	report, next := g.traffic.suspects.TakeReport(now)
	messages := g.crashReports(now, report)
	for _, address := range g.peers.all() {
		for _, m := range messages {
			g.sendDatagram(address, m)
		}
	}
	return next
}

// informOfCrashes sends another entry the evidence of all quarantines if its summary shows
// that it has other evidence: it has started, was suspended or cut off, or messages were
// lost.
func (g *Gateway) informOfCrashes(m *nodev1.EntrySummary, now time.Duration) {
	own := g.traffic.suspects.Digest()
	if own == 0 || own == m.GetQuarantineDigest() || g.rank().region >= informants || !g.peers.mayInform(m.GetAddress(), now) {
		return
	}
	for _, report := range g.crashReports(now, g.traffic.suspects.Supporting()) {
		g.sendDatagram(m.GetAddress(), report)
	}
}

// mayInform reports whether a peer was not informed in the last informInterval, and records
// that it is informed now.
func (p *peers) mayInform(address string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.known[address]
	if q == nil || q.informedAt > 0 && now-q.informedAt < informInterval {
		return false
	}
	q.informedAt = now
	return true
}

// crashReports returns the messages of a report.
func (g *Gateway) crashReports(now time.Duration, r suspects.Report) []*nodev1.Datagram {
	var messages []*nodev1.Datagram
	add := func(m *nodev1.CrashReport) {
		m.Address = g.self.PeerAddress
		messages = append(messages, &nodev1.Datagram{Content: &nodev1.Datagram_CrashReport{CrashReport: m}})
	}
	if len(r.Sound) > 0 {
		m := &nodev1.CrashReport{}
		for _, s := range r.Sound {
			m.Sound = append(m.Sound, uint64(s.Key))
			m.SoundAgeMs = append(m.SoundAgeMs, milliseconds(now-s.At))
		}
		add(m)
	}
	for part := range slices.Chunk(r.Crashes, maxReportedCrashes) {
		m := &nodev1.CrashReport{}
		for _, c := range part {
			m.Crashes = append(m.Crashes, crashMessage(now, c))
		}
		add(m)
	}
	return messages
}

// milliseconds rounds an age up: an answer must not seem to have begun later than it did.
func milliseconds(age time.Duration) uint32 {
	return uint32(max((age+time.Millisecond-1)/time.Millisecond, 0))
}

func crashMessage(now time.Duration, c suspects.Observed) *nodev1.EndpointCrash {
	m := &nodev1.EndpointCrash{Endpoint: c.Incarnation.Endpoint, Started: c.Incarnation.Started, AgeMs: milliseconds(now - c.At)}
	for _, a := range c.Attempts {
		attempt := &nodev1.CrashedAttempt{Whole: uint64(a.Request.Whole()), Progress: uint32(a.Progress)}
		for _, k := range a.Request.Parts() {
			attempt.Parts = append(attempt.Parts, uint64(k))
		}
		m.Attempts = append(m.Attempts, attempt)
	}
	return m
}

// ReceiveCrashReport processes what another entry knows of crashes.
func (g *Gateway) ReceiveCrashReport(_ context.Context, m *nodev1.CrashReport) {
	now := g.now()
	var r suspects.Report
	for _, c := range m.GetCrashes() {
		o := suspects.Observed{
			Incarnation: suspects.Incarnation{Endpoint: c.GetEndpoint(), Started: c.GetStarted()},
			At:          now - time.Duration(c.GetAgeMs())*time.Millisecond,
		}
		for _, a := range c.GetAttempts() {
			o.Attempts = append(o.Attempts, suspects.Attempt{
				Request:  suspects.NewRequest(suspects.Key(a.GetWhole()), keysOf(a.GetParts())),
				Progress: suspects.Progress(min(a.GetProgress(), uint32(suspects.Begun))),
			})
		}
		r.Crashes = append(r.Crashes, o)
	}
	for i, k := range m.GetSound() {
		if i < len(m.GetSoundAgeMs()) {
			r.Sound = append(r.Sound, suspects.Soundness{Key: suspects.Key(k), At: now - time.Duration(m.GetSoundAgeMs()[i])*time.Millisecond})
		}
	}
	g.traffic.suspects.Merge(now, r)
}

func keysOf(list []uint64) []suspects.Key {
	keys := make([]suspects.Key, 0, len(list))
	for _, k := range list {
		keys = append(keys, suspects.Key(k))
	}
	return keys
}
