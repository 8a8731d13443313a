package path_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/measure/path"
)

// Every request by every way is answered whole, and the report shows each way.
func TestMeasure(t *testing.T) {
	report, err := path.Measure(t.Context(), path.WithRequests(20), path.WithStreams(2, 50))
	require.NoError(t, err)
	require.Len(t, report.Latencies, 3)
	require.Equal(t, 100, report.Tokens)
	var text, asJSON bytes.Buffer
	require.NoError(t, report.Table(&text, false))
	require.NoError(t, report.Table(&asJSON, true))
	require.Contains(t, text.String(), "pass-through")
	require.Contains(t, asJSON.String(), "tokensPerSecond")
}
