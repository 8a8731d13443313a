package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// fleetOf returns entries of three failure domains.
func fleetOf(n int) []Entry {
	var list []Entry
	for i := range n {
		list = append(list, Entry{Address: fmt.Sprintf("10.%d.0.%03d:1", i%3, i), Domain: fmt.Sprint(i % 3), Cores: float64(1 + i%2)})
	}
	return list
}

// sharesOf returns the shares of one of the entries, which knows all others.
func sharesOf(list []Entry, i int) *ConnectionShares {
	others := slices.Delete(slices.Clone(list), i, i+1)
	return NewConnectionShares(list[i], func() []Entry { return others }, len(list))
}

// The shares of all entries come to no more than an endpoint accepts, whatever their number,
// and to most of it.
func TestConnectionSharesSum(t *testing.T) {
	for _, entries := range []int{1, 8, 21, 22, 30, 100, 148, 300} {
		list := fleetOf(entries)
		for _, accepted := range []int{1, 2, 3, 5, 10, 48, 49, 274, 1932} {
			for _, endpoint := range []string{"i-1", "i-2"} {
				sum := 0
				for i := range list {
					sum += sharesOf(list, i).Of(endpoint, accepted)
				}
				budget := max(accepted*9/10, 1)
				require.LessOrEqual(t, sum, budget, "%d entries, %d connections", entries, accepted)
				require.GreaterOrEqual(t, sum, min(budget/2+1, budget), "%d entries, %d connections", entries, accepted)
			}
		}
	}
}

// Where there are two connections for each entry, each gets the same number.
func TestConnectionSharesOfSmallSites(t *testing.T) {
	for _, test := range []struct {
		entries, accepted, want int
	}{
		{8, 274, 30},
		{8, 49, 5},
		{8, 110, 12},
		{21, 48, 2},
		{148, 1932, 11},
		{1, 1, 1},
	} {
		list := fleetOf(test.entries)
		for i := range list {
			require.Equal(t, test.want, sharesOf(list, i).Of("i-1", test.accepted), "%d entries, %d connections", test.entries, test.accepted)
		}
	}
}

// The entries that callers are directed to have connections first, and different ones of the
// next have those to different endpoints.
func TestConnectionSharesOfSelectedEntries(t *testing.T) {
	const entries, accepted, endpoints = 100, 48, 200
	list := fleetOf(entries)
	held := make(map[int]int) // endpoints by position in the failure domain
	for i := range list {
		s := sharesOf(list, i)
		for n := range endpoints {
			if s.Of(fmt.Sprintf("i-%d", n), accepted) > 0 {
				held[s.order.self.position]++
			}
		}
	}
	for position := range 7 {
		require.Equal(t, 3*endpoints, held[position], "position %d of three failure domains", position)
	}
	require.Zero(t, held[7])
	s := sharesOf(list, slices.IndexFunc(list, func(e Entry) bool { return e.Cores == 2 }))
	few := 0
	for n := range endpoints {
		if s.Of(fmt.Sprintf("i-%d", n), 2) > 0 {
			few++
		}
	}
	require.InDelta(t, endpoints/3, few, endpoints/10, "one of three entries at the same position")
}

// An entry that has heard of some of the others derives its place among all from that among
// them. The shares come to no more than an endpoint accepts, whichever entries each has
// heard of.
func TestConnectionSharesOfUnknownEntries(t *testing.T) {
	const accepted, draws = 48, 40
	random := rand.New(rand.NewPCG(5, 1))
	list := fleetOf(100)
	for _, known := range []int{1, 4, 10, 25, 50, 75, 90, 99} {
		most, total := 0, 0
		for range draws {
			sum := 0
			for i := range list {
				others := slices.Delete(slices.Clone(list), i, i+1)
				random.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
				s := NewConnectionShares(list[i], func() []Entry { return others[:known] }, len(list))
				sum += s.Of("i-1", accepted)
			}
			most, total = max(most, sum), total+sum
		}
		t.Logf("%d others known: %d connections at most, %d in the mean", known, most, total/draws)
		require.LessOrEqual(t, most, accepted, "%d others known", known)
	}
	alone := NewConnectionShares(list[0], func() []Entry { return nil }, len(list))
	require.Zero(t, alone.Of("i-1", accepted), "it knows nobody")
}
