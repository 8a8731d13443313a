package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// call is one request of a caller and its answer.
type call struct {
	attempt     string
	path        string
	key         string
	parts       []string // of a stream's prompt, the call's own last
	idempotent  bool
	route       int // number of the added route, 0 for another one
	sent, ended time.Time
	budget      time.Duration // the time that it may take
	giveUpAfter time.Duration // the time after which the caller gives up
	left        time.Time     // when the caller gave up, zero if it did not
	// closed is when the kept connection was closed and the client sent the call once more by
	// itself, zero if that did not happen.
	closed   time.Time
	entry    string
	lifetime int64 // of the entry's process, 0 if it ended meanwhile
	status   int   // 0 for a connection that broke
	body     string
	whole    bool
	want     string
}

// ledger holds what callers and servers saw and checks it against the promises. It
// is safe for concurrent use.
type ledger struct {
	mu         sync.Mutex
	calls      map[string]call
	runs       map[string][]standin.Run // by attempt
	served     int
	removed    map[string]time.Time // keys that were taken away, and when
	keys       []string             // keys that callers may use
	leaving    map[string]time.Time // servers that leave, and since when
	arrivals   []standin.Arrival
	disturbed  func(front, server string, from, until time.Time) bool
	departures map[incarnation][]departure
	// inTouchSince returns the time since which bounds count for the process at an address
	// and its way to a server, as of a time.
	inTouchSince func(front, server string, until time.Time) time.Time
	// calmSince returns the time since which the store was stable and no link was disturbed,
	// as of a time.
	calmSince   func(until time.Time) time.Time
	namings     []naming
	withdrawals []standin.Withdrawal
	finishes    map[string][]standin.Finish // by attempt
	sent        map[string]time.Time        // when calls were sent, by attempt
	planned     plannedWork
	taken       int      // calls that got a stream as whole which its engine ended in good order
	ends        []string // how many requests ended without an answer, by occasion
	// soundSince is inTouchSince, but for disturbances of the store and planned stops.
	soundSince func(front, server string, until time.Time) time.Time
	returns    []storeReturn
	violations []string
}

func newLedger() *ledger {
	return &ledger{
		calls:   make(map[string]call),
		runs:    make(map[string][]standin.Run),
		removed: make(map[string]time.Time),
		keys:    []string{standin.Key},
		leaving: make(map[string]time.Time),

		departures: make(map[incarnation][]departure),
		finishes:   make(map[string][]standin.Finish),
		sent:       make(map[string]time.Time),

		disturbed:    func(string, string, time.Time, time.Time) bool { return false },
		inTouchSince: func(string, string, time.Time) time.Time { return time.Time{} },
		calmSince:    func(time.Time) time.Time { return time.Time{} },
		soundSince:   func(string, string, time.Time) time.Time { return time.Time{} },
	}
}

func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(format, args...)
}

func (l *ledger) violateLocked(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// ran records that a server began to work on a request.
func (l *ledger) ran(r standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Attempt] = append(l.runs[r.Attempt], r)
	if r.Key != "" {
		l.violateLocked("keys: the key of %s was passed on", r.Attempt)
	}
	if r.Account != standin.Account {
		l.violateLocked("accounts: %s ran for account %q", r.Attempt, r.Account)
	}
}

// leaves records that a server leaves, without any fault.
func (l *ledger) leaves(server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[server] = at
}

// hasRun reports whether a server worked on a call.
func (l *ledger) hasRun(attempt string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[attempt]) > 0
}

func (l *ledger) keyAdded(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys = append(l.keys, key)
}

// keyRemoved keeps the key among those that callers use: a revoked one must not
// work.
func (l *ledger) keyRemoved(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removed[key] = time.Now()
}

// key returns one of the keys.
func (l *ledger) key(draw func(n int) int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[draw(len(l.keys))]
}

// answered records the end of a call.
func (l *ledger) answered(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[c.attempt] = c
	if c.status != 200 {
		return
	}
	switch {
	case c.whole && c.body == c.want:
		l.served++
	case c.whole && strings.HasPrefix(c.want, c.body) && l.endedInOrder(c.attempt):
		l.taken++
		l.violateLocked("answers: %s was ended in good order before it was complete, and taken for whole", c.attempt)
	case c.whole:
		l.violateLocked("answers: %s %s got another body as whole: %.80q, want %.80q", c.attempt, c.path, c.body, c.want)
	case len(c.body) > len(c.want) || c.body != c.want[:len(c.body)]:
		l.violateLocked("answers: %s %s got bytes that are not its answer's: %.80q", c.attempt, c.path, c.body)
	}
}

// notRun reports whether a status promises that the request did not and will not
// run.
func notRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// conclude checks what can be decided only when every run is known.
func (l *ledger) conclude() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for attempt, c := range l.calls {
		l.checkCall(attempt, c, l.runs[attempt])
	}
	for attempt, runs := range l.runs {
		if _, known := l.calls[attempt]; !known {
			l.violateLocked("requests: %s ran and no caller sent it", attempt)
		}
		for _, run := range runs {
			l.checkRun(run)
		}
	}
	l.checkReverts()
	l.checkRepeats()
	l.checkBackpressure()
	l.checkRateLimits()
	l.checkDepartures()
	l.checkGone()
	l.checkExtended()
	l.checkLost()
	l.noteInOrder()
	l.checkReturns()
}

func (l *ledger) checkCall(attempt string, c call, runs []standin.Run) {
	if !c.idempotent && len(runs) > 1 {
		l.violateLocked("at most once: %s ran %d times", attempt, len(runs))
	}
	if !c.idempotent && notRun(c.status) && len(runs) > 0 {
		l.violateLocked("not run: %s was answered %d and ran at %s", attempt, c.status, runs[0].Server)
	}
	if at, gone := l.removed[c.key]; gone && len(runs) > 0 && c.sent.Sub(at) > revocation {
		l.violateLocked("revoked: %s ran %s after its key was taken away", attempt, c.sent.Sub(at))
	}
	for _, run := range runs {
		if run.Target != c.path {
			l.violateLocked("requests: %s ran as %s, not %s", attempt, run.Target, c.path)
		}
	}
}

func (l *ledger) checkRun(run standin.Run) {
	if at, leaves := l.leaving[run.Server]; leaves && run.Began.Sub(at) > drainBound {
		l.violateLocked("leaving: %s ran at %s %s after it signaled that it leaves", run.Attempt, run.Server, run.Began.Sub(at))
	}
	l.checkVersion(run)
	l.checkDeadline(run)
}

// process is one lifetime of an entry's process.
type process struct {
	entry    string
	lifetime int64
}

// checkReverts finds processes that served an added route and did not know it later.
func (l *ledger) checkReverts() {
	served := make(map[process][]call)
	for _, c := range l.calls {
		if c.route > 0 && c.lifetime > 0 && c.status == 200 {
			p := process{c.entry, c.lifetime}
			served[p] = append(served[p], c)
		}
	}
	for _, c := range l.calls {
		if c.route == 0 || c.lifetime == 0 || c.status != 404 {
			continue
		}
		for _, before := range served[process{c.entry, c.lifetime}] {
			if before.route >= c.route && c.sent.Sub(before.ended) > revertSlack {
				l.violateLocked("configuration: %s got 404 for route %d at %s, which had served route %d", c.attempt, c.route, c.entry, before.route)
				break
			}
		}
	}
}

// began is the begin of a run; a repeat is one of a request that had run before.
type began struct {
	at     time.Time
	repeat bool
}

// checkRepeats counts, in each window that begins with a run, how often requests of a
// service ran again.
func (l *ledger) checkRepeats() {
	byService := make(map[string][]began)
	for _, runs := range l.runs {
		for i, run := range runs {
			byService[run.Service] = append(byService[run.Service], began{run.Began, i > 0})
		}
	}
	for service, list := range byService {
		slices.SortFunc(list, func(a, b began) int { return a.at.Compare(b.at) })
		if requests, repeats := worstWindow(list); repeats > 0 {
			l.violateLocked("repeats: %d of %d requests for %s ran again within %s", repeats, requests, service, retryWindow)
		}
	}
}

// worstWindow returns the requests and repeats of a window with more repeats than are
// allowed, 0 if there is none.
func worstWindow(list []began) (requests, repeats int) {
	counts := [2]int{} // of first runs, and of repeats
	index := func(b began) int {
		if b.repeat {
			return 1
		}
		return 0
	}
	end := 0
	for _, first := range list {
		for ; end < len(list) && list[end].at.Sub(first.at) <= retryWindow; end++ {
			counts[index(list[end])]++
		}
		if float64(counts[1]) > standin.RetryRatio*float64(counts[0])+standin.RetryReserve {
			return counts[0], counts[1]
		}
		counts[index(first)]--
	}
	return 0, 0
}

func (l *ledger) report() *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := 0
	for _, list := range l.runs {
		runs += len(list)
	}
	return &Report{Requests: len(l.calls), Served: l.served, Runs: runs, Violations: l.violations, Ends: l.ends}
}

// since returns the calls that were sent after a time.
func (l *ledger) since(at time.Time) []call {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []call
	for _, c := range l.calls {
		if c.sent.After(at) {
			list = append(list, c)
		}
	}
	return list
}
