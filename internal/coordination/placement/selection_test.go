package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEntrySelection(t *testing.T) {
	entries := func(n int, cores, rate float64) []Entry {
		list := make([]Entry, n)
		for i := range list {
			list[i] = Entry{Address: fmt.Sprintf("10.0.0.%02d:1", i), Domain: "a", Cores: cores, Rate: rate}
		}
		return list
	}
	mixed := entries(12, 0.4, 10)
	mixed[7].Cores = 0.8
	withInFlight := entries(12, 0.4, 10)
	withInFlight[9].InFlight = 20
	withInFlight[10].InFlight = minActiveInFlight - 1
	for _, test := range []struct {
		name     string
		entries  []Entry
		slots    int
		selected int
		first    string
		active   int
	}{
		{"no entries", nil, 100, 0, "", 0},
		{"fewer than the minimum", entries(2, 0.4, 10), 100, 2, "10.0.0.00:1", 2},
		{"small domain", entries(12, 0.4, 1), 20, 3, "10.0.0.00:1", 3},
		{"by slots", entries(12, 0.4, 10), 168, 4, "10.0.0.00:1", 4},
		{"by processor time", entries(12, 0.4, 47), 168, 10, "10.0.0.00:1", 10},
		{"rate above the capacity of all", entries(12, 0.4, 500), 168, 12, "10.0.0.00:1", 12},
		{"unknown cores", entries(12, 0, 500), 168, 4, "10.0.0.00:1", 4},
		{"most cores first", mixed, 168, 4, "10.0.0.07:1", 4},
		{"callers with a cached address list", withInFlight, 168, 4, "10.0.0.00:1", 5},
	} {
		r := NewEntrySelection(test.entries, test.slots)
		require.Len(t, r.Selected(), test.selected, test.name)
		require.Len(t, r.Active(), test.active, test.name)
		if test.selected > 0 {
			require.Equal(t, test.first, r.Selected()[0].Address, test.name)
		}
	}
}
