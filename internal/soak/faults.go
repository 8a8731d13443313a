package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// meanGap is the mean time between two faults; each lasts up to longestFault, so
// that they overlap.
const (
	meanGap      = 900 * time.Millisecond
	longestFault = 4 * time.Second
)

// storeFault decides on a call to the store by the machine that makes it.
func (r *run) storeFault(q *http.Request) standin.Fault {
	r.mu.Lock()
	fault := r.fault
	r.mu.Unlock()
	if fault == nil {
		return standin.FaultNone
	}
	ip, _, err := net.SplitHostPort(q.RemoteAddr)
	if err != nil {
		return standin.FaultNone
	}
	return fault(ip)
}

func (r *run) setStoreFault(fault func(ip string) standin.Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

// injectFaults injects faults at random until the duration is over. Each fault has
// its own end, so that several are there at a time.
func (r *run) injectFaults(ctx context.Context) {
	var ends sync.WaitGroup
	defer ends.Wait()
	for time.Since(r.started) < r.duration && ctx.Err() == nil {
		length := time.Duration(r.random.Float64() * float64(longestFault))
		end := r.injectOne(length)
		ends.Go(func() {
			pause(ctx, length)
			end()
		})
		pause(ctx, time.Duration(r.random.ExpFloat64()*float64(meanGap)))
	}
}

// injectOne begins a fault and returns what ends it.
func (r *run) injectOne(length time.Duration) func() {
	nothing := func() {}
	m := r.machines[r.random.IntN(len(r.machines))]
	switch kind := r.random.IntN(15); kind {
	case 0:
		r.note("kill %s", m.Name)
		m.signal(syscall.SIGKILL)
	case 1:
		r.note("terminate %s", m.Name)
		m.signal(syscall.SIGTERM)
	case 2:
		r.note("pause %s for %s", m.Name, length)
		m.signal(syscall.SIGSTOP)
		return m.resume
	case 3:
		r.note("hang up %s", m.Name)
		m.signal(syscall.SIGHUP)
	case 4, 5:
		return r.failStore(length)
	case 6:
		r.note("the store forgets its history")
		r.deployment.Store.Compact()
	case 7, 8:
		return r.failServer(length)
	case 9:
		r.note("a route is added")
		r.deployment.AddRoutes(1)
	case 10:
		r.rotateKey()
	case 11, 12, 13:
		return r.disturbLink(length)
	case 14:
		r.version++
		r.note("version %d of the weights is named", r.version)
		r.deployment.NameWeights(r.version)
	}
	return nothing
}

// disturbLink disturbs the connections to the store, the origin or a server.
func (r *run) disturbLink(length time.Duration) func() {
	p := r.proxies[r.random.IntN(len(r.proxies))]
	at := p.listener.Addr()
	switch kind := r.random.IntN(6); kind {
	case 0:
		r.note("connections to %s are reset", at)
		p.resetAll()
	case 1:
		r.note("open connections to %s go silent", at)
		p.muteAll()
	default:
		d := disturbance(kind - 1)
		r.note("connections to %s are disturbed (%d) for %s", at, d, length)
		p.disturb(d)
	}
	return func() { p.disturb(passing) }
}

// failStore lets the store fail for all machines or for some of them.
func (r *run) failStore(length time.Duration) func() {
	kinds := []standin.Fault{standin.FaultBusy, standin.FaultLimited, standin.FaultReset, standin.FaultSilent, standin.FaultLost}
	kind := kinds[r.random.IntN(len(kinds))]
	share := r.random.Float64()
	whom := make(map[string]bool)
	for _, m := range r.machines {
		whom[m.IP] = share > 0.7 || r.random.Float64() < share
	}
	r.note("the store fails (%d) for %.1f of the machines for %s", kind, min(share/0.7, 1), length)
	r.setStoreFault(func(ip string) standin.Fault {
		if whom[ip] {
			return kind
		}
		return standin.FaultNone
	})
	return func() { r.setStoreFault(nil) }
}

// failServer lets a server spoil part of its answers.
func (r *run) failServer(length time.Duration) func() {
	ids := make([]string, 0, len(r.deployment.Servers))
	for d := range r.domains {
		for a := range r.agents {
			ids = append(ids, fmt.Sprintf("i-engine-%d-%d", d+1, a+1))
		}
		ids = append(ids, fmt.Sprintf("i-plain-%d-1", d+1))
	}
	id := ids[r.random.IntN(len(ids))]
	kind := standin.Breakage(1 + r.random.IntN(4))
	r.note("%s spoils a third of its answers (%d) for %s", id, kind, length)
	s := r.deployment.Servers[id]
	var mu sync.Mutex
	n := 0
	s.SetBroken(func() standin.Breakage {
		mu.Lock()
		defer mu.Unlock()
		n++
		if n%3 == 0 {
			return kind
		}
		return standin.BreakNone
	})
	return func() { s.SetBroken(func() standin.Breakage { return standin.BreakNone }) }
}

// rotateKey adds a key and takes the one before the last away.
func (r *run) rotateKey() {
	r.keys++
	key := func(n int) string { return fmt.Sprintf("%s-%d", standin.Key, n) }
	r.note("key %d is added, key %d is taken away", r.keys, r.keys-2)
	keep := []string{standin.Key, key(r.keys)}
	if r.keys > 1 {
		keep = append(keep, key(r.keys-1))
	}
	r.deployment.SetKeys(keep...)
	r.ledger.keyAdded(key(r.keys))
	if r.keys > 2 {
		r.ledger.keyRemoved(key(r.keys - 2))
	}
}
