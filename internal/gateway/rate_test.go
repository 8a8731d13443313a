package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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

// An entry that begins to drain sends a summary while the background work sends one.
func TestRateMeterBesideDrain(t *testing.T) {
	const senders, rounds = 2, 1000
	var r rateMeter
	var work sync.WaitGroup
	for range senders {
		work.Go(func() {
			for n := range rounds {
				r.count.Add(1)
				r.advance(time.Duration(n) * 100 * time.Millisecond)
			}
		})
	}
	work.Wait()
	require.Positive(t, r.value())
	require.EqualValues(t, senders*rounds, r.count.Load())
}
