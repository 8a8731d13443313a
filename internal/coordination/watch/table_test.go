package watch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A copy is updated from another one, removals included; one that is too far behind is
// sent every row.
func TestSince(t *testing.T) {
	source := newTable(func(map[string]Row) {}, func() time.Duration { return 0 }, 0)
	peer := newTable(func(map[string]Row) {}, func() time.Duration { return 0 }, 0)
	require.NoError(t, source.Merge(Update{Full: true, Position: at(5), Rows: []Row{liveRow("a", 1), liveRow("b", 5)}}, 0))
	require.NoError(t, peer.Merge(source.Since(peer.State().Position), 0))
	require.NoError(t, source.Merge(Update{Position: at(9), Rows: []Row{deletedRow("a", 7), liveRow("c", 9)}}, 0))
	p := source.Since(peer.State().Position)
	require.False(t, p.Full)
	require.Len(t, p.Rows, 2)
	require.NoError(t, peer.Merge(p, 0))
	require.Equal(t, source.rows, peer.rows)
	require.Equal(t, source.State(), peer.State())
	for i := range maxRemovals + 1 {
		v := int64(10 + i)
		require.NoError(t, source.Merge(Update{Position: at(v), Rows: []Row{deletedRow("x", v), deletedRow(string(rune('A'+i)), v)}}, 0))
	}
	require.True(t, source.Since(peer.State().Position).Full)
}

// A removal that one copy never saw, since it was listed later, still reaches a copy that
// was listed before it.
func TestRemovalBetweenTwoLists(t *testing.T) {
	first := func(u Update) *Table {
		table := newTable(func(map[string]Row) {}, func() time.Duration { return 0 }, 0)
		u.Full = true
		require.NoError(t, table.Merge(u, 0))
		return table
	}
	sync := func(to, from *Table) {
		if to.State().Behind(from.State()) {
			require.NoError(t, to.Sync("peer", func() time.Duration { return 0 }, func(after Position) (Update, error) {
				return from.Since(after), nil
			}))
		}
	}
	for _, test := range []struct {
		name          string
		early, late   Update
		change        Update // at the late copy, before they are compared
		earlyFromPeer bool   // the early copy answers first
		wantRows      []string
	}{
		{name: "same newest change", early: update(7, liveRow("a", 5), liveRow("b", 6)), late: update(9, liveRow("b", 6)), wantRows: []string{"b"}},
		{name: "removed row was the newest", early: update(8, liveRow("a", 8), liveRow("b", 6)), late: update(9, liveRow("b", 6)), wantRows: []string{"b"}},
		{
			name:  "another change follows",
			early: update(7, liveRow("a", 5), liveRow("b", 6)), late: update(9, liveRow("b", 6)), change: update(11, liveRow("c", 11)),
			wantRows: []string{"b", "c"},
		},
		{
			name:  "the early copy answers the late one first",
			early: update(8, liveRow("a", 8), liveRow("b", 6)), late: update(9, liveRow("b", 6)),
			earlyFromPeer: true, wantRows: []string{"b"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			early, late := first(test.early), first(test.late)
			if test.earlyFromPeer {
				u := early.Since(Position{})
				u.From = "peer"
				require.NoError(t, late.Merge(u, 0), "older rows are not an error")
			}
			if test.change.Version > 0 {
				require.NoError(t, late.Merge(test.change, 0))
			}
			sync(late, early)
			sync(early, late)
			require.Equal(t, test.wantRows, slices.Sorted(maps.Keys(late.rows)))
			require.Equal(t, test.wantRows, slices.Sorted(maps.Keys(early.rows)))
			require.Equal(t, late.State().Digest, early.State().Digest)
		})
	}
}

// What was written and removed while nobody watched is forgotten by a copy that had it in
// between, and the others need only the changes.
func TestRemovalInGap(t *testing.T) {
	table := newTable(func(map[string]Row) {}, func() time.Duration { return 0 }, 0)
	require.NoError(t, table.Merge(Update{Full: true, Position: at(5), Rows: []Row{liveRow("a", 1), liveRow("b", 2)}}, 0))
	require.NoError(t, table.Merge(Update{Full: true, Position: at(10), Rows: []Row{liveRow("b", 2)}}, 0))
	for _, test := range []struct {
		after int64
		full  bool
	}{{4, true}, {5, false}, {7, true}, {10, false}} {
		u := table.Since(at(test.after))
		require.Equal(t, test.full, u.Full, test.after)
		if test.after == 5 {
			require.Equal(t, []Row{deletedRow("a", 10)}, u.Rows)
		}
	}
}

// The store comes back from an older copy of itself: what was known holds until its writer
// has written it again, or had the time to; versions that are given out again are not
// mistaken for those of before.
func TestStoreFromOlderCopy(t *testing.T) {
	in := func(era, version int64, rows ...Row) Update {
		return Update{Position: Position{Era: era, Version: version}, Rows: rows, Full: true}
	}
	before := in(1, 100, liveRow("kept", 10), liveRow("changed", 95), liveRow("new", 97))
	removal := Update{Position: Position{Era: 1, Version: 101}, Rows: []Row{deletedRow("gone", 101)}}
	restored := in(2, 91, liveRow("kept", 10), liveRow("changed", 40), liveRow("gone", 50))
	for _, test := range []struct {
		name  string
		after []Update      // in the new era
		wait  time.Duration // since the return
		want  []Row
	}{
		{"at once", nil, 0, []Row{liveRow("changed", 95), liveRow("kept", 10), liveRow("new", 97)}},
		{"written again", []Update{{Position: Position{Era: 2, Version: 93}, Rows: []Row{liveRow("changed", 92), liveRow("gone", 93)}}}, 0, []Row{liveRow("changed", 92), liveRow("gone", 93), liveRow("kept", 10), liveRow("new", 97)}},
		{"never written again", nil, restoreGrace, []Row{liveRow("changed", 40), liveRow("kept", 10)}},
		{"still listed after a minute", nil, removedGrace, []Row{liveRow("changed", 40), liveRow("gone", 50), liveRow("kept", 10)}},
		{"a late answer of the era before", []Update{in(1, 120, liveRow("late", 120))}, 0, []Row{liveRow("changed", 95), liveRow("kept", 10), liveRow("new", 97)}},
		{"once more", []Update{in(3, 88, liveRow("kept", 10))}, 0, []Row{liveRow("changed", 95), liveRow("kept", 10), liveRow("new", 97)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := time.Minute
			var reported map[string]Row
			table := newTable(func(rows map[string]Row) { reported = maps.Clone(rows) }, func() time.Duration { return clock }, 0)
			require.NoError(t, table.Merge(before, clock))
			require.NoError(t, table.Merge(removal, clock))
			changes := Update{Position: Position{Era: 2, Version: 120}, Rows: []Row{liveRow("other", 120)}}
			require.ErrorIs(t, table.Merge(changes, clock), errNewEra, "changes since a version of another era")
			require.NoError(t, table.Merge(restored, clock))
			for _, u := range test.after {
				if err := table.Merge(u, clock); err != nil {
					require.ErrorIs(t, err, errStale)
				}
			}
			clock += test.wait
			table.Expire()
			var got []Row
			for _, key := range slices.Sorted(maps.Keys(reported)) {
				got = append(got, reported[key])
			}
			require.Equal(t, test.want, got)
		})
	}
}

// What the store has lost may be newer than all that it has: after a return from an older
// copy, the copy does not count as current before that had time to be written again.
func TestRestoredStoreConfirmsLater(t *testing.T) {
	clock := time.Minute
	table := newTable(func(map[string]Row) {}, func() time.Duration { return clock }, 0)
	merge := func(era, version int64) {
		u := Update{Position: Position{Era: era, Version: version}, Full: true, StoreTime: clock}
		require.NoError(t, table.Merge(u, clock))
	}
	merge(1, 100)
	before := table.Confirmed()
	clock += time.Second
	merge(2, 90)
	clock += restoreGrace - time.Millisecond
	merge(2, 91)
	require.Equal(t, before, table.Confirmed())
	clock += time.Millisecond
	merge(2, 92)
	require.Equal(t, clock, table.Confirmed())
}

// A peer of an earlier build does not send the era: its copy is one of the same history, and
// what the store says afterwards is no return from an older copy.
func TestUnknownEraIsTheSame(t *testing.T) {
	clock := time.Minute
	for _, test := range []struct {
		name   string
		first  Position
		second Position
		want   Position
	}{
		{"peer, then store", Position{Version: 5}, Position{Era: 4, Version: 7}, Position{Era: 4, Version: 7}},
		{"store, then peer", Position{Era: 4, Version: 5}, Position{Version: 7}, Position{Era: 4, Version: 7}},
		{"store, then a peer that is behind", Position{Era: 4, Version: 7}, Position{Version: 5}, Position{Era: 4, Version: 7}},
	} {
		table := newTable(func(map[string]Row) {}, func() time.Duration { return clock }, 0)
		require.NoError(t, table.Merge(Update{Position: test.first, Full: true, StoreTime: time.Second}, clock), test.name)
		peer := State{Position: test.second, Digest: 1}
		require.Equal(t, test.first.Version < test.second.Version, table.State().Behind(peer), test.name)
		clock += time.Second
		require.NoError(t, table.Merge(Update{Position: test.second, StoreTime: 2 * time.Second}, clock), test.name)
		require.Equal(t, test.want, table.State().Position, test.name)
	}
}

// What a copy takes over from a peer, or from a call that began in another era, does not
// hide removals from it or from those that copy it.
func TestRemovalsOutlastUpdates(t *testing.T) {
	copyOf := func(u Update) *Table {
		table := newTable(func(map[string]Row) {}, func() time.Duration { return time.Minute }, 0)
		u.Full = true
		require.NoError(t, table.Merge(u, time.Minute))
		return table
	}
	sync := func(to, from *Table) error {
		return to.Sync("peer", func() time.Duration { return time.Minute }, func(after Position) (Update, error) {
			return from.Since(after), nil
		})
	}
	keys := func(table *Table) []string { return slices.Sorted(maps.Keys(table.effective())) }

	t.Run("poll that began in the era before", func(t *testing.T) {
		f := newFixture(step{update: Update{Position: Position{Era: 1, Version: 200}, Rows: []Row{liveRow("a", 1)}}})
		require.NoError(t, f.Poll(t.Context()))
		f.source.Watch = func(context.Context, int64, time.Duration) (Update, error) {
			restored := Update{Position: Position{Era: 2, Version: 165}, Full: true, Rows: []Row{liveRow("a", 1)}, Floor: 165, From: "peer"}
			require.NoError(t, f.Table().Merge(restored, f.clock))
			return Update{Position: Position{Era: 2, Version: 180}}, nil // without a removal at 170
		}
		require.ErrorIs(t, f.Poll(t.Context()), errNewEra)
		require.True(t, f.relist)
	})
	t.Run("gap of a peer's record", func(t *testing.T) {
		watcher := copyOf(update(10, liveRow("b", 2)))
		follower, late := copyOf(update(10, liveRow("b", 2))), copyOf(update(15, liveRow("b", 2), liveRow("x", 15)))
		require.NoError(t, watcher.Merge(Update{Position: at(30), Full: true, Rows: []Row{liveRow("b", 2)}}, time.Minute))
		require.NoError(t, sync(follower, watcher))
		require.NoError(t, sync(late, follower))
		require.Equal(t, []string{"b"}, keys(late))
	})
	t.Run("row that is there again after a gap", func(t *testing.T) {
		watcher, peer := copyOf(update(5, liveRow("k", 3))), copyOf(update(5, liveRow("k", 3)))
		require.NoError(t, watcher.Merge(update(10, deletedRow("k", 10)), time.Minute))
		require.NoError(t, watcher.Merge(Update{Position: at(30), Full: true, Rows: []Row{liveRow("k", 20)}}, time.Minute))
		require.NoError(t, sync(peer, watcher))
		require.Equal(t, []string{"k"}, keys(peer))
	})
	t.Run("removal in the new era", func(t *testing.T) {
		table := copyOf(Update{Position: Position{Era: 1, Version: 200}, Rows: []Row{liveRow("k", 180)}})
		require.NoError(t, table.Merge(Update{Position: Position{Era: 2, Version: 160}, Full: true, Rows: []Row{liveRow("k", 90)}}, time.Minute))
		require.Equal(t, []string{"k"}, keys(table))
		require.NoError(t, table.Merge(Update{Position: Position{Era: 2, Version: 170}, Rows: []Row{deletedRow("k", 170)}}, time.Minute))
		require.Empty(t, keys(table))
	})
	t.Run("more removals than are recorded", func(t *testing.T) {
		table := copyOf(update(1))
		for n := range maxRemovals + 1 {
			v := int64(n + 2)
			require.NoError(t, table.Merge(update(v, deletedRow(fmt.Sprint(n), v)), time.Minute))
		}
		newest := table.State().Version
		require.False(t, table.Since(at(newest-100)).Full, "the newest removals are known")
		require.True(t, table.Since(at(10)).Full)
		require.Len(t, table.removed(), maxRemovals/2)
	})
	t.Run("store whose clock starts again", func(t *testing.T) {
		table := copyOf(Update{Position: Position{Era: 1, Version: 5}, StoreTime: 30 * time.Second})
		require.NoError(t, table.Merge(Update{Position: Position{Era: 2, Version: 4}, Full: true, StoreTime: time.Millisecond}, time.Minute+time.Second))
		require.NoError(t, table.Since(Position{}).check())
	})
}

// Two rows whose versions change by the same amount change the digest.
func TestDigestOfRows(t *testing.T) {
	seen := make(map[uint64]bool)
	for n := range int64(50_000) {
		d := rowDigest(liveRow("a", 1000+n)) ^ rowDigest(liveRow("b", 1001+n))
		require.False(t, seen[d], n)
		seen[d] = true
	}
}
