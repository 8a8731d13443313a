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

func newMember(i int, options ...member.Option) member.Member {
	place := member.WithPlace("latvia", domains[i%len(domains)])
	name := fmt.Sprintf("entry-%d", i)
	return member.New(name, member.RoleEntry, fmt.Sprintf("127.0.0.1:%d", 7000+i),
		append([]member.Option{place, member.WithIncarnation(1)}, options...)...)
}

func newMembers(count int) []member.Member {
	members := make([]member.Member, count)
	for i := range members {
		members[i] = newMember(i)
	}
	return members
}

// fixture is the tracker of entry-0, one of nine members, with a settable clock.
type fixture struct {
	*membership.Tracker
	now time.Time
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Tracker = membership.New(newMember(0), membership.WithClock(func() time.Time { return f.now }))
	f.ListReceived(newMembers(9))
	return f
}

func (f *fixture) peer(t *testing.T, name string) membership.Peer {
	t.Helper()
	p, ok := f.View().Get(name)
	require.True(t, ok, name)
	return p
}

func (f *fixture) failCalls(name string, times int) {
	for range times {
		f.CallFailed(name)
	}
}

func TestSuspicion(t *testing.T) {
	suspicions := []membership.Suspicion{{Name: "entry-1", Incarnation: 1}}
	tests := []struct {
		name  string
		input func(*fixture)
		want  membership.Reachability
	}{
		{"one failure", func(f *fixture) { f.failCalls("entry-1", 1) }, membership.Reachable},
		{"many failures seen by one observer", func(f *fixture) { f.failCalls("entry-1", 100) }, membership.Suspected},
		{"two observers", func(f *fixture) {
			f.failCalls("entry-1", 3)
			f.SuspicionsReceived("entry-2", suspicions)
		}, membership.Suspected},
		{"one observer, repeated", func(f *fixture) {
			for range 10 {
				f.SuspicionsReceived("entry-2", suspicions)
			}
		}, membership.Suspected},
		{"three observers in one failure domain", func(f *fixture) {
			f.failCalls("entry-1", 3)
			f.SuspicionsReceived("entry-3", suspicions)
			f.SuspicionsReceived("entry-6", suspicions)
		}, membership.Suspected},
		{"three observers in three failure domains", func(f *fixture) {
			f.failCalls("entry-1", 3)
			f.SuspicionsReceived("entry-2", suspicions)
			f.SuspicionsReceived("entry-4", suspicions)
		}, membership.Unreachable},
		{"observer is not a member", func(f *fixture) {
			f.failCalls("entry-1", 3)
			f.SuspicionsReceived("unknown", suspicions)
			f.SuspicionsReceived("entry-2", suspicions)
		}, membership.Suspected},
		{"message from the peer clears suspicions", func(f *fixture) {
			f.failCalls("entry-1", 3)
			f.SuspicionsReceived("entry-2", suspicions)
			f.SuspicionsReceived("entry-4", suspicions)
			f.MessageReceived("entry-1", 1)
		}, membership.Reachable},
		{"message from the peer before the suspicions", func(f *fixture) {
			f.MessageReceived("entry-1", 1)
			f.SuspicionsReceived("entry-2", suspicions)
			f.SuspicionsReceived("entry-4", suspicions)
		}, membership.Reachable},
		{"suspicions of an earlier incarnation", func(f *fixture) {
			f.MessageReceived("entry-1", 2)
			f.now = f.now.Add(membership.SuspicionTTL)
			f.SuspicionsReceived("entry-2", suspicions)
			f.SuspicionsReceived("entry-4", suspicions)
		}, membership.Reachable},
		{"expired suspicions", func(f *fixture) {
			f.SuspicionsReceived("entry-2", suspicions)
			f.SuspicionsReceived("entry-4", suspicions)
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
			require.Equal(t, 9, f.View().Len(), "suspicion removes no member")
		})
	}
}

func TestSuspicionsReturnsOnlyOwn(t *testing.T) {
	f := newFixture()
	f.failCalls("entry-1", 3)
	f.SuspicionsReceived("entry-4", []membership.Suspicion{{Name: "entry-2", Incarnation: 1}})
	require.Equal(t, []membership.Suspicion{{Name: "entry-1", Incarnation: 1}}, f.Suspicions())
}

func TestLeavingIsFinalWithinIncarnation(t *testing.T) {
	f := newFixture()
	f.MemberReceived(newMember(1, member.WithState(member.StateLeaving)))
	require.True(t, f.peer(t, "entry-1").Leaving())
	f.ListReceived(newMembers(9))
	require.True(t, f.peer(t, "entry-1").Leaving(), "a stale list does not make it live again")
	require.False(t, f.peer(t, "entry-1").TakesNewWork())
	f.ListReceived(append(newMembers(1), newMember(1, member.WithIncarnation(2))))
	require.False(t, f.peer(t, "entry-1").Leaving(), "a restarted process is live")
}

// A member that announced its leaving and was removed does not take new work again when an
// older list shows it.
func TestLeavingOutlastsRemoval(t *testing.T) {
	for _, test := range []struct {
		name    string
		shown   func(f *fixture) // after the removal
		leaving bool
	}{
		{"older list", func(f *fixture) { f.ListReceived(newMembers(9)) }, true},
		{"older list, twice", func(f *fixture) {
			f.ListReceived(newMembers(9))
			f.ListReceived(newMembers(1))
			f.now = f.now.Add(membership.UnlistedGracePeriod + 1)
			f.Expire()
			f.ListReceived(newMembers(9))
		}, true},
		{"list of an incarnation before", func(f *fixture) {
			f.ListReceived(append(newMembers(1), newMember(1, member.WithIncarnation(0))))
		}, true},
		{"message after a list of an incarnation before", func(f *fixture) {
			f.ListReceived(append(newMembers(1), newMember(1, member.WithIncarnation(0))))
			f.MessageReceived("entry-1", 1)
		}, true},
		{"restarted process", func(f *fixture) {
			f.ListReceived(append(newMembers(1), newMember(1, member.WithIncarnation(2))))
		}, false},
		{"restarted process after an older list", func(f *fixture) {
			f.ListReceived(newMembers(9))
			f.MessageReceived("entry-1", 2)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.MemberReceived(newMember(1, member.WithState(member.StateLeaving)))
			f.ListReceived(newMembers(1))
			f.now = f.now.Add(membership.UnlistedGracePeriod + 1)
			f.Expire()
			_, ok := f.View().Get("entry-1")
			require.False(t, ok)
			test.shown(f)
			require.Equal(t, test.leaving, f.peer(t, "entry-1").Leaving())
		})
	}
}

func TestRestartedProcessHasHigherIncarnation(t *testing.T) {
	f := newFixture()
	f.failCalls("entry-1", 3)
	f.MessageReceived("entry-1", 5)
	require.EqualValues(t, 5, f.peer(t, "entry-1").Member().Incarnation())
	f.ListReceived(newMembers(9))
	require.EqualValues(t, 5, f.peer(t, "entry-1").Member().Incarnation(), "a stale list does not lower the incarnation")
	f.CallFailed("entry-1")
	f.MessageReceived("entry-1", 4)
	f.failCalls("entry-1", 2)
	require.Equal(t, membership.Suspected, f.peer(t, "entry-1").Reachability(), "a late message from an earlier incarnation clears no suspicion")
}

// A third of the members are replaced while the platform's list is 20 seconds stale.
func TestStaleListKeepsNewMembers(t *testing.T) {
	f := newFixture()
	for i := range 3 {
		f.MemberReceived(newMember(20 + i))
	}
	require.Equal(t, 12, f.View().Len(), "members are added by their own messages")
	f.now = f.now.Add(20 * time.Second)
	f.ListReceived(newMembers(9))
	require.Equal(t, 12, f.View().Len(), "a stale list does not remove them")
	replaced := append(newMembers(6), newMember(20), newMember(21), newMember(22))
	f.ListReceived(replaced)
	require.Equal(t, 9, f.View().Len())
	_, ok := f.View().Get("entry-8")
	require.False(t, ok)
}

func TestUnlistedMemberIsKeptForGracePeriod(t *testing.T) {
	f := newFixture()
	f.MessageReceived("entry-8", 1)
	f.ListReceived(newMembers(8))
	require.False(t, f.peer(t, "entry-8").Listed())
	f.now = f.now.Add(membership.UnlistedGracePeriod + 1)
	f.Expire()
	_, ok := f.View().Get("entry-8")
	require.False(t, ok)
	_, ok = f.View().Get("entry-0")
	require.True(t, ok, "self is never removed")
}

func TestUnchangedListKeepsView(t *testing.T) {
	f := newFixture()
	before := f.View()
	f.ListReceived(newMembers(9))
	require.Same(t, before, f.View())
	f.ListReceived(newMembers(10))
	require.NotSame(t, before, f.View())
}
