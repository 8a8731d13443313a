package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Streams that were whole at their endpoint, and broken off at their caller.
func TestCheckersOfWholeStreams(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name     string
		finished standin.FinishKind
		ends     time.Duration // at the endpoint, from the sending on
		whole    bool          // at the caller
		left     bool          // the caller gave up
		sound    time.Duration // since when the way is undisturbed
		find     string
	}{
		{"whole at both", standin.FinishedWhole, time.Second, true, false, 0, ""},
		{"broken off at the caller", standin.FinishedWhole, time.Second, false, false, 0, "lost"},
		{"at the end of the caller's time", standin.FinishedWhole, callerTimeout, false, false, 0, ""},
		{"the caller gave up", standin.FinishedWhole, time.Second, false, true, 0, ""},
		{"beside a disturbance", standin.FinishedWhole, time.Second, false, false, time.Millisecond, ""},
		{"broken off at both", standin.FinishedByTime, time.Second, false, false, 0, ""},
		{"the endpoint had nothing to add", standin.FinishedEmpty, time.Second, false, false, 0, ""},
	} {
		l := newLedger()
		l.soundSince = func(string, string, time.Time) time.Time { return now.Add(test.sound) }
		l.ran(standin.Run{Attempt: "a", Target: "/p", Account: standin.Account, Server: "i", Began: now})
		l.finished(standin.Finish{Attempt: "a", Server: "i", Kind: test.finished, At: now.Add(test.ends)})
		c := call{attempt: "a", path: "/p", sent: now, ended: now.Add(test.ends), whole: test.whole, idempotent: true}
		if test.left {
			c.left = c.ended
		}
		l.answered(c)
		requireFinding(t, l, test.find, test.name)
	}
}

// Requests that end without an answer, by the planned work beside them.
func TestCheckersOfLostRequests(t *testing.T) {
	now := time.Now()
	const long = time.Hour
	at := func(o occasion, from time.Duration) work {
		return work{occasion: o, entry: "e", begun: now.Add(from), ends: now.Add(from + stopSpan)}
	}
	soon := standin.FinishedAbandoned
	for _, test := range []struct {
		name  string
		works []work
		lost  int // requests beside them, of 100, and as many an hour later
		later int
		end   standin.FinishKind
		took  time.Duration
		find  string
	}{
		{"a few at any time", nil, lostFew, 0, soon, time.Second, ""},
		{"more than a few", nil, lostFew + 1, 0, soon, time.Second, "lost"},
		{"more than a few, by a shorter time left", nil, lostFew + 1, 0, standin.FinishedByTime, time.Second, "lost"},
		{"more than a few, whose time has ended", nil, lostFew + 1, 0, standin.FinishedByTime, usedTime, ""},
		{"beside a stop", []work{at(besideStop, 0)}, 1, 0, soon, time.Second, "lost"},
		{"beside a stop, still at work at its end", []work{at(besideStop, -lateSent)}, 1, 0, soon, time.Second, ""},
		{"beside a reload", []work{at(besideReload, 0)}, 1, 0, soon, time.Second, "lost"},
		{"beside a change", []work{at(besideChange, 0)}, 1, 0, soon, time.Second, "lost"},
		{"beside a change as often as at other times", []work{at(besideChange, 0)}, 1, 1, soon, time.Second, ""},
		{"beside a change a little more often", []work{at(besideChange, 0)}, 2, 1, soon, time.Second, ""},
		{"beside a bound", []work{at(besideBound, 0)}, 1, 0, soon, time.Second, ""},
		{"beside a stop of another entry", []work{{besideStop, "f", now, now.Add(long)}}, 1, 0, soon, time.Second, ""},
	} {
		l := newLedger()
		for _, w := range test.works {
			l.planned.add(w)
		}
		send := func(name string, sent time.Time, lost bool) {
			kind := standin.FinishedWhole
			if lost {
				kind = test.end
			}
			l.ran(standin.Run{Attempt: name, Target: "/p", Account: standin.Account, Server: "i", Began: sent})
			l.finished(standin.Finish{Attempt: name, Server: "i", Kind: kind, At: sent.Add(test.took)})
			l.answered(call{attempt: name, path: "/p", entry: "e", sent: sent, ended: sent.Add(test.took), whole: !lost})
		}
		for i := range 100 {
			send(fmt.Sprintf("a%d", i), now, i < test.lost)
			send(fmt.Sprintf("b%d", i), now.Add(long), i < test.later)
		}
		requireFinding(t, l, test.find, test.name)
	}
}

// Streams that engines end in good order before they are complete, and callers get as whole.
func TestCheckersOfStreamsInOrder(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name       string
		taken, all int
		body       string
		again      bool // another engine ran the stream afterwards
		find       string
	}{
		{"none", 0, 3, "x", false, ""},
		{"one", 1, 7, "x", false, "answers"},
		{"all", 3, 3, "x", false, "answers"},
		{"another body", 1, 1, "y", false, "answers"},
		{"another engine had been asked", 1, 1, "x", true, "answers"},
	} {
		l := newLedger()
		for i := range test.all {
			c := call{attempt: fmt.Sprintf("a%d", i), path: "/p", entry: "e", idempotent: true, status: 200, body: "xyz", want: "xyz", sent: now, ended: now, whole: true}
			l.ran(standin.Run{Attempt: c.attempt, Target: "/p", Account: standin.Account, Server: "i", Began: now})
			l.finished(standin.Finish{Attempt: c.attempt, Server: "i", Kind: standin.FinishedInOrder, At: now})
			if test.again {
				l.ran(standin.Run{Attempt: c.attempt, Target: "/p", Account: standin.Account, Server: "j", Began: now})
			}
			if i < test.taken {
				c.body = test.body
			}
			l.answered(c)
		}
		requireFinding(t, l, test.find, test.name)
	}
}

// Streams whose last endpoint had nothing to add.
func TestCheckersOfEmptyResumptions(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name  string
		first *standin.FinishKind // nil for one that its endpoint broke off
		find  string
	}{
		{"cut by the time left before", new(standin.FinishedByTime), "lost"},
		{"broken off by the endpoint before", nil, ""},
	} {
		l := newLedger()
		for i := range lostFew + 1 {
			name := fmt.Sprintf("a%d", i)
			for _, server := range []string{"i", "j"} {
				l.ran(standin.Run{Attempt: name, Target: "/p", Account: standin.Account, Server: server, Began: now})
			}
			if test.first != nil {
				l.finished(standin.Finish{Attempt: name, Server: "i", Kind: *test.first, At: now})
			}
			l.finished(standin.Finish{Attempt: name, Server: "j", Kind: standin.FinishedEmpty, At: now})
			l.answered(call{attempt: name, path: "/p", entry: "e", idempotent: true, sent: now, ended: now.Add(time.Second)})
		}
		requireFinding(t, l, test.find, test.name)
	}
}

// Requests that never reached a server and got no answer.
func TestCheckersOfUnsentRequests(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name  string
		took  time.Duration
		touch time.Duration // since when the entry is undisturbed
		find  string
	}{
		{"the process must have read them", 2 * readTime, 0, "lost"},
		{"they crossed its close", readTime, 0, ""},
		{"their time has ended", usedTime, 0, ""},
		{"beside a disturbance", 2 * readTime, time.Millisecond, ""},
	} {
		l := newLedger()
		l.soundSince = func(string, string, time.Time) time.Time { return now.Add(test.touch) }
		for i := range lostFew + 1 {
			l.answered(call{attempt: fmt.Sprintf("a%d", i), path: "/p", entry: "e", sent: now, ended: now.Add(test.took)})
		}
		requireFinding(t, l, test.find, test.name)
	}
}

// A client that sends a request once more by itself, since its kept connection was closed
// without an answer.
func TestCheckersOfClosedConnections(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name   string
		began  time.Duration // of the first run, after the sending
		closed time.Duration
		find   string
	}{
		{"it had been passed on", 10 * time.Millisecond, 20 * time.Millisecond, "lost"},
		{"it crossed the close", 30 * time.Millisecond, 20 * time.Millisecond, ""},
	} {
		l := newLedger()
		for i := range lostFew + 1 {
			name := fmt.Sprintf("a%d", i)
			l.ran(standin.Run{Attempt: name, Target: "/p", Account: standin.Account, Server: "i", Began: now.Add(test.began)})
			l.answered(call{attempt: name, path: "/p", entry: "e", idempotent: true, sent: now, closed: now.Add(test.closed), ended: now.Add(time.Second), whole: true})
		}
		requireFinding(t, l, test.find, test.name)
	}
}

// A client repeats a request by itself, whose kept connection was closed without an answer.
func TestKeptConnectionClosed(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if requests.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	for n, closed := range []bool{false, true, false} {
		observed := &kept{}
		request, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), observed.trace()), http.MethodGet, server.URL, nil)
		require.NoError(t, err)
		response, err := client.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, closed, !observed.closedAt().IsZero(), n)
	}
}

// The planned work beside a call, by when it was sent and ended.
func TestOccasions(t *testing.T) {
	now := time.Now()
	p := &plannedWork{}
	p.add(work{besideChange, "", now, now.Add(changeSpan)})
	p.add(work{besideStop, "e", now.Add(time.Second), now.Add(time.Second + stopSpan)})
	p.named(now.Add(time.Minute))
	bound := time.Minute + versionBound
	for _, test := range []struct {
		name        string
		entry       string
		sent, ended time.Duration
		want        occasion
	}{
		{"before", "e", -time.Second, -time.Millisecond, besideNothing},
		{"beside the change", "e", -time.Second, time.Millisecond, besideChange},
		{"beside both", "e", -time.Second, 2 * time.Second, besideStop},
		{"at another entry", "f", -time.Second, 2 * time.Second, besideChange},
		{"after the stop", "e", time.Second + stopSpan, 10 * time.Second, besideNothing},
		{"at the bound", "e", bound - 3*time.Second, bound, besideBound},
		{"well before the bound", "e", bound - 3*time.Second, bound - 2*time.Second, besideNothing},
		{"just after the bound", "e", bound, bound + boundSlack/2, besideBound},
		{"well after the bound", "e", bound, bound + 2*boundSlack, besideNothing},
	} {
		c := call{entry: test.entry, sent: now.Add(test.sent), ended: now.Add(test.ended)}
		require.Equal(t, test.want, p.beside(c), test.name)
	}
}
