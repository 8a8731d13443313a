package gateway

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// rateWindow is the time constant over which the request rate is averaged. Callers
// cache the addresses that depend on the rate for some seconds.
const rateWindow = 5 * time.Second

// rateMeter measures requests per second. It is safe for concurrent use.
type rateMeter struct {
	count atomic.Int64
	bits  atomic.Uint64 // bits of the rate as a float64

	mu         sync.Mutex
	counted    int64 // value of count at the last call of advance
	advancedAt time.Duration
}

func (r *rateMeter) value() float64 { return math.Float64frombits(r.bits.Load()) }

// advance updates the rate with the requests since the previous call.
func (r *rateMeter) advance(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := now - r.advancedAt
	if since <= 0 {
		return
	}
	count := r.count.Load()
	weight := min(since.Seconds()/rateWindow.Seconds(), 1)
	recent := float64(count-r.counted) / since.Seconds()
	r.bits.Store(math.Float64bits(r.value() + weight*(recent-r.value())))
	r.counted = count
	r.advancedAt = now
}
