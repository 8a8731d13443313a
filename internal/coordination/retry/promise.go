package retry

import "time"

// A stream that its own entry ends goes on at another endpoint. The entry knows beforehand
// that it may have to, so that it ends no stream that can't go on: it gets a promise of a
// resumption when it sends the attempt. A promise is a token that is taken at once and given
// back if it is not used, so that nothing else can spend it. Beyond the tokens there are as
// many promises as the requests of the last window allow, in place of later retries.

// windowSlots is the number of parts of a window in which requests are counted.
const windowSlots = 10

// recentRequests counts the requests of the last window.
type recentRequests struct {
	slots   [windowSlots]uint64
	current int64 // number of the current slot since the start of the clock
}

func (r *recentRequests) add() { r.slots[r.current%windowSlots]++ }

// advance clears the slots between the last one and the current one.
func (r *recentRequests) advance(current int64) {
	for n := max(r.current+1, current-windowSlots+1); n <= current; n++ {
		r.slots[n%windowSlots] = 0
	}
	r.current = max(r.current, current)
}

func (r *recentRequests) count() (n uint64) {
	for _, c := range r.slots {
		n += c
	}
	return n
}

// WithPromiseRatio sets how many promises there are beyond the tokens for each request of the
// last window.
func WithPromiseRatio(ratio float64) Option {
	return func(b *Budget) { b.promiseRatio = ratio }
}

// Advance moves the window in which requests are counted to now. It must be called several
// times in each.
func (b *Budget) Advance(now, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recent.advance(int64(now / (window / windowSlots)))
}

// Promise is a resumption that is paid for. It is not safe for concurrent use; nil is none.
type Promise struct {
	budget *Budget
	spent  bool
}

// Promise returns a promise, nil if the budget allows none. It must be refunded when its
// attempt has ended and no resumption followed.
func (b *Budget) Promise() *Promise {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens-1 < -b.promiseRatio*float64(b.recent.count()) {
		return nil
	}
	b.tokens--
	return &Promise{budget: b}
}

// Refund gives the token of a promise back that no resumption has used.
func (p *Promise) Refund() {
	if p == nil || p.spent {
		return
	}
	p.spent = true
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.budget.tokens = min(p.budget.tokens+1, p.budget.maxTokens)
}

// use counts a promise as a retry.
func (p *Promise) use() {
	p.spent = true
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.budget.retries++
}
