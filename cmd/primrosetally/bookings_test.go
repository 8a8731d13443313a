package main_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

const (
	bookers        = 6
	bookingsEach   = 8
	bookingRepeats = 4
	workMS         = 30
)

// booking is one key with the answers that its caller got, in their order.
type booking struct {
	key      string
	outcomes []string
	runs     []uint64 // numbers of the runs that the answers name
}

// A booking runs at most once though its caller repeats it with the same key
// through other entries, and nobody is told "not run" of a booking that ran.
func TestBookingsRunAtMostOnce(t *testing.T) {
	d := newDeployment(t)
	d.submit(t, d.publish(t, "1"), "1", 0)
	faults := []struct {
		name string
		set  func(t *testing.T)
		end  func(t *testing.T)
	}{
		{"none", func(*testing.T) {}, func(*testing.T) {}},
		{
			"answers of the service lost",
			func(t *testing.T) { control(t, d.plain, `{"loseAnswers":10}`) },
			func(t *testing.T) { control(t, d.plain, `{"loseAnswers":0}`) },
		},
		{
			"service crashes before the run",
			func(t *testing.T) { control(t, d.plain, `{"crashPhase":"before","crashes":3}`) },
			func(t *testing.T) { control(t, d.plain, `{"crashPhase":"before","crashes":0}`) },
		},
		{
			"service crashes during the run",
			func(t *testing.T) { control(t, d.plain, `{"crashPhase":"during","crashes":3}`) },
			func(t *testing.T) { control(t, d.plain, `{"crashPhase":"during","crashes":0}`) },
		},
		{
			"service crashes after the run",
			func(t *testing.T) { control(t, d.plain, `{"crashPhase":"after","crashes":3}`) },
			func(t *testing.T) { control(t, d.plain, `{"crashPhase":"after","crashes":0}`) },
		},
		{
			"answers of the table service lost",
			func(t *testing.T) { control(t, d.tables, `{"loseAnswers":30}`) },
			func(t *testing.T) { control(t, d.tables, `{"loseAnswers":0}`) },
		},
		{
			"table service down",
			func(t *testing.T) { control(t, d.tables, `{"outage":true}`) },
			func(t *testing.T) { control(t, d.tables, `{"outage":false}`) },
		},
		{
			"entry killed under its bookings",
			func(t *testing.T) { d.waitRuns(t, 1); d.entries[0].kill(t) },
			func(t *testing.T) { d.entries[0] = d.startEntry(t, 0) },
		},
		{
			"agent killed under its bookings",
			func(t *testing.T) { d.waitRuns(t, 1); d.agents[3].kill(t) },
			func(t *testing.T) { d.agents[3] = d.startAgent(t, 3, plainService, d.plain) },
		},
	}
	control(t, d.plain, fmt.Sprintf(`{"workMs":%d}`, workMS))
	for i, tt := range faults {
		d.waitBookable(t, tt.name)
		var running conc.WaitGroup
		booked := make([][]booking, bookers)
		for b := range bookers {
			running.Go(func() { booked[b] = d.book(rand.New(rand.NewPCG(uint64(i), uint64(b))), fmt.Sprintf("%dx%d", i, b)) })
		}
		tt.set(t)
		running.Wait()
		tt.end(t)
		runs := d.runs(t)
		seen := map[string]int{}
		for _, list := range booked {
			for _, k := range list {
				last := k.outcomes[len(k.outcomes)-1]
				seen[last]++
				checkBooking(t, tt.name, k, last, runs.ByKey[k.key])
			}
		}
		t.Logf("%s: last outcomes %v", tt.name, seen)
	}
}

func checkBooking(t *testing.T, fault string, k booking, last string, runs uint64) {
	t.Helper()
	require.LessOrEqual(t, runs, uint64(1), "%s: runs of %s, outcomes %v", fault, k.key, k.outcomes)
	switch last {
	case entry.OutcomeAnswered:
		require.Equal(t, uint64(1), runs, "%s: runs of %s, outcomes %v", fault, k.key, k.outcomes)
	case entry.OutcomeNotRun:
		require.Zero(t, runs, "%s: runs of %s, outcomes %v", fault, k.key, k.outcomes)
	}
	for _, n := range k.runs {
		require.Equal(t, k.runs[0], n, "%s: two answers to %s name different runs", fault, k.key)
	}
}

// book makes bookings one after another, each repeated through entries taken at
// random; the last repeat follows an answer too, which must be the same.
func (d *deployment) book(random *rand.Rand, tag string) []booking {
	var list []booking
	for i := range bookingsEach {
		k := booking{key: fmt.Sprintf("%d-%sx%d", time.Now().UnixMilli(), tag, i)}
		c := &callers{deployment: d, client: &http.Client{Timeout: requestTimeout}, outcomes: map[string]int{}}
		for range bookingRepeats {
			base := d.base(random.IntN(len(d.entries)))
			outcome, data := c.send(base+plainService+"/bookings", []byte("booking "+k.key), k.key)
			k.outcomes = append(k.outcomes, outcome)
			var got standin.PlainAnswer
			if outcome != entry.OutcomeAnswered {
				continue
			}
			if json.Unmarshal(data, &got) != nil || got.Body != digest.Of([]byte("booking "+k.key)) {
				panic("wrong answer to " + k.key + ": " + string(data))
			}
			k.runs = append(k.runs, got.Run)
		}
		list = append(list, k)
	}
	return list
}

func (d *deployment) runs(t *testing.T) standin.RunCounts {
	t.Helper()
	answer, err := http.Get(d.plain + standin.PathRuns)
	require.NoError(t, err)
	defer answer.Body.Close()
	var runs standin.RunCounts
	require.NoError(t, json.NewDecoder(answer.Body).Decode(&runs))
	return runs
}

// waitRuns waits until n more runs have begun.
func (d *deployment) waitRuns(t *testing.T, n uint64) {
	t.Helper()
	before := d.runs(t).Total
	waitFor(t, "runs begin", func() bool { return d.runs(t).Total >= before+n })
}

// waitBookable waits until every entry gets a booking answered.
func (d *deployment) waitBookable(t *testing.T, fault string) {
	t.Helper()
	c := &callers{deployment: d, client: &http.Client{Timeout: requestTimeout}, outcomes: map[string]int{}}
	for i := range d.entries {
		n := 0
		waitFor(t, fmt.Sprintf("entry %d books before fault %q", i+1, fault), func() bool {
			n++
			key := fmt.Sprintf("%d-wait%dx%d", time.Now().UnixMilli(), i, n)
			outcome, _ := c.send(d.base(i)+plainService+"/bookings", []byte(key), key)
			return outcome == entry.OutcomeAnswered
		})
	}
}

// kill ends the process as a crash would.
func (p *proc) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.ended
}
