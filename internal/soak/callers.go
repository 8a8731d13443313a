package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Times of a caller.
const (
	callTimeout = 3500 * time.Millisecond
	// callerTimeout is the timeout that a caller sends with its requests.
	callerTimeout = 2800 * time.Millisecond
	// impatientShare of the streams are given up early while requests wait at engines: after
	// leastPatience or up to morePatience later.
	impatientShare = 0.3
	leastPatience  = 200 * time.Millisecond
	morePatience   = 1500 * time.Millisecond
	thinkTime      = 15 * time.Millisecond
)

// caller requests addresses, caches the response, and sends requests over connections
// that it keeps open until the process is gone.
type caller struct {
	run       *run
	domain    string
	random    *rand.Rand
	client    *http.Client
	addresses []string
	until     time.Time
	keeps     int // how many times longer than allowed it keeps an answer
}

// newCaller returns a caller, which a number identifies.
func (r *run) newCaller(number int) *caller {
	return &caller{
		run:    r,
		domain: r.machines[number%len(r.deployment.Entries)].Domain,
		random: r.newRandom(number),
		keeps:  1,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableCompression: true}},
	}
}

// startCallers starts the callers; the function returned ends them.
func (r *run) startCallers(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var ended sync.WaitGroup
	for i := range r.callers {
		c := r.newCaller(i)
		if i%3 == 2 {
			c.keeps = 3
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
	number := c.run.attempts.Add(1)
	q := call{attempt: fmt.Sprintf("s%d-%d", c.run.seed, number), key: c.run.ledger.key(c.random.IntN)}
	method := http.MethodPost
	switch c.random.IntN(5) {
	case 0, 1:
		q = c.stream(q, standin.PathStream, number)
		q.idempotent = true
	case 2:
		q.path = fmt.Sprintf("%sr%d", standin.PathRead, number)
		q.want, q.idempotent = standin.Body(q.path), true
		method = http.MethodGet
	case 3:
		q.path = fmt.Sprintf("%sp%d", standin.PathPublish, number)
		q.want = standin.Body(q.path)
	case 4:
		q = c.extra(q, number)
		method = http.MethodGet
	}
	if c.send(method, at, q) == 0 {
		c.until = time.Time{} // resolve again after a failure
	}
}

// stream makes a call on a route of streams.
func (c *caller) stream(q call, prefix string, number int64) call {
	q.path = fmt.Sprintf("%sd%d", prefix, number)
	q.want = streamOf(q.path)
	q.parts = c.run.promptParts(c.random, number)
	q.giveUpAfter = c.giveUpAfter()
	return q
}

// sendStreams sends a stream at each interval to an entry, without waiting for those before,
// until ctx ends: in turn one that may be resumed and one that may not. It returns when all
// have ended.
func (c *caller) sendStreams(ctx context.Context, interval time.Duration) {
	var ended sync.WaitGroup
	entries := c.run.deployment.Entries
	for paused(ctx, interval) {
		at := c.run.deployment.Front(entries[c.random.IntN(len(entries))])
		number := c.run.attempts.Add(1)
		q := call{attempt: fmt.Sprintf("s%d-%d", c.run.seed, number), key: standin.Key, idempotent: number%2 == 0}
		prefix := standin.PathOnce
		if q.idempotent {
			prefix = standin.PathStream
		}
		q = c.stream(q, prefix, number)
		ended.Go(func() { c.send(http.MethodPost, at, q) })
	}
	ended.Wait()
	c.client.CloseIdleConnections()
}

// extra makes a call on one of the added routes, or on the read route where there is
// none yet.
func (c *caller) extra(q call, number int64) call {
	prefix := standin.PathRead
	if routes := int(c.run.routes.Load()); routes > 0 {
		q.route = 1 + c.random.IntN(routes)
		prefix = standin.PathExtra(q.route)
	}
	q.path = fmt.Sprintf("%se%d", prefix, number)
	q.want, q.idempotent = standin.Body(q.path), true
	return q
}

// resolve requests the addresses from any entry.
func (c *caller) resolve() {
	entries := c.run.deployment.Entries
	for range 3 {
		m := entries[c.random.IntN(len(entries))]
		addresses, ttl, err := c.run.deployment.Resolve(m, c.domain)
		if err != nil || len(addresses) == 0 {
			continue
		}
		c.addresses = addresses
		c.until = time.Now().Add(time.Duration(c.keeps) * ttl)
		return
	}
}

// giveUpAfter returns the time after which the caller cancels a stream.
func (c *caller) giveUpAfter() time.Duration {
	if c.run.waits.Load() == 0 || c.random.Float64() >= impatientShare {
		return callTimeout
	}
	return leastPatience + time.Duration(c.random.Int64N(int64(morePatience)))
}

// send makes one call and records its end.
func (c *caller) send(method, at string, q call) int {
	if q.giveUpAfter == 0 {
		q.giveUpAfter = callTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.giveUpAfter)
	defer cancel()
	q.sent = time.Now()
	q.budget = callerTimeout
	q.entry = at
	lifetime := c.run.lifetime(at)
	request, err := standin.NewRequest(method, at, q.path, q.attempt, q.key, callerTimeout)
	if err != nil {
		c.run.ledger.violate("soak: %v", err)
		return 0
	}
	if len(q.parts) > 0 {
		standin.SetPrompt(request, q.parts...)
	}
	c.run.ledger.sending(q.attempt)
	observed := &kept{}
	response, err := c.client.Do(request.WithContext(httptrace.WithClientTrace(ctx, observed.trace())))
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		q.status, q.body, q.whole = response.StatusCode, string(body), readErr == nil
	}
	q.ended, q.closed = time.Now(), observed.closedAt()
	if !q.whole && ctx.Err() != nil {
		q.left = q.sent.Add(q.giveUpAfter)
	}
	if c.run.lifetime(at) == lifetime {
		q.lifetime = lifetime
	}
	c.run.ledger.answered(q)
	return q.status
}

// lifetime returns which lifetime of its process an entry is in, 0 for no entry.
func (r *run) lifetime(front string) int64 {
	for _, m := range r.machines {
		if m.role == "entry" && r.deployment.Front(m.Machine) == front {
			return m.lifetime.Load()
		}
	}
	return 0
}

func streamOf(path string) string {
	var b strings.Builder
	for n := range standin.Events(path) {
		b.WriteString(standin.Event(path, n+1))
	}
	return b.String()
}
