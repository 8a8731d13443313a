package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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

// A request that is ended before its first event has waited for so long at least. Others
// that end without one say nothing of the wait.
func TestWaitOfEndedRequests(t *testing.T) {
	const s = time.Second
	for _, test := range []struct {
		name    string
		outcome Outcome
		after   time.Duration // from the placement to the end
		want    time.Duration // longest wait that is known then
	}{
		{"caller left", Cancelled, 3 * s, 3 * s},
		{"withdrawn", Withdrawn, 2 * s, 2 * s},
		{"caller left early", Cancelled, s / 4, 0},
		{"endpoint is full", Full, 3 * s, 0},
		{"broken off", Broken, 3 * s, 0},
		{"nothing was sent", Stale, 3 * s, 0},
	} {
		p := New(WithRandom(func() float64 { return 0 }))
		p.SetEndpoints(s, []Candidate{{ID: "e", Slots: 8, Preferred: true}})
		d := <-p.Submit(s, Request{Deadline: time.Minute}).Decision()
		p.Release(s+test.after, d.Choice(), test.outcome)
		e := p.endpoints["e"]
		require.Equal(t, test.want, e.waits.longest(s+test.after), test.name)
		require.Empty(t, e.waits.placed, test.name)
		require.Zero(t, e.waits.longest(s+test.after+waitMemory), test.name)
	}
}

// The longest wait is that of the oldest request that has not begun, or of the last that did.
func TestLongestWait(t *testing.T) {
	p := New(WithRandom(func() float64 { return 0 }))
	p.SetEndpoints(time.Second, []Candidate{{ID: "e", Slots: 8, Preferred: true}})
	var choices []Choice
	for i := range 3 {
		d := <-p.Submit(time.Duration(i+1)*time.Second, Request{Deadline: time.Minute}).Decision()
		choices = append(choices, d.Choice())
	}
	e := p.endpoints["e"]
	require.Equal(t, 9*time.Second, e.waits.longest(10*time.Second))
	p.Release(10*time.Second, choices[0], Broken)
	require.Equal(t, 8*time.Second, e.waits.longest(10*time.Second))
	p.RecordFirstEvent(10*time.Second, &choices[1])
	require.Equal(t, 8*time.Second, e.waits.longest(10*time.Second), "the wait of the last that began")
	require.Equal(t, 11*time.Second, e.waits.longest(14*time.Second))
	p.Release(14*time.Second, choices[1], Succeeded)
	p.Release(14*time.Second, choices[2], Broken)
	require.Equal(t, 8*time.Second, e.waits.longest(14*time.Second), "the wait of the last that began")
	require.Zero(t, e.waits.longest(10*time.Second+waitMemory))
	require.Empty(t, e.waits.placed)
}

// An endpoint where no wait is known of may be as slow as the others.
func TestUnknownWaitIsTheUsualOne(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name   string
		waits  []time.Duration // of the last requests at the other endpoints
		placed bool
	}{
		{"nothing is known", nil, true},
		{"all others are slow", []time.Duration{1800 * ms, 2100 * ms, 1900 * ms}, false},
		{"one of the others is slow", []time.Duration{20 * ms, 2100 * ms, 30 * ms}, true},
	} {
		now := 100 * time.Second
		p := New(WithRandom(func() float64 { return 0 }))
		var list []Candidate
		for i := range test.waits {
			list = append(list, Candidate{ID: string(rune('a' + i)), Slots: 1, Preferred: true})
		}
		p.SetEndpoints(now-5*time.Second, list)
		for _, wait := range test.waits {
			d := <-p.Submit(now-4*time.Second, Request{Deadline: now + time.Minute}).Decision()
			c := d.Choice()
			p.RecordFirstEvent(now-4*time.Second+wait, &c)
		}
		list = append(list, Candidate{ID: "unknown", Slots: 1, Preferred: true, BeginBefore: now + 1500*ms})
		p.SetEndpoints(now, list)
		select {
		case d := <-p.Submit(now, Request{Deadline: now + time.Minute}).Decision():
			require.Equal(t, test.placed, d.Placed(), test.name)
		default:
			require.False(t, test.placed, "%s: waits", test.name)
		}
	}
}

// Requests that were placed a moment ago say nothing of how long their endpoints let them
// wait, neither there nor of the usual wait, and the wait at an endpoint that has left the
// list since, as for a load, is still known.
func TestWaitIsNotShortenedByRequestsPlacedJustNow(t *testing.T) {
	const ms = time.Millisecond
	slow := []time.Duration{1800 * ms}
	for _, test := range []struct {
		name   string
		ended  []time.Duration // waits of the last requests at other endpoints
		left   bool            // whether those endpoints have left the list since
		fresh  int             // further endpoints with a request placed a moment ago
		age    time.Duration   // of a request at the endpoint, 0 for none
		placed bool
	}{
		{"one was placed there a moment ago", slow, false, 0, 100 * ms, false},
		{"one was placed at each of the others a moment ago", slow, false, 3, 0, false},
		{"the slow endpoint has left the list", slow, true, 0, 0, false},
		{"the slow endpoint has left and one was placed a moment ago", slow, true, 2, 100 * ms, false},
		{"one waits there for less than is usual", slow, false, 0, 600 * ms, false},
		{"others are fast", []time.Duration{20 * ms}, false, 1, 100 * ms, true},
		{"one waits there, others are fast", []time.Duration{20 * ms}, false, 1, 800 * ms, false},
		{"nothing is known", nil, false, 2, 100 * ms, true},
	} {
		now := 100 * time.Second
		p := New(WithRandom(func() float64 { return 0 }))
		request := Request{Deadline: now + time.Minute}
		var others []Candidate
		for i, wait := range test.ended {
			others = append(others, Candidate{ID: string(rune('a' + i)), Slots: 1, Preferred: true})
			p.SetEndpoints(now-5*time.Second, others[i:])
			d := <-p.Submit(now-4*time.Second, request).Decision()
			c := d.Choice()
			p.RecordFirstEvent(now-4*time.Second+wait, &c)
			p.Release(now-2*time.Second, c, Succeeded)
		}
		if test.left {
			others = nil
			p.SetEndpoints(now-time.Second, nil)
		}
		for i := range test.fresh {
			c := Candidate{ID: string(rune('n' + i)), Slots: 1, Preferred: true}
			p.SetEndpoints(now-50*ms, []Candidate{c})
			require.True(t, (<-p.Submit(now-50*ms, request).Decision()).Placed(), test.name)
			others = append(others, c)
		}
		unknown := Candidate{ID: "unknown", Slots: 2, Preferred: true}
		if test.age > 0 {
			p.SetEndpoints(now-test.age, []Candidate{unknown})
			require.True(t, (<-p.Submit(now-test.age, request).Decision()).Placed(), test.name)
		}
		for i := range others {
			others[i].Slots = 0
		}
		unknown.BeginBefore = now + 1500*ms
		p.SetEndpoints(now, append(others, unknown))
		select {
		case d := <-p.Submit(now, request).Decision():
			assert.Equal(t, test.placed, d.Placed(), test.name)
		default:
			assert.False(t, test.placed, "%s: waits", test.name)
		}
	}
}
