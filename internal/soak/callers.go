package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Times of a caller.
const (
	callTimeout = 3500 * time.Millisecond
	// callerPatience is the time that a caller says it waits.
	callerPatience = 2800 * time.Millisecond
	thinkTime      = 15 * time.Millisecond
)

var attempts atomic.Int64

// caller asks for addresses, keeps the answer, and sends requests over connections
// that it keeps open until the process is gone.
type caller struct {
	run       *run
	domain    string
	random    *rand.Rand
	client    *http.Client
	addresses []string
	until     time.Time
}

// startCallers starts the callers; the function returned ends them.
func (r *run) startCallers(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var ended sync.WaitGroup
	for i := range r.callers {
		c := &caller{
			run:    r,
			domain: r.machines[i%len(r.deployment.Entries)].Domain,
			random: rand.New(rand.NewPCG(r.seed, uint64(100+i))),
			client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableCompression: true}},
		}
		ended.Go(func() {
			for ctx.Err() == nil {
				c.one()
				pause(ctx, thinkTime)
			}
			c.client.CloseIdleConnections()
		})
	}
	return func() {
		cancel()
		ended.Wait()
	}
}

func (c *caller) one() {
	if time.Now().After(c.until) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return
	}
	at := c.addresses[c.random.IntN(len(c.addresses))]
	number := attempts.Add(1)
	q := call{attempt: fmt.Sprintf("s%d-%d", c.run.seed, number), key: c.run.ledger.key(c.random.IntN)}
	method := http.MethodPost
	switch c.random.IntN(4) {
	case 0, 1:
		q.path = fmt.Sprintf("%sd%d", standin.PathStream, number)
		q.want, q.idempotent = streamOf(q.path), true
	case 2:
		q.path = fmt.Sprintf("%sr%d", standin.PathRead, number)
		q.want, q.idempotent = standin.Body(q.path), true
		method = http.MethodGet
	case 3:
		q.path = fmt.Sprintf("%sp%d", standin.PathPublish, number)
		q.want = standin.Body(q.path)
	}
	if c.send(method, at, q) == 0 {
		c.until = time.Time{} // ask again after a failure
	}
}

// resolve asks any entry for addresses.
func (c *caller) resolve() {
	entries := c.run.deployment.Entries
	for range 3 {
		m := entries[c.random.IntN(len(entries))]
		addresses, ttl, err := c.run.deployment.Resolve(m, c.domain)
		if err != nil || len(addresses) == 0 {
			continue
		}
		c.addresses = addresses
		c.until = time.Now().Add(ttl)
		return
	}
}

// send makes one call and records its end.
func (c *caller) send(method, at string, q call) int {
	q.sent = time.Now()
	q.entry = at
	request, err := standin.NewRequest(method, at, q.path, q.attempt, q.key, callerPatience)
	if err != nil {
		c.run.ledger.violate("soak: %v", err)
		return 0
	}
	response, err := c.client.Do(request)
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		q.status, q.body, q.whole = response.StatusCode, string(body), readErr == nil
	}
	c.run.ledger.answered(q)
	return q.status
}

func streamOf(path string) string {
	var b strings.Builder
	for n := range standin.Events(path) {
		b.WriteString(standin.Event(path, n+1))
	}
	return b.String()
}

// calmPhase checks what must hold without faults: changes in force everywhere in
// time, planned stops that cut nothing off, a leaving server without new work.
func (r *run) calmPhase(ctx context.Context) {
	r.note("calm: a route is added")
	begun := time.Now()
	route := r.extraRoutes() + 1
	r.deployment.AddRoutes(1)
	for _, m := range r.machines {
		if m.role == "entry" {
			r.checkRoute(ctx, m, standin.PathExtra(route), begun)
		}
	}
	stops := time.Now()
	for _, m := range r.machines {
		if m.role == "entry" {
			r.note("calm: terminate %s", m.Name)
			m.signal(syscall.SIGTERM)
			pause(ctx, 2*time.Second)
		}
	}
	pause(ctx, settleTime)
	for _, c := range r.ledger.since(stops) {
		if c.status == 0 && r.ranWhole(c) {
			r.ledger.violate("stops: %s at %s was cut off", c.attempt, c.entry)
		}
	}
	served := 0
	all := r.ledger.since(time.Now().Add(-3 * time.Second))
	for _, c := range all {
		if c.status == 200 && c.whole || c.status == 401 {
			served++
		}
	}
	if served*10 < len(all)*9 {
		r.ledger.violate("recovery: only %d of %d calls are served after the faults", served, len(all))
	}
}

// ranWhole reports whether a server worked on a call that got no answer.
func (r *run) ranWhole(c call) bool {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	return len(r.ledger.runs[c.attempt]) > 0
}

func (r *run) extraRoutes() int {
	n := 0
	for _, line := range r.schedule {
		if strings.HasSuffix(line, "a route is added") {
			n++
		}
	}
	return n - 1 // the note of the calm phase itself
}

// checkRoute waits until an entry serves a route, for as long as it may take.
func (r *run) checkRoute(ctx context.Context, m *machine, prefix string, begun time.Time) {
	c := &caller{run: r, client: &http.Client{Timeout: callTimeout}}
	for ctx.Err() == nil {
		number := attempts.Add(1)
		path := fmt.Sprintf("%sc%d", prefix, number)
		q := call{attempt: fmt.Sprintf("s%d-%d", r.seed, number), key: standin.Key, path: path, want: standin.Body(path), idempotent: true}
		if c.send(http.MethodGet, r.deployment.Front(m.Machine), q) == http.StatusOK {
			return
		}
		if time.Since(begun) > calmBound {
			r.ledger.violate("configuration: %s does not serve a route %s after it was added", m.Name, time.Since(begun))
			return
		}
		pause(ctx, 50*time.Millisecond)
	}
}
