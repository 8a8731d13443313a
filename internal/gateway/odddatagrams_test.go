package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// A summary may arrive just as its sender is forgotten.
func TestSummaryOfForgottenPeer(t *testing.T) {
	p := newPeers("10.0.0.1:1", "riga", 7)
	returned, _ := p.receive(&nodev1.EntrySummary{Address: "10.0.0.2:1", Region: "riga"}, time.Minute)
	require.True(t, returned)
	require.Equal(t, []string{"10.0.0.2:1"}, p.live(time.Minute))
}
