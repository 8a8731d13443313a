package suspects

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// request returns a request whose whole key follows from its name.
func request(name string, parts ...string) Request {
	var keys []Key
	for _, p := range parts {
		keys = append(keys, PartKey("s", p))
	}
	return NewRequest(keyOf(name), keys)
}

// evidenceStep is something that an entry sees. Each crash is of another endpoint.
type evidenceStep struct {
	at      time.Duration
	crashed []Attempt
	sound   Request       // whose answer began at the time begun and is complete
	begun   time.Duration // 0 if the endpoint crashed
}

func crashed(at time.Duration, attempts ...Attempt) evidenceStep {
	return evidenceStep{at: at, crashed: attempts}
}

func sound(at, begun time.Duration, r Request) evidenceStep {
	return evidenceStep{at: at, begun: begun, sound: r}
}

func begun(name string, parts ...string) Attempt {
	return Attempt{Request: request(name, parts...), Progress: Begun}
}

func queued(name string, parts ...string) Attempt {
	return Attempt{Request: request(name, parts...), Progress: Queued}
}

func answering(name string, parts ...string) Attempt {
	return Attempt{Request: request(name, parts...), Progress: Answering}
}

// play records steps.
func (e *Evidence) play(steps []evidenceStep) {
	for i, s := range steps {
		if s.begun > 0 {
			e.Survived(s.at, s.sound, s.begun)
			continue
		}
		endpoint := Incarnation{Endpoint: uint32(i), Started: 1}
		for _, a := range s.crashed {
			e.Break(s.at, endpoint, a)
		}
		e.Confirm(s.at, endpoint)
	}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func TestDecisions(t *testing.T) {
	deadly := func(at time.Duration, n int) evidenceStep {
		return crashed(at, begun(fmt.Sprint("r", n), "first", "deadly"))
	}
	three := []evidenceStep{deadly(seconds(1), 1), deadly(seconds(2), 2), deadly(seconds(3), 3)}
	after := func(steps []evidenceStep, more ...evidenceStep) []evidenceStep {
		return append(slices.Clone(steps), more...)
	}
	both, first, other := request("n1", "first", "deadly"), request("n2", "first"), request("n3", "other", "deadly")
	for _, test := range []struct {
		name    string
		steps   []evidenceStep
		refused []Request
		allowed []Request
	}{
		{"nothing", nil, nil, []Request{both, first, other}},
		{"two crashes", three[:2], nil, []Request{both, first, other}},
		{"three crashes: what all had in common", three, []Request{both}, []Request{first, other}},
		{"three crashes at the same time", []evidenceStep{deadly(seconds(1), 1), deadly(seconds(1.05), 2), deadly(seconds(1.1), 3)}, nil, []Request{both}},
		{"another part was answered since", after(three, sound(seconds(4), seconds(3.5), first)), []Request{both, other}, []Request{first}},
		{
			"another part was answered at the first crash", after(three, sound(seconds(4), seconds(1.5), first)),
			[]Request{both, other},
			[]Request{first},
		},
		{"other parts differ", after(three, crashed(seconds(5.5), begun("r4", "third", "deadly"))), []Request{both, other}, []Request{first}},
		{"an answer that began before the crashes", after(three, sound(seconds(4), seconds(0.5), both)), []Request{both}, nil},
		{"an answer that began after the crashes", after(three, sound(seconds(4), seconds(3.5), both)), nil, []Request{both, other}},
		{"a part that was sound for long", after([]evidenceStep{sound(seconds(0.9), seconds(0.2), both)}, three...), []Request{both}, []Request{first}},
		{"an answer before each crash", []evidenceStep{
			deadly(seconds(1), 1), sound(seconds(1.9), seconds(1.2), both), deadly(seconds(2), 2), sound(seconds(2.9), seconds(2.2), both), deadly(seconds(3), 3),
		}, nil, []Request{both}},
		{"queued beside an answer that begins", []evidenceStep{
			crashed(seconds(1), begun("r1", "deadly"), queued("q1", "frequent")), crashed(seconds(2), begun("r2", "deadly"), queued("q2", "frequent")),
			crashed(seconds(3), queued("q3", "frequent"), begun("r3", "deadly")), crashed(seconds(4), begun("r4", "deadly"), answering("q4", "frequent")),
		}, []Request{request("n", "deadly")}, []Request{request("n", "frequent")}},
		{"the first events were sent", []evidenceStep{
			crashed(seconds(1), answering("r1", "deadly"), queued("q1", "frequent")), crashed(seconds(2), answering("r2", "deadly"), queued("q2", "frequent")),
			crashed(seconds(3), answering("r3", "deadly")),
		}, []Request{request("n", "deadly")}, []Request{request("n", "frequent")}},
		{"crashes before the head of an answer", []evidenceStep{
			crashed(seconds(1), queued("r1", "deadly")), crashed(seconds(2), queued("r2", "deadly")), crashed(seconds(3), queued("r3", "deadly")),
		}, []Request{request("n", "deadly")}, nil},
		{"the same beside answers that begin", []evidenceStep{
			crashed(seconds(1), queued("r1", "deadly"), begun("b1", "a")), crashed(seconds(2), queued("r2", "deadly"), begun("b2", "b")),
			crashed(seconds(3), queued("r3", "deadly"), begun("b3", "c")), crashed(seconds(4), queued("r4", "deadly"), begun("b4", "d")),
			crashed(seconds(5), queued("r5", "deadly"), begun("b5", "e")),
		}, []Request{request("n", "deadly")}, []Request{request("n", "a"), request("n", "e")}},
		{"the same beside answers with a frequent part", []evidenceStep{
			crashed(seconds(1), queued("r1", "deadly"), begun("b1", "frequent")), crashed(seconds(2), queued("r2", "deadly"), begun("b2", "frequent")),
			crashed(seconds(3), queued("r3", "deadly"), begun("b3", "frequent")), crashed(seconds(4), queued("r4", "deadly"), begun("b4", "other")),
		}, []Request{request("n", "deadly")}, []Request{request("n", "frequent"), request("n", "other")}},
		{"a frequent part at the last crashes, of which others explain some", []evidenceStep{
			crashed(seconds(1), begun("r1", "deadly")), crashed(seconds(2), begun("r2", "deadly"), queued("q2", "frequent")),
			crashed(seconds(3), begun("r3", "deadly"), queued("q3", "frequent")), crashed(seconds(4), queued("q4", "frequent")),
			crashed(seconds(5), queued("q5", "frequent"), begun("b5", "other")),
		}, []Request{request("n", "deadly")}, []Request{request("n", "frequent"), request("n", "other")}},
		{"a part at four crashes, and not at a later one", []evidenceStep{
			crashed(seconds(1), queued("q1", "frequent"), begun("b1", "a")), crashed(seconds(2), queued("q2", "frequent"), begun("b2", "b")),
			crashed(seconds(3), queued("q3", "frequent"), begun("b3", "c")), crashed(seconds(4), queued("q4", "frequent"), begun("b4", "d")),
			crashed(seconds(5), begun("b5", "e")),
		}, nil, []Request{request("n", "frequent")}},
		{"one request that is repeated", []evidenceStep{
			crashed(seconds(1), begun("r1", "first")), crashed(seconds(2), begun("r1", "first")), crashed(seconds(3), begun("r1", "first")),
		}, []Request{request("r1", "first")}, []Request{first}},
		{"one request without parts", []evidenceStep{crashed(seconds(1), begun("r1")), crashed(seconds(2), begun("r1")), crashed(seconds(3), begun("r1"))}, []Request{request("r1")}, []Request{request("r2")}},
		{
			"the same, answered since",
			[]evidenceStep{crashed(seconds(1), begun("r1")), crashed(seconds(2), begun("r1")), crashed(seconds(3), begun("r1")), sound(seconds(5), seconds(4), request("r1"))},
			nil,
			[]Request{request("r1")},
		},
		{"two parts with the same first part", []evidenceStep{
			deadly(seconds(1), 1), crashed(seconds(1.5), begun("s1", "first", "second")), deadly(seconds(2), 2), crashed(seconds(2.5), begun("s2", "first", "second")),
			deadly(seconds(3), 3), crashed(seconds(3.5), begun("s3", "first", "second")),
		}, []Request{both, request("n", "first", "second")}, []Request{first}},
		{"a sound request beside each crash, repeated", []evidenceStep{
			crashed(seconds(1), begun("r1", "deadly"), begun("s", "frequent")), crashed(seconds(2), begun("r2", "deadly"), begun("s", "frequent")),
			crashed(seconds(3), begun("r3", "deadly"), begun("s", "frequent")), crashed(seconds(4), begun("r4", "deadly")),
		}, []Request{request("n", "deadly")}, []Request{request("n", "frequent"), request("s", "frequent")}},
		{
			"in all requests of a route",
			[]evidenceStep{crashed(seconds(1), begun("r1", "all")), crashed(seconds(2), begun("r2", "all"), begun("r3", "all")), crashed(seconds(3), begun("r4", "all"))},
			[]Request{request("n", "all")},
			nil,
		},
		{"another's part in the requests of a caller, while it is answered", []evidenceStep{
			crashed(seconds(1), begun("r1", "victim")), sound(seconds(1.8), seconds(1.2), request("v1", "victim")), crashed(seconds(2), begun("r2", "victim")),
			sound(seconds(2.8), seconds(2.2), request("v2", "victim")), crashed(seconds(3), begun("r3", "victim")), crashed(seconds(3.5), begun("r4", "victim")),
		}, nil, []Request{request("n", "victim")}},
		{"the same at another service", three, nil, []Request{NewRequest(1, []Key{PartKey("t", "first"), PartKey("t", "deadly")})}},
	} {
		e := NewEvidence()
		e.play(test.steps)
		for _, r := range test.refused {
			d := e.Check(seconds(6), r)
			require.Equal(t, Quarantined, d.Kind(), "%s: %v", test.name, r)
			require.Positive(t, d.RetryAfter(), test.name)
		}
		for _, r := range test.allowed {
			require.Equal(t, Allowed, e.Check(seconds(6), r).Kind(), "%s: %v", test.name, r)
		}
	}
}

// A quarantine ends when a single request is answered; one that crashes makes it longer.
func TestTrials(t *testing.T) {
	steps := []evidenceStep{
		crashed(seconds(1), begun("r1", "p")), crashed(seconds(2), begun("r2", "p")), crashed(seconds(3), begun("r3", "p")),
	}
	r := request("n", "p")
	end := seconds(3) + firstQuarantine
	e := NewEvidence()
	e.play(steps)
	require.Equal(t, Quarantined, e.Check(end-1, r).Kind())
	require.Equal(t, time.Duration(1), e.Check(end-1, r).RetryAfter())
	require.Equal(t, Trial, e.Check(end, r).Kind())
	require.Equal(t, Quarantined, e.Check(end+1, r).Kind(), "one trial at a time")
	require.Equal(t, Trial, e.Check(end+trialTime, r).Kind(), "the first one gave no result")
	e.Survived(end+seconds(1), r, end)
	require.Equal(t, Allowed, e.Check(end+seconds(1), r).Kind())

	e = NewEvidence()
	e.play(append(steps, crashed(end, begun("r4", "p"))))
	require.Equal(t, Quarantined, e.Check(end+2*firstQuarantine-1, r).Kind())
	require.Equal(t, Trial, e.Check(end+2*firstQuarantine, r).Kind())

	e = NewEvidence(WithTrialRank(func([]Key) int { return 2 }))
	e.play(steps)
	require.Equal(t, Quarantined, e.Check(end+2*trialStagger-1, r).Kind())
	require.Equal(t, Trial, e.Check(end+2*trialStagger, r).Kind())

	require.Equal(t, longestQuarantine, quarantineTime(firstQuarantine, 100))
}

// Two parts that explain the same crashes are both refused, for a short time: the trial of
// one shows that it is sound, or that it is not.
func TestDoubtfulQuarantinesAreShort(t *testing.T) {
	e := NewEvidence()
	e.play([]evidenceStep{
		crashed(seconds(1), begun("r1", "a"), begun("s1", "b")), crashed(seconds(2), begun("r2", "a"), begun("s2", "b")), crashed(seconds(3), begun("r3", "a"), begun("s3", "b")),
	})
	a, b := request("n1", "a"), request("n2", "b")
	require.Equal(t, Quarantined, e.Check(seconds(3.5), a).Kind())
	require.Equal(t, Quarantined, e.Check(seconds(3.5), b).Kind())
	require.Equal(t, Trial, e.Check(seconds(3)+doubtfulQuarantine, b).Kind())
	e.Survived(seconds(5), b, seconds(4.2))
	require.Equal(t, Allowed, e.Check(seconds(5), b).Kind())
	require.Equal(t, Quarantined, e.Check(seconds(5), a).Kind(), "nothing else explains the crashes now")
}

// What is broken off is evidence only if the endpoint is gone.
func TestBreaksAreEvidenceOnceEndpointIsGone(t *testing.T) {
	for _, test := range []struct {
		name    string
		end     func(e *Evidence, i Incarnation)
		crashes int
	}{
		{"it is gone", func(e *Evidence, i Incarnation) { e.Confirm(seconds(1.1), i) }, 1},
		{"it is gone, and was confirmed twice", func(e *Evidence, i Incarnation) { e.Confirm(seconds(1.1), i); e.Confirm(seconds(1.2), i) }, 1},
		{"it is not listed any more", func(e *Evidence, _ Incarnation) {
			e.ConfirmMissing(seconds(2), func(Incarnation) bool { return false })
		}, 1},
		{"it is listed", func(e *Evidence, _ Incarnation) {
			e.ConfirmMissing(seconds(2), func(Incarnation) bool { return true })
		}, 0},
		{"it has answered since", func(e *Evidence, i Incarnation) { e.Refute(i, seconds(1.01)); e.Confirm(seconds(1.1), i) }, 0},
		{"it has answered an earlier request", func(e *Evidence, i Incarnation) { e.Refute(i, seconds(0.9)); e.Confirm(seconds(1.1), i) }, 1},
		{"it was gone long after", func(e *Evidence, i Incarnation) { e.Confirm(seconds(1.1)+breakTime, i) }, 0},
		{"nothing is known", func(e *Evidence, _ Incarnation) { e.Expire(seconds(1.1) + breakTime) }, 0},
		{"another endpoint is gone", func(e *Evidence, _ Incarnation) { e.Confirm(seconds(1.1), Incarnation{Endpoint: 9}) }, 0},
	} {
		e := NewEvidence()
		i := Incarnation{Endpoint: 1, Started: 7}
		require.True(t, e.Break(seconds(1), i, begun("r1", "p")), test.name)
		require.False(t, e.Break(seconds(1), i, begun("r2", "p")), test.name)
		test.end(e, i)
		require.Len(t, e.crashes, test.crashes, test.name)
		e.Break(seconds(1.3), i, queued("r3", "p"))
		if test.crashes > 0 {
			require.Len(t, e.crashes[0].attempts, 3, test.name)
		}
	}
}

// Three entries that see a crash each come to the same decision.
func TestReports(t *testing.T) {
	entries := []*Evidence{NewEvidence(), NewEvidence(), NewEvidence(), NewEvidence()}
	deliver := func(from int, now time.Duration, late time.Duration) {
		report, _ := entries[from].TakeReport(now)
		for i, c := range report.Crashes {
			report.Crashes[i].At = c.At + late
		}
		for i, e := range entries {
			if i != from {
				e.Merge(now, report)
			}
		}
	}
	r := request("n", "p")
	for i := range 3 {
		at := seconds(float64(i + 1))
		entries[i].Break(at, Incarnation{Endpoint: uint32(i)}, begun(fmt.Sprint("r", i), "p"))
		entries[i].Confirm(at, Incarnation{Endpoint: uint32(i)})
		deliver(i, at, 0)
	}
	for i, e := range entries {
		require.Equal(t, Quarantined, e.Check(seconds(3.1), r).Kind(), i)
	}
	entries[3].Survived(seconds(4), r, seconds(3.5))
	deliver(3, seconds(4), 0)
	for i, e := range entries {
		require.Equal(t, Allowed, e.Check(seconds(4.1), r).Kind(), i)
	}
	report, _ := entries[0].TakeReport(seconds(4.2))
	require.NotEmpty(t, report.Crashes, "a message may be lost, so that each crash is reported twice")
	report, next := entries[0].TakeReport(seconds(4.2))
	require.True(t, report.Empty())
	require.Zero(t, next)
}

// An entry that was suspended reads all reports at once. The crashes in them are then still
// as far apart as they were.
func TestCrashTimesInLateReports(t *testing.T) {
	sender, late := NewEvidence(), NewEvidence()
	var reports []Report
	for i := range 3 {
		at := seconds(float64(i + 1))
		sender.Break(at, Incarnation{Endpoint: uint32(i)}, begun(fmt.Sprint("r", i), "p"))
		sender.Confirm(at, Incarnation{Endpoint: uint32(i)})
		report, _ := sender.TakeReport(at)
		for j := range report.Crashes {
			report.Crashes[j].At += seconds(9) - at // the age is that at the sending
		}
		reports = append(reports, report)
	}
	for _, report := range reports {
		late.Merge(seconds(9), report)
	}
	require.Equal(t, Quarantined, late.Check(seconds(9), request("n", "p")).Kind())
}

// An entry that starts gets the evidence of quarantines and nothing else.
func TestSupporting(t *testing.T) {
	e := NewEvidence()
	require.True(t, e.Supporting().Empty())
	e.play([]evidenceStep{crashed(seconds(1), begun("x", "y")), crashed(seconds(2), begun("r1", "p")), crashed(seconds(3), begun("r2", "p")), crashed(seconds(4), begun("r3", "p"))})
	started := NewEvidence()
	started.Merge(seconds(5), e.Supporting())
	started.Merge(seconds(5), e.Supporting()) // a report that arrives twice counts once
	require.Len(t, started.crashes, 3)
	require.Equal(t, Quarantined, started.Check(seconds(5), request("n", "p")).Kind())
}

// Memory is bounded whatever requests and reports bring, and what is in quarantine stays
// there.
func TestEvidenceIsBounded(t *testing.T) {
	e := NewEvidence()
	e.play([]evidenceStep{crashed(seconds(1), begun("r1", "p")), crashed(seconds(2), begun("r2", "p")), crashed(seconds(3), begun("r3", "p"))})
	at := seconds(4)
	parts := func(n int) []string {
		list := make([]string, 100)
		for i := range list {
			list[i] = fmt.Sprint("flood-", n, "-", i)
		}
		return list
	}
	for n := range 500 {
		at += seconds(0.01)
		i := Incarnation{Endpoint: uint32(1000 + n)}
		for k := range 80 {
			e.Break(at, i, Attempt{Request: request(fmt.Sprint(n, "-", k), parts(n%7)...), Progress: Progress(k % 3)})
		}
		e.Confirm(at, i)
		e.Break(at, Incarnation{Endpoint: uint32(5000 + n)}, queued("x", "y")) // never confirmed
	}
	require.LessOrEqual(t, len(e.crashes), maxEvidence)
	require.LessOrEqual(t, len(e.breaks), maxEvidence)
	require.LessOrEqual(t, len(e.keys), maxEvidence*maxAttemptsPerCrash*(maxPartsPerRequest+1))
	for _, c := range e.crashes {
		require.LessOrEqual(t, len(c.attempts), maxAttemptsPerCrash)
		require.LessOrEqual(t, len(c.own), maxOwnAttempts)
	}
	require.Equal(t, Quarantined, e.Check(at, request("n", "p")).Kind())
	e.Expire(at + evidenceTime + time.Second)
	require.Empty(t, e.crashes)
	require.Empty(t, e.breaks)
	require.Equal(t, Allowed, e.Check(at+evidenceTime+time.Second, request("n", "p")).Kind())
	require.Empty(t, e.sound)
}

// Requests that wait learn of a new quarantine at once.
func TestChanged(t *testing.T) {
	e := NewEvidence()
	changed := e.Changed()
	e.play([]evidenceStep{crashed(seconds(1), begun("r1", "p")), crashed(seconds(2), begun("r2", "p"))})
	select {
	case <-changed:
		t.Fatal("there is no quarantine yet")
	default:
	}
	i := Incarnation{Endpoint: 77}
	e.Break(seconds(3), i, begun("r3", "p"))
	e.Confirm(seconds(3), i)
	<-changed
	require.Equal(t, 1, e.Quarantines())
}
