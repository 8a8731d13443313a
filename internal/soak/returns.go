package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Times of returns of the store from an older copy of itself.
const (
	// returnGap is the mean time between two faults of this kind, and longestLost the longest
	// time whose writes are lost.
	returnGap   = 6 * time.Second
	longestLost = 4 * time.Second
	// writersPause is the longest time until the operator and the servers begin to write
	// again what was lost, and rowsPause the longest between two rows.
	writersPause = 800 * time.Millisecond
	rowsPause    = 60 * time.Millisecond
	// longestHold is the longest time before a return in which writes are held.
	longestHold = 150 * time.Millisecond
	// againPause is the longest time between two returns in quick succession.
	againPause = 700 * time.Millisecond
	// servedBound is the time after everything was written again until requests are served
	// as before, servedSpan how long they are looked at, and servedWindow the time in which
	// nine tenths must be served.
	servedBound  = 2 * time.Second
	servedSpan   = 4 * time.Second
	servedWindow = 500 * time.Millisecond
	// leastOfWindow is the number of calls that a window needs to count.
	leastOfWindow = 10
)

// returnPlan returns the faults in which the store comes back from an older copy. They have a
// source of random numbers of their own.
func returnPlan(seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 8))
	var plan []Fault
	for at := time.Duration(random.Float64() * float64(returnGap)); at < duration; at += time.Duration(random.ExpFloat64() * float64(returnGap)) {
		f := Fault{At: at, Length: time.Duration(random.Int64N(int64(longestLost))), Kind: ReturnStore}
		for i := range f.Draws {
			f.Draws[i] = random.Uint64()
		}
		plan = append(plan, f)
	}
	return plan
}

// returnStore keeps a copy of the store, from which the store comes back at the end.
func (r *run) returnStore(number int, f Fault) (end func()) {
	older := r.deployment.Store.Copy()
	random := rand.New(rand.NewPCG(f.Draws[0], f.Draws[1]))
	return func() {
		r.storeDisturbed.begin(number)
		defer r.storeDisturbed.finish(number)
		r.comeBack(older, f.Length, random)
	}
}

// comeBack lets the store come back from a copy, now and then twice, with the polls that wait
// answered, cut or left hanging. It returns when everything was written again, in any order.
// Returns do not overlap: the writers of one have ended before the next.
func (r *run) comeBack(older standin.Copy, lostTime time.Duration, random *rand.Rand) {
	r.returning.Lock()
	defer r.returning.Unlock()
	ways := [][]standin.RestoreOption{nil, {standin.WithCutFeeds()}, {standin.WithHangingFeeds()}}
	way, twice := random.IntN(len(ways)), random.IntN(3) == 0
	r.note("the store comes back from a copy that is %s old, polls %d, twice: %t", lostTime, way, twice)
	release := r.deployment.Store.HoldWrites() // what comes now is written after the return
	time.Sleep(time.Duration(random.Int64N(int64(longestHold))))
	lost := r.deployment.Store.Restore(older, ways[way]...)
	release()
	var newer []standin.LostWrite // written between two returns
	if twice {
		time.Sleep(time.Duration(random.Int64N(int64(againPause))))
		newer = r.deployment.Store.Restore(older, ways[way]...)
	}
	time.Sleep(time.Duration(random.Int64N(int64(writersPause))))
	r.writeAgain(newer, random)
	r.writeAgain(lost, random)
	r.note("everything is written again, %d rows", len(lost)+len(newer))
}

// writeAgain writes lost rows in random order. A row that is there in a newer version stays.
func (r *run) writeAgain(lost []standin.LostWrite, random *rand.Rand) {
	for _, n := range random.Perm(len(lost)) {
		time.Sleep(time.Duration(random.Int64N(int64(rowsPause))))
		r.deployment.Store.WriteAgain(lost[n])
	}
}

// storeReturn is a return of the store without any other fault.
type storeReturn struct {
	at      time.Time
	written time.Time // when everything had been written again
	until   time.Time // the end of what is looked at
	route   int       // added in the lost time, and served by all entries before the return
}

// checkReturn lets the store come back from a copy that is older than a route that all entries
// serve, and than a revocation whose bound is over.
func (r *run) checkReturn(ctx context.Context) {
	older, begun := r.deployment.Store.Copy(), time.Now()
	route := r.addRoute()
	r.rotateKey()
	for _, m := range r.entryMachines() {
		r.checkRoute(ctx, m, standin.PathExtra(route), begun)
	}
	pause(ctx, time.Until(begun.Add(revocation+contactTime)))
	back := storeReturn{at: time.Now(), route: route}
	r.comeBack(older, time.Since(begun), rand.New(rand.NewPCG(r.seed, 9)))
	back.written = time.Now()
	back.until = back.written.Add(servedBound + servedSpan)
	pause(ctx, time.Until(back.until))
	r.ledger.returnedFrom(back)
}

// returnedFrom records a return whose time is over.
func (l *ledger) returnedFrom(b storeReturn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returns = append(l.returns, b)
}

// checkReturns finds, after each return without other faults, calls by an older
// configuration, and times in which calls are not served as before.
func (l *ledger) checkReturns() {
	for _, b := range l.returns {
		windows := make([]servedCalls, servedSpan/servedWindow)
		for _, c := range l.calls {
			if c.sent.Before(b.at) || !c.sent.Before(b.until) {
				continue
			}
			if c.status == http.StatusNotFound && c.route > 0 && c.route <= b.route {
				l.violateLocked("return: %s got 404 for route %d at %s, %s after the store's return", c.attempt, c.route, c.entry, c.sent.Sub(b.at))
			}
			if after := c.sent.Sub(b.written.Add(servedBound)); after >= 0 {
				windows[after/servedWindow].add(c)
			}
		}
		for i, w := range windows {
			if w.calls >= leastOfWindow && w.served*10 < w.calls*9 {
				l.violateLocked("return: only %d of %d calls are served %s after everything was written again", w.served, w.calls, servedBound+time.Duration(i)*servedWindow)
			}
		}
	}
}

// servedCalls counts calls and those that were served.
type servedCalls struct {
	calls, served int
}

// add counts a call. One with a key that does not work is served by its refusal.
func (s *servedCalls) add(c call) {
	s.calls++
	if c.status == http.StatusOK && c.whole || c.status == http.StatusUnauthorized {
		s.served++
	}
}
