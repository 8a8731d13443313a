package swarm

import (
	"sync"
	"time"
)

// Limits on uploads.
const (
	// MaxUploadCopies is the maximum that one instance sends in one rollout, in
	// copies of the model.
	MaxUploadCopies = 2
	// DefaultUploadSlots is the default maximum number of concurrent uploads to peers
	// in the region.
	DefaultUploadSlots = 6
	// crossRegionSlots is the number of upload slots reserved for peers in other
	// regions, so that a link between regions does not idle while local peers occupy
	// all other slots.
	crossRegionSlots = 2
	// busyRetryAfter is the retry delay returned when no slot is free.
	busyRetryAfter = 300 * time.Millisecond
	// budgetRetryAfter is the retry delay returned when the budget is exhausted.
	budgetRetryAfter = 30 * time.Second
)

// Admission is the response to a request for a chunk.
type Admission struct {
	// Admitted reports whether the chunk may be sent. If so, the caller must call
	// Release when the upload ends.
	Admitted bool
	// RetryAfter is the time to wait before a retry if the request was refused.
	RetryAfter time.Duration
}

// UploadLimiter limits what an instance sends to its peers in one rollout. It is safe
// for concurrent use.
type UploadLimiter struct {
	mu                sync.Mutex
	budget            int64
	admitted          int64
	localActive       int
	crossRegionActive int
	slots             int
}

// UploadLimiterOption sets an option of an UploadLimiter.
type UploadLimiterOption func(*UploadLimiter)

// WithSlots sets the maximum number of concurrent uploads to peers in the region.
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

// Admit admits or refuses an upload of size bytes. CrossRegion reports whether the
// peer is in another region. The whole size counts against the budget until Release
// returns the unsent bytes, even if the peer disconnects early.
func (u *UploadLimiter) Admit(size int64, crossRegion bool) Admission {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.admitted+size > u.budget {
		return Admission{RetryAfter: budgetRetryAfter}
	}
	if crossRegion && u.crossRegionActive >= crossRegionSlots || !crossRegion && u.localActive >= u.slots {
		return Admission{RetryAfter: busyRetryAfter}
	}
	u.admitted += size
	if crossRegion {
		u.crossRegionActive++
	} else {
		u.localActive++
	}
	return Admission{Admitted: true}
}

// Release ends an upload that Admit admitted with the same value of crossRegion. It
// returns the unsent bytes, from 0 to the admitted size, to the budget.
func (u *UploadLimiter) Release(unsent int64, crossRegion bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.admitted -= unsent
	if crossRegion {
		u.crossRegionActive--
	} else {
		u.localActive--
	}
}

// ActiveInRegion returns the number of uploads in progress to peers in the region.
func (u *UploadLimiter) ActiveInRegion() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.localActive
}

// BytesAdmitted returns the total bytes admitted so far, without those that Release
// returned.
func (u *UploadLimiter) BytesAdmitted() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.admitted
}
