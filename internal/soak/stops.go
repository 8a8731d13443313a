package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the planned stops in the calm phase.
const (
	// stopTimeout is that of every process. It is shorter than the time that callers give to
	// a request and the time in which an entry that stops takes requests together.
	stopTimeout = 3500 * time.Millisecond
	// slowWork is the time of a request at the slow server. Some of the requests that are
	// sent there during a stop can't end before it does.
	slowWork = 2400 * time.Millisecond
	// stopGap is between the planned stops of two entries.
	stopGap = 2 * time.Second
	// stopCallers callers each send a request to an entry that stops, at this interval.
	stopCallers      = 14
	stopCallInterval = 100 * time.Millisecond
	// stopsAtMost bounds the planned stops of a large deployment.
	stopsAtMost = 6
	// readSlack is the time within which the connection of a request that a process does not
	// read is closed, beside load.
	readSlack = time.Second
)

// checkStops stops entries one after the other, under load, while one of the servers is
// slow.
func (r *run) checkStops(ctx context.Context) {
	begun := time.Now()
	restore := r.slowDown()
	var callers sync.WaitGroup
	stops := 0
	for _, m := range r.entryMachines() {
		if stops >= stopsAtMost {
			break
		}
		stops++
		stopped := r.callDuringStop(ctx, m, &callers)
		r.note("calm: terminate %s", m.Name)
		m.signal(syscall.SIGTERM)
		stopped()
		pause(ctx, stopGap)
	}
	callers.Wait()
	restore()
	pause(ctx, settleTime)
	r.ledger.checkStops(begun)
}

// callDuringStop connects callers to an entry. They send their requests once the function
// returned was called.
func (r *run) callDuringStop(ctx context.Context, m *machine, callers *sync.WaitGroup) (stopped func()) {
	begin := make(chan struct{})
	var connected sync.WaitGroup
	for i := range stopCallers {
		c := &caller{
			run:       r,
			domain:    m.Domain,
			random:    rand.New(rand.NewPCG(r.seed, uint64(r.attempts.Add(1)))),
			client:    &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableCompression: true}},
			addresses: []string{r.deployment.Front(m.Machine)},
			until:     time.Now().Add(callTimeout + stopGap),
			keeps:     1,
		}
		connected.Add(1)
		callers.Go(func() {
			defer c.client.CloseIdleConnections()
			c.one()
			connected.Done()
			<-begin
			if paused(ctx, time.Duration(i)*stopCallInterval) {
				c.one()
			}
		})
	}
	connected.Wait()
	return func() { close(begin) }
}

// slowDown makes a plain server slow; the function returned restores it.
func (r *run) slowDown() (restore func()) {
	for _, id := range r.servers {
		if !strings.HasPrefix(id, "i-plain") {
			continue
		}
		r.note("calm: %s is slow", id)
		server := r.deployment.Servers[id]
		before := server.SetWork(slowWork)
		return func() { server.SetWork(before) }
	}
	return func() {}
}

// checkStops finds calls that were sent after a time and cut off: they ran, or the process
// must have read them, since their connection was not closed at once.
func (l *ledger) checkStops(begun time.Time) {
	for _, c := range l.since(begun) {
		if c.whole {
			continue
		}
		open := c.ended.Sub(c.sent)
		switch {
		case l.hasRun(c.attempt):
			l.violate("stops: %s at %s was cut off after %s", c.attempt, c.entry, open)
		case open > readSlack:
			l.violate("stops: %s at %s was read and not answered in %s", c.attempt, c.entry, open)
		}
	}
}
