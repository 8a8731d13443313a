package gateway

import (
	"sync"
	"time"
)

// Limits of the list of refusals.
const (
	// refusalTTL is longer than any Retry-After that is sent to callers.
	refusalTTL  = 4 * time.Second
	maxRefusals = 4096
	// maxPendingRefusals bounds the refusals in one summary, so that it fits in one
	// datagram.
	maxPendingRefusals = 64
)

// refusalList holds the requests that entries of the region have refused, by a
// fingerprint that stays the same when the caller retries at any of these entries.
// The target time for the first response event counts from the first attempt. It is
// safe for concurrent use.
type refusalList struct {
	mu            sync.Mutex
	byFingerprint map[uint64]refusal
	pending       []pendingRefusal
}

type refusal struct {
	firstAttempt time.Duration // time of the caller's first attempt
	refusedAt    time.Duration
	count        int // refused requests with this fingerprint that were not retried yet
}

// pendingRefusal is a refusal to send to the other entries.
type pendingRefusal struct {
	fingerprint  uint64
	firstAttempt time.Duration
}

func newRefusals() *refusalList {
	return &refusalList{byFingerprint: make(map[uint64]refusal)}
}

// addOwn records that this entry has refused a request.
func (l *refusalList) addOwn(fingerprint uint64, firstAttempt, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(fingerprint, firstAttempt, now)
	if len(l.pending) < maxPendingRefusals {
		l.pending = append(l.pending, pendingRefusal{fingerprint: fingerprint, firstAttempt: firstAttempt})
	}
}

// addRemote records refusals from another entry's summary.
func (l *refusalList) addRemote(fingerprints []uint64, agesMS []uint32, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, fingerprint := range fingerprints {
		if i < len(agesMS) {
			l.add(fingerprint, now-time.Duration(agesMS[i])*time.Millisecond, now)
		}
	}
}

func (l *refusalList) add(fingerprint uint64, firstAttempt, now time.Duration) {
	r, known := l.byFingerprint[fingerprint]
	if !known && len(l.byFingerprint) >= maxRefusals {
		return
	}
	l.byFingerprint[fingerprint] = refusal{firstAttempt: firstAttempt, refusedAt: now, count: r.count + 1}
}

// takeRetry returns the time since the first attempt of a request that was refused
// before, 0 if it was not refused. Each refusal is matched by one retry.
func (l *refusalList) takeRetry(fingerprint uint64, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.byFingerprint[fingerprint]
	if !known {
		return 0
	}
	if r.count--; r.count > 0 {
		l.byFingerprint[fingerprint] = r
	} else {
		delete(l.byFingerprint, fingerprint)
	}
	return max(now-r.firstAttempt, 0)
}

// takePending returns the refusals since the previous call.
func (l *refusalList) takePending(now time.Duration) (fingerprints []uint64, agesMS []uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.pending {
		fingerprints = append(fingerprints, r.fingerprint)
		agesMS = append(agesMS, uint32((now-r.firstAttempt)/time.Millisecond))
	}
	l.pending = l.pending[:0]
	return fingerprints, agesMS
}

func (l *refusalList) expire(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for fingerprint, r := range l.byFingerprint {
		if now-r.refusedAt > refusalTTL {
			delete(l.byFingerprint, fingerprint)
		}
	}
}
