package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// benchSizes are the members in each of six failure domains.
var benchSizes = []int{4, 11, 43, 168}

func eachSize(b *testing.B, run func(*testing.B, []member.Member)) {
	for _, each := range benchSizes {
		list := members(2, 3, each)
		b.Run(fmt.Sprintf("%d", len(list)), func(b *testing.B) { run(b, list) })
	}
}

// BenchmarkPush puts a pushed revision in force and plans its next hops.
func BenchmarkPush(b *testing.B) {
	eachSize(b, func(b *testing.B, list []member.Member) {
		view := membership.NewStaticView(list)
		one, other := snapshot(b, 1, "a1", "b1"), snapshot(b, 2, "a2", "b1")
		push := spread.Push{Head: other.Head(), Sections: []spread.Section{first(other)}, Depth: 3}
		for b.Loop() {
			n := spread.New(list[0], func() *membership.View { return view }, spread.WithSnapshot(one))
			n.PushReceived(start, list[1].Name(), push)
		}
	})
}

// BenchmarkRoot starts a revision down the whole tree.
func BenchmarkRoot(b *testing.B) {
	eachSize(b, func(b *testing.B, list []member.Member) {
		view := membership.NewStaticView(list)
		s := snapshot(b, 2, "a2", "b1")
		for b.Loop() {
			spread.New(list[0], func() *membership.View { return view }).ChangeAccepted(start, s)
		}
	})
}

// BenchmarkTick is the tick of a process whose view stays the same.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, list []member.Member) {
		view := membership.NewStaticView(list)
		n := spread.New(list[0], func() *membership.View { return view }, spread.WithSnapshot(snapshot(b, 1, "a1")))
		now := start
		for b.Loop() {
			now = now.Add(spread.TickInterval)
			n.Tick(now)
		}
	})
}

// BenchmarkView takes a changed list of the platform and derives the
// neighbourhood from it.
func BenchmarkView(b *testing.B) {
	eachSize(b, func(b *testing.B, list []member.Member) {
		t := membership.New(list[0])
		n := spread.New(list[0], t.View, spread.WithSnapshot(snapshot(b, 1, "a1")))
		now := start
		lists := [][]member.Member{list, list[:len(list)-1]}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			now = now.Add(time.Millisecond)
			t.ListReceived(lists[i%len(lists)])
			n.Tick(now)
		}
	})
}
