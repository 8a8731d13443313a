package gateway

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosetally/primrosetally/internal/coordination/quota"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// A summary may arrive just as its sender is forgotten.
func TestSummaryOfForgottenPeer(t *testing.T) {
	p := newPeers("10.0.0.1:1", "riga", 7)
	returned, _ := p.receive(&nodev1.EntrySummary{Address: "10.0.0.2:1", Region: "riga"}, time.Minute)
	require.True(t, returned)
	require.Equal(t, []string{"10.0.0.2:1"}, p.live(time.Minute))
}

// Ages out of bounds never date anything in the future.
func TestOddAgesInSummary(t *testing.T) {
	const now = time.Minute
	for _, us := range []uint64{math.MaxUint64, 1 << 63, math.MaxInt64, uint64(now/time.Microsecond) + 1} {
		g := newGateway(&clock{at: now}, WithVersionBound(8*time.Second, func(TargetVersion) {}))
		g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{
			Address: "10.0.0.2:1", Echo: uint64(now), EchoIncarnation: 7, ConfirmedAgeUs: &us,
			Weights: []*nodev1.NamedWeights{{Model: "m", Version: 2, AgeUs: us, Exact: true}},
		})
		age, known := g.age()
		require.True(t, !known || age >= 0, "age %v", age)
		require.Equal(t, int64(2), g.targets.required("m", now), "%d: set long ago", us)
		newest := g.targets.newest(now)
		require.Len(t, newest, 1)
		require.Less(t, newest[0].GetAgeUs(), uint64(1<<62), "%d", us)
	}
}

// Versions that no model can have are not required.
func TestOddVersionsInSummary(t *testing.T) {
	const now = time.Minute
	for _, version := range []int64{math.MaxInt64, 1<<53 + 1, 0, -1, math.MinInt64} {
		g := newGateway(&clock{at: now}, WithVersionBound(8*time.Second, func(TargetVersion) {}))
		g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{
			Address: "10.0.0.2:1", Echo: uint64(now), EchoIncarnation: 7,
			Weights: []*nodev1.NamedWeights{{Model: "m", Version: version, AgeUs: 50_000_000, Exact: true}},
		})
		require.Zero(t, g.targets.required("m", now), "%d", version)
		require.Empty(t, g.targets.newest(now), "%d", version)
	}
}

// A peer that names an interval of weeks is missed within minutes.
func TestOddIntervalInSummary(t *testing.T) {
	c := &clock{at: time.Minute}
	g := newGateway(c)
	g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{Address: "10.0.0.2:1", Region: "liepaja", FarIntervalMs: math.MaxUint32, Ready: true})
	require.Len(t, g.peers.live(c.at), 1)
	c.at += time.Hour
	require.Empty(t, g.peers.live(c.at))
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

// Counts near the largest do not overflow when they are added up.
func TestOddLoadsInSummary(t *testing.T) {
	g := newGateway(&clock{at: time.Minute})
	for n := range 300 {
		g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{
			Address: fmt.Sprintf("10.0.0.%d:1", n+2), Endpoints: []uint32{1}, InFlight: []uint32{math.MaxUint32}, Unread: []uint32{math.MaxUint32},
		})
	}
	load := g.peers.load()[1]
	delay := latencyModelOf(nil).FirstEventDelay(load.InFlight, load.PrefillTokens, 1)
	require.Positive(t, delay)
	require.Less(t, delay, 365*24*time.Hour)
}

// A stored time of a version that the operators have not set yet does not make it
// required.
func TestStoredVersionIsNotSet(t *testing.T) {
	const now = time.Minute
	g := newGateway(&clock{at: now}, WithVersionBound(8*time.Second, func(TargetVersion) {}))
	g.ApplyConfiguration(fleet.NewConfiguration(1), map[string]int64{"m": 3})
	g.ApplyTargetVersion("m", 9, now-time.Minute)
	g.ApplyTargetVersion("n", 2, now-time.Minute)
	require.Zero(t, g.targets.required("n", now))
	require.Equal(t, int64(3), g.targets.required("m", now))
	g.ApplyTargetVersion("m", 3, now-time.Second)
	g.ApplyTargetVersion("m", 2, now-20*time.Second)
	require.Equal(t, int64(2), g.targets.required("m", now), "older versions have a time too")
}

// A limit of a start that no process can have does not hide that of the endpoint.
func TestOddStartInLimit(t *testing.T) {
	for _, started := range []int64{math.MaxInt64, 1<<53 + 1, -1} {
		g := newGateway(&clock{at: time.Minute})
		perSecond := 2.0
		report := func(started int64) {
			g.ReceiveQuotaReport(t.Context(), &nodev1.QuotaReport{Address: "10.0.0.2:1", Limits: []*nodev1.EndpointLimit{{
				Endpoint: endpointHash("e"), Started: started, PerSecond: &perSecond,
			}}})
		}
		report(started)
		report(1000)
		limit := g.rateLimits.limits.Limit(quota.Endpoint{Hash: endpointHash("e"), Started: 1000})
		require.True(t, limit.Limited(), "%d", started)
	}
}

// The share in a grant is a rate of permits or none.
func TestOddShareInGrant(t *testing.T) {
	for _, share := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat32} {
		got := shareOf(&nodev1.EndpointPermits{Share: float32(share)})
		require.True(t, got >= 0 && got <= maxShare, "%v", share)
	}
}

// A notice of a version that can't be changes nothing.
func TestOddVersionInNotice(t *testing.T) {
	c := fleet.NewConfiguration(1, fleet.WithServices(fleet.NewService("s", fleet.WithEngine(&fleet.Engine{Models: []string{"m"}}))))
	e := fleet.NewEndpoint("e", "s", "10.0.0.9:1", fleet.WithWeights(fleet.NewWeights("m", 1, true)))
	for _, version := range []int64{math.MaxInt64, 1<<53 + 1, 0, -1} {
		g := newGateway(&clock{at: time.Minute})
		g.ApplyConfiguration(c, nil)
		g.ApplyEndpoints([]*fleet.Endpoint{e})
		g.ReceiveNotice(t.Context(), &nodev1.EndpointNotice{Address: "10.0.0.9:1", Model: "m", Version: version, Holding: version > 0})
		got, loading := g.notices.version(e, "m", time.Minute)
		require.Equal(t, int64(1), got, "%d", version)
		require.False(t, loading, "%d", version)
	}
}
