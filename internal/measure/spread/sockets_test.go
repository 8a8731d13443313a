package spread_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/measure/spread"
)

func TestSocketsBringEveryChangeInForce(t *testing.T) {
	rows, err := spread.Sockets(context.Background(), []int{7}, 10*time.Millisecond)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Equal(t, 7, rows[0].Nodes)
	require.Positive(t, rows[0].SlowestMS)
}
