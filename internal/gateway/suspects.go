package gateway

import (
	"hash/fnv"
	"sync"
	"time"
)

// Bounds of the list of suspects.
const (
	// crashesAllowed is the number of crashes after which a request is not sent
	// again: the operators allow three.
	crashesAllowed = 2
	suspectKept    = 60 * time.Second
	maxSuspects    = 256
)

// suspectList counts the crashes of endpoints under each request, by a
// fingerprint that is the same when the caller sends the request again. A request
// that runs beside the culprit is counted too, but does not crash the next
// endpoint. It is safe for concurrent use.
type suspectList struct {
	mu   sync.Mutex
	seen map[uint64]*suspect
}

type suspect struct {
	own    uint32
	others map[string]uint32 // by entry
	at     time.Duration
}

func newSuspects() *suspectList {
	return &suspectList{seen: make(map[uint64]*suspect)}
}

// fingerprint identifies a request over its repeats.
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
	s := l.seen[f]
	if s == nil {
		s = &suspect{others: make(map[string]uint32)}
		l.seen[f] = s
	}
	s.at = now
	return s
}

// crashed records that an endpoint broke off while it ran the request.
func (l *suspectList) crashed(f uint64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.seen) < maxSuspects || l.seen[f] != nil {
		l.get(f, now).own++
	}
}

// finished clears a request that an endpoint has answered.
func (l *suspectList) finished(f uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.seen[f]; s != nil {
		s.own = 0
		clear(s.others)
	}
}

// told takes in what another entry has counted.
func (l *suspectList) told(entry string, f uint64, crashes uint32, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.seen) < maxSuspects || l.seen[f] != nil {
		l.get(f, now).others[entry] = crashes
	}
}

// crashes returns how often endpoints crashed under the request, at all entries.
func (l *suspectList) crashes(f uint64) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.seen[f]
	if s == nil {
		return 0
	}
	n := s.own
	for _, c := range s.others {
		n += c
	}
	return n
}

// own returns the own counts for the other entries.
func (l *suspectList) ownCounts() (fingerprints []uint64, crashes []uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, s := range l.seen {
		if s.own > 0 {
			fingerprints = append(fingerprints, f)
			crashes = append(crashes, s.own)
		}
	}
	return fingerprints, crashes
}

func (l *suspectList) forget(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, s := range l.seen {
		if now-s.at > suspectKept {
			delete(l.seen, f)
		}
	}
}
