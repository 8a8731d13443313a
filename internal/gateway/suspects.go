package gateway

import (
	"hash/fnv"
	"sync"
	"time"
)

// Limits of the list of suspects.
const (
	// maxCrashes is the number of crashes after which a request is not sent again.
	// The operators allow three.
	maxCrashes  = 2
	suspectTTL  = 60 * time.Second
	maxSuspects = 256
)

// suspectList counts the endpoints that crashed while running each request, by a
// fingerprint that stays the same when the caller repeats the request. A request that
// ran at the same time as the one that caused the crash is counted too, but it does
// not crash the next endpoint. It is safe for concurrent use.
type suspectList struct {
	mu            sync.Mutex
	byFingerprint map[uint64]*suspect
}

type suspect struct {
	own       uint32
	remote    map[string]uint32 // crashes reported by other entries, by their peer address
	updatedAt time.Duration
}

func newSuspects() *suspectList {
	return &suspectList{byFingerprint: make(map[uint64]*suspect)}
}

// fingerprint identifies a request across its repeats.
func fingerprint(account, method, target string, body []byte) uint64 {
	h := fnv.New64a()
	for _, part := range []string{account, method, target} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return h.Sum64()
}

func (l *suspectList) get(f uint64, now time.Duration) *suspect {
	s := l.byFingerprint[f]
	if s == nil {
		s = &suspect{remote: make(map[string]uint32)}
		l.byFingerprint[f] = s
	}
	s.updatedAt = now
	return s
}

// recordCrash records that an endpoint broke off while it ran the request.
func (l *suspectList) recordCrash(f uint64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byFingerprint) < maxSuspects || l.byFingerprint[f] != nil {
		l.get(f, now).own++
	}
}

// reset resets the counts of a request that an endpoint has responded to.
func (l *suspectList) reset(f uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.byFingerprint[f]; s != nil {
		s.own = 0
		clear(s.remote)
	}
}

// setRemote records the count of another entry.
func (l *suspectList) setRemote(entry string, f uint64, crashes uint32, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byFingerprint) < maxSuspects || l.byFingerprint[f] != nil {
		l.get(f, now).remote[entry] = crashes
	}
}

// crashes returns how many endpoints crashed while running the request, counted by
// all entries.
func (l *suspectList) crashes(f uint64) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byFingerprint[f]
	if s == nil {
		return 0
	}
	n := s.own
	for _, c := range s.remote {
		n += c
	}
	return n
}

// ownCounts returns the counts of this entry, to be sent to the other entries.
func (l *suspectList) ownCounts() (fingerprints []uint64, crashes []uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, s := range l.byFingerprint {
		if s.own > 0 {
			fingerprints = append(fingerprints, f)
			crashes = append(crashes, s.own)
		}
	}
	return fingerprints, crashes
}

func (l *suspectList) expire(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, s := range l.byFingerprint {
		if now-s.updatedAt > suspectTTL {
			delete(l.byFingerprint, f)
		}
	}
}
