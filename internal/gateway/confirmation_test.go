package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

func age(d time.Duration) *uint64 {
	us := uint64(d / time.Microsecond)
	return &us
}

// A confirmation of another entry must be dated by the stamp of this process that it
// echoes, and must apply only to the configuration version in the same summary.
func TestConfirmationOfPeers(t *testing.T) {
	for _, test := range []struct {
		name    string
		summary *nodev1.EntrySummary
		age     time.Duration
		known   bool
	}{
		{"fresh", &nodev1.EntrySummary{Echo: uint64(99 * time.Second), EchoIncarnation: 7, ConfirmedAgeUs: age(time.Second)}, 2 * time.Second, true},
		{"no echo", &nodev1.EntrySummary{ConfirmedAgeUs: age(time.Second)}, 0, false},
		{"echo of another process", &nodev1.EntrySummary{Echo: uint64(99 * time.Second), EchoIncarnation: 6, ConfirmedAgeUs: age(time.Second)}, 0, false},
		{"echo later than the clock", &nodev1.EntrySummary{Echo: uint64(101 * time.Second), EchoIncarnation: 7, ConfirmedAgeUs: age(time.Second)}, 0, false},
		{"never confirmed", &nodev1.EntrySummary{Echo: uint64(99 * time.Second), EchoIncarnation: 7}, 0, false},
		{"newer configuration", &nodev1.EntrySummary{Echo: uint64(99 * time.Second), EchoIncarnation: 7, ConfirmedAgeUs: age(time.Second), ConfigurationVersion: 5}, 0, false},
	} {
		g := newGateway(&clock{at: 100 * time.Second})
		test.summary.Address = "10.0.0.2:1"
		g.ReceiveSummary(t.Context(), test.summary)
		got, known := g.age()
		require.Equal(t, test.known, known, test.name)
		if known {
			require.Equal(t, test.age, got, test.name)
		}
	}
}

// A stamp that arrives while a summary is built must not be echoed with an age that
// was read before: the receiver would compute a time that is too recent.
func TestEchoNotNewerThanAge(t *testing.T) {
	var g *Gateway
	ticks := time.Duration(0)
	tick := func() time.Duration {
		ticks++
		if g != nil {
			g.peers.add("10.0.0.2:1")
			g.peers.receive(&nodev1.EntrySummary{Address: "10.0.0.2:1", Region: "riga", Stamp: uint64(ticks)}, ticks)
		}
		return ticks
	}
	var sent []*nodev1.EntrySummary
	send := func(_ string, m *nodev1.Datagram) error {
		sent = append(sent, m.GetSummary())
		return nil
	}
	g = newGateway(&clock{}, WithClock(tick), WithPeers(nil, send))
	g.sendSummaries(true)
	require.Len(t, sent, 1)
	require.LessOrEqual(t, sent[0].GetEcho(), sent[0].GetStamp())
}

// A configuration may take effect while a summary is built or while a request is
// checked for the last time; the process may be suspended between the two reads. Its
// confirmation must not be attributed to the configuration before.
func TestConfirmationKeepsVersion(t *testing.T) {
	c := &clock{at: 100 * time.Second}
	var g *Gateway
	takesEffect := false
	g = newGateway(c, WithConfirmation(func() time.Duration {
		if !takesEffect {
			return c.at - 10*time.Second
		}
		g.ApplyConfiguration(fleet.NewConfiguration(2), nil)
		return c.at
	}, 5*time.Second))
	keyed := fleet.NewConfiguration(1, fleet.WithAccount(fleet.NewAccount("shop"), "key"), fleet.WithServices(fleet.NewService("s")))
	g.ApplyConfiguration(keyed, nil)
	service := g.Configuration().Services()["s"]
	takesEffect = true
	m := g.summary(c.at)
	require.Equal(t, int64(2), m.GetConfigurationVersion())
	require.Equal(t, uint64(1), m.GetConfirmedAgeUs())

	takesEffect = false
	g = newGateway(c, WithConfirmation(func() time.Duration {
		if takesEffect {
			g.ApplyConfiguration(fleet.NewConfiguration(2), nil)
		}
		return c.at
	}, 5*time.Second))
	g.ApplyConfiguration(keyed, nil)
	takesEffect = true
	require.Equal(t, reasonRevoked, g.staleReason(&request{account: "shop", keyed: true, head: RequestHead{Key: "key"}, service: service}, placement.Choice{Candidate: placement.Candidate{ID: "e"}}))
}

// A confirmation that arrives while a summary is built must not make the age
// negative.
func TestConfirmationAfterStamp(t *testing.T) {
	c := &clock{at: 100 * time.Second}
	g := newGateway(c, WithConfirmation(func() time.Duration { return c.at + time.Second }, 5*time.Second))
	g.ApplyConfiguration(fleet.NewConfiguration(1), nil)
	require.Equal(t, uint64(1), g.summary(c.at).GetConfirmedAgeUs())
}

// A process that was suspended or disconnected must refuse keys before the revocation
// bound has passed.
func TestFreshness(t *testing.T) {
	for _, test := range []struct {
		age   time.Duration
		fresh bool
	}{
		{0, true},
		{3 * time.Second, true},
		{5*time.Second - revocationMargin, false},
		{20 * time.Second, false},
	} {
		c := &clock{at: 100 * time.Second}
		confirmed := c.at - test.age
		g := newGateway(c, WithConfirmation(func() time.Duration { return confirmed }, 5*time.Second))
		_, fresh := g.fresh()
		require.Equal(t, test.fresh, fresh, test.age)
	}
	_, fresh := newGateway(&clock{at: time.Second}, WithConfirmation(func() time.Duration { return 0 }, 5*time.Second)).fresh()
	require.False(t, fresh, "never confirmed")
}

// A peer that has started and read a store which came back from an older copy confirms an
// older configuration. That says nothing of the one in force here, and does not replace what
// was confirmed of it.
func TestOlderConfirmationDoesNotCount(t *testing.T) {
	c := &clock{at: 100 * time.Second}
	g := newGateway(c)
	g.ApplyConfiguration(fleet.NewConfiguration(29), nil)
	receive := func(address string, version int64, echo time.Duration) {
		g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{
			Address: address, Echo: uint64(echo), EchoIncarnation: 7, ConfirmedAgeUs: age(0), ConfigurationVersion: version,
		})
	}
	receive("10.0.0.3:1", 26, 99*time.Second)
	_, known := g.age()
	require.False(t, known)
	receive("10.0.0.2:1", 29, 97*time.Second)
	receive("10.0.0.3:1", 26, 99*time.Second)
	got, known := g.age()
	require.True(t, known)
	require.Equal(t, 3*time.Second, got)
}
