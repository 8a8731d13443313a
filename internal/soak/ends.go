package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Times of streams that end at their time left, around the bound of a version.
const (
	endsGap = 12 * time.Second // mean time between two such faults of a plan
	// streamTime is how long the streams last, so that several are in progress when the bound
	// of a version ends, and manyInterval between two that are sent beside those of the callers.
	streamTime   = 1600 * time.Millisecond
	manyInterval = 60 * time.Millisecond
	// nearEnd is how far from the end of its time left a stream ends whole at most.
	nearEnd = 45 * time.Millisecond
	// spentLead is how long before the bound engines begin to refuse requests, which uses up
	// the retry budget, and stopLead how long before it an entry is stopped.
	spentLead = 2500 * time.Millisecond
	stopLead  = 900 * time.Millisecond
)

// outdatedShare of the engines do not get the weights of the version before its bound.
const outdatedShare = 0.5

// ends is one fault in which streams end at their time left.
type ends struct {
	random   *rand.Rand
	endings  []func() standin.Ending // drawn for each stream
	outdated []string                // engines that do not get the new weights in time
	spent    bool                    // the retry budget is used up before
	changes  bool                    // the configuration changes all the while
	stopped  *machine                // entry that is stopped before the bound, nil for none
}

// drawEnds draws a fault.
func (r *run) drawEnds(f Fault) ends {
	random := rand.New(rand.NewPCG(f.Draws[0], f.Draws[1]))
	e := ends{random: random, endings: r.endings(), spent: random.IntN(3) == 0, changes: random.IntN(2) == 0}
	first := random.IntN(len(r.engines))
	for i, id := range r.engines {
		if drawn := random.Float64() < outdatedShare; drawn || i == first {
			e.outdated = append(e.outdated, id)
		}
	}
	return e
}

// endings returns the ways in which streams end: broken off, whole shortly before or after the
// end of the time left, or in good order and not complete.
func (r *run) endings() []func() standin.Ending {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(r.seed, 8))
	near := func() standin.Ending {
		mu.Lock()
		defer mu.Unlock()
		return standin.EndWhole(time.Duration((2*random.Float64() - 1) * float64(nearEnd)))
	}
	cut := func() standin.Ending { return standin.Ending{} }
	return []func() standin.Ending{near, near, cut, standin.EndInOrder}
}

// playEnds carries out a fault, from the naming of its version until its bound has ended.
func (r *run) playEnds(ctx context.Context, e ends) int64 {
	r.note("streams last %s and end at their time left; without new weights: %v, budget used up: %t", streamTime, e.outdated, e.spent)
	defer r.styleStreams(e)()
	version := r.nameWeights()
	named := time.Now()
	until := func(lead time.Duration) { pause(ctx, time.Until(named.Add(versionBound-lead))) }
	defer r.startStreams(ctx, manyInterval)()
	defer r.startChanges(ctx, e)()
	until(spentLead)
	if e.spent {
		defer r.refuseThird()()
	}
	until(stopLead)
	if e.stopped != nil {
		r.note("terminate %s", e.stopped.Name)
		e.stopped.signal(syscall.SIGTERM)
	}
	until(-boundSlack)
	return version
}

// styleStreams lets all engines make such streams and keeps weights from some of them; the
// function returned ends that.
func (r *run) styleStreams(e ends) (restore func()) {
	var mu sync.Mutex
	draw := func(string, time.Time) standin.Ending {
		mu.Lock()
		defer mu.Unlock()
		return e.endings[e.random.IntN(len(e.endings))]()
	}
	for _, id := range r.engines {
		r.deployment.Servers[id].SetStreams(streamTime, draw)
	}
	for _, id := range e.outdated {
		r.deployment.Servers[id].DelayCalls(standin.CallStageWrite)
	}
	return func() {
		for _, id := range r.engines {
			r.deployment.Servers[id].SetStreams(0, nil)
		}
		for _, id := range e.outdated {
			r.deployment.Servers[id].ReleaseCalls(false)
		}
	}
}

// startChanges changes the configuration in series if the fault says so; the function returned
// ends that.
func (r *run) startChanges(ctx context.Context, e ends) (end func()) {
	if !e.changes {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	random := rand.New(rand.NewPCG(r.seed, 9))
	go func() {
		defer close(ended)
		r.changeInSeries(ctx, random)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// refuseThird lets all engines refuse a third of the requests; the function returned ends that.
func (r *run) refuseThird() (end func()) {
	r.note("engines refuse a third of the requests")
	for _, id := range r.engines {
		r.deployment.Servers[id].SetBroken(everyThird(standin.BreakRefuse))
	}
	return func() {
		for _, id := range r.engines {
			r.deployment.Servers[id].SetBroken(whole)
		}
	}
}

// checkEnds lets streams end at their time left without any unplanned fault: first while the
// configuration changes and entries reload and stop, then with the retry budget used up.
func (r *run) checkEnds(ctx context.Context) {
	if r.withoutWaits {
		return
	}
	staying := r.engines[:len(r.engines)-1] // the last one leaves
	outdated := staying[:max(len(staying)-1, 1)]
	entries, endings := r.entryMachines(), r.endings()
	random := rand.New(rand.NewPCG(r.seed, 10))
	for _, e := range []ends{
		{random: random, endings: endings, outdated: outdated, changes: true, stopped: entries[random.IntN(len(entries))]},
		{random: random, endings: slices.Clone(endings[:3]), outdated: outdated, spent: true},
	} {
		version := r.playEnds(ctx, e)
		r.ledger.namedInCalm(version)
		r.awaitLoaded(ctx, staying, version)
	}
}
