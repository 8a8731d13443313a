package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// mesh is a set of entries in three regions that exchange summaries without a
// network.
type mesh struct {
	clock       clock
	entries     map[string]*Gateway
	region      map[string]string
	sameRegion  int // datagrams within a region
	crossRegion int // datagrams between regions
}

func newMesh(entries int) *mesh {
	m := &mesh{clock: clock{at: time.Minute}, entries: make(map[string]*Gateway), region: make(map[string]string)}
	seed := ""
	for i := range entries {
		region := fmt.Sprintf("region-%d", i%3)
		address := fmt.Sprintf("10.%d.0.%03d:1", i%3, i/3)
		self := Identity{Name: address, Region: region, FailureDomain: region + "-a", PeerAddress: address, CallerAddress: address, Incarnation: uint64(i + 1)}
		seeds := []string{seed}
		if seed == "" {
			seed, seeds = address, nil
		}
		send := func(to string, d *nodev1.Datagram) error {
			m.deliver(region, to, d)
			return nil
		}
		g := New(self, Codec{}, WithClock(m.clock.now), WithPeers(seeds, send),
			WithAgents(func(string) string { return "" }, func(domain string) string { return domain[:len(domain)-2] }))
		g.ApplyConfiguration(fleet.NewConfiguration(1), nil)
		g.ApplyEndpoints(nil)
		m.entries[address], m.region[address] = g, region
	}
	return m
}

func (m *mesh) deliver(from, to string, d *nodev1.Datagram) {
	if m.region[to] == from {
		m.sameRegion++
	} else {
		m.crossRegion++
	}
	m.entries[to].ReceiveSummary(nil, d.GetSummary())
}

// addAllPeers adds every entry as a peer of every other, as the rows of entries in the
// store do.
func (m *mesh) addAllPeers() {
	for _, g := range m.entries {
		for other := range m.entries {
			g.AddPeer(other)
		}
	}
}

// advance runs the rounds of summaries for the given time.
func (m *mesh) advance(d time.Duration) {
	for end := m.clock.at + d; m.clock.at < end; m.clock.at += regionInterval {
		for _, g := range m.entries {
			g.sendSummaries(false)
		}
	}
}

// The number of datagrams that all entries send must not grow with the square of the
// fleet, and every entry must still count as alive.
func TestSummariesGrowth(t *testing.T) {
	const settle, span = 12 * time.Second, 6 * time.Second
	for _, test := range []struct {
		entries   int
		near, far float64 // limits of datagrams per second that an entry sends
	}{
		{9, 25, 25},
		{30, 65, 25},
		{75, 65, 25},
	} {
		m := newMesh(test.entries)
		m.addAllPeers()
		m.advance(settle)
		m.sameRegion, m.crossRegion = 0, 0
		m.advance(span)
		perEntry := float64(test.entries) * span.Seconds()
		t.Logf("%d entries: %.1f local, %.1f remote datagrams per second and entry", test.entries, float64(m.sameRegion)/perEntry, float64(m.crossRegion)/perEntry)
		require.LessOrEqual(t, float64(m.sameRegion)/perEntry, test.near, "local, %d entries", test.entries)
		require.LessOrEqual(t, float64(m.crossRegion)/perEntry, test.far, "remote, %d entries", test.entries)
		for address, g := range m.entries {
			ready := 0
			for _, r := range g.selections(m.clock.at, g.Ready()) {
				ready += len(r.Selected())
			}
			require.GreaterOrEqual(t, ready, min(9, test.entries), address)
			require.Len(t, g.peers.addresses(m.clock.at, "", true), m.otherReporters(address), address)
		}
	}
}

// otherReporters returns the number of reporting entries other than the given one.
func (m *mesh) otherReporters(address string) int {
	n := 0
	for other, g := range m.entries {
		if other != address && g.isReporting(g.activeByDomain(m.clock.at)) {
			n++
		}
	}
	return n
}

// Entries that start with the address of one seed must discover all others without
// the store.
func TestEntriesDiscoverEachOther(t *testing.T) {
	m := newMesh(18)
	m.advance(12 * time.Second)
	for address, g := range m.entries {
		require.Equal(t, len(m.entries)-1, heardPeers(g), address)
	}
}

// When an entry of another region starts to place requests, the reporting entries
// must learn of it at once. When it dies, they must detect that within its interval.
func TestReportersAreDetected(t *testing.T) {
	m := newMesh(30)
	m.addAllPeers()
	m.advance(8 * time.Second)
	quiet := m.entries["10.1.0.009:1"]
	listener := m.entries["10.0.0.000:1"]
	require.NotContains(t, listener.peers.addresses(m.clock.at, "", true), "10.1.0.009:1")
	quiet.active.Store(20)
	m.advance(time.Second)
	require.Contains(t, listener.peers.addresses(m.clock.at, "", true), "10.1.0.009:1")
	require.Len(t, listener.activeByDomain(m.clock.at)["region-1-a"], 4)
	m.region["10.1.0.009:1"] = ""
	delete(m.entries, "10.1.0.009:1")
	m.entries["10.1.0.009:1"] = newGateway(&m.clock) // receives summaries and sends none
	m.advance(4 * time.Second)
	require.NotContains(t, listener.peers.addresses(m.clock.at, "", true), "10.1.0.009:1")
}

// Refusals must reach all entries of the region, including those that are not sent to
// in each round.
func TestRefusalsReachRegion(t *testing.T) {
	c := &clock{at: time.Minute}
	received := make(map[string]int)
	send := func(to string, d *nodev1.Datagram) error {
		received[to] += len(d.GetSummary().GetRefused())
		return nil
	}
	g := newGateway(c, WithPeers(nil, send))
	const peers = 30
	for i := range peers {
		m := &nodev1.EntrySummary{Address: fmt.Sprintf("10.0.1.%d:1", i), Region: "riga", Speaks: i < 3}
		g.ReceiveSummary(t.Context(), m)
	}
	g.sendSummaries(false)
	g.traffic.refusals.addOwn(7, c.at, c.at)
	for range 3 {
		c.at += regionInterval
		g.sendSummaries(false)
	}
	require.Len(t, received, peers)
	for to, n := range received {
		require.Equal(t, 1, n, to)
	}
}

// Entries of a region that are not reporting exchange summaries rarely. They must
// still count as alive, and the death of one must be detected.
func TestNonReportingEntries(t *testing.T) {
	m := newMesh(90)
	m.addAllPeers()
	m.advance(8 * time.Second)
	quiet, other := m.entries["10.0.0.020:1"], m.entries["10.0.0.025:1"]
	require.False(t, quiet.peers.reporting)
	require.False(t, other.peers.reporting)
	require.Len(t, other.LiveEntries("region-0"), 30)
	m.entries["10.0.0.020:1"] = newGateway(&m.clock) // receives summaries and sends none
	m.advance(5 * time.Second)
	require.Len(t, other.LiveEntries("region-0"), 29)
}

// When the reporting entries of a region die together, others must report within a
// second.
func TestReportersAreReplaced(t *testing.T) {
	m := newMesh(90)
	m.addAllPeers()
	m.advance(8 * time.Second)
	for address, g := range m.entries {
		if m.region[address] == "region-0" && g.peers.reporting {
			m.entries[address] = newGateway(&m.clock)
		}
	}
	m.advance(time.Second)
	reporting := 0
	for address, g := range m.entries {
		if m.region[address] == "region-0" && g.peers.reporting {
			reporting++
		}
	}
	require.GreaterOrEqual(t, reporting, minReporters)
}

// The total load of the peers must follow their summaries and exclude peers from
// which none has arrived for a while.
func TestTotalLoad(t *testing.T) {
	c := &clock{at: time.Minute}
	g := newGateway(c)
	receive := func(address string, inFlight uint32) {
		m := &nodev1.EntrySummary{Address: address, Region: "riga", Stamp: uint64(c.at)}
		if inFlight > 0 {
			m.Endpoints, m.InFlight, m.Unread = []uint32{7}, []uint32{inFlight}, []uint32{10 * inFlight}
		}
		g.ReceiveSummary(t.Context(), m)
	}
	for _, step := range []struct {
		address  string
		inFlight uint32
		sum      int
	}{
		{"10.0.0.2:1", 3, 3},
		{"10.0.0.3:1", 2, 5},
		{"10.0.0.2:1", 1, 3},
		{"10.0.0.3:1", 0, 1},
	} {
		c.at += time.Millisecond
		receive(step.address, step.inFlight)
		require.Equal(t, step.sum, g.peers.load()[7].InFlight)
		require.Equal(t, 10*step.sum, g.peers.load()[7].PrefillTokens)
	}
	c.at += 10 * time.Second
	g.sendSummaries(false)
	require.Empty(t, g.peers.load())
	receive("10.0.0.2:1", 4)
	c.at += 2 * forgetAfter // a suspension, without any round
	g.sendSummaries(false)
	require.Empty(t, g.peers.load(), "removed without having been detected as dead before")
}

// heardPeers returns the number of peers that have sent a summary.
func heardPeers(g *Gateway) int {
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	n := 0
	for _, q := range g.peers.known {
		if q.summary != nil {
			n++
		}
	}
	return n
}
