package soak

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of requests to a server that states a rate limit.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5 // requests
	// limitGrace is the time after the first response with a limit in which it may be
	// exceeded, and limitSlackTime that which each process has on its own.
	limitGrace     = 3 * time.Second
	limitSlackTime = 500 * time.Millisecond
	// limitGap is the mean time between two faults of this kind, and limitLength how long
	// one lasts: longer than the grace and a window.
	limitGap    = 5 * time.Second
	limitLength = 12 * time.Second
)

// statedLimits are the texts of rate limits, also absurd ones that a process must
// survive.
var statedLimits = []string{"1.5", "0.5", "1", "3", "8", "0", "1e300", "-1", "few", "NaN", ""}

// limitPlan returns the faults in which servers state rate limits. They have a source of
// random numbers of their own, so that they leave the rest of a plan as it is.
func limitPlan(seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 2))
	var plan []Fault
	for at := time.Duration(0); at < duration; at += time.Duration(random.ExpFloat64() * float64(limitGap)) {
		f := Fault{At: at, Length: limitLength, Kind: StateRateLimit}
		for i := range f.Draws {
			f.Draws[i] = random.Uint64()
		}
		plan = append(plan, f)
	}
	return plan
}

// stateRateLimit makes a server, or all of a service, state a rate limit. When the fault
// ends they state none.
func (r *run) stateRateLimit(f Fault) (end func()) {
	ids := r.someServers(f)
	text := statedLimits[f.pick(1, len(statedLimits))]
	r.note("%s state a rate limit of %q for %s", strings.Join(ids, " "), text, f.Length)
	for _, id := range ids {
		r.deployment.Servers[id].SetRateLimit(text)
	}
	return func() {
		for _, id := range ids {
			r.deployment.Servers[id].SetRateLimit("")
		}
	}
}

// incarnation is one incarnation of a server.
type incarnation struct {
	server  string
	started int64
}

// checkRateLimits finds servers that got more requests than their rate limit allows.
func (l *ledger) checkRateLimits() {
	byServer := make(map[incarnation][]sending)
	for p, list := range l.pairings() {
		key := incarnation{p.server, p.started}
		byServer[key] = append(byServer[key], list...)
	}
	for server, list := range byServer {
		slices.SortFunc(list, func(a, b sending) int { return a.arrival.At.Compare(b.arrival.At) })
		for _, stated := range limitedPeriods(list) {
			l.checkPeriod(server, stated)
		}
	}
}

// limitedPeriods returns the runs of arrivals at a server in which it stated the same
// limit.
func limitedPeriods(list []sending) [][]sending {
	var periods [][]sending
	for i, s := range list {
		if _, limited := parseLimit(s.arrival.RateLimit); !limited {
			continue
		}
		if i == 0 || list[i-1].arrival.RateLimit != s.arrival.RateLimit {
			periods = append(periods, nil)
		}
		last := len(periods) - 1
		periods[last] = append(periods[last], s)
	}
	return periods
}

// parseLimit returns the rate limit in a text and reports whether it is one.
func parseLimit(text string) (perSecond float64, limited bool) {
	perSecond, err := strconv.ParseFloat(text, 64)
	return perSecond, err == nil && perSecond >= 0 && !math.IsInf(perSecond, 0)
}

// checkPeriod checks the requests that reached a server while it stated a limit. Requests
// count that were sent by a process which had forwarded a response with the limit before,
// unless the process was disturbed since.
func (l *ledger) checkPeriod(server incarnation, period []sending) {
	perSecond, _ := parseLimit(period[0].arrival.RateLimit)
	allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack
	from := period[0].arrival.At.Add(limitGrace)
	forwardedAt := make(map[process]time.Time)
	var counted []time.Time
	for _, s := range period {
		p := process{s.call.entry, s.call.lifetime}
		if at, known := forwardedAt[p]; known && s.arrival.At.Sub(at) >= limitSlackTime && s.arrival.At.After(from) &&
			!l.disturbed(p.entry, server.server, at.Add(-longestFault), s.arrival.At) {
			counted = append(counted, s.arrival.At)
		}
		if at, known := forwardedAt[p]; s.call.status == 200 && s.call.whole && (!known || s.call.ended.Before(at)) {
			forwardedAt[p] = s.call.ended
		}
	}
	first := 0
	for i, at := range counted {
		for at.Sub(counted[first]) > limitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			l.violateLocked("rate limit: %d requests reached %s within %s, which had stated %s a second",
				n, server.server, limitWindow, period[0].arrival.RateLimit)
			return
		}
	}
}
