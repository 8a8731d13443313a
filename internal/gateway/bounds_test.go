package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/retry"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
)

// The reserve of retries is for all entries together. Entries that start together know
// few of the others at first.
func TestRetryReserveHoldsWhileEntriesStart(t *testing.T) {
	const (
		entries = 148
		reserve = 60
	)
	f := newSimFleet(7, 0, 1, 0.1)
	f.options = []Option{WithRetries(0, reserve)}
	for i := range entries {
		f.start(i, 0.1)
	}
	retries := 0
	for range 20 {
		f.run(500 * time.Millisecond)
		for _, e := range f.entries {
			s := e.trafficOf("s").budget.Start(retry.WithIdempotent(true))
			for s.Decide(retry.MayHaveRun(), time.Minute).Kind() == retry.Retry {
				retries++
			}
		}
	}
	t.Logf("%d retries", retries)
	require.LessOrEqual(t, retries, reserve, "the requests of this test are few")
}

// A request under which endpoints crashed, one at each of three entries, is refused by all
// entries soon, also those of other regions, which get a broadcast every nine seconds only.
func TestPoisonousRequestIsKnownToAllEntriesSoon(t *testing.T) {
	f := newSimFleet(8, 148, 3, 0.1)
	f.run(10 * time.Second)
	r := suspects.NewRequest(7, nil)
	for i, n := range []int{20, 60, 100} {
		f.entries[n].crash(suspects.Incarnation{Endpoint: uint32(i), Started: 1}, r)
		f.run(300 * time.Millisecond)
	}
	known := 0
	for _, e := range f.entries {
		if e.traffic.suspects.Check(f.now, r).Kind() == suspects.Quarantined {
			known++
		}
	}
	require.Equal(t, len(f.entries), known)
}

// The quotas that entries grant themselves at an endpoint which several of them use come
// to no more than its free slots, whatever each knows of the others.
func TestQuotasOfAllEntriesFitFreeSlots(t *testing.T) {
	const slots = 64
	for _, entries := range []int{1, 8, 148} {
		granted := 0
		for range entries {
			p := placement.New(placement.WithRandom(func() float64 { return 0 }))
			p.SetEndpoints(0, []placement.Candidate{{ID: "e", Slots: slots, SameRegion: true}})
			p.GrantQuota(0, placement.EntryCounts{SameRegion: entries}, true)
			for {
				d := <-p.Submit(0, placement.Request{Deadline: time.Nanosecond}).Decision()
				if !d.Placed() {
					break
				}
				granted++
			}
		}
		require.LessOrEqual(t, granted, slots, "%d entries", entries)
	}
}

// What reports of crashes cost: three crashes that ten entries see, of ten attempts with
// three parts each, then an answer that clears their parts.
func TestCrashReportsGrowth(t *testing.T) {
	for _, entries := range []int{30, 100, 300} {
		f := newSimFleet(9, entries, 3, 0.01)
		f.run(4 * time.Second)
		f.bytes, f.messages, f.processing = 0, 0, 0
		f.mostOfEntry()
		for n := range 3 {
			for i := range 10 {
				parts := []suspects.Key{1, suspects.Key(1000 + 100*n + i), 3}
				f.entries[(n*10+i)%entries].crash(suspects.Incarnation{Endpoint: uint32(n), Started: 1}, suspects.NewRequest(suspects.Key(n*100+i), parts))
			}
			f.run(300 * time.Millisecond)
		}
		known := 0
		for _, e := range f.entries {
			known += e.traffic.suspects.Quarantines()
		}
		require.GreaterOrEqual(t, known, entries)
		f.entries[0].traffic.suspects.Survived(f.now, suspects.NewRequest(9, []suspects.Key{1, 3}), f.now-time.Millisecond)
		f.run(time.Second)
		for _, e := range f.entries {
			require.Zero(t, e.traffic.suspects.Quarantines())
		}
		perEntry := f.bytes / entries
		t.Logf("%d entries: %d messages, %d bytes an entry, %s of processor time in all, %s at most at one entry", entries, f.messages, perEntry, f.processing, f.mostOfEntry())
		require.LessOrEqual(t, perEntry, 2*3*10*maxCrashReportBytes+maxCrashReportBytes*entries, "reports are received from those that saw a crash, twice")
	}
}

// maxCrashReportBytes is the size of a report in this test.
const maxCrashReportBytes = 400
