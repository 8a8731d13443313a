package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/quota"
)

func TestDbg(t *testing.T) {
	for _, n := range []int{0, 4, 8, 12} {
		for _, rate := range []float64{8, 14, 17, 22} {
			f := newSimFleet(1, 8, 19, rate)
			f.work = time.Second
			f.run(4 * time.Second)
			for i := range n {
				f.endpoints[i].limit = quota.NewLimit(1.5)
			}
			f.run(6 * time.Second)
			var lim, unl, answered, refused int
			for _, s := range f.endpoints {
				answered -= len(s.arrivals)
			}
			for _, e := range f.entries {
				refused -= len(e.refusals)
			}
			from := f.now
			f.run(20 * time.Second)
			for i, s := range f.endpoints {
				answered += len(s.arrivals)
				if i < n {
					lim += s.between(from, f.now)
				} else {
					unl += s.between(from, f.now)
				}
			}
			for _, e := range f.entries {
				refused += len(e.refusals)
			}
			ideal := min(8*rate, float64(19-n)*16+float64(n)*1.5)
			t.Log(fmt.Sprintf("limited %d, demand %.0f: %.1f/s of ideal %.1f (limited %.1f of %.1f, others %.1f of %d) refused %.1f", n, 8*rate, float64(answered)/20, ideal, float64(lim)/20, float64(n)*1.5, float64(unl)/20, (19-n)*16, float64(refused)/20))
		}
	}
}
