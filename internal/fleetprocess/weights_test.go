package fleetprocess

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
)

// Rows that no entry has written set no time, and do not affect the others.
func TestOddRowsOfTargetVersions(t *testing.T) {
	const now = 10 * time.Minute
	row := func(key, value string) watch.Row { return watch.Row{Key: key, Version: 2, Value: []byte(value)} }
	odd := []watch.Row{
		row("m/2", ""),
		row("m/2", "null"),
		row("m/2", "[]"),
		row("m/2", strings.Repeat(`{"a":`, 100_000)),
		row("m/2", `{"model":"m","version":1e400,"namedMs":1}`),
		row("m/2", `{"model":"m","version":2.5,"namedMs":1}`),
		row("m/2", `{"model":"m","version":2,"namedMs":-1}`),
		row("m/2", `{"model":"m","version":2,"namedMs":605001}`),
		row("m/2", `{"model":"m","version":2,"namedMs":9223372036854775807}`),
		row("m/2", `{"model":"m","version":2,"namedMs":-9223372036854775808}`),
		row("m/3", `{"model":"m","version":2,"namedMs":1}`),
		row("/2", `{"version":2,"namedMs":1}`),
		row("m/0", `{"model":"m","version":0,"namedMs":1}`),
		row("m/-2", `{"model":"m","version":-2,"namedMs":1}`),
		row("m/9223372036854775807", `{"model":"m","version":9223372036854775807,"namedMs":1}`),
		row("m/2", `{"model":"`+strings.Repeat("m", 3000)+`","version":2,"namedMs":1}`),
	}
	sound := []watch.Row{
		row("m/2", `{"model":"m","version":2,"namedMs":590000}`),
		row("m/3", `{"model":"m","version":3,"namedMs":601000}`),
		row("m/1", `{"model":"m","version":1,"namedMs":0}`),
	}
	rows, failures := decodeTargetVersions(watch.Update{StoreTime: now, Rows: append(odd, sound...)})
	require.Len(t, failures, len(odd))
	for _, f := range failures {
		require.Less(t, len(f.Err.Error()), 1<<10)
	}
	require.Len(t, rows, len(sound))
	require.Equal(t, 10*time.Second, rows[0].age)
	require.Zero(t, rows[1].age, "a version was not set in the future")
	require.Equal(t, now, rows[2].age)
}
