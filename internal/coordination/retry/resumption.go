package retry

import "time"

// A stream that its own entry ends goes on at another endpoint. The entry knows beforehand
// that it may have to, so that it ends no more streams than can go on: the budget promises a
// resumption when an attempt is sent. Resumptions are paid for by what the operators allow
// and retries have left, not by the tokens of these.

// slots is the number of parts of a window, of which the current one is incomplete.
const slots = 11

// usage counts the requests and the attempts beyond the first of each in a sliding window.
type usage struct {
	slots   [slots]counts
	current int64 // number of the current slot since the start of the clock
}

type counts struct{ requests, retries uint64 }

func (u *usage) slot() *counts { return &u.slots[u.current%slots] }

// advance clears the slots between the last one and the current one.
func (u *usage) advance(current int64) {
	for n := max(u.current+1, current-slots+1); n <= current; n++ {
		u.slots[n%slots] = counts{}
	}
	u.current = max(u.current, current)
}

func (u *usage) sum() counts {
	total := counts{}
	for _, c := range u.slots {
		total.requests += c.requests
		total.retries += c.retries
	}
	return total
}

// allowance is what the operators allow in a window. Before it is set, it is that of the
// tokens.
type allowance struct {
	ratio   float64 // attempts beyond the first for each request
	reserve float64 // attempts beyond the first without any request
}

// SetAllowance sets how many attempts beyond the first of each request the operators allow in
// a window: ratio for each request, and reserve besides. It advances the window to now and
// must be called several times in each.
func (b *Budget) SetAllowance(now, window time.Duration, ratio, reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.advance(int64(now / (window / (slots - 1))))
	b.allowance = allowance{ratio: ratio, reserve: reserve}
}

// Promise reports whether a resumption can be paid for besides those that are promised
// already. Each one that is promised must be taken back when its attempt has ended.
func (b *Budget) Promise() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(b.promised + 1) {
		return false
	}
	b.promised++
	return true
}

// TakeBack ends a promise.
func (b *Budget) TakeBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.promised--
}

// takeResumption counts a resumption and reports whether it is allowed.
func (b *Budget) takeResumption() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(1) {
		b.denied++
		return false
	}
	b.retries++
	b.usage.slot().retries++
	return true
}

// allows reports whether the window has room for the given number of further attempts. The
// caller holds the mutex.
func (b *Budget) allows(attempts int) bool {
	total := b.usage.sum()
	allowed := b.allowance.ratio*float64(total.requests) + b.allowance.reserve
	return float64(total.retries)+float64(attempts) <= allowed
}
