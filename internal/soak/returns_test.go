package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// What callers may not see after a return of the store.
func TestCheckersOfReturns(t *testing.T) {
	back := time.Now()
	written := back.Add(time.Second)
	ended := written.Add(servedBound + servedSpan)
	series := func(status int, from, until time.Duration) []call {
		var list []call
		for at := from; at < until; at += servedWindow / (2 * leastOfWindow) {
			list = append(list, call{status: status, whole: true, sent: written.Add(at)})
		}
		return list
	}
	all := servedBound + servedSpan
	for _, test := range []struct {
		name  string
		calls []call
		find  string
	}{
		{"all served", series(200, 0, all), ""},
		{"refused within the bound", append(series(503, 0, servedBound), series(200, servedBound, all)...), ""},
		{"refused for a while after the bound", append(series(200, 0, all), series(503, servedBound+time.Second, servedBound+time.Second+servedWindow/4)...), "return"},
		{"refused after that", append(series(200, 0, all), series(503, all, 2*all)...), ""},
		{"by revoked keys", series(401, 0, all), ""},
		{"an older configuration", []call{{status: 404, route: 2, whole: true, sent: back}}, "return"},
		{"a newer route", []call{{status: 404, route: 3, whole: true, sent: back}}, ""},
		{"before the return", []call{{status: 404, route: 2, whole: true, sent: back.Add(-time.Second)}}, ""},
	} {
		l := newLedger()
		l.returnedFrom(storeReturn{at: back, written: written, until: ended, route: 2})
		for i, c := range test.calls {
			c.attempt = fmt.Sprint("a", i)
			c.body, c.want = standin.Body("/p"), standin.Body("/p")
			l.answered(c)
		}
		requireFinding(t, l, test.find, test.name)
	}
}
