package gateway

import (
	"math"
	"sync/atomic"
	"time"
)

// rateMemory is the time over which the rate of requests is averaged: callers keep
// the addresses that follow from it for some seconds.
const rateMemory = 5 * time.Second

// rateMeter measures requests a second. Count and value are for any goroutine,
// advance for one.
type rateMeter struct {
	count    atomic.Int64
	bits     atomic.Uint64 // of the rate
	taken    int64         // of the count
	advanced time.Duration
}

func (r *rateMeter) value() float64 { return math.Float64frombits(r.bits.Load()) }

// advance takes the requests since the call before into the rate.
func (r *rateMeter) advance(now time.Duration) {
	since := now - r.advanced
	if since <= 0 {
		return
	}
	count := r.count.Load()
	weight := min(since.Seconds()/rateMemory.Seconds(), 1)
	recent := float64(count-r.taken) / since.Seconds()
	r.bits.Store(math.Float64bits(r.value() + weight*(recent-r.value())))
	r.taken = count
	r.advanced = now
}
