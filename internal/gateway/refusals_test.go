package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller that was turned away is known when it comes back, at this entry and at
// those that were told, once for each time it was turned away.
func TestRefusals(t *testing.T) {
	const mark, other = 7, 8
	own, told := newRefusals(), newRefusals()
	own.refused(mark, time.Second, 1200*time.Millisecond)
	marks, ages := own.takeUntold(1300 * time.Millisecond)
	told.told(marks, ages, 1300*time.Millisecond)
	for _, l := range []*refusalList{own, told} {
		require.Zero(t, l.returned(other, 2*time.Second))
		require.Equal(t, time.Second, l.returned(mark, 2*time.Second))
		require.Zero(t, l.returned(mark, 2*time.Second), "a request like the one that came back")
	}
	marks, _ = own.takeUntold(1400 * time.Millisecond)
	require.Empty(t, marks, "told once")
	own.refused(mark, time.Second, time.Second)
	own.forget(time.Second + refusalKept + time.Millisecond)
	require.Zero(t, own.returned(mark, 6*time.Second))
}

func TestRateMeter(t *testing.T) {
	var r rateMeter
	for now := 100 * time.Millisecond; now <= 20*time.Second; now += 100 * time.Millisecond {
		r.count.Add(5)
		r.advance(now)
	}
	require.InDelta(t, 50, r.value(), 2)
	for now := 20100 * time.Millisecond; now <= 40*time.Second; now += 100 * time.Millisecond {
		r.advance(now)
	}
	require.InDelta(t, 0, r.value(), 1)
}
