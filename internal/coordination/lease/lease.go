// Package lease implements leases that decide which process may give orders. Each
// lease is one row of the platform's table service.
//
// The row holds the holder, a fencing number and a renewal counter. Clocks of
// different instances are never compared. A contender must see the row unchanged
// for the lease duration plus a margin, on its own monotonic clock, before it may
// replace the holder by a compare-and-set with the next fencing number. The holder
// measures the expiry from before it sent the renewal, so the lease expires on the
// holder's clock before the wait of any contender is over.
//
// If the response to a write is lost, the outcome of the write is unknown until
// the next TryAcquireOrRenew reads the row. The outcome of a conflict is resolved
// in the same way, so TryAcquireOrRenew handles all errors of a write alike.
//
// A holder that is paused after it checked its lease may still send an order
// late. Each order therefore carries the fencing number, and the receiver rejects
// a number that is lower than the highest it has received.
//
// # Usage
//
//	l := lease.New("rollout/faq", "entry-1/7", 10*time.Second, table)
//	for each tick of a third of the duration {
//		if err := l.TryAcquireOrRenew(ctx); errors.Is(err, lease.ErrLost) { stop giving orders }
//	}
//	if fencing, ok := l.Holding(time.Now()); ok { order with fencing }
//	l.Release(ctx)
package lease

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrNotHeld is returned by TryAcquireOrRenew while the lease of another holder
	// may be valid, and by Release if the lease is not held.
	ErrNotHeld = eris.New("lease is not held")
	// ErrLost is returned when a lease that was held is found to have expired or to
	// have another holder. TryAcquireOrRenew returns it once for each loss.
	ErrLost = eris.New("lease is lost")
	// ErrOutcomeUnknown is returned when a write had no response or failed. The next
	// TryAcquireOrRenew reads the row to find out whether the write took effect.
	ErrOutcomeUnknown = eris.New("outcome of the lease write is unknown")
	// ErrMalformedRow is returned for a row that does not decode.
	ErrMalformedRow = eris.New("malformed lease row")
)

// defaultMarginDivisor makes the default margin for clock drift a fiftieth of the
// lease duration.
const defaultMarginDivisor = 50

// Table holds the functions with which a lease accesses its row.
type Table struct {
	// Get returns the value and version of a row; version 0 means that it
	// is absent.
	Get func(ctx context.Context, key string) (value []byte, version uint64, err error)
	// CompareAndSet writes the row if it still has the version; version 0 inserts
	// it. After any error the write may or may not have taken effect.
	CompareAndSet func(ctx context.Context, key string, version uint64, value []byte) error
}

// Lease is the state of one contender for one lease. It is safe for concurrent use.
// TryAcquireOrRenew and Release hold a mutex; Holding takes no lock.
type Lease struct {
	name     string
	holder   string
	duration time.Duration
	margin   time.Duration
	table    Table
	clock    func() time.Time

	granted atomic.Pointer[grant]

	mutex         sync.Mutex
	observed      row
	observedAt    time.Time
	pending       row
	pendingSentAt time.Time
}

// grant is a lease that was acquired or renewed. It is valid until expiry on the
// holder's clock.
type grant struct {
	fencing uint64
	expiry  time.Time
}

// Option configures a Lease.
type Option func(*Lease)

// WithClock replaces the monotonic clock.
func WithClock(clock func() time.Time) Option {
	return func(l *Lease) { l.clock = clock }
}

// WithMargin sets how much longer than the lease duration a contender waits. The
// margin must exceed the drift between the clocks of two instances in one duration.
func WithMargin(margin time.Duration) Option {
	return func(l *Lease) { l.margin = margin }
}

// New returns a contender for the lease called name, which is also the key of
// its row. The holder must be unique to one incarnation of a process, so that a
// restarted process contends like any other.
func New(name, holder string, duration time.Duration, table Table, options ...Option) *Lease {
	l := &Lease{
		name:     name,
		holder:   holder,
		duration: duration,
		margin:   duration / defaultMarginDivisor,
		table:    table,
		clock:    time.Now,
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Name returns the name of the lease.
func (l *Lease) Name() string { return l.name }

// Duration returns how long the lease is valid after a renewal.
func (l *Lease) Duration() time.Duration { return l.duration }

// Holding reports whether the lease is valid at now, and returns its fencing
// number. It must be called immediately before each order, because the process may
// have been paused since the last call.
func (l *Lease) Holding(now time.Time) (fencing uint64, ok bool) {
	g := l.granted.Load()
	if g == nil || !now.Before(g.expiry) {
		return 0, false
	}
	return g.fencing, true
}

// TryAcquireOrRenew reads the row and renews the lease or tries to acquire it. A nil
// error means that the lease was held when the response arrived. An error of
// Table.Get is returned wrapped and leaves the lease valid until its expiry.
func (l *Lease) TryAcquireOrRenew(ctx context.Context) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current, version, err := l.read(ctx)
	if err != nil {
		return l.dropIfExpired(err)
	}
	l.resolvePending(current)
	if g := l.granted.Load(); g != nil {
		return l.renew(ctx, *g, current, version)
	}
	return l.contend(ctx, current, version)
}

// Release releases the lease, so that the next contender need not wait. The lease
// becomes invalid before the row is written. If the write is lost, contenders wait
// as after a crash of the holder.
func (l *Lease) Release(ctx context.Context) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = row{}
	if l.granted.Swap(nil) == nil {
		return ErrNotHeld
	}
	current, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	if current.Holder != l.holder {
		return ErrLost
	}
	next := row{Fencing: current.Fencing, Counter: current.Counter + 1}
	if err := l.table.CompareAndSet(ctx, l.name, version, next.encode()); err != nil {
		return eris.Wrapf(ErrOutcomeUnknown, "release %s: %v", l.name, err)
	}
	return nil
}

func (l *Lease) renew(ctx context.Context, held grant, current row, version uint64) error {
	if current.Holder != l.holder || current.Fencing != held.fencing {
		l.granted.Store(nil)
		l.observe(current)
		return eris.Wrapf(ErrLost, "%s is held by %q with fencing %d", l.name, current.Holder, current.Fencing)
	}
	if err := l.dropIfExpired(nil); err != nil {
		return err
	}
	return l.write(ctx, version, row{Holder: l.holder, Fencing: held.fencing, Counter: current.Counter + 1})
}

func (l *Lease) contend(ctx context.Context, current row, version uint64) error {
	free := current.Holder == "" || current.Holder == l.holder
	if !free && !l.unchanged(current) {
		return eris.Wrapf(ErrNotHeld, "%s is held by %q", l.name, current.Holder)
	}
	return l.write(ctx, version, row{Holder: l.holder, Fencing: current.Fencing + 1, Counter: current.Counter + 1})
}

// unchanged reports whether the row has been the same for the lease duration and
// the margin. The wait starts when the first read returned, which is after the
// holder sent the renewal that the row contains.
func (l *Lease) unchanged(current row) bool {
	if current != l.observed {
		l.observe(current)
		return false
	}
	return l.clock().Sub(l.observedAt) >= l.duration+l.margin
}

func (l *Lease) observe(current row) {
	l.observed = current
	l.observedAt = l.clock()
}

// write writes next and, on success, grants the lease from the time before the
// write was sent. If the write is repeated because a response was lost,
// pendingSentAt remains the time of the first send, since any of the writes may be
// the one that took effect.
func (l *Lease) write(ctx context.Context, version uint64, next row) error {
	sent := l.clock()
	if next != l.pending {
		l.pending = next
		l.pendingSentAt = sent
	}
	if err := l.table.CompareAndSet(ctx, l.name, version, next.encode()); err != nil {
		return eris.Wrapf(ErrOutcomeUnknown, "%s: %v", l.name, err)
	}
	l.pending = row{}
	l.grant(next.Fencing, sent)
	return l.dropIfExpired(nil)
}

// resolvePending grants the lease for a pending write if the row shows that the write
// took effect. The grant counts from the time at which the write was first sent.
func (l *Lease) resolvePending(current row) {
	if l.pending == (row{}) || current != l.pending {
		return
	}
	l.pending = row{}
	if l.clock().Before(l.pendingSentAt.Add(l.duration)) {
		l.grant(current.Fencing, l.pendingSentAt)
	}
}

func (l *Lease) grant(fencing uint64, sent time.Time) {
	l.granted.Store(&grant{fencing: fencing, expiry: sent.Add(l.duration)})
}

// dropIfExpired drops the grant and returns ErrLost if it has expired, and returns
// err otherwise.
func (l *Lease) dropIfExpired(err error) error {
	g := l.granted.Load()
	if g == nil || l.clock().Before(g.expiry) {
		return err
	}
	l.granted.Store(nil)
	return eris.Wrapf(ErrLost, "%s expired with fencing %d", l.name, g.fencing)
}

func (l *Lease) read(ctx context.Context) (row, uint64, error) {
	value, version, err := l.table.Get(ctx, l.name)
	if err != nil {
		return row{}, 0, eris.Wrapf(err, "read lease %s", l.name)
	}
	if version == 0 {
		return row{}, 0, nil
	}
	current, err := decode(value)
	return current, version, err
}
