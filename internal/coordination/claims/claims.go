// Package claims ensures that a request with an idempotency key runs at most once
// even though it is not idempotent and its caller may send it through several entries.
//
// Each idempotency key has one table row. An entry inserts the row before it
// dispatches the request and writes the outcome into it afterwards. Every decision
// rests on a compare-and-set on that row:
//
//   - Begin returns Run for at most one request of a key, unless the row proves that
//     that request did not run.
//   - A pending row is never taken over because its entry appears to have failed: the
//     attempt may have run. A repeated send gets the outcome "unknown".
//   - "Not run" is returned only if the row proves it, or if the caller states that
//     this is its first send or that all earlier sends got "not run". Otherwise the
//     outcome is "unknown".
//
// A caller may number its sends from 1 and state the number up to which every send
// got "not run". It can then retry even if the entry that returned "not run" crashed
// before it wrote the row, because the statement covers the send number in the row.
// The numbers also act as a fencing token: a paused entry that resumes cannot run a
// request that the caller has meanwhile sent to another entry.
//
// # Usage
//
//	c := claims.New("entry-1", 3, get, compareAndSet)
//	key, err := claims.ParseKey(header)
//	d := c.Begin(ctx, claims.NewRequest(id, service, account, key, fingerprint, claims.WithSend(2, 1)))
//	if d.Kind() == claims.Run {
//		response := dispatch()
//		err = c.Finish(ctx, d.Claim(), claims.Completed(response))
//	}
//	remaining := c.Flush(ctx)       // the entry calls it about once a second
package claims

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the table callbacks and of this package.
var (
	// ErrConflict means that the row had another version. Nothing was written.
	ErrConflict = eris.New("claim row version mismatch")
	// ErrUnavailable means that the table did not carry out the operation.
	ErrUnavailable = eris.New("claims table unavailable")
	// ErrUnknown means that a write may have taken effect or may still take effect.
	ErrUnknown = eris.New("outcome of write to claims table unknown")
	// ErrWriteDeferred means that an outcome was queued, to be written by Flush.
	ErrWriteDeferred = eris.New("claim outcome not yet written, write deferred")
	// ErrNotHeld means that the row belongs to another request.
	ErrNotHeld = eris.New("claim held by another request")
)

const (
	defaultRetention      = 24 * time.Hour
	defaultClockSkew      = 2 * time.Minute
	defaultPendingLimit   = 10 * time.Minute
	defaultMaxTakeoverAge = 2 * time.Second
	defaultRetryAfter     = 2 * time.Second
	defaultMaxInlineBytes = 16 << 10 // bytes
	maxWriteAttempts      = 4
	maxBacklog            = 4096
)

// Get reads one row. A missing row is returned with version 0 and no error.
type Get func(ctx context.Context, key string) (value []byte, version uint64, err error)

// CompareAndSet writes the row if its current version equals version and returns the
// new version. The error is ErrConflict, ErrUnavailable or ErrUnknown; any other error
// is treated as ErrUnknown.
type CompareAndSet func(ctx context.Context, key string, version uint64, value []byte) (uint64, error)

// Claims decides on keyed requests at one entry. It is safe for concurrent use.
type Claims struct {
	entry          string
	incarnation    uint64
	get            Get
	compareAndSet  CompareAndSet
	putObject      func(ctx context.Context, key string, data []byte) error
	getObject      func(ctx context.Context, key string) ([]byte, error)
	now            func() time.Time
	retention      time.Duration
	clockSkew      time.Duration
	pendingLimit   time.Duration
	maxTakeoverAge time.Duration
	retryAfter     time.Duration
	maxInlineBytes int

	mu      sync.Mutex
	backlog []deferredWrite
	dropped uint64
}

// Option sets an optional property of Claims.
type Option func(*Claims)

// WithObjects stores response bodies that are too large for a row in the object
// store. Without it such a body is not stored.
func WithObjects(put func(context.Context, string, []byte) error, get func(context.Context, string) ([]byte, error)) Option {
	return func(c *Claims) {
		c.putObject = put
		c.getObject = get
	}
}

// WithNow sets the clock, time.Now by default.
func WithNow(now func() time.Time) Option {
	return func(c *Claims) { c.now = now }
}

// WithRetention sets the age after which a key never runs, 24 hours by default.
func WithRetention(d time.Duration) Option {
	return func(c *Claims) { c.retention = d }
}

// WithPendingLimit sets the age of a pending claim after which a repeated send gets
// Unknown instead of Pending, so that the caller stops retrying for the outcome.
func WithPendingLimit(d time.Duration) Option {
	return func(c *Claims) { c.pendingLimit = d }
}

// WithRetryAfter sets the delay after which callers may retry.
func WithRetryAfter(d time.Duration) Option {
	return func(c *Claims) { c.retryAfter = d }
}

// New returns the Claims of one incarnation of an entry.
func New(entry string, incarnation uint64, get Get, compareAndSet CompareAndSet, options ...Option) *Claims {
	c := &Claims{
		entry:          entry,
		incarnation:    incarnation,
		get:            get,
		compareAndSet:  compareAndSet,
		now:            time.Now,
		retention:      defaultRetention,
		clockSkew:      defaultClockSkew,
		pendingLimit:   defaultPendingLimit,
		maxTakeoverAge: defaultMaxTakeoverAge,
		retryAfter:     defaultRetryAfter,
		maxInlineBytes: defaultMaxInlineBytes,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Begin decides how to handle a keyed request. It returns Run only after the claim is
// confirmed to be in the table.
func (c *Claims) Begin(ctx context.Context, r Request) Decision {
	age := c.now().Sub(r.key.created)
	if age < -c.clockSkew {
		return c.notDispatched(r, ReasonKeyInFuture, 0)
	}
	if age > c.retentionOf(r) {
		return c.beginExpired(ctx, r)
	}
	return c.insertClaim(ctx, r)
}

// insertClaim inserts the row, or takes over a row that proves that no earlier send
// ran. An unnumbered send and send 1 are written without reading the row first.
func (c *Claims) insertClaim(ctx context.Context, r Request) Decision {
	var row row
	mustRead := r.send > 1
	for range maxWriteAttempts {
		if mustRead {
			var err error
			if row, err = c.read(ctx, r.rowKey()); err != nil {
				return c.withdraw(r, ReasonTableUnavailable)
			}
		}
		if decision, final := c.decideByRow(ctx, row, r); final {
			return decision
		}
		version, err := c.write(ctx, r.rowKey(), row.version, c.pendingRecord(r))
		if err == nil {
			return c.grant(r, version)
		}
		if eris.Is(err, ErrUnavailable) {
			return c.rejectUnwritten(r, mustRead)
		}
		mustRead = true
	}
	return c.withdraw(r, ReasonTableUnavailable)
}

func (c *Claims) retentionOf(r Request) time.Duration {
	if r.keyRetention > 0 {
		return r.keyRetention
	}
	return c.retention
}

// grant returns Run for a claim that is in the table. A key whose retention expired
// while the entry was paused does not run, because an older row of the key may already
// have been deleted.
func (c *Claims) grant(r Request, version uint64) Decision {
	if c.now().Sub(r.key.created) > c.retentionOf(r) {
		return c.withdraw(r, ReasonKeyExpired)
	}
	return Decision{kind: Run, claim: Claim{request: r, version: version}}
}

// decideByRow returns the final decision for a row, or false if the request may claim
// the row.
func (c *Claims) decideByRow(ctx context.Context, row row, r Request) (Decision, bool) {
	rec := row.record
	switch {
	case row.version == 0:
		return Decision{}, false
	case rec.RequestID == r.id && rec.State == statePending:
		return c.grant(r, row.version), true
	case rec.Fingerprint != r.fingerprint.String():
		return Decision{kind: KeyReuse, reason: ReasonRequestMismatch}, true
	case rec.State == stateCompleted:
		return c.storedResponse(ctx, rec), true
	case rec.State == stateNotRun:
		return c.decideNotRunRow(rec, r)
	case rec.State == statePending:
		return c.decidePendingRow(rec, r)
	}
	return Decision{kind: Unknown, reason: rec.Reason}, true
}

// decideNotRunRow allows a later send of the key to run. A numbered send must have a
// higher number than the send in the row. An unnumbered send must have been received
// within maxTakeoverAge, so that an entry that was paused does not run an abandoned
// request.
func (c *Claims) decideNotRunRow(rec record, r Request) (Decision, bool) {
	superseded := r.send > rec.Send
	if r.send == 0 {
		superseded = rec.RequestID != r.id && c.now().Sub(r.received) <= c.maxTakeoverAge
	}
	if superseded {
		return Decision{}, false
	}
	return Decision{kind: NotRun, reason: rec.Reason, retryAfter: c.retryAfter}, true
}

func (c *Claims) decidePendingRow(rec record, r Request) (Decision, bool) {
	reportedNotRun := rec.Send > 0 && rec.Send <= r.notRunThrough
	if reportedNotRun && r.send > rec.Send {
		return Decision{}, false
	}
	if c.now().Sub(time.UnixMilli(rec.Created)) > c.pendingLimit {
		return Decision{kind: Unknown, reason: ReasonNoOutcome}, true
	}
	return Decision{kind: Pending, reason: ReasonStillPending, retryAfter: c.retryAfter}, true
}

// beginExpired handles a key that is older than its retention. The key never runs; its
// outcome is returned if the row still exists.
func (c *Claims) beginExpired(ctx context.Context, r Request) Decision {
	row, err := c.read(ctx, r.rowKey())
	if err == nil && row.version != 0 && row.record.Fingerprint == r.fingerprint.String() {
		switch row.record.State {
		case stateCompleted:
			return c.storedResponse(ctx, row.record)
		case stateNotRun:
			return Decision{kind: NotRun, reason: ReasonKeyExpired}
		}
	}
	return c.notDispatched(r, ReasonKeyExpired, 0)
}

// rejectUnwritten returns the decision after a write that was certainly not applied.
// If an earlier write of the same request may have been applied (written), that claim
// is withdrawn.
func (c *Claims) rejectUnwritten(r Request, written bool) Decision {
	if written {
		return c.withdraw(r, ReasonTableUnavailable)
	}
	return c.notDispatched(r, ReasonTableUnavailable, c.retryAfter)
}

// notDispatched returns the decision for a request that this entry has not dispatched
// and will not dispatch. It is NotRun only if no earlier send of the key can have run.
func (c *Claims) notDispatched(r Request, reason Reason, retryAfter time.Duration) Decision {
	kind := Unknown
	if r.NoEarlierRun() {
		kind = NotRun
	}
	return Decision{kind: kind, reason: reason, retryAfter: retryAfter}
}
