package accept_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/accept"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/internal/transport/objects"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

const textFormat = `[deployment]
name = "d"
[region.r]
failureDomains = ["a"]
[team.admin]
tokenDigest = "%s"
administrator = true
[team.shops]
tokenDigest = "%s"
[account.shop]
team = "shops"
weight = %d
`

// configWithWeight returns a configuration in which account.shop has the weight.
// The token of each team is its name.
func configWithWeight(weight int) *configtext.Config {
	cfg, err := configtext.Parse("test.toml", fmt.Appendf(nil, textFormat, digest.Of([]byte("admin")), digest.Of([]byte("shops")), weight))
	if err != nil {
		panic(err)
	}
	return cfg
}

// fault is a fault that is injected into one call to the table service.
type fault int

const (
	noFault fault = iota
	// outage: the call has no effect and returns tables.ErrUnavailable.
	outage
	// lostRequest: the transaction has no effect and the call returns
	// tables.ErrUnknown.
	lostRequest
	// lostResponse: the transaction takes effect and the call returns
	// tables.ErrUnknown.
	lostResponse
	// delayed: the call returns tables.ErrUnknown; the transaction is applied later.
	delayed
)

// fakeTable is an in-memory table service and object store with injected faults.
type fakeTable struct {
	rows        map[string]accept.Row
	lastVersion uint64
	delayed     []accept.Transaction
	// getFaults and commitFaults are the faults of the next calls, in order.
	getFaults, commitFaults []fault
	// beforeGet runs before each read, and afterCommit after each transaction.
	beforeGet, afterCommit func()
	mu                     sync.Mutex // guards objects
	objects                map[string][]byte
	objectsDown            bool
	// hasFaults reports whether the check of WithCheck finds a fault.
	hasFaults func() bool
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]accept.Row{}, objects: map[string][]byte{}, beforeGet: func() {}, afterCommit: func() {}, hasFaults: func() bool { return false }}
}

// acceptor returns a new acceptor, like that of another entry or after a restart.
func (f *fakeTable) acceptor() *accept.Acceptor {
	return accept.New(
		accept.WithTableFuncs(f.get, f.list, f.commit),
		accept.WithObjects(f.putObject, f.getObject),
		accept.WithCheck(f.check),
		accept.WithClock(func() time.Time { return time.Unix(1000, 0) }),
		accept.WithSleep(func(context.Context, time.Duration) error { return nil }),
	)
}

func (f *fakeTable) check(_ context.Context, _, cfg *configtext.Config) error {
	if !f.hasFaults() {
		return nil
	}
	// The configuration refers to no manifest, so an unknown dependency is used
	// in place of a missing one.
	_, err := configtext.Parse("test.toml", append(cfg.Text(), "[service.s]\nteam = \"shops\"\nkind = \"plain\"\ndependsOn = [\"missing\"]\n"...))
	return err
}

func pop(faults *[]fault) fault {
	if len(*faults) == 0 {
		return noFault
	}
	first := (*faults)[0]
	*faults = (*faults)[1:]
	return first
}

func (f *fakeTable) get(_ context.Context, key string) (accept.Row, error) {
	f.beforeGet()
	if pop(&f.getFaults) != noFault {
		return accept.Row{}, tables.ErrUnavailable
	}
	return f.rows[key], nil
}

func (f *fakeTable) list(_ context.Context, prefix string, limit int) ([]accept.Row, error) {
	var keys []string
	for key := range f.rows {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, cmp.Compare[string])
	var rows []accept.Row
	for _, key := range keys[:min(limit, len(keys))] {
		rows = append(rows, f.rows[key])
	}
	return rows, nil
}

func (f *fakeTable) commit(_ context.Context, t accept.Transaction) error {
	defer f.afterCommit()
	switch pop(&f.commitFaults) {
	case outage:
		return tables.ErrUnavailable
	case lostRequest:
		return tables.ErrUnknown
	case lostResponse:
		_ = f.apply(t)
		return tables.ErrUnknown
	case delayed:
		f.delayed = append(f.delayed, t)
		return tables.ErrUnknown
	}
	return f.apply(t)
}

func (f *fakeTable) apply(t accept.Transaction) error {
	for _, e := range t.Expectations() {
		if f.version(e.Key()) != e.Version() {
			return tables.ErrConflict
		}
	}
	f.lastVersion++
	for _, w := range t.Writes() {
		f.rows[w.Key()] = accept.NewRow(w.Key(), w.Value(), f.lastVersion)
	}
	return nil
}

// applyDelayed applies the delayed transactions in the order in which they were
// sent.
func (f *fakeTable) applyDelayed() {
	for _, t := range f.delayed {
		_ = f.apply(t)
	}
	f.delayed = nil
}

func (f *fakeTable) version(key string) uint64 {
	row, found := f.rows[key]
	if !found {
		return 0
	}
	return row.Version()
}

func (f *fakeTable) putObject(_ context.Context, key string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objectsDown {
		return objects.ErrUnavailable
	}
	f.objects[key] = slices.Clone(data)
	return nil
}

func (f *fakeTable) getObject(_ context.Context, key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, found := f.objects[key]
	if !found || f.objectsDown {
		return nil, objects.ErrUnavailable
	}
	return data, nil
}

func (f *fakeTable) head(t require.TestingT) snapshot.Head {
	var head snapshot.Head
	row, found := f.rows[accept.HeadKey]
	if found {
		require.NoError(t, json.Unmarshal(row.Value(), &head))
	}
	return head
}

// acceptFirst submits the first revision, which must be accepted.
func (f *fakeTable) acceptFirst(t *testing.T) {
	t.Helper()
	r := f.acceptor().Submit(t.Context(), accept.Change{ID: "first", Base: 0, Config: configWithWeight(1), Token: "admin"})
	require.Equal(t, accept.Accepted, r.Outcome(), r.Reason())
	require.EqualValues(t, 1, r.Head().Revision)
}
