package swarm

import (
	"slices"
	"time"
)

// Outcome is how a fetch ended.
type Outcome int

// The outcomes.
const (
	// Verified: the chunk has the right digest and is staged.
	Verified Outcome = iota
	// Corrupt: all bytes came and the digest differs.
	Corrupt
	// Failed: the connection broke or the source gave an error.
	Failed
	// Refused: the source has no slot or budget now.
	Refused
	// Missing: the source does not hold the chunk it announced.
	Missing
	// Canceled: ended by a decision of the Picker.
	Canceled
)

// Done records the end of a fetch. RetryAfter is the hint of a refusal.
func (p *Picker) Done(now time.Time, id int, outcome Outcome, retryAfter time.Duration) {
	i := p.flightIndex(id)
	if i < 0 {
		return
	}
	f := p.flights[i]
	p.flights = slices.Delete(p.flights, i, i+1)
	p.chunks[f.Chunk].flights--
	p.refreshOpen(f.Chunk)
	q := p.senderOf(f.Source)
	q.flights--
	m := &q.mark
	stalled := outcome == Canceled && p.stalled(now, f)
	switch outcome {
	case Verified:
		m.credit()
		p.learnDuration(now.Sub(f.started))
		p.gained = now
		p.MarkStaged(f.Chunk)
	case Corrupt:
		p.corrupt(now, f)
	case Failed:
		m.strike(now, p.set.backoff)
		p.keepPartial(f)
	case Refused:
		m.rest(now, retryAfter)
	case Missing:
		m.strike(now, p.set.backoff)
		p.forget(f)
	case Canceled:
		if stalled {
			m.strike(now, p.set.backoff)
		}
		p.keepPartial(f)
	}
	p.judge(now, q, outcome, retryAfter, stalled)
}

// judge decides whether to go on believing the chunk maps of a sender.
func (p *Picker) judge(now time.Time, q *peer, outcome Outcome, retryAfter time.Duration, stalled bool) {
	switch {
	case outcome == Verified:
		q.wrong, q.stalls = 0, 0
	case outcome == Corrupt || outcome == Missing:
		q.wrong++
	case outcome == Failed || stalled:
		q.stalls++
	}
	if q.held.Size() == 0 {
		return // the origin, or a peer that is gone
	}
	switch {
	case q.distrusted():
		p.ignore(q, now.Add(forever))
	case q.stalls >= ignoreStalls:
		p.ignore(q, now.Add(p.set.backoff.longest))
	case outcome == Refused && retryAfter >= retrySpent:
		p.ignore(q, now.Add(retryAfter))
	}
}

// forever is longer than any rollout.
const forever = 365 * 24 * time.Hour

// senderOf returns the record of the sender: that of the origin, that of a peer,
// or a blank one for a peer that is gone.
func (p *Picker) senderOf(s Source) *peer {
	if s.Origin() {
		return &p.origin
	}
	if q := p.peers[s.Peer]; q != nil {
		return q
	}
	return &peer{}
}

// learnDuration keeps a moving mean over about eight fetches.
func (p *Picker) learnDuration(d time.Duration) {
	if p.meanFetch == 0 {
		p.meanFetch = d
	}
	p.meanFetch += (d - p.meanFetch) / 8
	p.meanFetch = max(p.meanFetch, time.Microsecond)
}

// corrupt marks who sent the bytes of the chunk. Bytes of several senders do not
// tell which one was at fault, so all rest without a strike and the chunk is
// fetched anew from one.
func (p *Picker) corrupt(now time.Time, f *flight) {
	if f.Offset == 0 {
		p.senderOf(f.Source).mark.strike(now, p.set.backoff)
		return
	}
	for _, name := range append(f.senders, f.Source.Peer) {
		p.senderOf(Source{Peer: name}).mark.rest(now, p.set.backoff.first)
	}
}

// keepPartial remembers how far the chunk came, so that it resumes elsewhere.
func (p *Picker) keepPartial(f *flight) {
	c := &p.chunks[f.Chunk]
	whole := f.got >= p.manifest.Chunk(f.Chunk).Size()
	if c.staged || c.flights > 0 || f.got <= c.partial || whole {
		return
	}
	c.partial = f.got
	c.senders = f.senders
	if f.got > f.Offset && !slices.Contains(c.senders, f.Source.Peer) {
		c.senders = append(c.senders, f.Source.Peer)
	}
}

// PartialSize returns how many bytes of chunk i are kept to resume it.
func (p *Picker) PartialSize(i int) int64 { return p.chunks[i].partial }

// DiscardPartial forgets the bytes kept of chunk i.
func (p *Picker) DiscardPartial(i int) {
	p.chunks[i].partial = 0
	p.chunks[i].senders = nil
}

// forget clears the claim of a peer to hold the chunk.
func (p *Picker) forget(f *flight) {
	q := p.peers[f.Source.Peer]
	if q == nil || !q.held.Has(f.Chunk) {
		return
	}
	q.held.Clear(f.Chunk)
	if q.local {
		p.chunks[f.Chunk].holders--
	}
}
