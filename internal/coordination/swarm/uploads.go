package swarm

import (
	"sync"
	"time"
)

// Limits of the serving side.
const (
	// MaxUploadCopies bounds what one instance sends in one rollout, in copies of
	// the model.
	MaxUploadCopies = 2
	// DefaultUploadSlots bounds the uploads in progress to peers of the region.
	DefaultUploadSlots = 6
	// crossingSlots are kept for peers of other regions: a link between regions
	// must not idle because local peers fill all slots.
	crossingSlots = 2
	// retryBusy is the hint to a peer that was refused for want of a slot.
	retryBusy = 300 * time.Millisecond
	// retrySpent is the hint to a peer that was refused for want of budget.
	retrySpent = 30 * time.Second
)

// Admission answers a peer that asks for a chunk.
type Admission struct {
	// Admitted tells whether the chunk may be sent; Release must follow.
	Admitted bool
	// RetryAfter is when to ask again after a refusal.
	RetryAfter time.Duration
}

// UploadLimiter limits what an instance sends to its peers in one rollout. It is safe
// for concurrent use.
type UploadLimiter struct {
	mu       sync.Mutex
	budget   int64
	sent     int64
	local    int
	crossing int
	slots    int
}

// UploadLimiterOption changes a property of Uploads.
type UploadLimiterOption func(*UploadLimiter)

// WithSlots sets how many uploads to peers of the region may be in progress.
func WithSlots(n int) UploadLimiterOption {
	return func(u *UploadLimiter) { u.slots = max(n, 1) }
}

// NewUploadLimiter returns the limiter for the rollout of a model of size bytes.
func NewUploadLimiter(size int64, options ...UploadLimiterOption) *UploadLimiter {
	u := &UploadLimiter{budget: MaxUploadCopies * size, slots: DefaultUploadSlots}
	for _, o := range options {
		o(u)
	}
	return u
}

// Admit decides on an upload of size bytes. Crossing tells that the peer stands
// in another region. The whole size is reserved, also when the peer leaves early.
func (u *UploadLimiter) Admit(size int64, crossing bool) Admission {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sent+size > u.budget {
		return Admission{RetryAfter: retrySpent}
	}
	if crossing && u.crossing >= crossingSlots || !crossing && u.local >= u.slots {
		return Admission{RetryAfter: retryBusy}
	}
	u.sent += size
	if crossing {
		u.crossing++
	} else {
		u.local++
	}
	return Admission{Admitted: true}
}

// Release ends an upload that Admit admitted with the same crossing. Unsent
// bytes, from 0 to the size admitted, go back into the budget.
func (u *UploadLimiter) Release(unsent int64, crossing bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent -= unsent
	if crossing {
		u.crossing--
	} else {
		u.local--
	}
}

// ActiveInRegion returns the uploads in progress to peers of the region.
func (u *UploadLimiter) ActiveInRegion() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.local
}

// BytesAdmitted returns the bytes admitted so far.
func (u *UploadLimiter) BytesAdmitted() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sent
}
