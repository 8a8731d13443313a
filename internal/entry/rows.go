package entry

import (
	"context"
	"errors"

	"github.com/primrosetally/primrosetally/internal/coordination/claims"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
)

// tableRows adapts the table client to the row callbacks of claims and suspects.
type tableRows struct {
	client *tables.Client
}

func (t tableRows) get(ctx context.Context, key string) ([]byte, uint64, error) {
	row, err := t.client.Get(ctx, key)
	return row.Value(), uint64(row.Version()), err
}

func (t tableRows) compareAndSet(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	change := tables.NewTransaction().Expect(key, tables.Version(version)).Put(key, value)
	written, err := t.client.Commit(ctx, change)
	return uint64(written), err
}

func (t tableRows) claimCompareAndSet(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	written, err := t.compareAndSet(ctx, key, version, value)
	switch {
	case err == nil:
		return written, nil
	case errors.Is(err, tables.ErrConflict):
		return 0, claims.ErrConflict
	case errors.Is(err, tables.ErrUnavailable), errors.Is(err, tables.ErrRejected):
		return 0, claims.ErrUnavailable
	}
	return 0, claims.ErrUnknown
}

func (t tableRows) suspectCompareAndSet(ctx context.Context, key string, version uint64, value []byte) error {
	_, err := t.compareAndSet(ctx, key, version, value)
	if errors.Is(err, tables.ErrConflict) {
		return suspects.ErrConflict
	}
	return err
}

func (t tableRows) suspectList(ctx context.Context, prefix string, limit int) ([][]byte, error) {
	rows, err := t.client.List(ctx, prefix, limit)
	if err != nil {
		return nil, err
	}
	values := make([][]byte, len(rows))
	for i, r := range rows {
		values[i] = r.Value()
	}
	return values, nil
}
