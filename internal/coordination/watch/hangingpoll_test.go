package watch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A store that comes back from an older copy may leave polls without an answer. They are given
// up soon after the time that they wait, and followed by one that does not wait. While the
// store is slow, its answers are given more time.
func TestPollWithoutAnswer(t *testing.T) {
	const wait = 750 * time.Millisecond
	for _, test := range []struct {
		name  string
		fails int           // polls that get no answer
		slow  time.Duration // time of each later answer
		waits []time.Duration
		took  time.Duration // until the last poll, at most
	}{
		{"one hangs", 1, 0, []time.Duration{wait, 0, wait}, 1400 * time.Millisecond},
		{"two hang", 2, 0, []time.Duration{wait, 0, 0, wait}, 2600 * time.Millisecond},
		{"a slow store", 0, 1400 * time.Millisecond, []time.Duration{wait, 0, 0, wait}, 4100 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			begun := time.Now()
			var waits []time.Duration
			w := New(Source{
				List: func(context.Context) (Update, error) { return update(1, liveRow("a", 1)), nil },
				Watch: func(ctx context.Context, _ int64, wait time.Duration) (Update, error) {
					waits = append(waits, wait)
					if len(waits) <= test.fails {
						<-ctx.Done()
						return Update{}, ctx.Err()
					}
					select {
					case <-time.After(test.slow):
						return update(1), nil
					case <-ctx.Done():
						return Update{}, ctx.Err()
					}
				},
			}, WithLongPollTimeout(wait), WithClock(func() time.Duration { return time.Since(begun) + time.Second }))
			require.NoError(t, w.Poll(t.Context()))
			for len(waits) < len(test.waits) {
				if err := w.Poll(t.Context()); err != nil {
					require.True(t, errors.Is(err, context.DeadlineExceeded), test.name)
					time.Sleep(w.backoff())
				}
				if len(waits) == len(test.waits)-1 {
					require.Less(t, time.Since(begun), test.took, test.name)
				}
			}
			require.Equal(t, test.waits, waits, test.name)
		})
	}
}

// A copy that has entered another era polls so that it is confirmed as soon as it may.
func TestPollEndsWithRestoreGrace(t *testing.T) {
	list := func(era, version int64) step {
		return step{update: Update{Position: Position{Era: era, Version: version}, Full: true}}
	}
	f := newFixture(list(1, 5), step{err: ErrCompacted}, list(2, 3))
	require.NoError(t, f.Poll(t.Context()))
	require.ErrorIs(t, f.Poll(t.Context()), ErrCompacted)
	require.NoError(t, f.Poll(t.Context()))
	f.clock += restoreGrace - 300*time.Millisecond
	require.Equal(t, 300*time.Millisecond, f.currentLongPollTimeout())
	f.clock += 300 * time.Millisecond
	require.Equal(t, defaultLongPollTimeout, f.currentLongPollTimeout())
}

// Each era that a copy enters after its first one is reported once, with both positions.
func TestRestoredPositions(t *testing.T) {
	list := func(era, version int64) step {
		return step{update: Update{Position: Position{Era: era, Version: version}, Full: true}}
	}
	f := newFixture(list(1, 5), step{err: ErrCompacted}, list(2, 3), step{err: ErrCompacted}, list(2, 4), step{err: ErrCompacted}, list(1, 9))
	var seen [][2]Position
	WithOnRestored(func(before, after Position, from string) {
		require.Empty(t, from)
		seen = append(seen, [2]Position{before, after})
	})(f.Watcher)
	for len(f.script.steps) > 0 {
		_ = f.Poll(t.Context()) // lost histories and the late answer are errors
	}
	require.Equal(t, [][2]Position{{{Era: 1, Version: 5}, {Era: 2, Version: 3}}}, seen)
}
