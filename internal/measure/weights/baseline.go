package weights

import (
	"math"
	"time"
)

// bound is the time to compare with: the larger of that over the slowest single link
// into a region and over the link of an instance, plus one chunk time a hop. Where
// several links lead into a region an exchange can be quicker.
// The hops are the fewest possible: from the origin into the region and on.
func bound(p Place, chunk float64) time.Duration {
	slowest := InstanceRate
	if len(p.regions) > 1 {
		slowest = min(slowest, p.regionRate)
	}
	hops := 2.0
	return seconds(ModelSize/slowest + hops*chunk/InstanceRate)
}

// boundAllLinks counts all links into a region at once, which an exchange between
// the regions can use; it is never above bound.
func boundAllLinks(p Place, chunk float64) time.Duration {
	into := math.Inf(1)
	if len(p.regions) > 1 {
		into = p.regionRate * float64(len(p.regions)-1)
	}
	return seconds(ModelSize/min(into, InstanceRate) + 2*chunk/InstanceRate)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// allFromOrigin measures the first baseline: each replica draws a whole copy from
// the origin.
func allFromOrigin(p Place, n int) Result {
	w := newNetwork(p, n)
	b := newBaseline(p, n, systemOrigin, w)
	for i := range n {
		b.copyWhole(-1, i, nil)
	}
	return b.run()
}

// binaryTree measures the second baseline: a binary tree of whole copies in each
// region, whose root draws from the origin.
func binaryTree(p Place, n int) Result {
	w := newNetwork(p, n)
	b := newBaseline(p, n, systemTree, w)
	regions := len(p.regions)
	var hand func(i int)
	hand = func(i int) {
		position := i / regions
		for _, child := range []int{2*position + 1, 2*position + 2} {
			if next := child*regions + i%regions; next < n {
				b.copyWhole(i, next, hand)
			}
		}
	}
	for region := range min(regions, n) {
		b.copyWhole(-1, region, hand)
	}
	return b.run()
}

// baseline drives whole-copy transfers from completion to completion.
type baseline struct {
	place  Place
	net    *network
	now    float64
	result Result
	sent   []float64
	times  []time.Duration
}

func newBaseline(p Place, n int, system string, w *network) *baseline {
	return &baseline{
		place: p, net: w, sent: make([]float64, n),
		result: Result{Place: p.name, System: system, Replicas: n},
	}
}

func (b *baseline) copyWhole(from, to int, then func(i int)) {
	f := &flow{links: b.net.path(b.place, from, to), remaining: ModelSize}
	f.done = func() {
		b.times = append(b.times, seconds(b.now))
		if from < 0 {
			b.result.OriginCopies++
		} else {
			b.sent[from]++
		}
		if then != nil {
			then(to)
		}
	}
	b.net.start(f)
}

// roundingBytes is below which a transfer counts as complete.
const roundingBytes = 1

func (b *baseline) run() Result {
	for len(b.net.flows) > 0 {
		step := b.net.nextCompletion()
		b.now += step
		b.net.advance(step)
		for _, f := range append([]*flow(nil), b.net.flows...) {
			if f.remaining < roundingBytes {
				b.net.stop(f)
				f.done()
			}
		}
	}
	b.result.setTimes(b.place, b.times)
	for _, copies := range b.sent {
		b.result.MaxUploadCopies = max(b.result.MaxUploadCopies, copies)
	}
	return b.result
}
