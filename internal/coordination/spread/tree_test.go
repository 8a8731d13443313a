package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

func members(regions, domains, each int) []member.Member {
	var list []member.Member
	for r := range regions {
		for d := range domains {
			for i := range each {
				name := fmt.Sprintf("entry-%d-%d-%d", r, d, i)
				place := member.WithPlace(fmt.Sprintf("region-%d", r), fmt.Sprintf("domain-%d-%d", r, d))
				list = append(list, member.New(name, member.RoleEntry, "127.0.0.1:7001", place))
			}
		}
	}
	return list
}

// flood delivers every push at once and returns the number of pushes that each
// member got.
func flood(t require.TestingT, list []member.Member, views func(i int) *membership.View, start int) map[string]int {
	nodes := make(map[string]*spread.Node)
	for i, m := range list {
		view := views(i)
		nodes[m.Name()] = spread.New(m, func() *membership.View { return view })
	}
	got := make(map[string]int)
	now := time.Unix(1000, 0)
	type sent struct {
		from string
		push spread.PushTo
	}
	var queue []sent
	send := func(from string, a spread.Actions) {
		for _, p := range a.Pushes {
			queue = append(queue, sent{from, p})
		}
	}
	origin := list[start].Name()
	send(origin, nodes[origin].ChangeAccepted(now, snapshot(t, 7, "a")))
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		name := next.push.To.Name()
		got[name]++
		revision, a := nodes[name].PushReceived(now, next.from, next.push.Push)
		require.EqualValues(t, 7, revision)
		send(name, a)
	}
	return got
}

func TestTreeReachesEveryMemberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.IntRange(1, 3)
		list := members(draw.Draw(t, "regions"), draw.Draw(t, "domains"), rapid.IntRange(1, 40).Draw(t, "each"))
		view := membership.NewStaticView(list)
		start := rapid.IntRange(0, len(list)-1).Draw(t, "start")
		got := flood(t, list, func(int) *membership.View { return view }, start)
		require.Len(t, got, len(list)-1)
		for name, pushes := range got {
			require.Equal(t, 1, pushes, name)
		}
	})
}

func TestTreeReachesWhatAllViewsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := members(2, 2, rapid.IntRange(2, 30).Draw(t, "each"))
		shared := rapid.IntRange(1, len(list)).Draw(t, "shared")
		order := rapid.Permutation(list).Draw(t, "order")
		views := make([]*membership.View, len(order))
		for i := range views {
			known := append([]member.Member(nil), order[:shared]...)
			for _, m := range order[shared:] {
				if rapid.Bool().Draw(t, "known") {
					known = append(known, m)
				}
			}
			views[i] = membership.NewStaticView(known)
		}
		got := flood(t, order, func(i int) *membership.View { return views[i] }, 0)
		for _, m := range order[1:shared] {
			require.Contains(t, got, m.Name())
		}
	})
}
