// Package lease decides who may give orders under a name, by one row of the
// platform's table service.
//
// The row holds the holder, a fencing number and a renewal counter. No clocks
// are compared between instances. A contender must see the row unchanged for
// the lease duration and a margin on its own monotonic clock before it may
// replace the holder by a compare-and-set with the next fencing number. The
// holder counts the expiry from before it sent the renewal, so its lease is
// over on its own clock before any contender's wait is.
//
// A write whose answer was lost is never guessed at: the next Step reads the
// row and settles whether the write took effect. A conflict is settled the same
// way, so Step treats every error of a write alike.
//
// A holder that is paused after it checked its lease may still send an order
// late. The fencing number that goes with each order covers this: the receiver
// refuses a number below the highest that it has seen.
//
// # Usage
//
//	l := lease.New("rollout/faq", "entry-1/7", 10*time.Second, table)
//	for each tick of a third of the duration {
//		if err := l.Step(ctx); errors.Is(err, lease.ErrLost) { stop giving orders }
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
	// ErrNotHeld is returned by Step while another holder's lease may be valid.
	ErrNotHeld = eris.New("lease is not held")
	// ErrLost is returned once by the Step that finds the lease expired or taken.
	ErrLost = eris.New("lease is lost")
	// ErrOutcomeUnknown is returned when a write got no answer or was refused; the next
	// Step reads the row to settle it.
	ErrOutcomeUnknown = eris.New("lease write is not settled")
	// ErrMalformedRow is returned for a row that does not decode.
	ErrMalformedRow = eris.New("malformed lease row")
)

// marginDivisor sets the default drift margin to a fiftieth of the duration.
const marginDivisor = 50

// Table is the row access that a lease needs.
type Table struct {
	// Get returns the value and version of a row; version 0 stands for "absent".
	Get func(ctx context.Context, key string) (value []byte, version uint64, err error)
	// CompareAndSet writes the row if it still has the version; version 0 inserts.
	// After any error the write may or may not have taken effect.
	CompareAndSet func(ctx context.Context, key string, version uint64, value []byte) error
}

// Lease is one contender's state for one lease. Step and Release exclude each
// other; Holding may be called from anywhere and takes no lock.
type Lease struct {
	name     string
	holder   string
	duration time.Duration
	margin   time.Duration
	table    Table
	clock    func() time.Time

	held atomic.Pointer[grant]

	mutex   sync.Mutex
	seen    row
	seenAt  time.Time
	pending row
	sentAt  time.Time
}

// grant is a lease that was obtained, valid until its expiry on the holder's clock.
type grant struct {
	fencing uint64
	until   time.Time
}

// Option changes a default of New.
type Option func(*Lease)

// WithClock replaces the monotonic clock.
func WithClock(clock func() time.Time) Option {
	return func(l *Lease) { l.clock = clock }
}

// WithMargin sets how much longer than the duration a contender waits. It must
// exceed the difference by which two instances' clocks can drift in a duration.
func WithMargin(margin time.Duration) Option {
	return func(l *Lease) { l.margin = margin }
}

// New returns a contender for the lease called name, which is also the key of
// its row. The holder must be unique to one start of one process, so that a
// restarted process contends like any other.
func New(name, holder string, duration time.Duration, table Table, options ...Option) *Lease {
	l := &Lease{
		name:     name,
		holder:   holder,
		duration: duration,
		margin:   duration / marginDivisor,
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

// Duration returns how long a renewal is valid.
func (l *Lease) Duration() time.Duration { return l.duration }

// Holding reports whether the lease is valid at now, and its fencing number. It
// must be called right before each order: the process may have been paused
// since the last call.
func (l *Lease) Holding(now time.Time) (fencing uint64, ok bool) {
	g := l.held.Load()
	if g == nil || !now.Before(g.until) {
		return 0, false
	}
	return g.fencing, true
}

// TryAcquireOrRenew reads the row and renews the lease or contends for it. A nil error means
// that the lease was held when the answer came. Errors of the table's Get are
// returned as they are and leave the lease to its expiry.
func (l *Lease) TryAcquireOrRenew(ctx context.Context) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current, version, err := l.read(ctx)
	if err != nil {
		return l.checkExpiry(err)
	}
	l.settle(current)
	if g := l.held.Load(); g != nil {
		return l.renew(ctx, *g, current, version)
	}
	return l.contend(ctx, current, version)
}

// Release gives the lease up, so that a contender need not wait. The lease stops
// being valid before the row is written. A lost answer is harmless: the row then
// lapses like that of a dead holder.
func (l *Lease) Release(ctx context.Context) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = row{}
	if l.held.Swap(nil) == nil {
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

func (l *Lease) renew(ctx context.Context, g grant, current row, version uint64) error {
	if current.Holder != l.holder || current.Fencing != g.fencing {
		l.held.Store(nil)
		l.observe(current)
		return eris.Wrapf(ErrLost, "%s is held by %q with fencing %d", l.name, current.Holder, current.Fencing)
	}
	if err := l.checkExpiry(nil); err != nil {
		return err
	}
	return l.write(ctx, version, row{Holder: l.holder, Fencing: g.fencing, Counter: current.Counter + 1})
}

func (l *Lease) contend(ctx context.Context, current row, version uint64) error {
	free := current.Holder == "" || current.Holder == l.holder
	if !free && !l.unchanged(current) {
		return eris.Wrapf(ErrNotHeld, "%s is held by %q", l.name, current.Holder)
	}
	return l.write(ctx, version, row{Holder: l.holder, Fencing: current.Fencing + 1, Counter: current.Counter + 1})
}

// unchanged reports whether the row has been the same for the whole duration.
// The wait starts when the first read was answered, which is after the
// renewal that the row shows was sent.
func (l *Lease) unchanged(current row) bool {
	if current != l.seen {
		l.observe(current)
		return false
	}
	return l.clock().Sub(l.seenAt) >= l.duration+l.margin
}

func (l *Lease) observe(current row) {
	l.seen = current
	l.seenAt = l.clock()
}

// write sends next and takes the lease from before the send. A write that is
// repeated because its answer was lost counts from the first send.
func (l *Lease) write(ctx context.Context, version uint64, next row) error {
	sent := l.clock()
	if next != l.pending {
		l.pending = next
		l.sentAt = sent
	}
	if err := l.table.CompareAndSet(ctx, l.name, version, next.encode()); err != nil {
		return eris.Wrapf(ErrOutcomeUnknown, "%s: %v", l.name, err)
	}
	l.pending = row{}
	l.grant(next.Fencing, sent)
	return l.checkExpiry(nil)
}

// settle takes a write whose answer was lost as done when the row shows it.
func (l *Lease) settle(current row) {
	if l.pending == (row{}) || current != l.pending {
		return
	}
	l.pending = row{}
	if l.clock().Before(l.sentAt.Add(l.duration)) {
		l.grant(current.Fencing, l.sentAt)
	}
}

func (l *Lease) grant(fencing uint64, sent time.Time) {
	l.held.Store(&grant{fencing: fencing, until: sent.Add(l.duration)})
}

// checkExpiry drops an expired lease and returns ErrLost for it, else err.
func (l *Lease) checkExpiry(err error) error {
	g := l.held.Load()
	if g == nil || l.clock().Before(g.until) {
		return err
	}
	l.held.Store(nil)
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
