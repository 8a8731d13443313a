package weights_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/measure/weights"
)

// Targets of the measurement.
const (
	maxRatio           = 1.25
	maxRatioWithFaults = 1.6
	maxPerRegion       = 1.05
	maxOrigin          = 4.0
	maxUpload          = 2.0
)

func place(t *testing.T, name string) weights.Place {
	t.Helper()
	for _, p := range weights.Places() {
		if p.Name() == name {
			return p
		}
	}
	t.Fatalf("no place %q", name)
	return weights.Place{}
}

func TestTargetsAt210Replicas(t *testing.T) {
	tests := []struct {
		place  string
		faults weights.Faults
		ratio  float64
	}{
		{"daugava", weights.NoFaults(), maxRatio},
		{"targetWide", weights.NoFaults(), maxRatio},
		{"targetWide", weights.TargetFaults(), maxRatioWithFaults},
	}
	for _, tt := range tests {
		t.Run(tt.place+tt.faults.Name, func(t *testing.T) {
			t.Parallel()
			r := weights.Swarm(place(t, tt.place), 210, tt.faults, 1)
			require.True(t, r.Complete)
			require.LessOrEqual(t, r.Ratio, tt.ratio)
			require.LessOrEqual(t, r.OriginCopies, maxOrigin)
			require.LessOrEqual(t, r.MaxUploadCopies, maxUpload)
			if tt.faults.Name == "" {
				require.LessOrEqual(t, r.OriginCopiesPerRegion, maxPerRegion)
			}
		})
	}
}

func TestFaultsEnd(t *testing.T) {
	tests := []struct {
		name   string
		faults weights.Faults
		after  time.Duration
	}{
		{"regions cut for two minutes", weights.Faults{Name: "cut", CutAt: time.Minute, CutFor: 2 * time.Minute}, 0},
		{"origin down for three minutes", weights.Faults{Name: "origin", OriginDownAt: 30 * time.Second, OriginDownFor: 3 * time.Minute}, 0},
		{"target faults", weights.TargetFaults(), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := weights.Swarm(place(t, "daugava"), 9, tt.faults, 1)
			require.True(t, r.Complete)
			require.LessOrEqual(t, r.MaxUploadCopies, maxUpload)
			require.Less(t, r.Seconds, 2*r.BoundSeconds)
		})
	}
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	p := place(t, "mehfil")
	first := weights.Swarm(p, 48, weights.TargetFaults(), 7)
	for range 3 {
		require.Equal(t, first, weights.Swarm(p, 48, weights.TargetFaults(), 7))
	}
}

func TestBaselines(t *testing.T) {
	report := weights.Measure(weights.WithReplicas(8), weights.WithPlaces("targetWide"))
	require.Len(t, report.Results, 4)
	origin, tree := report.Results[0], report.Results[1]
	// Eight copies through a link that carries four in ten minutes.
	require.InDelta(t, 1200, origin.Seconds, 1)
	require.InDelta(t, 8, origin.OriginCopies, 1e-9)
	// A copy from the origin, then two by each holder over one link, twice.
	require.InDelta(t, 1200, tree.Seconds, 1)
	require.InDelta(t, 2, tree.OriginCopies, 1e-9)
	require.InDelta(t, 2, tree.MaxUploadCopies, 1e-9)
	require.InDelta(t, 301.2, origin.BoundSeconds, 0.1)
}

func TestTableAndPlot(t *testing.T) {
	report := weights.Measure(weights.WithReplicas(4, 8), weights.WithPlaces("mehfil"))
	var text, encoded bytes.Buffer
	require.NoError(t, report.Table(&text, false))
	require.Contains(t, text.String(), "mehfil")
	require.NoError(t, report.Table(&encoded, true))
	var same weights.Report
	require.NoError(t, json.Unmarshal(encoded.Bytes(), &same))
	require.Equal(t, report, same)
	dir := filepath.Join(t.TempDir(), "plots")
	require.NoError(t, report.Plot(dir))
	for _, name := range []string{"mehfil-time.svg", "mehfil-origin.svg"} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		require.Contains(t, string(data), "<svg")
	}
}
