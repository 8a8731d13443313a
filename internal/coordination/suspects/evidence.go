package suspects

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

// Times of evidence.
const (
	// BeginTime is how long after the begin of its answer a request may still be the cause
	// of a crash. One that goes on for longer is found sound.
	BeginTime = 500 * time.Millisecond
	// breakTime is how long an attempt that was broken off waits for the news that its
	// endpoint has crashed.
	breakTime = 5 * time.Second
	// evidenceTime is how long a crash is remembered: longer than it quarantines, so that
	// causes which come seldom are found too.
	evidenceTime = 2 * longestQuarantine
	// crashSends is how often an entry reports a crash, and resendDelay the time between:
	// messages get lost.
	crashSends  = 2
	resendDelay = 400 * time.Millisecond
	// trialStagger is the time between the trials of two entries, in which a trial that
	// fails is reported, and trialTime how long one may take before its entry makes another.
	// An entry that has no such request leaves the trial to the next.
	trialStagger = 2 * time.Second
	trialTime    = 10 * time.Second
	// trialRetryAfter is the Retry-After of requests that wait for the end of a trial.
	trialRetryAfter = 5 * time.Second
	// recentTime is the age up to which reports repeat the times of crashes, and timeError
	// the least difference that is taken over.
	recentTime = 10 * time.Second
	timeError  = 20 * time.Millisecond
	// minSoundCrashes is the number of crashes of which a key must be cleared for other
	// entries to be informed. A single one quarantines nothing.
	minSoundCrashes = 2
)

// Change is the begin or the end of a quarantine.
type Change struct {
	Signature  []Key
	Incidents  int
	SinceCrash time.Duration // time since the last crash
	Left       time.Duration // time until a trial may end the quarantine
	InForce    bool
}

// Evidence is what one entry knows of crashes and of requests that were answered since. It
// is safe for concurrent use.
type Evidence struct {
	reportDue func()                    // called when there is something to report
	trialRank func(signature []Key) int // rank of this entry among those that make trials
	notify    func(Change)

	quarantines atomic.Pointer[[]*quarantine]
	digest      atomic.Uint64
	crashed     atomic.Int32 // number of crashes
	broken      atomic.Int32 // number of incarnations in breaks
	changed     atomic.Pointer[chan struct{}]

	mu      sync.Mutex
	breaks  map[Incarnation]*crash // not known to be crashes yet
	crashes []*crash               // by time
	keys    map[Key]bool           // all keys in crashes
	sound   map[Key]time.Duration  // only of keys in crashes
	told    map[Key]time.Duration  // soundness that all entries have been informed of
	toTell  map[Key]bool
	trials  map[Key]time.Duration // last trial, by the first key of the signature
}

// EvidenceOption sets an optional property of Evidence.
type EvidenceOption func(*Evidence)

// WithReportDue sets a function that is called when there is something to report.
func WithReportDue(due func()) EvidenceOption { return func(e *Evidence) { e.reportDue = due } }

// WithTrialRank sets the function that returns the rank of this entry among the entries
// that try whether a quarantine may end. Without it, the entry is the first.
func WithTrialRank(rank func(signature []Key) int) EvidenceOption {
	return func(e *Evidence) { e.trialRank = rank }
}

// WithNotify sets a function that is called when a quarantine begins or ends. The evidence
// is locked meanwhile; of its methods only Quarantines and Digest may be called.
func WithNotify(notify func(Change)) EvidenceOption {
	return func(e *Evidence) { e.notify = notify }
}

// NewEvidence returns evidence of nothing.
func NewEvidence(options ...EvidenceOption) *Evidence {
	e := &Evidence{
		reportDue: func() {},
		trialRank: func([]Key) int { return 0 },
		notify:    func(Change) {},
		breaks:    make(map[Incarnation]*crash),
		sound:     make(map[Key]time.Duration),
		told:      make(map[Key]time.Duration),
		toTell:    make(map[Key]bool),
		trials:    make(map[Key]time.Duration),
	}
	for _, o := range options {
		o(e)
	}
	e.quarantines.Store(&[]*quarantine{})
	e.changed.Store(newSignal())
	return e
}

func newSignal() *chan struct{} {
	c := make(chan struct{})
	return &c
}

// Changed returns a channel that is closed when there is another quarantine.
func (e *Evidence) Changed() <-chan struct{} { return *e.changed.Load() }

// Quarantines returns the number of quarantines in force.
func (e *Evidence) Quarantines() int { return len(*e.quarantines.Load()) }

// Digest identifies the crashes on which quarantines rest, 0 without any. Entries with the
// same digest have nothing to report to each other.
func (e *Evidence) Digest() uint64 { return e.digest.Load() }

// Check decides whether a request may be sent. It may be the trial of a quarantine only if
// every quarantine that it is in allows a trial.
func (e *Evidence) Check(now time.Duration, r Request) Decision {
	var last *quarantine
	for _, q := range *e.quarantines.Load() {
		if r.hasAll(q.signature) && (last == nil || q.until > last.until) {
			last = q
		}
	}
	if last == nil {
		return Decision{}
	}
	d := Decision{kind: Quarantined, retryAfter: last.until - now, incidents: last.incidents, signature: last.signature}
	switch {
	case now < last.until:
	case e.startTrial(now, last):
		d.kind, d.retryAfter = Trial, 0
	default:
		d.retryAfter = trialRetryAfter
	}
	return d
}

// startTrial reports whether a request may be sent to find out whether a quarantine may end.
// Entries make trials one after the other: each may crash another endpoint.
func (e *Evidence) startTrial(now time.Duration, q *quarantine) bool {
	if now < q.until+time.Duration(e.trialRank(q.signature))*trialStagger {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	k := q.signature[0]
	if at, tried := e.trials[k]; tried && now-at < trialTime {
		return false
	}
	e.trials[k] = now
	return true
}

func (e *Evidence) crash(i Incarnation) *crash {
	for _, c := range e.crashes {
		if c.incarnation == i {
			return c
		}
	}
	return nil
}

// addCrash returns the crash of an incarnation, which it adds if it is not known yet.
func (e *Evidence) addCrash(i Incarnation, at time.Duration) *crash {
	if c := e.crash(i); c != nil {
		return c
	}
	if len(e.crashes) >= maxEvidence {
		e.dropOldest()
	}
	c := &crash{incarnation: i, at: at}
	e.crashes = append(e.crashes, c)
	sortCrashes(e.crashes)
	return c
}

// dropOldest removes the oldest crash, one which no quarantine needs if there is any: what
// is in quarantine stays there however many other crashes there are.
func (e *Evidence) dropOldest() {
	quarantines := *e.quarantines.Load()
	support := make([]int, len(quarantines)) // number of crashes of each
	for _, c := range e.crashes {
		for i, q := range quarantines {
			if c.supports(q) {
				support[i]++
			}
		}
	}
	drop := slices.IndexFunc(e.crashes, func(c *crash) bool {
		for i, q := range quarantines {
			if support[i] <= minWeakIncidents && c.supports(q) {
				return false
			}
		}
		return true
	})
	drop = max(drop, 0)
	e.crashes = slices.Delete(e.crashes, drop, drop+1)
}

// addOwn adds attempts that this entry had at a crash, and reports whether there was
// anything new.
func (e *Evidence) addOwn(now time.Duration, c *crash, attempts []Attempt) bool {
	own, changed := addAttempts(c.own, attempts, maxOwnAttempts)
	if !changed {
		return false
	}
	c.own = own
	c.attempts, _ = addAttempts(c.attempts, own, maxAttemptsPerCrash)
	c.sends, c.dueAt = crashSends, now
	e.judge(now)
	return true
}

// Survived records that the answer to a request, which began at the given time, is complete
// or has gone on for BeginTime.
func (e *Evidence) Survived(now time.Duration, r Request, begun time.Duration) {
	if e.crashed.Load() == 0 {
		return
	}
	e.mu.Lock()
	cleared := e.clear(r.whole, begun)
	for _, k := range r.parts {
		cleared = e.clear(k, begun) || cleared
	}
	if cleared {
		e.judge(now)
	}
	due := len(e.toTell) > 0
	e.mu.Unlock()
	if due {
		e.reportDue()
	}
}

// clear records that a key was sound at a time and reports whether that clears it of a
// crash.
func (e *Evidence) clear(k Key, at time.Duration) bool {
	old := e.sound[k]
	if at <= old || !e.keys[k] {
		return false
	}
	cleared, untold := 0, 0
	for _, c := range e.crashes {
		if c.at >= at || !c.has(k) {
			continue
		}
		if c.at > old {
			cleared++
		}
		if c.at > e.told[k] {
			untold++
		}
	}
	if cleared == 0 {
		return false
	}
	e.sound[k] = at
	if untold >= minSoundCrashes {
		e.toTell[k] = true
	}
	return true
}

// judge derives the quarantines from the evidence. The caller holds the mutex.
func (e *Evidence) judge(now time.Duration) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c *crash) bool { return now-c.at > evidenceTime })
	e.crashed.Store(int32(len(e.crashes)))
	e.keys = make(map[Key]bool)
	for _, c := range e.crashes {
		for _, a := range c.attempts {
			e.keys[a.Request.whole] = true
			for _, k := range a.Request.parts {
				e.keys[k] = true
			}
		}
	}
	quarantines := judge(e.crashes, func(k Key) time.Duration { return e.sound[k] })
	old := *e.quarantines.Load()
	e.quarantines.Store(&quarantines)
	e.digest.Store(digestOf(e.crashes, quarantines))
	added := e.notifyMissing(now, quarantines, old, true)
	e.notifyMissing(now, old, quarantines, false)
	if added {
		close(*e.changed.Swap(newSignal()))
	}
}

func digestOf(crashes []*crash, quarantines []*quarantine) uint64 {
	digest := uint64(0)
	for _, c := range crashes {
		if slices.ContainsFunc(quarantines, c.supports) {
			digest ^= rendezvous.Mix(rendezvous.Mix(uint64(c.incarnation.Endpoint)) ^ uint64(c.incarnation.Started))
		}
	}
	return digest
}

// notifyMissing notifies of the quarantines in one list that the other one lacks, and
// reports whether there are any.
func (e *Evidence) notifyMissing(now time.Duration, list, other []*quarantine, inForce bool) bool {
	missing := false
	for _, q := range list {
		if slices.ContainsFunc(other, func(o *quarantine) bool { return slices.Equal(o.signature, q.signature) }) {
			continue
		}
		missing = true
		e.notify(Change{Signature: q.signature, Incidents: q.incidents, SinceCrash: now - q.lastCrash, Left: q.until - now, InForce: inForce})
	}
	return missing
}

// Expire removes evidence that is too old.
func (e *Evidence) Expire(now time.Duration) {
	if e.crashed.Load() == 0 && e.broken.Load() == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, b := range e.breaks {
		if now-b.at > breakTime {
			e.dropBreak(i)
		}
	}
	e.judge(now)
	for _, m := range []map[Key]time.Duration{e.sound, e.told} {
		for k := range m {
			if !e.keys[k] {
				delete(m, k)
			}
		}
	}
	for k, at := range e.trials {
		if now-at > evidenceTime {
			delete(e.trials, k)
		}
	}
}
