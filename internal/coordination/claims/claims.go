// Package claims keeps a keyed request that is not idempotent from running more
// than once, whichever entries its caller sends it through.
//
// One table row stands for one idempotency key. An entry inserts the row before
// it dispatches the request and writes the outcome into it afterwards. All that
// decides is a compare-and-set on that row:
//
//   - Begin gives Run to at most one request of a key, until the row proves that
//     the request did not run.
//   - A pending row is never taken over because its entry seems dead: the
//     attempt may have run. A repeat is told that the outcome is unknown.
//   - "Not run" is said only where the row proves it, or where the caller says
//     that this is its first send, or that all earlier sends were answered "not
//     run". Otherwise the answer is "unknown".
//
// A caller that numbers its sends from 1 and names the last send up to which
// all were answered "not run" can come back even when the entry that gave that
// answer died before it could write the row: the row's send number is covered
// by the caller's own statement. The numbers also fence a request that a frozen
// entry picks up again after the caller has sent it elsewhere.
//
// # Usage
//
//	c := claims.New("entry-1", 3, get, compareAndSet)
//	key, err := claims.ParseKey(header)
//	d := c.Begin(ctx, claims.NewRequest(id, service, account, key, fingerprint, claims.WithSend(2, 1)))
//	if d.Kind() == claims.Run {
//		answer := dispatch()
//		err = c.Finish(ctx, d.Claim(), claims.Answered(answer))
//	}
//	left := c.Settle(ctx)           // called every second or so by the entry
package claims

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the table seams and of this package.
var (
	// ErrConflict means that the row had another version. Nothing was written.
	ErrConflict = eris.New("claim row has another version")
	// ErrUnavailable means that the table did not do what was asked.
	ErrUnavailable = eris.New("claims table unavailable")
	// ErrUnknown means that a write may have taken effect, or may do so later.
	ErrUnknown = eris.New("outcome of write to claims table unknown")
	// ErrWriteDeferred means that an outcome waits to be written by Settle.
	ErrWriteDeferred = eris.New("outcome of claim not yet written")
	// ErrNotHeld means that the row belongs to another request.
	ErrNotHeld = eris.New("claim held by another request")
)

const (
	defaultRetention    = 24 * time.Hour
	defaultClockSkew    = 2 * time.Minute
	defaultPendingLimit = 10 * time.Minute
	defaultTakeoverAge  = 2 * time.Second
	defaultRetryAfter   = 2 * time.Second
	defaultMaxInline    = 16 << 10 // bytes
	maxWrites           = 4
	maxBacklog          = 4096
)

// Get reads one row. An absent row has version 0 and no error.
type Get func(ctx context.Context, key string) (value []byte, version uint64, err error)

// CompareAndSet writes the row if it has the version and returns the new
// version. The error is ErrConflict, ErrUnavailable or ErrUnknown; any other
// error counts as ErrUnknown.
type CompareAndSet func(ctx context.Context, key string, version uint64, value []byte) (uint64, error)

// Claims decides on keyed requests at one entry. It is safe for concurrent use.
type Claims struct {
	entry         string
	incarnation   uint64
	get           Get
	compareAndSet CompareAndSet
	putObject     func(ctx context.Context, key string, data []byte) error
	getObject     func(ctx context.Context, key string) ([]byte, error)
	now           func() time.Time
	retention     time.Duration
	clockSkew     time.Duration
	pendingLimit  time.Duration
	takeoverAge   time.Duration
	retryAfter    time.Duration
	maxInline     int

	mu      sync.Mutex
	backlog []unsettled
	dropped uint64
}

// Option sets an optional property of Claims.
type Option func(*Claims)

// WithObjects keeps answer bodies that are too large for a row in the object
// store. Without it such a body is not kept.
func WithObjects(put func(context.Context, string, []byte) error, get func(context.Context, string) ([]byte, error)) Option {
	return func(c *Claims) {
		c.putObject = put
		c.getObject = get
	}
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(c *Claims) { c.now = now }
}

// WithRetention sets the age after which a key is never run, a day by default.
func WithRetention(d time.Duration) Option {
	return func(c *Claims) { c.retention = d }
}

// WithPendingLimit sets the age of a pending claim after which a repeat is no
// longer asked to come back for its outcome.
func WithPendingLimit(d time.Duration) Option {
	return func(c *Claims) { c.pendingLimit = d }
}

// WithRetryAfter sets when callers are told to come back.
func WithRetryAfter(d time.Duration) Option {
	return func(c *Claims) { c.retryAfter = d }
}

// New returns the claims of one start of an entry.
func New(entry string, incarnation uint64, get Get, compareAndSet CompareAndSet, options ...Option) *Claims {
	c := &Claims{
		entry:         entry,
		incarnation:   incarnation,
		get:           get,
		compareAndSet: compareAndSet,
		now:           time.Now,
		retention:     defaultRetention,
		clockSkew:     defaultClockSkew,
		pendingLimit:  defaultPendingLimit,
		takeoverAge:   defaultTakeoverAge,
		retryAfter:    defaultRetryAfter,
		maxInline:     defaultMaxInline,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Begin decides what becomes of a keyed request. It returns Run only after the
// claim is known to be in the table.
func (c *Claims) Begin(ctx context.Context, r Request) Decision {
	age := c.now().Sub(r.key.created)
	if age < -c.clockSkew {
		return c.notDispatched(r, ReasonKeyInFuture, 0)
	}
	if age > c.retentionOf(r) {
		return c.beginExpired(ctx, r)
	}
	return c.claim(ctx, r)
}

// claim inserts the row, or takes over one that proves that nothing ran. The
// first send of a key is written without a read before it.
func (c *Claims) claim(ctx context.Context, r Request) Decision {
	var row row
	stale := r.send > 1
	for range maxWrites {
		if stale {
			var err error
			if row, err = c.read(ctx, r.rowKey()); err != nil {
				return c.withdraw(r, ReasonTableUnavailable)
			}
		}
		if decision, final := c.judge(ctx, row, r); final {
			return decision
		}
		version, err := c.write(ctx, r.rowKey(), row.version, c.pending(r))
		if err == nil {
			return c.hold(r, version)
		}
		if eris.Is(err, ErrUnavailable) {
			return c.refuseUnwritten(r, stale)
		}
		stale = true
	}
	return c.withdraw(r, ReasonTableUnavailable)
}

func (c *Claims) retentionOf(r Request) time.Duration {
	if r.retention > 0 {
		return r.retention
	}
	return c.retention
}

// hold returns Run for a claim that is in the table. A key that passed the
// retention while the entry was frozen may have lost an older row, and is not
// run.
func (c *Claims) hold(r Request, version uint64) Decision {
	if c.now().Sub(r.key.created) > c.retentionOf(r) {
		return c.withdraw(r, ReasonKeyExpired)
	}
	return Decision{kind: Run, claim: Claim{request: r, version: version}}
}

// judge returns the final decision for a row, or false if the request may be
// written into it.
func (c *Claims) judge(ctx context.Context, row row, r Request) (Decision, bool) {
	rec := row.record
	switch {
	case row.version == 0:
		return Decision{}, false
	case rec.RequestID == r.id && rec.State == statePending:
		return c.hold(r, row.version), true
	case rec.Fingerprint != r.fingerprint.String():
		return Decision{kind: KeyReuse, reason: ReasonRequestMismatch}, true
	case rec.State == stateAnswered:
		return c.stored(ctx, rec), true
	case rec.State == stateNotRun:
		return c.judgeNotRun(rec, r)
	case rec.State == statePending:
		return c.judgePending(rec, r)
	}
	return Decision{kind: Unknown, reason: rec.Reason}, true
}

// judgeNotRun lets a later send of the key run. A numbered send must be later
// than the one that the row stands for; an unnumbered one must have arrived a
// moment ago, so that an entry that was frozen does not run an abandoned request.
func (c *Claims) judgeNotRun(rec record, r Request) (Decision, bool) {
	superseded := r.send > rec.Send
	if r.send == 0 {
		superseded = rec.RequestID != r.id && c.now().Sub(r.received) <= c.takeoverAge
	}
	if superseded {
		return Decision{}, false
	}
	return Decision{kind: NotRun, reason: rec.Reason, retryAfter: c.retryAfter}, true
}

func (c *Claims) judgePending(rec record, r Request) (Decision, bool) {
	told := rec.Send > 0 && rec.Send <= r.notRunThrough
	if told && r.send > rec.Send {
		return Decision{}, false
	}
	if c.now().Sub(time.UnixMilli(rec.Created)) > c.pendingLimit {
		return Decision{kind: Unknown, reason: ReasonNoOutcome}, true
	}
	return Decision{kind: Pending, reason: ReasonStillPending, retryAfter: c.retryAfter}, true
}

// beginExpired never runs the key; its outcome is given if it is still kept.
func (c *Claims) beginExpired(ctx context.Context, r Request) Decision {
	row, err := c.read(ctx, r.rowKey())
	if err == nil && row.version != 0 && row.record.Fingerprint == r.fingerprint.String() {
		switch row.record.State {
		case stateAnswered:
			return c.stored(ctx, row.record)
		case stateNotRun:
			return Decision{kind: NotRun, reason: ReasonKeyExpired}
		}
	}
	return c.notDispatched(r, ReasonKeyExpired, 0)
}

// refuseUnwritten answers after a write that was certainly not applied. If an
// earlier write of the same request may be, that one has to be withdrawn.
func (c *Claims) refuseUnwritten(r Request, written bool) Decision {
	if written {
		return c.withdraw(r, ReasonTableUnavailable)
	}
	return c.notDispatched(r, ReasonTableUnavailable, c.retryAfter)
}

// notDispatched answers a request that this entry did not and will not
// dispatch. It is "not run" for the key only if no earlier send can have run.
func (c *Claims) notDispatched(r Request, reason Reason, retryAfter time.Duration) Decision {
	kind := Unknown
	if r.NoEarlierRun() {
		kind = NotRun
	}
	return Decision{kind: kind, reason: reason, retryAfter: retryAfter}
}
