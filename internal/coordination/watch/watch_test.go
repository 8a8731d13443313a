package watch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// script returns prepared results to calls, one after the other.
type script struct {
	steps []step
	calls []string
}

type step struct {
	update Update
	err    error
}

func (s *script) next(call string) (Update, error) {
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		return Update{}, errors.New("no more scripted results")
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	return next.update, next.err
}

type fixture struct {
	*Watcher
	script        *script
	clock         time.Duration
	applied       []string
	lostCalls     int
	restoredAfter time.Duration
}

func newFixture(steps ...step) *fixture {
	f := &fixture{script: &script{steps: steps}, clock: time.Second}
	f.Watcher = New(Source{
		List:  func(context.Context) (Update, error) { return f.script.next("list") },
		Watch: func(context.Context, int64, time.Duration) (Update, error) { return f.script.next("watch") },
	},
		WithClock(func() time.Duration { return f.clock }),
		WithRemovalGrace(2*time.Second),
		WithOutageCallbacks(func(error) { f.lostCalls++ }, func(down time.Duration) { f.restoredAfter = down }),
		WithOnChange(func(rows map[string]Row) { f.applied = slices.Sorted(maps.Keys(rows)) }))
	f.lastSuccess = f.clock
	return f
}

func at(version int64) Position { return Position{Version: version} }

func update(version int64, rows ...Row) Update { return Update{Position: at(version), Rows: rows} }

func liveRow(key string, version int64) Row { return Row{Key: key, Version: version} }

func deletedRow(key string, version int64) Row { return Row{Key: key, Version: version, Deleted: true} }

var errUnavailable = errors.New("store is unavailable")

func TestPoll(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []step
		calls []string
		rows  []string
	}{
		{"list, then watch", []step{{update: update(3, liveRow("a", 1))}, {update: update(4, liveRow("b", 4))}}, []string{"list", "watch"}, []string{"a", "b"}},
		{"removed", []step{{update: update(3, liveRow("a", 1), liveRow("b", 2))}, {update: update(4, deletedRow("a", 4))}}, []string{"list", "watch"}, []string{"b"}},
		{
			"history is compacted",
			[]step{{update: update(3, liveRow("a", 1))}, {err: ErrCompacted}, {update: update(9, liveRow("c", 8))}},
			[]string{"list", "watch", "list"},
			[]string{"c"},
		},
		{
			"a list older than the copy is rejected",
			[]step{{update: update(9, liveRow("a", 9))}, {err: ErrCompacted}, {update: update(7, liveRow("old", 7))}, {update: update(9, liveRow("a", 9))}},
			[]string{"list", "watch", "list", "list"},
			[]string{"a"},
		},
		{"a failed call changes nothing", []step{{update: update(3, liveRow("a", 1))}, {err: errUnavailable}, {update: update(5, liveRow("b", 5))}}, []string{"list", "watch", "watch"}, []string{"a", "b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(test.steps...)
			for len(f.script.steps) > 0 {
				_ = f.Poll(t.Context()) // failures are part of the script
			}
			require.Equal(t, test.calls, f.script.calls)
			require.Equal(t, test.rows, f.applied)
		})
	}
}

// Rows that expired during an outage of the store are retained for two seconds after its
// recovery; rows that are removed later disappear at once.
func TestRowsExpiredInOutageAreRetained(t *testing.T) {
	f := newFixture(
		step{update: update(3, liveRow("a", 1), liveRow("b", 2))}, step{err: errUnavailable},
		step{update: update(9, deletedRow("a", 8))}, step{update: update(10, liveRow("c", 10))},
		step{update: update(11, liveRow("d", 11))}, step{update: update(12, deletedRow("b", 12))},
	)
	require.NoError(t, f.Poll(t.Context()))
	f.clock += 3 * time.Second
	require.Error(t, f.Poll(t.Context()))
	require.Equal(t, 1, f.lostCalls)
	f.clock += time.Second
	require.NoError(t, f.Poll(t.Context()))
	require.Equal(t, 4*time.Second, f.restoredAfter)
	require.Contains(t, f.applied, "a")
	f.clock += time.Second
	require.NoError(t, f.Poll(t.Context()))
	require.Contains(t, f.applied, "a")
	f.clock += 1100 * time.Millisecond
	require.NoError(t, f.Poll(t.Context()))
	require.Equal(t, []string{"b", "c", "d"}, f.applied)
	require.NoError(t, f.Poll(t.Context()))
	require.Equal(t, []string{"c", "d"}, f.applied)
}

// A long time between updates from peers is not taken for an outage of the store, so
// removed rows are not retained.
func TestRareMergesAreNoOutage(t *testing.T) {
	f := newFixture()
	take := func(p Update) { require.NoError(t, f.Table().Merge(p, f.clock)) }
	take(Update{Full: true, Position: at(2), Rows: []Row{liveRow("a", 1), liveRow("b", 2)}})
	f.clock += 20 * time.Second
	take(update(3, deletedRow("a", 3)))
	require.Equal(t, []string{"b"}, f.applied)
}

// The time as of which the copy is current follows the store's clock, also for a response
// that was delayed for seconds, and is never later than the moment that it describes.
func TestConfirmed(t *testing.T) {
	table := newTable(func(map[string]Row) {}, func() time.Duration { return time.Hour }, 0)
	for _, test := range []struct {
		name    string
		update  Update
		started time.Duration
		want    time.Duration
	}{
		{"slow first response", Update{StoreTime: 10 * time.Second}, 100 * time.Second, 100 * time.Second},
		{"prompt response", Update{StoreTime: 11 * time.Second}, 101500 * time.Millisecond, 101500 * time.Millisecond},
		{"delayed for two seconds", Update{StoreTime: 14 * time.Second}, 102 * time.Second, 104500 * time.Millisecond},
		{"from a peer, one second old", Update{StoreTime: 15 * time.Second, Age: time.Second}, 105 * time.Second, 105500 * time.Millisecond},
		{"an old response changes nothing", Update{StoreTime: 12 * time.Second}, 90 * time.Second, 105500 * time.Millisecond},
	} {
		require.NoError(t, table.Merge(test.update, test.started), test.name)
		require.Equal(t, test.want, table.Confirmed(), test.name)
	}
}

// A Watcher that is not active makes no calls.
func TestInactiveMakesNoCalls(t *testing.T) {
	f := newFixture()
	f.active = func() bool { return false }
	ctx, cancel := context.WithCancel(t.Context())
	ended := f.Run(ctx)
	cancel()
	<-ended
	require.Empty(t, f.script.calls)
}

// The delay after a failed call is bounded by the larger of the minimum retry delay and
// the backoff; jitter takes off at most half of it.
func TestMinRetryDelay(t *testing.T) {
	for _, test := range []struct {
		name     string
		minDelay time.Duration
		failures int
		low      time.Duration
		high     time.Duration
	}{
		{"none", 0, 1, firstBackoff, 2 * firstBackoff},
		{"longer than the backoff", 2 * time.Second, 1, time.Second, 2 * time.Second},
		{"shorter than the backoff", 100 * time.Millisecond, 9, maxBackoff / 2, maxBackoff},
	} {
		f := newFixture()
		WithMinRetryDelay(func() time.Duration { return test.minDelay })(f.Watcher)
		f.failures = test.failures
		for range 50 {
			wait := f.backoff()
			require.GreaterOrEqual(t, wait, test.low, test.name)
			require.LessOrEqual(t, wait, test.high, test.name)
		}
	}
}

// A copy that differs from a peer's at the same version is listed again, not more often
// than the interval allows.
func TestDivergedCopyIsListedAgain(t *testing.T) {
	f := newFixture(step{update: update(5, liveRow("a", 1))}, step{update: update(5, liveRow("a", 1))}, step{update: update(6, liveRow("a", 1))})
	require.NoError(t, f.Poll(t.Context()))
	wrong := Update{Position: at(6), Digest: 1, From: "peer"}
	require.ErrorIs(t, f.Table().Merge(wrong, f.clock), ErrDiverged)
	require.NoError(t, f.Poll(t.Context()))
	f.clock += minListInterval
	require.NoError(t, f.Poll(t.Context()))
	require.Equal(t, []string{"list", "watch", "list"}, f.script.calls)
}
