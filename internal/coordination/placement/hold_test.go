package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An overloaded endpoint asks for no requests until a given time. Nothing is placed there
// before. Afterwards two requests are placed as probes, and the other waiting requests
// once the response to one of them has begun.
func TestHold(t *testing.T) {
	p := newPool(candidates(1, 8, true))
	r := Request{Target: 0, Deadline: 10 * time.Second}
	before := decisionOf(t, p.Submit(0, r))
	p.Hold(0, "e0", time.Second)
	var waiting []*Ticket
	for range 6 {
		waiting = append(waiting, p.Submit(0, r))
	}
	p.Expire(time.Second - ms)
	require.Equal(t, 6, p.Waiting())
	p.Expire(time.Second)
	require.Equal(t, 4, p.Waiting(), "probes")
	p.Release(time.Second, before.Choice(), Succeeded)
	require.Equal(t, 4, p.Waiting(), "a response to a request placed before the hold does not end the probing")
	first := decisionOf(t, waiting[0]).Choice()
	p.Release(time.Second, first, Broken)
	require.Equal(t, 3, p.Waiting(), "the next probe")
	second := decisionOf(t, waiting[1]).Choice()
	p.RecordFirstEvent(time.Second, &second)
	require.Zero(t, p.Waiting())
}

// A request that no endpoint takes before its deadline is refused at once, also if the
// hold is set while it waits. The retry-after time covers the end of the first hold.
func TestAllEndpointsHeld(t *testing.T) {
	r := Request{Target: 0, Deadline: 6 * time.Second}
	for _, test := range []struct {
		name     string
		holds    []time.Duration // of each endpoint
		waits    bool
		holdEnds time.Duration // time until the first hold ends
	}{
		{"none held", []time.Duration{0, 0}, true, 0},
		{"one held", []time.Duration{20 * time.Second, 0}, true, 0},
		{"all held, one for a short time", []time.Duration{20 * time.Second, 100 * ms}, true, 0},
		{"all held", []time.Duration{20 * time.Second, 8 * time.Second}, false, 8 * time.Second},
	} {
		for _, holdWhileWaiting := range []bool{false, true} {
			p := newPool(candidates(2, 0, true)) // no slots, so that requests wait
			var ticket *Ticket
			if holdWhileWaiting {
				ticket = p.Submit(0, r)
			}
			for i, hold := range test.holds {
				if hold > 0 {
					p.Hold(0, fmt.Sprintf("e%d", i), hold)
				}
			}
			if !holdWhileWaiting {
				ticket = p.Submit(0, r)
			}
			require.Equal(t, test.waits, p.Waiting() == 1, test.name)
			if !test.waits {
				v := decisionOf(t, ticket)
				require.Equal(t, ReasonHeld, v.Reason(), test.name)
				require.GreaterOrEqual(t, v.RetryAfter(), test.holdEnds+minRetryAfter, test.name)
			}
		}
	}
}

// A hold persists when the endpoint gets new weights or is missing from the list for a
// while. It ends when the process of the endpoint restarts.
func TestHoldEndsWithIncarnation(t *testing.T) {
	r := Request{Target: 0, Deadline: time.Second}
	for _, test := range []struct {
		name  string
		next  Candidate
		taken bool
	}{
		{"new weights", Candidate{ID: "e0", Started: 1, Version: 2, HeldUntil: 5 * time.Second}, false},
		{"next incarnation", Candidate{ID: "e0", Started: 2, Version: 1}, true},
	} {
		c := Candidate{ID: "e0", Started: 1, Version: 1, Slots: 4, Preferred: true, SameRegion: true}
		p := newPool([]Candidate{c})
		p.Hold(0, "e0", 5*time.Second)
		p.SetEndpoints(0, nil)
		test.next.Slots, test.next.Preferred, test.next.SameRegion = 4, true, true
		p.SetEndpoints(0, []Candidate{test.next})
		require.Equal(t, test.taken, decisionOf(t, p.Submit(0, r)).Placed(), test.name)
	}
}
