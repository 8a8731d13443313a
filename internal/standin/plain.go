package standin

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

// PathRuns is the path on which a plain service returns its run counters.
const PathRuns = "/runs"

// CrashPhase tells when a plain service crashes in the course of a request.
type CrashPhase string

// The phases of a crash.
const (
	CrashBeforeRun CrashPhase = "before"
	CrashDuringRun CrashPhase = "during"
	CrashAfterRun  CrashPhase = "after"
)

// Plain stands in for a service whose calls may not be repeated. It counts the
// runs; the counters survive crashes.
type Plain struct {
	faults
	// work is the time that a run takes.
	work         atomic.Int64
	restartDelay time.Duration

	runsMu      sync.Mutex
	runs        RunCounts
	crashAt     CrashPhase
	crashes     int
	life        *life
	incarnation uint64
	running     int
}

// RunCounts are the counters of a plain service. A run counts from its start.
type RunCounts struct {
	Total    uint64 `json:"total"`
	Finished uint64 `json:"finished"`
	// ByKey counts the runs of each Idempotency-Key.
	ByKey map[string]uint64 `json:"byKey"`
	// ByBody counts the runs by the SHA-256 sum of their body.
	ByBody map[string]uint64 `json:"byBody"`
}

// PlainAnswer is the JSON body of a run's answer.
type PlainAnswer struct {
	// Body is the SHA-256 sum of the request's body.
	Body digest.Digest `json:"body"`
	Run  uint64        `json:"run"`
}

// PlainOption sets an optional property of a plain service.
type PlainOption func(*Plain)

// WithWork sets the time that a run takes.
func WithWork(d time.Duration) PlainOption {
	return func(p *Plain) { p.SetWork(d) }
}

// WithPlainRestartDelay sets the time from a crash to the next start.
func WithPlainRestartDelay(d time.Duration) PlainOption {
	return func(p *Plain) { p.restartDelay = d }
}

// NewPlain returns a plain service that has run nothing.
func NewPlain(options ...PlainOption) *Plain {
	p := &Plain{
		restartDelay: defaultRestartDelay,
		runs:         RunCounts{ByKey: map[string]uint64{}, ByBody: map[string]uint64{}},
		life:         newLife(),
		incarnation:  1,
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// ServeHTTP implements http.Handler. Every path but PathControl, PathRuns and
// engines.PathState runs the request.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathControl:
		p.control(w, r)
		return
	case PathRuns:
		answer(w, http.StatusOK, p.Runs())
		return
	}
	p.alive().serve(w, r, p.serve)
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	if r.URL.Path == engines.PathState {
		answer(w, http.StatusOK, p.state())
		return
	}
	p.serveRun(w, r)
}

// CrashNext makes the service crash in each of the next n requests, at the
// phase.
func (p *Plain) CrashNext(phase CrashPhase, n int) {
	p.runsMu.Lock()
	defer p.runsMu.Unlock()
	p.crashAt = phase
	p.crashes = n
}

// SetWork changes the time that a run takes, of those that begin later.
func (p *Plain) SetWork(d time.Duration) {
	p.work.Store(int64(d))
}

// Runs returns the counters.
func (p *Plain) Runs() RunCounts {
	p.runsMu.Lock()
	defer p.runsMu.Unlock()
	runs := p.runs
	runs.ByKey = maps.Clone(p.runs.ByKey)
	runs.ByBody = maps.Clone(p.runs.ByBody)
	return runs
}

func (p *Plain) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	p.crashIf(CrashBeforeRun)
	sum := digest.Of(body)
	run := p.begin(r.Header.Get("Idempotency-Key"), sum)
	defer p.leave()
	// A run that has begun goes on when its caller has gone, so the wait has a
	// context that ends with the service alone.
	if wait(p.alive().ctx, time.Duration(p.work.Load())) != nil {
		panic(http.ErrAbortHandler)
	}
	p.crashIf(CrashDuringRun)
	p.finish()
	p.crashIf(CrashAfterRun)
	p.loseAnswer()
	answer(w, http.StatusOK, PlainAnswer{Body: sum, Run: run})
}

func (p *Plain) begin(key string, sum digest.Digest) uint64 {
	p.runsMu.Lock()
	defer p.runsMu.Unlock()
	p.running++
	p.runs.Total++
	p.runs.ByBody[sum.String()]++
	if key != "" {
		p.runs.ByKey[key]++
	}
	return p.runs.Total
}

func (p *Plain) finish() {
	p.runsMu.Lock()
	defer p.runsMu.Unlock()
	p.runs.Finished++
}

func (p *Plain) leave() {
	p.runsMu.Lock()
	defer p.runsMu.Unlock()
	p.running--
}

// crashIf crashes the service if a crash is due at the phase.
func (p *Plain) crashIf(phase CrashPhase) {
	p.runsMu.Lock()
	due := p.crashes > 0 && p.crashAt == phase
	if due {
		p.crashes--
	}
	p.runsMu.Unlock()
	if due {
		p.Crash()
		panic(http.ErrAbortHandler)
	}
}

// Crash cuts every connection and starts anew after the restart delay.
func (p *Plain) Crash() {
	p.runsMu.Lock()
	defer p.runsMu.Unlock()
	if p.life.down {
		return
	}
	p.life.end()
	p.life = newLife()
	p.life.down = true
	time.AfterFunc(p.restartDelay, p.restart)
}

func (p *Plain) restart() {
	p.runsMu.Lock()
	defer p.runsMu.Unlock()
	p.life.end()
	p.life = newLife()
	p.incarnation++
}

func (p *Plain) alive() *life {
	p.runsMu.Lock()
	defer p.runsMu.Unlock()
	return p.life
}

func (p *Plain) state() engines.WireState {
	p.runsMu.Lock()
	defer p.runsMu.Unlock()
	return engines.WireState{Running: p.running, Incarnation: p.incarnation}
}

// PlainControl is the JSON form of the faults of a plain service.
type PlainControl struct {
	Control
	// CrashPhase and Crashes make the coming requests crash the service.
	CrashPhase CrashPhase `json:"crashPhase,omitempty"`
	Crashes    int        `json:"crashes,omitempty"`
	// WorkMS is the time that a run takes, in milliseconds.
	WorkMS *int64 `json:"workMs,omitempty"`
	// Crash crashes the service once, at once.
	Crash bool `json:"crash,omitempty"`
}

func (p *Plain) control(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var c PlainControl
		if !decode(w, r, &c) {
			return
		}
		p.faults.apply(c.Control)
		if c.CrashPhase != "" {
			p.CrashNext(c.CrashPhase, c.Crashes)
		}
		if c.WorkMS != nil {
			p.SetWork(time.Duration(*c.WorkMS) * time.Millisecond)
		}
		if c.Crash {
			p.Crash()
		}
	}
	answer(w, http.StatusOK, p.Runs())
}
