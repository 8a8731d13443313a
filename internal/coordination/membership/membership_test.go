package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

var domains = []string{"riga-a", "liepaja-a", "daugavpils-a"}

func node(i int, options ...member.Option) member.Member {
	place := member.WithPlace("latvia", domains[i%len(domains)])
	name := fmt.Sprintf("entry-%d", i)
	return member.New(name, member.RoleEntry, fmt.Sprintf("127.0.0.1:%d", 7000+i),
		append([]member.Option{place, member.WithIncarnation(1)}, options...)...)
}

func list(count int) []member.Member {
	members := make([]member.Member, count)
	for i := range members {
		members[i] = node(i)
	}
	return members
}

// fixture is a tracker of entry-0 among nine members, with a clock.
type fixture struct {
	*membership.Tracker
	now time.Time
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Tracker = membership.New(node(0), membership.WithClock(func() time.Time { return f.now }))
	f.ListReceived(list(9))
	return f
}

func (f *fixture) peer(t *testing.T, name string) membership.Peer {
	t.Helper()
	p, ok := f.View().Get(name)
	require.True(t, ok, name)
	return p
}

func (f *fixture) fail(name string, times int) {
	for range times {
		f.CallFailed(name)
	}
}

func TestSuspicion(t *testing.T) {
	suspects := []membership.Suspicion{{Name: "entry-1", Incarnation: 1}}
	tests := []struct {
		name  string
		input func(*fixture)
		want  membership.Reachability
	}{
		{"one failure", func(f *fixture) { f.fail("entry-1", 1) }, membership.Reachable},
		{"one slow link, however often", func(f *fixture) { f.fail("entry-1", 100) }, membership.Suspected},
		{"two observers", func(f *fixture) {
			f.fail("entry-1", 3)
			f.SuspicionsReceived("entry-2", suspects)
		}, membership.Suspected},
		{"one observer many times", func(f *fixture) {
			for range 10 {
				f.SuspicionsReceived("entry-2", suspects)
			}
		}, membership.Suspected},
		{"three observers in one failure domain", func(f *fixture) {
			f.fail("entry-1", 3)
			f.SuspicionsReceived("entry-3", suspects)
			f.SuspicionsReceived("entry-6", suspects)
		}, membership.Suspected},
		{"three observers in three failure domains", func(f *fixture) {
			f.fail("entry-1", 3)
			f.SuspicionsReceived("entry-2", suspects)
			f.SuspicionsReceived("entry-4", suspects)
		}, membership.Unreachable},
		{"observer that is no member", func(f *fixture) {
			f.fail("entry-1", 3)
			f.SuspicionsReceived("stranger", suspects)
			f.SuspicionsReceived("entry-2", suspects)
		}, membership.Suspected},
		{"heard from it", func(f *fixture) {
			f.fail("entry-1", 3)
			f.SuspicionsReceived("entry-2", suspects)
			f.SuspicionsReceived("entry-4", suspects)
			f.MessageReceived("entry-1", 1)
		}, membership.Reachable},
		{"heard from it before the others lost it", func(f *fixture) {
			f.MessageReceived("entry-1", 1)
			f.SuspicionsReceived("entry-2", suspects)
			f.SuspicionsReceived("entry-4", suspects)
		}, membership.Reachable},
		{"suspicions of its earlier start", func(f *fixture) {
			f.MessageReceived("entry-1", 2)
			f.now = f.now.Add(membership.SuspicionTTL)
			f.SuspicionsReceived("entry-2", suspects)
			f.SuspicionsReceived("entry-4", suspects)
		}, membership.Reachable},
		{"suspicions that were not repeated", func(f *fixture) {
			f.SuspicionsReceived("entry-2", suspects)
			f.SuspicionsReceived("entry-4", suspects)
			f.now = f.now.Add(membership.SuspicionTTL + 1)
			f.Expire()
		}, membership.Reachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			tt.input(f)
			p := f.peer(t, "entry-1")
			require.Equal(t, tt.want, p.Reachability())
			require.Equal(t, tt.want != membership.Unreachable, p.TakesNewWork())
			require.Equal(t, 9, f.View().Len(), "suspicion removes nobody")
		})
	}
}

func TestOwnSuspicionsAreHandedOn(t *testing.T) {
	f := newFixture()
	f.fail("entry-1", 3)
	f.SuspicionsReceived("entry-4", []membership.Suspicion{{Name: "entry-2", Incarnation: 1}})
	require.Equal(t, []membership.Suspicion{{Name: "entry-1", Incarnation: 1}}, f.Suspicions())
}

func TestLeavingIsFinalForOneStart(t *testing.T) {
	f := newFixture()
	f.MemberReceived(node(1, member.WithState(member.StateLeaving)))
	require.True(t, f.peer(t, "entry-1").Leaving())
	f.ListReceived(list(9))
	require.True(t, f.peer(t, "entry-1").Leaving(), "the lagging list says live")
	require.False(t, f.peer(t, "entry-1").TakesNewWork())
	f.ListReceived(append(list(1), node(1, member.WithIncarnation(2))))
	require.False(t, f.peer(t, "entry-1").Leaving(), "a restarted process is live")
}

func TestRestartedProcessIsToldApart(t *testing.T) {
	f := newFixture()
	f.fail("entry-1", 3)
	f.MessageReceived("entry-1", 5)
	require.EqualValues(t, 5, f.peer(t, "entry-1").Member().Incarnation())
	f.ListReceived(list(9))
	require.EqualValues(t, 5, f.peer(t, "entry-1").Member().Incarnation(), "the list lags")
	f.CallFailed("entry-1")
	f.MessageReceived("entry-1", 4)
	f.fail("entry-1", 2)
	require.Equal(t, membership.Suspected, f.peer(t, "entry-1").Reachability(), "a late message of the earlier start clears nothing")
}

func TestListTwentySecondsLateWithAThirdReplaced(t *testing.T) {
	f := newFixture()
	for i := range 3 {
		f.MemberReceived(node(20 + i))
	}
	require.Equal(t, 12, f.View().Len(), "new members are known first-hand")
	f.now = f.now.Add(20 * time.Second)
	f.ListReceived(list(9))
	require.Equal(t, 12, f.View().Len(), "a list from before keeps them")
	replaced := append(list(6), node(20), node(21), node(22))
	f.ListReceived(replaced)
	require.Equal(t, 9, f.View().Len())
	_, ok := f.View().Get("entry-8")
	require.False(t, ok)
}

func TestUnlistedMemberIsKeptWhileItSpeaks(t *testing.T) {
	f := newFixture()
	f.MessageReceived("entry-8", 1)
	f.ListReceived(list(8))
	require.False(t, f.peer(t, "entry-8").Listed())
	f.now = f.now.Add(membership.UnlistedGracePeriod + 1)
	f.Expire()
	_, ok := f.View().Get("entry-8")
	require.False(t, ok)
	_, ok = f.View().Get("entry-0")
	require.True(t, ok, "self stays")
}

func TestUnchangedListLeavesTheView(t *testing.T) {
	f := newFixture()
	before := f.View()
	f.ListReceived(list(9))
	require.Same(t, before, f.View())
	f.ListReceived(list(10))
	require.NotSame(t, before, f.View())
}
