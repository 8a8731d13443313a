package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// A summary may arrive just as its sender is forgotten.
func TestSummaryOfForgottenPeer(t *testing.T) {
	p := newPeers("10.0.0.1:1", "riga", 7)
	returned, _ := p.receive(&nodev1.EntrySummary{Address: "10.0.0.2:1", Region: "riga"}, time.Minute)
	require.True(t, returned)
	require.Equal(t, []string{"10.0.0.2:1"}, p.live(time.Minute))
}

// Addresses that are none, however long, do not keep summaries from being sent.
func TestOddAddressesInSummary(t *testing.T) {
	const maxDatagram = 8 << 10
	c := &clock{at: time.Minute}
	var largest int
	send := func(_ string, m *nodev1.Datagram) error {
		largest = max(largest, proto.Size(m))
		return nil
	}
	g := newGateway(c, WithPeers([]string{"10.0.0.2:1"}, send))
	for n := range 100 {
		address := fmt.Sprintf("%d%s", n, strings.Repeat("x", 2000))
		g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{Address: address, Region: "riga", Peers: []string{address + "y"}})
	}
	for range advertisePeersEvery {
		g.sendSummaries(true)
	}
	require.Positive(t, largest)
	require.Less(t, largest, maxDatagram)
}
