package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Each checker must find what it is for in what callers and servers saw.
func TestCheckers(t *testing.T) {
	now := time.Now()
	ran := func(attempt, target string) standin.Run {
		return standin.Run{Attempt: attempt, Target: target, Account: standin.Account, Server: "i"}
	}
	later := func(version int64, d time.Duration) standin.Run {
		r := ran("a", "/p")
		r.Began, r.Version = now.Add(d), version
		return r
	}
	for _, test := range []struct {
		name string
		call call
		runs []standin.Run
		find string
	}{
		{"nothing wrong", call{attempt: "a", path: "/p", status: 200, body: "x", want: "x", whole: true}, []standin.Run{ran("a", "/p")}, ""},
		{"an answer that breaks off", call{attempt: "a", path: "/p", status: 200, body: "x", want: "xyz", idempotent: true}, nil, ""},
		{"another answer", call{attempt: "a", path: "/p", status: 200, body: "y", want: "x", whole: true}, nil, "answers"},
		{"half an answer as whole", call{attempt: "a", path: "/p", status: 200, body: "x", want: "xyz", whole: true}, nil, "answers"},
		{"other bytes before it breaks off", call{attempt: "a", path: "/p", status: 200, body: "y", want: "xyz"}, nil, "answers"},
		{"twice", call{attempt: "a", path: "/p", status: 502}, []standin.Run{ran("a", "/p"), ran("a", "/p")}, "at most once"},
		{"twice, allowed", call{attempt: "a", path: "/p", status: 502, idempotent: true}, []standin.Run{ran("a", "/p"), ran("a", "/p")}, ""},
		{"not run, and ran", call{attempt: "a", path: "/p", status: 503}, []standin.Run{ran("a", "/p")}, "not run"},
		{"another target", call{attempt: "a", path: "/p", status: 200, body: "x", want: "x", whole: true}, []standin.Run{ran("a", "/q")}, "requests"},
		{"nobody sent it", call{attempt: "b"}, []standin.Run{ran("a", "/p")}, "requests"},
		{"a key passed on", call{attempt: "a", path: "/p"}, []standin.Run{{Attempt: "a", Target: "/p", Account: standin.Account, Key: "k"}}, "keys"},
		{"another account", call{attempt: "a", path: "/p"}, []standin.Run{{Attempt: "a", Target: "/p", Account: "x"}}, "accounts"},
		{"revoked", call{attempt: "a", path: "/p", key: "old", sent: now.Add(revocation + time.Second)}, []standin.Run{ran("a", "/p")}, "revoked"},
		{"revoked just now", call{attempt: "a", path: "/p", key: "old", sent: now.Add(time.Second)}, []standin.Run{ran("a", "/p")}, ""},
		{"on a server that leaves", call{attempt: "a", path: "/p"}, []standin.Run{later(0, drainBound+time.Second)}, "leaving"},
		{"on a server that leaves just now", call{attempt: "a", path: "/p"}, []standin.Run{later(0, time.Second)}, ""},
		{"on old weights", call{attempt: "a", path: "/p"}, []standin.Run{later(2, versionBound+time.Second)}, "versions"},
		{"on old weights in time", call{attempt: "a", path: "/p"}, []standin.Run{later(2, versionBound-time.Second)}, ""},
		{"on new weights", call{attempt: "a", path: "/p"}, []standin.Run{later(3, versionBound+time.Second)}, ""},
	} {
		l := newLedger()
		l.removed["old"] = now
		l.named(3, now)
		l.namedInCalm(3)
		l.leaves("leaving", now)
		for i := range test.runs {
			if test.runs[i].Version == 0 && !test.runs[i].Began.IsZero() {
				test.runs[i].Server = "leaving"
			}
		}
		for _, r := range test.runs {
			l.ran(r)
		}
		l.answered(test.call)
		requireFinding(t, l, test.find, test.name)
	}
}

// requireFinding concludes the ledger and requires that it found a violation of the given
// promise, or none if it is empty.
func requireFinding(t *testing.T, l *ledger, promise, name string) {
	t.Helper()
	l.conclude()
	found := strings.Join(l.report().Violations, "\n")
	if promise == "" {
		require.Empty(t, found, name)
		return
	}
	require.Contains(t, found, promise+":", name)
}

// What only shows between several calls.
func TestCheckersOfSeries(t *testing.T) {
	now := time.Now()
	routed := func(attempt string, route, status int, lifetime int64, after time.Duration) call {
		at := now.Add(after)
		return call{attempt: attempt, path: "/p", idempotent: true, route: route, status: status, entry: "e", lifetime: lifetime, sent: at, ended: at, whole: true}
	}
	for _, test := range []struct {
		name  string
		calls []call
		find  string
	}{
		{"a route that is known and not known later", []call{routed("a", 2, 200, 1, 0), routed("b", 1, 404, 1, time.Second)}, "configuration"},
		{"a route that is newer", []call{routed("a", 1, 200, 1, 0), routed("b", 2, 404, 1, time.Second)}, ""},
		{"another lifetime", []call{routed("a", 2, 200, 1, 0), routed("b", 2, 404, 2, time.Second)}, ""},
		{"within the slack", []call{routed("a", 2, 200, 1, 0), routed("b", 2, 404, 1, revertSlack/2)}, ""},
	} {
		l := newLedger()
		for _, c := range test.calls {
			l.answered(c)
		}
		requireFinding(t, l, test.find, test.name)
	}
	for _, test := range []struct {
		repeats int
		span    time.Duration
		broken  bool
	}{
		{standin.RetryReserve, time.Second, false},
		{standin.RetryReserve + 1, time.Second, true},
		{2 * standin.RetryReserve, 4 * retryWindow, false},
	} {
		var list []began
		for i := range test.repeats {
			list = append(list, began{now.Add(time.Duration(i) * test.span / time.Duration(test.repeats)), true})
		}
		_, repeats := worstWindow(list)
		require.Equal(t, test.broken, repeats > 0, test.repeats)
	}
}

// What processes send to a server against its backpressure.
func TestCheckersOfBackpressure(t *testing.T) {
	now := time.Now()
	const pause = 4 * time.Second
	type sent struct {
		after   time.Duration // of the arrival; the call was sent then and ends soon
		entry   string
		started int64
		leaving bool
		held    time.Duration // of the refusal
	}
	series := func(n int, s sent) []sent {
		list := []sent{{entry: "e", started: 1, held: pause}}
		for range n {
			list = append(list, s)
		}
		return list
	}
	early := sent{after: applySlack / 2, entry: "e", started: 1}
	late := sent{after: 2 * applySlack, entry: "e", started: 1, held: pause - 2*applySlack}
	for _, test := range []struct {
		name      string
		sent      []sent
		disturbed bool
		find      string
	}{
		{"sent long after the server signaled that it leaves", []sent{{0, "e", 1, true, 0}, {drainBound + time.Second, "e", 1, true, 0}}, false, "left alone"},
		{"the same, over a disturbed way", []sent{{0, "e", 1, true, 0}, {drainBound + time.Second, "e", 1, true, 0}}, true, "left alone"},
		{"sent just after", []sent{{0, "e", 1, true, 0}, {drainBound / 2, "e", 1, true, 0}}, false, ""},
		{"another entry", []sent{{0, "e", 1, true, 0}, {drainBound + time.Second, "f", 1, true, 0}}, false, ""},
		{"another incarnation", []sent{{0, "e", 1, true, 0}, {drainBound + time.Second, "e", 2, false, 0}}, false, ""},
		{"probes", series(probesAtMost, late), false, ""},
		{"more than probes", series(probesAtMost+1, late), false, "pause"},
		{"more, over a disturbed way", series(probesAtMost+1, late), true, ""},
		{"more before it was forwarded", series(probesAtMost+1, early), false, ""},
		{"more after the pause", series(probesAtMost+1, sent{after: pause, entry: "e", started: 1}), false, ""},
		{"more from another entry", series(probesAtMost+1, sent{after: 2 * applySlack, entry: "f", started: 1}), false, ""},
		{"more to another incarnation", series(probesAtMost+1, sent{after: 2 * applySlack, entry: "e", started: 2}), false, ""},
	} {
		l := newLedger()
		l.disturbed = func(string, string, time.Time, time.Time) bool { return test.disturbed }
		for i, s := range test.sent {
			attempt, at := fmt.Sprint("a", i), now.Add(s.after)
			a := standin.Arrival{Attempt: attempt, Server: "i", Started: s.started, At: at, Leaving: s.leaving}
			if s.held > 0 {
				a.Held = at.Add(s.held)
			}
			l.arrived(a)
			l.answered(call{attempt: attempt, entry: s.entry, lifetime: 1, status: 200, whole: true, sent: at, ended: at.Add(time.Millisecond)})
		}
		requireFinding(t, l, test.find, test.name)
	}
}

// Requests of all processes together to a server that states a rate limit.
func TestCheckersOfRateLimits(t *testing.T) {
	now := time.Now()
	type sent struct {
		after time.Duration
		entry string
		limit string
	}
	// Requests of two entries at an interval, from the first response with the limit on.
	series := func(limit string, from, until, interval time.Duration) []sent {
		var list []sent
		for at := from; at < until; at += interval {
			list = append(list, sent{at, fmt.Sprint("e", len(list)%2), limit})
		}
		return list
	}
	const end = 12 * time.Second
	for _, test := range []struct {
		name      string
		sent      []sent
		disturbed bool
		find      string
	}{
		{"within the limit", series("2", 0, end, 500*time.Millisecond), false, ""},
		{"within the slack", series("2", 0, end, 280*time.Millisecond), false, ""},
		{"above the limit", series("2", 0, end, 200*time.Millisecond), false, "rate limit"},
		{"above the limit, each entry by itself below it", series("4", 0, end, 130*time.Millisecond), false, "rate limit"},
		{"above the limit just after it was stated", series("2", 0, limitGrace, 50*time.Millisecond), false, ""},
		{"above no limit", series("", 0, end, 20*time.Millisecond), false, ""},
		{"above an absurd limit", series("-1", 0, end, 20*time.Millisecond), false, ""},
		{"above a limit of none", series("0", 0, end, 500*time.Millisecond), false, "rate limit"},
		{"the same, over a disturbed way", series("0", 0, end, 500*time.Millisecond), true, ""},
		{"after it was lifted", append(series("2", 0, 5*time.Second, time.Second), series("", 5*time.Second, end, 20*time.Millisecond)...), false, ""},
	} {
		l := newLedger()
		l.disturbed = func(string, string, time.Time, time.Time) bool { return test.disturbed }
		for i, s := range test.sent {
			attempt, at := fmt.Sprint("a", i), now.Add(s.after)
			l.arrived(standin.Arrival{Attempt: attempt, Server: "i", Started: 1, At: at, RateLimit: s.limit})
			l.answered(call{attempt: attempt, entry: s.entry, lifetime: 1, status: 200, whole: true, sent: at, ended: at.Add(time.Millisecond)})
		}
		requireFinding(t, l, test.find, test.name)
	}
}

// The peak of a process's memory, in bytes.
func TestParsePeak(t *testing.T) {
	peak, err := parsePeak([]byte("Name:\tx\nVmPeak:\t 900 kB\nVmHWM:\t   12 kB\n"))
	require.NoError(t, err)
	require.EqualValues(t, 12<<10, peak)
	for _, text := range []string{"", "VmHWM:\t kB\n", "VmHWM\n"} {
		_, err := parsePeak([]byte(text))
		require.Error(t, err, text)
	}
}

// The plan follows from the seed, and has every kind of fault.
func TestPlan(t *testing.T) {
	const duration = 10 * time.Second
	require.Equal(t, Plan(7, duration), Plan(7, duration))
	require.NotEqual(t, Plan(7, duration), Plan(8, duration))
	seen := make(map[Kind]bool)
	for seed := range uint64(40) {
		for _, f := range Plan(seed, duration) {
			seen[f.Kind] = true
			require.Less(t, f.At, duration)
		}
	}
	require.Len(t, seen, len(kindNames))
	require.Len(t, kindWeights, len(kindNames)-8, "rate limits, deadly parts, restarts, the two in which requests wait, changes in series, returns of the store and streams that end at their time left have plans of their own")
}

// A plan that fails by two of its faults is reduced to these.
func TestMinimize(t *testing.T) {
	plan := Plan(7, 20*time.Second)
	first, second := plan[1], plan[len(plan)-2]
	plays := 0
	fails := func(p []Fault) bool {
		plays++
		found := 0
		for _, f := range p {
			if f == first || f == second {
				found++
			}
		}
		return found == 2
	}
	require.Equal(t, []Fault{first, second}, Minimize(plan, 200, fails))
	require.Less(t, plays, 120)
	plays = 0
	require.Contains(t, Minimize(plan, 5, fails), first)
	require.Equal(t, 5, plays)
}

// One command shows what the processes wrote of a request, and what the soak did near it.
func TestExplain(t *testing.T) {
	lines, err := Explain("testdata/explain", "s1-7")
	require.NoError(t, err)
	require.Equal(t, []string{
		"soak: 10:00:01.000       1s  kill agent-1-1",
		`{"time":"2026-12-04T10:00:02.5Z","msg":"fleetAttemptFailed","request":"s1-7"}`,
		`{"time":"2026-12-04T10:00:02.7Z","msg":"fleetRequestEnded","request":"s1-7"}`,
		"VIOLATION not run: s1-7 was answered 503 and ran at i",
		`cause: ended with the outcome "": `,
	}, lines)
}

// A short run with fixed seeds. A seed that ever failed stays here, with a line on
// its cause.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "primrosetally-fleet")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/primrosetally-fleet").CombinedOutput()
	require.NoError(t, err, string(output))
	for _, test := range []struct {
		seed      uint64
		duration  time.Duration
		processes int
	}{
		{1, 6 * time.Second, 8},
	} {
		report, err := Run(t.Context(), binary, WithSeed(test.seed), WithDuration(test.duration),
			WithProcesses(test.processes), WithNetwork(61), WithLogs(t.TempDir()))
		require.NoError(t, err)
		require.Empty(t, report.Violations, strings.Join(report.Schedule, "\n"))
		require.Positive(t, report.Served)
	}
}

// The mutants still fit the code: a patch that does not would find nothing.
func TestMutantsApply(t *testing.T) {
	patches, err := filepath.Glob("testdata/mutants/*.patch")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(patches), 10)
	for _, p := range patches {
		absolute, err := filepath.Abs(p)
		require.NoError(t, err)
		check := exec.Command("git", "apply", "--check", absolute)
		check.Dir = "../.."
		output, err := check.CombinedOutput()
		require.NoError(t, err, "%s: %s", p, output)
	}
}
