package soak

import (
	"testing"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Calls that a planned stop cuts off.
func TestCheckersOfStops(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name  string
		sent  time.Duration // after the begin of the stops
		took  time.Duration
		whole bool
		ran   bool
		find  string
	}{
		{"answered", time.Second, 2 * time.Second, true, true, ""},
		{"refused", time.Second, time.Millisecond, true, false, ""},
		{"cut off while it ran", time.Second, 2 * time.Second, false, true, "stops"},
		{"cut off at once, and ran", time.Second, time.Millisecond, false, true, "stops"},
		{"cut off while it waited", time.Second, 2 * time.Second, false, false, "stops"},
		{"not read", time.Second, time.Millisecond, false, false, ""},
		{"cut off before the stops", -time.Second, 500 * time.Millisecond, false, true, ""},
	} {
		l := newLedger()
		if test.ran {
			l.ran(standin.Run{Attempt: "a", Target: "/p", Account: standin.Account, Server: "i"})
		}
		sent := now.Add(test.sent)
		l.answered(call{attempt: "a", path: "/p", sent: sent, ended: sent.Add(test.took), whole: test.whole, status: 504})
		l.checkStops(now)
		requireFinding(t, l, test.find, test.name)
	}
}
