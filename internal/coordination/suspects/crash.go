package suspects

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Key identifies what may crash endpoints: a request as a whole, or a part of a prompt
// that other requests have too.
type Key uint64

// keyOf hashes texts. The separator keeps different splits of one text apart.
func keyOf(texts ...string) Key {
	h := fnv.New64a()
	for _, t := range texts {
		h.Write([]byte(t))
		h.Write([]byte{0})
	}
	return Key(h.Sum64())
}

// PartKey returns the key of a part of a prompt at a service.
func PartKey(service, part string) Key { return keyOf("part", service, part) }

// Bounds of evidence. An entry keeps the newest crashes, and of each those attempts whose
// answers had just begun or could begin.
const (
	maxEvidence         = 64 // crashes
	maxAttemptsPerCrash = 64
	// maxOwnAttempts bounds those that an entry reports of a crash, so that a report fits
	// in one datagram.
	maxOwnAttempts = 16
	// maxPartsPerRequest bounds the parts of a request that are evidence. A request with
	// more is told apart by its first ones and as a whole.
	maxPartsPerRequest = 24
)

// Request is what a request may be blamed for. It is immutable.
type Request struct {
	whole Key
	parts []Key
}

// NewRequest returns a request. Whole is a key that it keeps when its caller repeats it;
// parts are those that it shares with others.
func NewRequest(whole Key, parts []Key) Request { return Request{whole: whole, parts: parts} }

// Whole returns the key of the request as a whole.
func (r Request) Whole() Key { return r.whole }

// Parts returns the keys of the shared parts, in their order in the prompt.
func (r Request) Parts() []Key { return r.parts }

// hasAll reports whether the request has all keys.
func (r Request) hasAll(keys []Key) bool {
	for _, k := range keys {
		if k != r.whole && !slices.Contains(r.parts, k) {
			return false
		}
	}
	return true
}

// bounded returns the request with as many parts as evidence may have.
func (r Request) bounded() Request {
	if len(r.parts) > maxPartsPerRequest {
		r.parts = r.parts[:maxPartsPerRequest]
	}
	return r
}

func (r Request) equal(other Request) bool {
	return r.whole == other.whole && slices.Equal(r.parts, other.parts)
}

// Progress is how far an attempt was when its endpoint crashed.
type Progress int

// The progress of attempts, by how likely each is the cause of a crash that comes when an
// answer begins.
const (
	// Queued attempts had no sign of an answer. The endpoint may have begun one.
	Queued Progress = iota
	// Answering attempts had the first part of their answer for no longer than BeginTime.
	Answering
	// Begun attempts had the head of an answer and nothing else.
	Begun
)

// Attempt is an attempt of a request that was in flight at a crash.
type Attempt struct {
	Request  Request
	Progress Progress
}

// Incarnation is one process of an endpoint. Several entries see it end.
type Incarnation struct {
	Endpoint uint32 // hash of the endpoint's identity
	Started  int64  // start of its process, in Unix milliseconds
}

// Observed is a crash of an endpoint as an entry reports it, with its time on the clock of
// the recipient.
type Observed struct {
	Incarnation Incarnation
	At          time.Duration
	Attempts    []Attempt
}

// crash is a crash of an endpoint with what all entries have reported of it.
type crash struct {
	incarnation Incarnation
	at          time.Duration
	attempts    []Attempt
	own         []Attempt // those that this entry reports
	sends       int       // how often it still sends them
	dueAt       time.Duration
}

// addAttempts adds attempts to a list of at most limit, and reports whether that has
// changed it.
func addAttempts(list, attempts []Attempt, limit int) (_ []Attempt, changed bool) {
	for _, a := range attempts {
		a.Request = a.Request.bounded()
		i := slices.IndexFunc(list, func(o Attempt) bool { return o.Request.equal(a.Request) })
		switch {
		case i >= 0 && list[i].Progress < a.Progress:
			list[i].Progress = a.Progress
		case i >= 0:
			continue
		case len(list) < limit:
			list = append(list, a)
		default:
			if !replaceLess(list, a) {
				continue
			}
		}
		changed = true
	}
	return list, changed
}

// replaceLess replaces an attempt that is a less likely cause.
func replaceLess(list []Attempt, a Attempt) bool {
	i := slices.IndexFunc(list, func(o Attempt) bool { return o.Progress < a.Progress })
	if i >= 0 {
		list[i] = a
	}
	return i >= 0
}

func (c *crash) has(k Key) bool {
	return slices.ContainsFunc(c.attempts, func(a Attempt) bool { return a.Request.whole == k || slices.Contains(a.Request.parts, k) })
}

// supports reports whether a quarantine may rest on the crash.
func (c *crash) supports(q *quarantine) bool {
	return slices.ContainsFunc(c.attempts, func(a Attempt) bool { return a.Request.hasAll(q.signature) })
}

// all returns all attempts.
func (c *crash) all() []Attempt { return c.attempts }

// likely returns the attempts that were further than the others. One that crashes an
// endpoint as its answer begins is among them, unless another answer begins just then.
func (c *crash) likely() []Attempt {
	most := Queued
	for _, a := range c.attempts {
		most = max(most, a.Progress)
	}
	return slices.DeleteFunc(slices.Clone(c.attempts), func(a Attempt) bool { return a.Progress < most })
}

// sortCrashes sorts crashes by time.
func sortCrashes(list []*crash) {
	slices.SortFunc(list, func(a, b *crash) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.incarnation.Endpoint, b.incarnation.Endpoint))
	})
}
