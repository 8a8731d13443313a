package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request is placed only where it very likely begins while that is allowed: by the
// prediction, by the wait of those before it, and by how long one is waiting already.
func TestRequestBeginsWhileAllowed(t *testing.T) {
	const ms = time.Millisecond
	now := 100 * time.Second
	for _, test := range []struct {
		name     string
		left     time.Duration // until requests have to begin; 0 for no such time
		placed   time.Duration // age of a request placed before, 0 for none
		begun    time.Duration // age of its first event, 0 for none
		placedAt bool          // whether the next request is placed
	}{
		{"no limit", 0, 0, 0, true},
		{"enough time", 500 * ms, 0, 0, true},
		{"less than the prediction may err", 30 * ms, 0, 0, false},
		{"over", -ms, 0, 0, false},
		{"one waits for longer", 500 * ms, 300 * ms, 0, false},
		{"one waits for less", 500 * ms, 200 * ms, 0, true},
		{"the last one waited for longer", 500 * ms, 2000 * ms, 1700 * ms, false},
		{"the last one waited for less", 500 * ms, 2000 * ms, 1800 * ms, true},
		{"the last one waited for longer and none was placed since", 500 * ms, 12_000 * ms, 11_700 * ms, false},
		{"the last one is long ago", 500 * ms, 19_000 * ms, 16_000 * ms, true},
	} {
		p := New(WithRandom(func() float64 { return 0 }))
		p.SetLatencyModel(LatencyModel{Step: 20 * ms, PrefillPerToken: ms / 100})
		candidate := Candidate{ID: "e", Slots: 8, Preferred: true}
		p.SetEndpoints(now-20*time.Second, []Candidate{candidate})
		if test.placed > 0 {
			d := <-p.Submit(now-test.placed, Request{Deadline: now + time.Minute}).Decision()
			require.True(t, d.Placed(), test.name)
			if test.begun > 0 {
				c := d.Choice()
				p.RecordFirstEvent(now-test.begun, &c)
			}
		}
		if test.left != 0 {
			candidate.BeginBefore = now + test.left
			p.SetEndpoints(now, []Candidate{candidate})
		}
		select {
		case d := <-p.Submit(now, Request{Deadline: now + time.Minute}).Decision():
			require.Equal(t, test.placedAt, d.Placed(), test.name)
		default:
			require.False(t, test.placedAt, "%s: waits", test.name)
		}
	}
}

// Requests that ended without an event do not count as waiting.
func TestEndedRequestsDoNotWait(t *testing.T) {
	p := New(WithRandom(func() float64 { return 0 }))
	p.SetEndpoints(time.Second, []Candidate{{ID: "e", Slots: 8, Preferred: true}})
	var choices []Choice
	for i := range 3 {
		d := <-p.Submit(time.Duration(i+1)*time.Second, Request{Deadline: time.Minute}).Decision()
		choices = append(choices, d.Choice())
	}
	e := p.endpoints["e"]
	require.Equal(t, 9*time.Second, e.waits.longest(10*time.Second))
	p.Release(10*time.Second, choices[0], Cancelled)
	require.Equal(t, 8*time.Second, e.waits.longest(10*time.Second))
	p.RecordFirstEvent(10*time.Second, &choices[1])
	require.Equal(t, 8*time.Second, e.waits.longest(10*time.Second), "the wait of the last that began")
	require.Equal(t, 11*time.Second, e.waits.longest(14*time.Second))
	p.Release(14*time.Second, choices[1], Succeeded)
	p.Release(14*time.Second, choices[2], Withdrawn)
	require.Equal(t, 8*time.Second, e.waits.longest(14*time.Second), "the wait of the last that began")
	require.Zero(t, e.waits.longest(10*time.Second+waitMemory))
	require.Empty(t, e.waits.placed)
}

// A long prompt that would begin too late at an endpoint does not keep the shorter ones
// behind it from the endpoint.
func TestLongPromptDoesNotBlockThoseBehind(t *testing.T) {
	const ms = time.Millisecond
	now := 100 * time.Second
	p := New(WithRandom(func() float64 { return 0 }))
	p.SetLatencyModel(LatencyModel{Step: 20 * ms, PrefillPerToken: ms / 100})
	p.SetEndpoints(now, []Candidate{{ID: "e", Slots: 8, Preferred: true, BeginBefore: now + 500*ms}})
	long := p.Submit(now, Request{Deadline: now + time.Minute, Prompt: 40_000})
	short := p.Submit(now+ms, Request{Deadline: now + time.Minute, Prompt: 1000})
	p.Expire(now + 2*ms)
	select {
	case d := <-short.Decision():
		require.True(t, d.Placed(), d.Reason())
	default:
		require.Fail(t, "the short prompt waits")
	}
	require.Empty(t, long.Decision(), "the long prompt waits")
}
