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

const textForm = `[deployment]
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

// textWith returns a configuration that differs from others by the weight. The
// token of each team is its name.
func textWith(weight int) *configtext.Config {
	cfg, err := configtext.Parse("test.toml", fmt.Appendf(nil, textForm, digest.Of([]byte("admin")), digest.Of([]byte("shops")), weight))
	if err != nil {
		panic(err)
	}
	return cfg
}

// fault is what happens to one call of the table service.
type fault int

const (
	noFault fault = iota
	// outage: the call does nothing and says so.
	outage
	// lostRequest: nothing happens and the caller can't know.
	lostRequest
	// lostAnswer: the transaction takes effect and the caller can't know.
	lostAnswer
	// delayed: the caller gets no answer; the transaction arrives later.
	delayed
)

// fakeTable is a table service in memory that does what it is told to.
type fakeTable struct {
	rows    map[string]accept.Row
	last    uint64
	pending []accept.Transaction
	// gets and commits are the faults of the coming calls.
	gets, commits []fault
	// beforeGet runs before each read, and afterCommit after each transaction.
	beforeGet, afterCommit func()
	mu                     sync.Mutex // guards objects
	objects                map[string][]byte
	objectsDown            bool
	// missing makes the checks beyond the text find a fault.
	missing func() bool
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]accept.Row{}, objects: map[string][]byte{}, beforeGet: func() {}, afterCommit: func() {}, missing: func() bool { return false }}
}

// acceptor returns a fresh acceptor, as another entry or a restarted one has.
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
	if !f.missing() {
		return nil
	}
	// The text names no manifest, so an unknown dependency stands for one.
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
	if pop(&f.gets) != noFault {
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
	switch pop(&f.commits) {
	case outage:
		return tables.ErrUnavailable
	case lostRequest:
		return tables.ErrUnknown
	case lostAnswer:
		_ = f.apply(t)
		return tables.ErrUnknown
	case delayed:
		f.pending = append(f.pending, t)
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
	f.last++
	for _, w := range t.Writes() {
		f.rows[w.Key()] = accept.NewRow(w.Key(), w.Value(), f.last)
	}
	return nil
}

// arrive applies the delayed transactions in the order they were sent.
func (f *fakeTable) arrive() {
	for _, t := range f.pending {
		_ = f.apply(t)
	}
	f.pending = nil
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

// first accepts the first revision, from which the tests go on.
func (f *fakeTable) first(t *testing.T) {
	t.Helper()
	r := f.acceptor().Submit(t.Context(), accept.Change{ID: "first", Base: 0, Config: textWith(1), Token: "admin"})
	require.Equal(t, accept.Accepted, r.Outcome(), r.Reason())
	require.EqualValues(t, 1, r.Head().Revision)
}
