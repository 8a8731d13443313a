package replica

import (
	"context"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Staged chunks that the endpoint lists and the manifest does not have are ignored, and
// each chunk is read once.
func TestListOfStagedChunksIsOdd(t *testing.T) {
	m := manifest(t, 2, "a", "b")
	reads := 0
	r := New(agent(1), Callbacks{
		ListStaged: func(context.Context, string) ([]int, error) {
			return []int{-1, math.MinInt, 1, 2, math.MaxInt, 1, 1, 1}, nil
		},
		ReadStaged: func(_ context.Context, _ string, i int) ([]byte, error) {
			reads++
			return []byte("wrong"), nil
		},
	})
	s := stagingState{manifest: m, staged: make([]bool, m.Chunks())}
	require.NoError(t, r.verifyStaged(t.Context(), target{model: "m", version: 2}, s))
	require.Equal(t, []bool{false, false}, s.staged)
	require.Equal(t, 1, reads)
}
