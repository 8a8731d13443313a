package capacity_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/measure/capacity"
)

// The counted figures come out the same twice, and docs/CAPACITY.md shows them.
func TestPageShowsTheCountedFigures(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	require.NoError(t, err)
	var first, second bytes.Buffer
	for _, w := range []*bytes.Buffer{&first, &second} {
		report, err := capacity.Measure(t.Context())
		require.NoError(t, err)
		require.NoError(t, report.Table(w, false))
	}
	require.Equal(t, first.String(), second.String())
	for line := range strings.Lines(first.String()) {
		require.Contains(t, string(page), strings.TrimSpace(line))
	}
}

// Rows that depend on how many of the requests are keyed or not idempotent name
// that condition in their unit, and the page says what does not fit.
func TestControlFitsTheBudget(t *testing.T) {
	report, err := capacity.Measure(t.Context())
	require.NoError(t, err)
	for _, r := range report.Rows {
		if !strings.Contains(r.Unit, "/s if ") {
			require.True(t, r.Fits(), "%s, %s: %v %s", r.Role, r.Cost, r.AtTarget, r.Unit)
		}
	}
}
