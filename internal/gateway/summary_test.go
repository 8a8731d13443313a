package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// mesh is a number of entries in three regions that send each other summaries without
// any network.
type mesh struct {
	clock   clock
	entries map[string]*Gateway
	region  map[string]string
	near    int // datagrams inside regions
	far     int // datagrams between regions
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
		m.near++
	} else {
		m.far++
	}
	m.entries[to].ReceiveSummary(nil, d.GetSummary())
}

// introduce tells everyone of everyone, as the rows of entries in the store do.
func (m *mesh) introduce() {
	for _, g := range m.entries {
		for other := range m.entries {
			g.AddPeer(other)
		}
	}
}

// play lets time pass.
func (m *mesh) play(d time.Duration) {
	for end := m.clock.at + d; m.clock.at < end; m.clock.at += nearInterval {
		for _, g := range m.entries {
			g.sendSummaries(false)
		}
	}
}

// What an entry sends does not grow with the square of the fleet, and everyone still
// counts as alive.
func TestSummariesGrowth(t *testing.T) {
	const settle, span = 12 * time.Second, 6 * time.Second
	for _, test := range []struct {
		entries   int
		near, far float64 // datagrams a second that an entry sends, at most
	}{
		{9, 25, 25},
		{30, 65, 25},
		{75, 65, 25},
	} {
		m := newMesh(test.entries)
		m.introduce()
		m.play(settle)
		m.near, m.far = 0, 0
		m.play(span)
		perEntry := float64(test.entries) * span.Seconds()
		t.Logf("%d entries: %.1f near, %.1f far datagrams a second and entry", test.entries, float64(m.near)/perEntry, float64(m.far)/perEntry)
		require.LessOrEqual(t, float64(m.near)/perEntry, test.near, "near, %d entries", test.entries)
		require.LessOrEqual(t, float64(m.far)/perEntry, test.far, "far, %d entries", test.entries)
		for address, g := range m.entries {
			ready := 0
			for _, r := range g.rosters(m.clock.at) {
				ready += len(r.Selected())
			}
			require.GreaterOrEqual(t, ready, min(9, test.entries), address)
			require.Len(t, g.peers.addresses(m.clock.at, "", true), m.speakersBeside(address), address)
		}
	}
}

// speakersBeside returns how many others speak.
func (m *mesh) speakersBeside(address string) int {
	n := 0
	for other, g := range m.entries {
		if other != address && g.speaks(g.takersByDomain(m.clock.at)) {
			n++
		}
	}
	return n
}

// Entries that know only one seed find each other without the store.
func TestEntriesFindEachOther(t *testing.T) {
	m := newMesh(18)
	m.play(12 * time.Second)
	for address, g := range m.entries {
		require.Equal(t, len(m.entries)-1, g.peers.count(), address)
	}
}

// An entry of another region that begins to place requests is heard at once by those that
// speak, and one that dies is missed within its interval.
func TestSpeakersAreHeard(t *testing.T) {
	m := newMesh(30)
	m.introduce()
	m.play(8 * time.Second)
	quiet := m.entries["10.1.0.009:1"]
	listener := m.entries["10.0.0.000:1"]
	require.NotContains(t, listener.peers.addresses(m.clock.at, "", true), "10.1.0.009:1")
	quiet.active.Store(20)
	m.play(time.Second)
	require.Contains(t, listener.peers.addresses(m.clock.at, "", true), "10.1.0.009:1")
	require.Len(t, listener.takersByDomain(m.clock.at)["region-1-a"], 4)
	m.region["10.1.0.009:1"] = ""
	delete(m.entries, "10.1.0.009:1")
	m.entries["10.1.0.009:1"] = newGateway(&m.clock) // it hears and says nothing
	m.play(4 * time.Second)
	require.NotContains(t, listener.peers.addresses(m.clock.at, "", true), "10.1.0.009:1")
}

// What was refused is told to the whole region, also to entries that are not told with
// each round.
func TestRefusalsReachTheRegion(t *testing.T) {
	c := &clock{at: time.Minute}
	told := make(map[string]int)
	send := func(to string, d *nodev1.Datagram) error {
		told[to] += len(d.GetSummary().GetRefused())
		return nil
	}
	g := newGateway(c, WithPeers(nil, send))
	const peers = 30
	for i := range peers {
		m := &nodev1.EntrySummary{Address: fmt.Sprintf("10.0.1.%d:1", i), Region: "riga", Speaks: i < 3}
		g.ReceiveSummary(t.Context(), m)
	}
	g.sendSummaries(false)
	g.traffic.refusals.refused(7, c.at, c.at)
	for range 3 {
		c.at += nearInterval
		g.sendSummaries(false)
	}
	require.Len(t, told, peers)
	for to, n := range told {
		require.Equal(t, 1, n, to)
	}
}

// Entries of a region that do not speak tell each other seldom. They are counted all
// the same, and one that dies is missed.
func TestQuietEntries(t *testing.T) {
	m := newMesh(90)
	m.introduce()
	m.play(8 * time.Second)
	quiet, other := m.entries["10.0.0.020:1"], m.entries["10.0.0.025:1"]
	require.False(t, quiet.peers.speaks)
	require.False(t, other.peers.speaks)
	require.Len(t, other.LiveEntries("region-0"), 30)
	m.entries["10.0.0.020:1"] = newGateway(&m.clock) // it hears and says nothing
	m.play(5 * time.Second)
	require.Len(t, other.LiveEntries("region-0"), 29)
}

// When those that speak for a region die together, others speak within a second.
func TestSpeakersAreReplaced(t *testing.T) {
	m := newMesh(90)
	m.introduce()
	m.play(8 * time.Second)
	for address, g := range m.entries {
		if m.region[address] == "region-0" && g.peers.speaks {
			m.entries[address] = newGateway(&m.clock)
		}
	}
	m.play(time.Second)
	speaking := 0
	for address, g := range m.entries {
		if m.region[address] == "region-0" && g.peers.speaks {
			speaking++
		}
	}
	require.GreaterOrEqual(t, speaking, speakers)
}

// The sum of the other entries' work follows their summaries, and forgets those that are
// silent.
func TestSumOfWork(t *testing.T) {
	c := &clock{at: time.Minute}
	g := newGateway(c)
	tell := func(address string, inFlight uint32) {
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
		tell(step.address, step.inFlight)
		require.Equal(t, step.sum, g.peers.work()[7].InFlight)
		require.Equal(t, 10*step.sum, g.peers.work()[7].PrefillTokens)
	}
	c.at += 10 * time.Second
	g.sendSummaries(false)
	require.Empty(t, g.peers.work())
	tell("10.0.0.2:1", 4)
	c.at += 2 * forgottenAfter // a suspension, in which no round was made
	g.sendSummaries(false)
	require.Empty(t, g.peers.work(), "forgotten without having been silent before")
}
