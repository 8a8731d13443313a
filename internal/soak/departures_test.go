package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Requests that reach a server after its row said that it leaves or is gone.
func TestCheckersOfDepartures(t *testing.T) {
	now := time.Now()
	const late = drainBound + time.Second
	for _, test := range []struct {
		name        string
		after       time.Duration // of the arrival, from the departure on
		touch       time.Duration // since when the sender is in touch, from the departure on
		started     int64
		returned    time.Duration // 0 for a row that is not put back
		misdirected bool
		find        string
	}{
		{name: "long after", after: late, started: 1, find: "departed"},
		{name: "long after, by a process that was disturbed long before", after: late, touch: -time.Minute, started: 1, find: "departed"},
		{name: "just after", after: drainBound - time.Millisecond, started: 1},
		{name: "before", after: -late, started: 1},
		{name: "long after, by a process that is disturbed", after: late, touch: late + contactTime, started: 1},
		{name: "long after, by a process that is in touch just now", after: late, touch: late - drainBound/2, started: 1},
		{name: "long after the process is in touch", after: 2 * late, touch: late - time.Second, started: 1, find: "departed"},
		{name: "refused as sent to another server", after: late, started: 1, misdirected: true},
		{name: "at the next incarnation", after: late, started: 2},
		{name: "after the row is back", after: late, started: 1, returned: late - time.Second},
		{name: "before the row is back", after: late, started: 1, returned: late + time.Second, find: "departed"},
	} {
		l := newLedger()
		l.inTouchSince = func(string, string, time.Time) time.Time { return now.Add(test.touch) }
		d := departure{left: now}
		if test.returned > 0 {
			d.returned = now.Add(test.returned)
		}
		l.departures[incarnation{"i", 1}] = []departure{d}
		l.arrived(standin.Arrival{Attempt: "a", Server: "i", Started: test.started, At: now.Add(test.after), Misdirected: test.misdirected})
		l.answered(call{attempt: "a", entry: "e", status: 200, whole: true})
		requireFinding(t, l, test.find, test.name)
	}
}

// A disturbance counts from its begin until contactTime after its end.
func TestLastOfSpans(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name string
		list []span
		want time.Time
	}{
		{"none", nil, time.Time{}},
		{"one that has ended", []span{{begun: now.Add(-3 * time.Second), end: now.Add(-2 * time.Second)}}, now.Add(-2 * time.Second)},
		{"one that is there", []span{{begun: now.Add(-3 * time.Second)}}, now},
		{"one that ends later", []span{{begun: now.Add(-3 * time.Second), end: now.Add(time.Second)}}, now},
		{"one that begins later", []span{{begun: now.Add(time.Second)}}, time.Time{}},
		{"several", []span{{begun: now.Add(-9 * time.Second), end: now.Add(-time.Second)}, {begun: now.Add(-5 * time.Second), end: now.Add(-4 * time.Second)}}, now.Add(-time.Second)},
	} {
		s := spans{list: test.list}
		require.Equal(t, test.want, s.last(now), test.name)
	}
}
