package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// recoverySpan is the last part of the calm phase, in which nearly all must be served.
const recoverySpan = 3 * time.Second

// calmPhase checks what must hold without faults: changes in force everywhere in time,
// new weights within their bound, also where requests wait, streams that end at their time left whole, an endpoint that leaves without new work, planned
// stops that cut nothing off, endpoints that left while all entries started without new work,
// and nearly all calls served.
func (r *run) calmPhase(ctx context.Context) {
	r.ledger.namedInCalm(r.nameWeights())
	leaving := r.engines[len(r.engines)-1]
	r.note("calm: %s leaves", leaving)
	r.ledger.leaves(leaving, time.Now())
	r.deployment.Servers[leaving].Drain()
	begun := time.Now()
	route := r.addRoute()
	for _, m := range r.machines {
		if m.role == "entry" {
			r.checkRoute(ctx, m, standin.PathExtra(route), begun)
		}
	}
	r.checkStops(ctx)
	r.checkWaits(ctx)
	r.checkEnds(ctx)
	r.checkDeadlyPart(ctx)
	r.checkReturn(ctx)
	r.checkRestart(ctx)
	pause(ctx, settleTime)
	r.checkRecovery()
}

func (r *run) checkRecovery() {
	all := r.ledger.since(time.Now().Add(-recoverySpan))
	served := 0
	for _, c := range all {
		if c.status == http.StatusOK && c.whole || c.status == http.StatusUnauthorized {
			served++
		}
	}
	if len(all) == 0 || served*10 < len(all)*9 {
		r.ledger.violate("recovery: only %d of %d calls are served after the faults", served, len(all))
	}
}

// checkRoute waits until an entry serves a route, for as long as it may take.
func (r *run) checkRoute(ctx context.Context, m *machine, prefix string, begun time.Time) {
	c := &caller{run: r, client: &http.Client{Timeout: callTimeout}}
	for ctx.Err() == nil {
		number := r.attempts.Add(1)
		path := fmt.Sprintf("%sc%d", prefix, number)
		q := call{attempt: fmt.Sprintf("s%d-%d", r.seed, number), key: standin.Key, path: path, want: standin.Body(path), idempotent: true}
		if c.send(http.MethodGet, r.deployment.Front(m.Machine), q) == http.StatusOK {
			return
		}
		if time.Since(begun) > calmBound {
			r.ledger.violate("configuration: %s does not serve a route %s after it was added, %s", m.Name, time.Since(begun), strings.TrimSuffix(prefix, "/"))
			return
		}
		pause(ctx, 50*time.Millisecond)
	}
}
