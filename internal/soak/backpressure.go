package soak

import (
	"strings"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Bounds of the backpressure of servers.
const (
	// applySlack is the time in which a process must apply a refusal.
	applySlack = 500 * time.Millisecond
	// probesAtMost is the number of requests that may reach a server during a hold.
	probesAtMost = 2
)

// absurdWaits are texts of a Retry-After that a process must survive.
var absurdWaits = []string{"1e300", "-5", "NaN", "soon", "99999999999999999999", "", "0x10"}

// signalBackpressure makes a server, or all of a service, signal that they leave or hold.
// When the fault ends, each starts another incarnation.
func (r *run) signalBackpressure(f Fault) (end func()) {
	ids := r.someServers(f)
	var signal func(s *standin.Server)
	what := ""
	switch f.pick(1, 3) {
	case 0:
		what = "signal that they leave"
		signal = func(s *standin.Server) { s.SignalLeaving() }
	case 1:
		what = "refuse with a retry delay"
		signal = func(s *standin.Server) { s.Hold(f.Length) }
	default:
		text := absurdWaits[f.pick(3, len(absurdWaits))]
		what = "refuse with an absurd retry delay (" + text + ")"
		signal = func(s *standin.Server) { s.HoldWithText(text, f.Length) }
	}
	r.note("%s %s for %s", strings.Join(ids, " "), what, f.Length)
	for _, id := range ids {
		signal(r.deployment.Servers[id])
	}
	return func() {
		for _, id := range ids {
			r.deployment.Servers[id].Rebirth()
		}
	}
}

// disturbedBetween reports whether the process at an address or its way to a server was
// disturbed between two times, so that it may not have received what the server signaled.
func (r *run) disturbedBetween(front, server string, from, until time.Time) bool {
	l := r.hiddenLink(serverLink(r.deployment.ServerAddress(server)))
	if l != nil && l.disturbed.overlap(from, until) {
		return true
	}
	for _, m := range r.machines {
		if r.deployment.Front(m.Machine) == front && m.halts.overlap(from, until) {
			return true
		}
	}
	return false
}

// serverLink returns the name of the link before a server.
func serverLink(address string) string { return "server at " + address }

// arrived records that a request reached a server.
func (l *ledger) arrived(a standin.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// pairing is one process and one incarnation of a server that it sends requests to.
type pairing struct {
	process
	server  string
	started int64
}

// sending is a request that reached a server from a process which it is known of.
type sending struct {
	call    call
	arrival standin.Arrival
}

// pairings returns what reached each incarnation of each server from each process, in order of
// arrival. Requests of a process that ended meanwhile are not among them.
func (l *ledger) pairings() map[pairing][]sending {
	list := make(map[pairing][]sending)
	for _, a := range l.arrivals {
		c, known := l.calls[a.Attempt]
		if !known || c.lifetime == 0 {
			continue
		}
		p := pairing{process{c.entry, c.lifetime}, a.Server, a.Started}
		list[p] = append(list[p], sending{c, a})
	}
	return list
}

// checkBackpressure finds processes that sent requests to a server against its
// backpressure.
func (l *ledger) checkBackpressure() {
	for p, list := range l.pairings() {
		l.checkLeft(p, list)
		l.checkHolds(p, list)
	}
}

// checkLeft finds requests that a caller sent long after the process had forwarded a
// response which signaled that the server leaves.
func (l *ledger) checkLeft(p pairing, list []sending) {
	var forwarded time.Time // when the first such response was forwarded
	for _, s := range list {
		if s.arrival.Leaving && s.call.status == 200 && s.call.whole && (forwarded.IsZero() || s.call.ended.Before(forwarded)) {
			forwarded = s.call.ended
		}
	}
	for _, s := range list {
		if !forwarded.IsZero() && s.call.sent.Sub(forwarded) > drainBound {
			l.violateLocked("left alone: %s reached %s from %s, sent %s after it had forwarded that the server leaves",
				s.arrival.Attempt, p.server, p.entry, s.call.sent.Sub(forwarded))
		}
	}
}

// checkHolds finds servers that more than a few requests of one process reached during a
// hold, unless the process may not have received the refusal.
func (l *ledger) checkHolds(p pairing, list []sending) {
	for i, refused := range list {
		from, until := refused.arrival.At.Add(applySlack), refused.arrival.Held
		if until.IsZero() || l.disturbed(p.entry, p.server, refused.arrival.At.Add(-longestFault), until) {
			continue
		}
		probes := 0
		for _, s := range list[i+1:] {
			if s.arrival.At.After(from) && s.arrival.At.Before(until) {
				probes++
			}
		}
		if probes > probesAtMost {
			l.violateLocked("pause: %d requests reached %s from %s during a hold, since %s",
				probes, p.server, p.entry, refused.arrival.Attempt)
			return
		}
	}
}
