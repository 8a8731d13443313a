package watch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An update that is out of bounds changes nothing, whoever sent it, and the copy follows
// what comes after it.
func TestInvalidUpdates(t *testing.T) {
	const now = time.Hour
	for _, test := range []struct {
		name   string
		update Update
	}{
		{"negative version", Update{Position: Position{Version: -1}}},
		{"version too large", Update{Position: Position{Version: math.MaxInt64}, Full: true}},
		{"version too large, changes", Update{Position: Position{Version: math.MaxInt64}, Rows: []Row{{Key: "b", Version: 4}}}},
		{"row newer than the update", Update{Position: Position{Version: 4}, Rows: []Row{{Key: "b", Version: math.MaxInt64}}}},
		{"row newer than the update, full", Update{Position: Position{Version: 4}, Full: true, Rows: []Row{{Key: "b", Version: 9}}}},
		{"removal newer than the update", Update{Position: Position{Version: 4}, Rows: []Row{{Key: "b", Version: math.MaxInt64, Deleted: true}}}},
		{"row without version", Update{Position: Position{Version: 4}, Full: true, Rows: []Row{{Key: "b"}}}},
		{"row with a negative version", Update{Position: Position{Version: 4}, Full: true, Rows: []Row{{Key: "b", Version: -9}}}},
		{"floor above the version", Update{Position: Position{Version: 4}, Full: true, Floor: math.MaxInt64}},
		{"negative floor", Update{Position: Position{Version: 4}, Full: true, Floor: -1}},
		{"negative clock", Update{Position: Position{Version: 4}, StoreTime: math.MinInt64}},
		{"clock too large", Update{Position: Position{Version: 4}, StoreTime: math.MaxInt64}},
		{"age too large", Update{Position: Position{Version: 4}, StoreTime: time.Minute, Age: math.MaxInt64}},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := New(Source{}, WithClock(func() time.Duration { return now })).Table()
			require.NoError(t, table.Merge(Update{Position: Position{Version: 3}, Full: true, StoreTime: time.Minute, Rows: []Row{{Key: "a", Version: 2}}}, now))
			before, confirmed := table.State(), table.Confirmed()
			update := test.update
			update.From = "10.0.0.2:1"
			require.ErrorIs(t, table.Merge(update, now), ErrInvalidUpdate)
			require.Equal(t, before, table.State())
			require.Equal(t, confirmed, table.Confirmed())
			require.NoError(t, table.Merge(Update{Position: Position{Version: 5}, StoreTime: time.Minute, Rows: []Row{{Key: "c", Version: 5}}}, now))
			require.Equal(t, int64(5), table.State().Content)
			require.Equal(t, 2, table.State().Rows)
		})
	}
}

// No clock makes a copy look newer than it can be.
func TestConfirmationIsNotInTheFuture(t *testing.T) {
	const now = time.Hour
	for _, test := range []struct {
		name   string
		update Update
	}{
		{"clock of the store is ahead", Update{Position: Position{Version: 3}, StoreTime: 30 * time.Minute}},
		{"negative age", Update{Position: Position{Version: 3}, StoreTime: time.Minute, Age: math.MinInt64}},
	} {
		table := New(Source{}, WithClock(func() time.Duration { return now })).Table()
		require.NoError(t, table.Merge(Update{Position: Position{Version: 3}, Full: true, StoreTime: time.Minute}, now-time.Second), test.name)
		require.NoError(t, table.Merge(test.update, now), test.name)
		require.LessOrEqual(t, table.Confirmed(), now, test.name)
	}
}
