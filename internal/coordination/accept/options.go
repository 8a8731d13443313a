package accept

import (
	"context"
	"time"

	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Option sets a property of an acceptor.
type Option func(*Acceptor)

// WithTableFuncs sets the access to the table service. The errors of get and
// list match tables.ErrUnavailable; those of commit also tables.ErrConflict,
// tables.ErrRejected and tables.ErrUnknown. Any other error of commit is taken
// as tables.ErrUnknown.
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

// WithObjects sets the access to the object store.
func WithObjects(
	put func(ctx context.Context, key string, data []byte) error,
	get func(ctx context.Context, key string) ([]byte, error),
) Option {
	return func(a *Acceptor) {
		a.putObject = put
		a.getObject = get
	}
}

// WithInForce sets where the configuration in force at this process is found,
// which saves reading the base from the object store. It may return nil.
func WithInForce(inForce func() *configtext.Config) Option {
	return func(a *Acceptor) { a.inForce = inForce }
}

// WithCheck sets the checks that need more than the text. They return
// configtext.Faults where the text is bad; after any other error the outcome of
// the change is unknown. The base is nil for the first revision.
func WithCheck(check func(ctx context.Context, base, cfg *configtext.Config) error) Option {
	return func(a *Acceptor) { a.check = check }
}

// WithClock sets the clock for the times of acceptance.
func WithClock(now func() time.Time) Option {
	return func(a *Acceptor) { a.now = now }
}

// WithSleep sets how the time between two transactions is spent.
func WithSleep(wait func(ctx context.Context, d time.Duration) error) Option {
	return func(a *Acceptor) { a.wait = wait }
}

func waitFor(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
