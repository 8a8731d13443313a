package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMarkPreferred(t *testing.T) {
	for _, test := range []struct {
		name      string
		endpoints map[string]int // by domain
		entries   map[string][]string
		preferred map[string]int // number of preferred endpoints by entry
	}{
		{"even", map[string]int{"a": 4, "b": 2}, map[string][]string{"a": {"1", "2"}, "b": {"3"}}, map[string]int{"1": 2, "2": 2, "3": 2}},
		{"more entries than endpoints", map[string]int{"a": 2}, map[string][]string{"a": {"1", "2", "3"}}, map[string]int{"1": 1, "2": 1, "3": 1}},
		{"domain without entries", map[string]int{"a": 2, "c": 2}, map[string][]string{"a": {"1", "2"}}, map[string]int{"1": 2, "2": 2}},
		{"domain without endpoints", map[string]int{"a": 2}, map[string][]string{"a": {"1"}, "b": {"2"}}, map[string]int{"1": 2, "2": 2}},
	} {
		preferred := make(map[string]int)
		for domain, entries := range test.entries {
			for _, self := range entries {
				var list []Candidate
				for d, n := range test.endpoints {
					for i := range n {
						list = append(list, Candidate{ID: fmt.Sprintf("%s%d", d, i), Domain: d})
					}
				}
				MarkPreferred(list, test.entries, domain, self)
				for _, c := range list {
					if c.Preferred {
						preferred[self]++
					}
				}
			}
		}
		require.Equal(t, test.preferred, preferred, test.name)
	}
}
