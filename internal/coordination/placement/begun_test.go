package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request whose response has begun is broken off if no endpoint is expected to take it; one
// may before its deadline.
func TestBegunResponseIsLostForWantOfAnEndpoint(t *testing.T) {
	const deadline = 10 * time.Second
	list := candidates(2, 1, true)
	for _, test := range []struct {
		name    string
		before  func(p *Pool) // the state when it is submitted
		exclude []string
	}{
		{"none is listed", func(p *Pool) { p.SetEndpoints(0, nil) }, nil},
		{"the only one was tried", func(p *Pool) { p.SetEndpoints(0, list[:1]) }, []string{"e0"}},
		{"all are held", func(p *Pool) {
			p.Hold(0, "e0", 2*deadline)
			p.Hold(0, "e1", 2*deadline)
		}, nil},
		{"all are full for long", func(p *Pool) {
			for range 8 {
				p.Submit(0, Request{Deadline: deadline})
			}
			p.serviceTime.record(5 * deadline)
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(list)
			test.before(p)
			r := Request{Deadline: deadline, MinTime: 60 * ms, Exclude: test.exclude, PlacedBefore: true}
			require.False(t, decisionOf(t, p.Submit(0, r)).Placed(), "one that can be refused is refused at once")
			before := p.Waiting()
			r.Begun = true
			waiting := p.Submit(0, r)
			p.Expire(time.Second)
			require.Equal(t, before+1, p.Waiting())
			p.SetEndpoints(time.Second, candidates(4, 1, true))
			d := decisionOf(t, waiting)
			require.True(t, d.Placed())
		})
	}
}

// It waits no longer than its deadline.
func TestBegunResponseWaitsUntilItsDeadline(t *testing.T) {
	const deadline = 3 * time.Second
	p := newPool(nil)
	waiting := p.Submit(0, Request{Deadline: deadline, MinTime: 60 * ms, PlacedBefore: true, Begun: true})
	p.Expire(deadline - 61*ms)
	require.Equal(t, 1, p.Waiting())
	p.Expire(deadline)
	require.Equal(t, ReasonExpired, decisionOf(t, waiting).Reason())
	require.Zero(t, p.Waiting())
}
