package demo_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/demo"
)

func TestRun(t *testing.T) {
	const size = 2 << 20 // bytes
	tests := []struct {
		name    string
		options []demo.Option
	}{
		{"no faults", nil},
		{"corrupt chunks", []demo.Option{demo.WithCorruption(0.1)}},
		{"killed agent", []demo.Option{demo.WithKill(1)}},
		{"table outage", []demo.Option{demo.WithOutage(time.Second)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			options := append([]demo.Option{demo.WithSize(size), demo.WithReplicas(4)}, tt.options...)
			report, err := demo.Run(t.Context(), options...)
			require.NoError(t, err)
			require.Empty(t, report.Broken(), "%+v", report)
			require.EqualValues(t, 2, report.Revision)
		})
	}
}
