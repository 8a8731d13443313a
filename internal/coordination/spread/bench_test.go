package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// benchSizes holds the numbers of members per failure domain; there are six domains.
var benchSizes = []int{4, 11, 43, 168}

func forEachSize(b *testing.B, run func(*testing.B, []member.Member)) {
	for _, each := range benchSizes {
		list := members(2, 3, each)
		b.Run(fmt.Sprintf("%d", len(list)), func(b *testing.B) { run(b, list) })
	}
}

// BenchmarkPush measures applying a pushed revision and planning the pushes that
// forward it.
func BenchmarkPush(b *testing.B) {
	forEachSize(b, func(b *testing.B, list []member.Member) {
		view := membership.NewStaticView(list)
		current, next := newSnapshot(b, 1, "a1", "b1"), newSnapshot(b, 2, "a2", "b1")
		push := spread.Push{Head: next.Head(), Sections: []spread.Section{firstSection(next)}, Depth: 3}
		for b.Loop() {
			n := spread.New(list[0], func() *membership.View { return view }, spread.WithSnapshot(current))
			n.PushReceived(start, list[1].Name(), push)
		}
	})
}

// BenchmarkStartPush measures starting the push of a revision at the root of the tree.
func BenchmarkStartPush(b *testing.B) {
	forEachSize(b, func(b *testing.B, list []member.Member) {
		view := membership.NewStaticView(list)
		s := newSnapshot(b, 2, "a2", "b1")
		for b.Loop() {
			spread.New(list[0], func() *membership.View { return view }).ChangeAccepted(start, s)
		}
	})
}

// BenchmarkTick measures a tick of a process whose view does not change.
func BenchmarkTick(b *testing.B) {
	forEachSize(b, func(b *testing.B, list []member.Member) {
		view := membership.NewStaticView(list)
		n := spread.New(list[0], func() *membership.View { return view }, spread.WithSnapshot(newSnapshot(b, 1, "a1")))
		now := start
		for b.Loop() {
			now = now.Add(spread.TickInterval)
			n.Tick(now)
		}
	})
}

// BenchmarkViewChange measures merging a changed list from the platform and deriving
// the neighbours from the new view.
func BenchmarkViewChange(b *testing.B) {
	forEachSize(b, func(b *testing.B, list []member.Member) {
		t := membership.New(list[0])
		n := spread.New(list[0], t.View, spread.WithSnapshot(newSnapshot(b, 1, "a1")))
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
