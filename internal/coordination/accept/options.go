package accept

import (
	"context"
	"time"

	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Option configures an Acceptor.
type Option func(*Acceptor)

// WithTableFuncs sets the functions that access the table service. The errors of
// get and list match tables.ErrUnavailable. The errors of commit match that or
// tables.ErrConflict, tables.ErrRejected or tables.ErrUnknown; any other error of
// commit is treated as tables.ErrUnknown.
func WithTableFuncs(
	get func(ctx context.Context, key string) (Row, error),
	list func(ctx context.Context, prefix string, limit int) ([]Row, error),
	commit func(ctx context.Context, t Transaction) error,
) Option {
	return func(a *Acceptor) {
		a.get = get
		a.list = list
		a.commit = commit
	}
}

// WithObjects sets the functions that access the object store.
func WithObjects(
	put func(ctx context.Context, key string, data []byte) error,
	get func(ctx context.Context, key string) ([]byte, error),
) Option {
	return func(a *Acceptor) {
		a.putObject = put
		a.getObject = get
	}
}

// WithInForce sets the function that returns the configuration in force at this
// process, so that the base need not be read from the object store. The function
// may return nil.
func WithInForce(inForce func() *configtext.Config) Option {
	return func(a *Acceptor) { a.inForce = inForce }
}

// WithCheck sets a check that needs more than the text of the configuration. It
// returns configtext.Faults if the configuration is invalid; after any other error
// the outcome of the change is unknown. The base is nil for the first revision.
func WithCheck(check func(ctx context.Context, base, cfg *configtext.Config) error) Option {
	return func(a *Acceptor) { a.check = check }
}

// WithClock sets the clock that gives the time at which a change is accepted.
func WithClock(now func() time.Time) Option {
	return func(a *Acceptor) { a.now = now }
}

// WithSleep sets the function that waits between two transactions. It returns an
// error if the context ends first.
func WithSleep(sleep func(ctx context.Context, d time.Duration) error) Option {
	return func(a *Acceptor) { a.sleep = sleep }
}

func sleepContext(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
