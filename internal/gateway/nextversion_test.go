package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// Another entry confirms the next version of the configuration before this one has fetched it.
// That was taken for an outage of the store: rows of endpoints that had left were kept, and
// requests with a key were refused, although the version in force had been confirmed a moment
// before.
func TestNextVersionIsTakenForOutage(t *testing.T) {
	const revocation = 5 * time.Second
	for _, test := range []struct {
		name   string
		own    time.Duration // age of the own last reading of the store
		before time.Duration // age of the confirmation of the version in force, 0 for none
		next   time.Duration // age of that of a newer version, 0 for none
		newer  int64
		outage bool
		fresh  bool
	}{
		{"version in force", 30 * time.Second, time.Second, 0, 0, false, true},
		{"next version", 30 * time.Second, time.Second, time.Second / 2, 1, false, true},
		{"several versions", 30 * time.Second, time.Second, time.Second / 2, 4, false, true},
		{"more than are kept", 30 * time.Second, time.Second, time.Second / 2, maxEarlierVersions + 1, false, false},
		{"next version alone", 30 * time.Second, 0, time.Second / 2, 1, false, false},
		{"next version, the one in force long ago", 30 * time.Second, 4 * time.Second, time.Second / 2, 1, false, false},
		{"none for long", 30 * time.Second, 4 * time.Second, 0, 0, true, false},
		{"next version, long ago", 30 * time.Second, 4 * time.Second, 3 * time.Second, 1, true, false},
		{"own reading", time.Second, 0, 0, 0, false, true},
	} {
		c := &clock{at: 100 * time.Second}
		g := newGateway(c, WithConfirmation(func() time.Duration { return 100*time.Second - test.own }, revocation))
		g.ApplyConfiguration(fleet.NewConfiguration(3), nil)
		confirm := func(version int64, at time.Duration) {
			g.ReceiveSummary(t.Context(), &nodev1.EntrySummary{
				Address: "10.0.0.2:1", Echo: uint64(c.at - at), EchoIncarnation: 7, ConfirmedAgeUs: age(0), ConfigurationVersion: version,
			})
		}
		if test.before > 0 {
			confirm(3, test.before)
		}
		for n := range test.newer {
			confirm(3+n+1, test.next)
		}
		g.recordOutage(c.at)
		require.Equal(t, test.outage, g.LastStoreOutage() == c.at, test.name)
		_, fresh := g.fresh()
		require.Equal(t, test.fresh, fresh, test.name)
	}
}
