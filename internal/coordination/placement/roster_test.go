package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRoster(t *testing.T) {
	entries := func(n int, cores, rate float64) []Entry {
		list := make([]Entry, n)
		for i := range list {
			list[i] = Entry{Address: fmt.Sprintf("10.0.0.%02d:1", i), Domain: "a", Cores: cores, Rate: rate}
		}
		return list
	}
	strong := entries(12, 0.4, 10)
	strong[7].Cores = 0.8
	carrying := entries(12, 0.4, 10)
	carrying[9].InFlight = 20
	carrying[10].InFlight = fewCarried - 1
	for _, test := range []struct {
		name    string
		entries []Entry
		slots   int
		listed  int
		first   string
		takers  int
	}{
		{"none", nil, 100, 0, "", 0},
		{"fewer than the fewest", entries(2, 0.4, 10), 100, 2, "10.0.0.00:1", 2},
		{"small domain", entries(12, 0.4, 1), 20, 3, "10.0.0.00:1", 3},
		{"by slots", entries(12, 0.4, 10), 168, 4, "10.0.0.00:1", 4},
		{"by processor time", entries(12, 0.4, 47), 168, 10, "10.0.0.00:1", 10},
		{"more than there is", entries(12, 0.4, 500), 168, 12, "10.0.0.00:1", 12},
		{"strength is not known", entries(12, 0, 500), 168, 4, "10.0.0.00:1", 4},
		{"strongest first", strong, 168, 4, "10.0.0.07:1", 4},
		{"callers with an older answer", carrying, 168, 4, "10.0.0.00:1", 5},
	} {
		r := NewEntrySelection(test.entries, test.slots)
		require.Len(t, r.Selected(), test.listed, test.name)
		require.Len(t, r.Active(), test.takers, test.name)
		if test.listed > 0 {
			require.Equal(t, test.first, r.Selected()[0].Address, test.name)
		}
	}
}
