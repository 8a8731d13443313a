package accept

import (
	"context"

	"github.com/primrosetally/primrosetally/internal/transport/tables"
)

// WithTables sets the client of the table service.
func WithTables(c *tables.Client) Option {
	get := func(ctx context.Context, key string) (Row, error) {
		row, err := c.Get(ctx, key)
		return rowFromClient(row), err
	}
	list := func(ctx context.Context, prefix string, limit int) ([]Row, error) {
		rows, err := c.List(ctx, prefix, limit)
		list := make([]Row, len(rows))
		for i, r := range rows {
			list[i] = rowFromClient(r)
		}
		return list, err
	}
	commit := func(ctx context.Context, t Transaction) error {
		_, err := c.Commit(ctx, transactionForClient(t))
		return err
	}
	return WithTableFuncs(get, list, commit)
}

func rowFromClient(r tables.Row) Row {
	return NewRow(r.Key(), r.Value(), uint64(r.Version()))
}

func transactionForClient(t Transaction) *tables.Transaction {
	out := tables.NewTransaction()
	for _, e := range t.expect {
		out.Expect(e.key, tables.Version(e.version))
	}
	for _, w := range t.writes {
		out.Put(w.key, w.value)
	}
	return out
}
