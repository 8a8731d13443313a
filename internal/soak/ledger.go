package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// call is one request of a caller and its answer.
type call struct {
	attempt    string
	path       string
	key        string
	idempotent bool
	sent       time.Time
	entry      string
	status     int // 0 for a connection that broke
	body       string
	whole      bool
	want       string
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
	violations []string
}

func newLedger() *ledger {
	return &ledger{
		calls:   make(map[string]call),
		runs:    make(map[string][]standin.Run),
		removed: make(map[string]time.Time),
		keys:    []string{standin.Key},
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

// conclude checks what can only be told when every run is known.
func (l *ledger) conclude() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for attempt, c := range l.calls {
		runs := l.runs[attempt]
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
	for attempt := range l.runs {
		if _, known := l.calls[attempt]; !known {
			l.violateLocked("requests: %s ran and no caller sent it", attempt)
		}
	}
}

func (l *ledger) report() *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := 0
	for _, list := range l.runs {
		runs += len(list)
	}
	return &Report{Requests: len(l.calls), Served: l.served, Runs: runs, Violations: l.violations}
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
