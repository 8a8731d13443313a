package gateway

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// Requests may begin on a version until the bound of the first newer one.
func TestUsableUntil(t *testing.T) {
	const second = time.Second
	targets := newTargetVersions()
	targets.bound = 8 * second
	require.Zero(t, targets.usableUntil("m", 1), "no newer version")
	targets.add("m", 4, 30*second, true)
	targets.add("m", 3, 20*second, true)
	targets.add("n", 9, 5*second, true)
	require.Equal(t, 28*second, targets.usableUntil("m", 1))
	require.Equal(t, 28*second, targets.usableUntil("m", 2))
	require.Equal(t, 38*second, targets.usableUntil("m", 3))
	require.Zero(t, targets.usableUntil("m", 4))
	targets.bound = 0
	require.Zero(t, targets.usableUntil("m", 1), "without a bound")
}

// A response that begins after the bound of a newer version is logged and counted.
func TestOutdatedStartIsReported(t *testing.T) {
	for _, test := range []struct {
		name    string
		version int64         // of the endpoint's weights
		begun   time.Duration // after version 2 was set
		late    bool
	}{
		{"in time", 1, 8 * time.Second, false},
		{"late", 1, 8*time.Second + time.Millisecond, true},
		{"on the newest version", 2, 9 * time.Second, false},
	} {
		c := &clock{at: 100 * time.Second}
		var lines bytes.Buffer
		g := newGateway(c, WithVersionBound(8*time.Second, func(TargetVersion) {}), WithLogger(slog.New(slog.NewJSONHandler(&lines, nil))))
		g.targets.add("m", 2, c.at, true)
		service := fleet.NewService("s", fleet.WithEngine(&fleet.Engine{Models: []string{"m"}}))
		candidate := placement.Candidate{ID: "e", Version: test.version}
		q := &request{service: service, version: test.version, usableUntil: g.usableUntil(service, candidate), sentAt: c.at}
		q.begunAt = c.at + test.begun
		g.recordBegin(t.Context(), q, candidate)
		require.Equal(t, test.late, bytes.Contains(lines.Bytes(), []byte(`"msg":"outdatedStart"`)), test.name)
	}
}
