package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Streams that wait for an endpoint do not keep other requests from endpoints that are free for
// these and not for the streams.
func TestBegunResponsesDoNotBlockOthers(t *testing.T) {
	const deadline = 6 * time.Second
	for _, streams := range []int{1, 2, 3, 8} {
		t.Run(fmt.Sprint(streams), func(t *testing.T) {
			p := newPool(candidates(1, 4, true))
			for range streams {
				p.Submit(0, Request{Deadline: deadline, MinTime: 60 * ms, Exclude: []string{"e0"}, PlacedBefore: true, Begun: true})
			}
			require.Equal(t, streams, p.Waiting())
			now := 100 * ms
			other := p.Submit(now, Request{Arrived: now, Target: 500 * ms, Deadline: now + deadline, MinTime: 60 * ms})
			p.Expire(now + 25*ms)
			select {
			case d := <-other.Decision():
				require.True(t, d.Placed(), "refused at an endpoint without any request: %s", d.Reason())
			default:
				require.Fail(t, "waits for an endpoint without any request")
			}
		})
	}
}

// Nor do requests that are queued behind them wait until the deadline of the streams.
func TestBegunResponsesDoNotHoldUpTheQueue(t *testing.T) {
	const deadline = 6 * time.Second
	p := newPool(candidates(1, 4, true))
	for range 3 {
		p.Submit(0, Request{Deadline: deadline, MinTime: 60 * ms, Exclude: []string{"e0"}, PlacedBefore: true, Begun: true})
	}
	other := p.Submit(0, Request{Deadline: 2 * deadline, MinTime: 60 * ms})
	for now := time.Duration(0); now < deadline/2; now += 25 * ms {
		p.Expire(now)
	}
	require.Len(t, other.Decision(), 1, "it waits for an endpoint without any request")
}

// A stream that waits for a permit is not refused either.
func TestBegunResponseWaitsForAPermit(t *testing.T) {
	list := candidates(2, 4, true)
	for i := range list {
		list[i].Limited, list[i].RateLimit = true, 0.01
	}
	p := newPool(list)
	waiting := p.Submit(0, Request{Deadline: 6 * time.Second, MinTime: 60 * ms, PlacedBefore: true, Begun: true})
	for now := time.Duration(0); now < 3*time.Second; now += 25 * ms {
		p.Expire(now)
	}
	require.Empty(t, waiting.Decision(), "it is refused before its deadline")
}
