package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Times of changes in series.
const (
	changesGap = 6 * time.Second // mean time between two series of a plan
	// changeInterval is the mean time between two changes of a series, and reloadEvery of them
	// comes with the reload of an entry.
	changeInterval = 400 * time.Millisecond
	reloadEvery    = 4
	// mostTogether bounds the changes that are sent beside each other.
	mostTogether = 3
)

// changesPlan returns the series of changes of the configuration and the streams that end at
// their time left. They have a source of random numbers of their own.
func changesPlan(seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 7))
	var plan []Fault
	add := func(kind Kind, gap time.Duration) {
		for at := time.Duration(random.Float64() * float64(duration)); at < duration; at += time.Duration(random.ExpFloat64() * float64(gap)) {
			f := Fault{At: at, Kind: kind, Length: time.Duration(random.Float64() * float64(longestFault))}
			for i := range f.Draws {
				f.Draws[i] = random.Uint64()
			}
			plan = append(plan, f)
		}
	}
	add(ChangeInSeries, changesGap)
	add(EndStreamsAtTimeLeft, endsGap)
	return plan
}

// changeInSeries changes the configuration again and again, also several times at once, and
// reloads entries, until ctx ends.
func (r *run) changeInSeries(ctx context.Context, random *rand.Rand) {
	entries := r.entryMachines()
	for n := 1; ; n++ {
		if !paused(ctx, time.Duration(random.ExpFloat64()*float64(changeInterval))) {
			return
		}
		var kinds []standin.Change
		for range 1 + random.IntN(mostTogether) {
			kinds = append(kinds, standin.Change(random.IntN(int(standin.Changes))))
		}
		r.change(kinds)
		if n%reloadEvery == 0 {
			m := entries[random.IntN(len(entries))]
			r.note("hang up %s", m.Name)
			m.signal(syscall.SIGHUP)
		}
	}
}

// change makes changes of the configuration at once.
func (r *run) change(kinds []standin.Change) {
	r.note("the configuration changes: %v", slices.Compact(kinds))
	r.ledger.planned.changed()
	for _, k := range kinds {
		r.deployment.Change(k)
	}
}
