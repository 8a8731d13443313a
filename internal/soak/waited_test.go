package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Runs on old weights after the bound of a version that was named beside faults.
func TestCheckersOfVersionsBesideFaults(t *testing.T) {
	now := time.Now()
	const late = versionBound + time.Second
	for _, test := range []struct {
		name   string
		after  time.Duration // of the begin, from the naming on
		waited time.Duration // at the server
		touch  time.Duration // since when the sender is in touch, from the naming on
		calm   time.Duration // since when store and links are undisturbed
		old    int64         // version of the run
		inCalm bool
		find   string
	}{
		{name: "on old weights", after: late, old: 1, find: "versions"},
		{name: "on the one before", after: late, old: 2, find: "versions"},
		{name: "on new weights", after: late, old: 3},
		{name: "in time", after: versionBound - time.Second, old: 2},
		{name: "sent in time, begun too late", after: late, waited: 3 * time.Second, old: 2, find: "versions"},
		{name: "sent by a process out of touch", after: late, touch: late + contactTime, old: 2},
		{name: "sent by a process in touch just now", after: late, touch: late, old: 2, find: "versions"},
		{name: "sent by a process that was out of touch afterwards", after: late, waited: 3 * time.Second, touch: late - 3*time.Second, old: 2, find: "versions"},
		{name: "sent by a process that was not yet in touch", after: late, waited: 3 * time.Second, touch: late - 2*time.Second, old: 2},
		{name: "a link was disturbed since the naming", after: late, calm: 2 * time.Second, old: 2},
		{name: "long after a link was disturbed", after: late + 2*time.Second, calm: 2 * time.Second, old: 2, find: "versions"},
		{name: "named in the calm phase, whatever came then", after: late, calm: late, touch: 2 * late, old: 2, inCalm: true, find: "versions"},
	} {
		l := newLedger()
		l.inTouchSince = func(string, string, time.Time) time.Time { return now.Add(test.touch) }
		l.calmSince = func(time.Time) time.Time { return now.Add(test.calm) }
		l.named(2, now.Add(-time.Minute))
		l.named(3, now)
		if test.inCalm {
			l.namedInCalm(3)
		}
		began := now.Add(test.after)
		l.answered(call{attempt: "a", path: "/p", entry: "e", status: 200, whole: true})
		l.ran(standin.Run{Attempt: "a", Target: "/p", Account: standin.Account, Server: "i", Version: test.old, Arrived: began.Add(-test.waited), Began: began})
		requireFinding(t, l, test.find, test.name)
	}
}

// Runs that begin after the deadline that their requests carried, or carried too late a one.
func TestCheckersOfDeadlines(t *testing.T) {
	now := time.Now()
	const budget = callerTimeout
	for _, test := range []struct {
		name    string
		begins  time.Duration // after the arrival
		carried time.Duration // 0 for no time budget
		touch   time.Time
		find    string
	}{
		{"in time", time.Second, budget, time.Time{}, ""},
		{"in time, with less time than the caller's", time.Second, 2 * time.Second, time.Time{}, ""},
		{"within the slack", budget + deadlineSlack, budget + deadlineSlack, time.Time{}, ""},
		{"too late", budget + 2*deadlineSlack, budget, time.Time{}, "deadline"},
		{"too late for a shorter time budget", budget, budget - 2*deadlineSlack, time.Time{}, "deadline"},
		{"with too long a time budget", 0, budget + 2*deadlineSlack, time.Time{}, "deadline"},
		{"without a time budget", 0, 0, time.Time{}, "deadline"},
		{"too late, sent out of touch", budget + 2*deadlineSlack, budget, now.Add(time.Millisecond), ""},
	} {
		l := newLedger()
		l.inTouchSince = func(string, string, time.Time) time.Time { return test.touch }
		l.answered(call{attempt: "a", path: "/p", entry: "e", status: 200, whole: true, budget: budget})
		run := standin.Run{Attempt: "a", Target: "/p", Account: standin.Account, Server: "i", Arrived: now, Began: now.Add(test.begins)}
		if test.carried > 0 {
			run.Deadline = now.Add(test.carried)
		}
		l.ran(run)
		requireFinding(t, l, test.find, test.name)
	}
}

// Requests that get more time than their callers had when they are sent once more.
func TestCheckersOfExtendedDeadlines(t *testing.T) {
	now := time.Now()
	const budget = callerTimeout
	for _, test := range []struct {
		name     string
		requests int
		after    time.Duration // of the second arrival
		first    time.Duration // time budgets
		second   time.Duration
		find     string
	}{
		{"what is left", deadlineFew + 1, time.Second, budget, budget - time.Second, ""},
		{"the whole time once more", deadlineFew + 1, time.Second, budget, budget, "deadline"},
		{"the same, few", deadlineFew, time.Second, budget, budget, ""},
		{"the same, soon", deadlineFew + 1, deadlineSlack, budget, budget, ""},
		{"what is left, after a shorter time budget", deadlineFew + 1, time.Second, time.Second, budget - time.Second, ""},
	} {
		l := newLedger()
		for n := range test.requests {
			attempt := fmt.Sprint("a", n)
			l.answered(call{attempt: attempt, path: "/p", entry: "e", idempotent: true, status: 200, whole: true, budget: budget})
			for _, r := range []standin.Run{
				{Arrived: now, Began: now, Deadline: now.Add(test.first)},
				{Arrived: now.Add(test.after), Began: now.Add(test.after), Deadline: now.Add(test.after + test.second)},
			} {
				r.Attempt, r.Target, r.Account, r.Server = attempt, "/p", standin.Account, "i"
				l.ran(r)
			}
		}
		requireFinding(t, l, test.find, test.name)
	}
}

// Requests that reach a server, or begin, long after their callers have left.
func TestCheckersOfCallersThatLeft(t *testing.T) {
	now := time.Now()
	const late, early = goneSlack + time.Second, goneSlack / 2
	for _, test := range []struct {
		name      string
		begun     int           // runs
		arrives   time.Duration // after the caller has left
		after     time.Duration // of the begin
		withdrawn int
		due       time.Duration
		touch     time.Duration // since when the sender is in touch
		once      bool          // the requests may not be repeated
		knowing   bool          // the server knew that the caller had left
		find      string
	}{
		{name: "all begin late", begun: goneFew + 1, after: late, find: "gone"},
		{name: "a few begin late", begun: goneFew, after: late},
		{name: "all begin soon", begun: goneFew + 1, after: early},
		{name: "over a quarter begins late", begun: 5, after: late, withdrawn: 14, due: late, find: "gone"},
		{name: "a quarter begins late", begun: 5, after: late, withdrawn: 15, due: late},
		{name: "over a quarter, of those that would have lasted so long", begun: 5, after: late, withdrawn: 15, due: early, find: "gone"},
		{name: "all begin late, sent by a process out of touch", begun: 5, after: late, touch: time.Millisecond},
		{name: "all begin late, and may not be repeated", begun: 5, after: late, once: true},
		{name: "all begin late, at a server that goes on", begun: 5, after: late, knowing: true},
		{name: "more than a few arrive late", begun: goneFew + 1, arrives: late, after: early, find: "gone"},
		{name: "a few arrive late", begun: goneFew, arrives: late, after: early},
	} {
		l := newLedger()
		l.inTouchSince = func(string, string, time.Time) time.Time { return now.Add(test.touch) }
		for n := range test.begun + test.withdrawn {
			attempt := fmt.Sprint("a", n)
			l.answered(call{attempt: attempt, path: "/p", entry: "e", idempotent: !test.once, left: now})
			l.arrived(standin.Arrival{Attempt: attempt, Server: "i", Started: 1, At: now.Add(test.arrives)})
			if n >= test.begun {
				l.withdrawn(standin.Withdrawal{Attempt: attempt, Server: "i", Due: now.Add(test.due)})
				continue
			}
			l.ran(standin.Run{Attempt: attempt, Target: "/p", Account: standin.Account, Server: "i", Began: now.Add(test.after), Left: test.knowing})
		}
		requireFinding(t, l, test.find, test.name)
	}
}

// The faults in which requests wait come from a source of random numbers of their own, and
// may be left out.
func TestWaitPlan(t *testing.T) {
	const duration = 10 * time.Second
	for seed := range uint64(20) {
		waits := waitPlan(seed, duration)
		require.NotEmpty(t, waits)
		found := 0
		for _, f := range Plan(seed, duration) {
			if f.waits() {
				found++
			}
		}
		require.Len(t, waits, found)
	}
}
