package swarm

import (
	"slices"
	"time"
)

// Outcome is the result of a fetch.
type Outcome int

// Outcomes of a fetch.
const (
	// Verified means that the chunk matches its digest and is staged.
	Verified Outcome = iota
	// Corrupt means that the chunk was received and does not match its digest.
	Corrupt
	// Failed means that the connection broke or the source returned an error.
	Failed
	// Refused means that the source has no free slot or no budget left.
	Refused
	// Missing means that the source does not hold the chunk that it announced.
	Missing
	// Canceled means that the fetch was canceled, usually as requested by ToCancel.
	Canceled
)

// Done records the end of a fetch. RetryAfter is the retry delay given by the sender if
// the outcome is Refused.
func (p *Picker) Done(now time.Time, id int, outcome Outcome, retryAfter time.Duration) {
	i := p.activeIndex(id)
	if i < 0 {
		return
	}
	f := p.activeFetches[i]
	p.activeFetches = slices.Delete(p.activeFetches, i, i+1)
	p.chunks[f.Chunk].activeFetches--
	p.updatePending(f.Chunk)
	q := p.sourceState(f.Source)
	q.activeFetches--
	backoff := &q.backoff
	stalled := outcome == Canceled && p.stalled(now, f)
	switch outcome {
	case Verified:
		backoff.reset()
		p.updateMeanFetchTime(now.Sub(f.started))
		p.lastStaged = now
		p.MarkStaged(f.Chunk)
	case Corrupt:
		p.recordCorrupt(now, f)
	case Failed:
		backoff.recordFailure(now, p.settings.backoff)
		p.savePartial(f)
	case Refused:
		backoff.delay(now, retryAfter)
	case Missing:
		backoff.recordFailure(now, p.settings.backoff)
		p.clearHeld(f)
	case Canceled:
		if stalled {
			backoff.recordFailure(now, p.settings.backoff)
		}
		p.savePartial(f)
	}
	p.updateTrust(now, q, outcome, retryAfter, stalled)
}

// updateTrust counts the failures of a sender and decides whether to ignore its chunk
// maps.
func (p *Picker) updateTrust(now time.Time, q *peer, outcome Outcome, retryAfter time.Duration, stalled bool) {
	switch {
	case outcome == Verified:
		q.badReplies, q.failedFetches = 0, 0
	case outcome == Corrupt || outcome == Missing:
		q.badReplies++
	case outcome == Failed || stalled:
		q.failedFetches++
	}
	if q.held.Size() == 0 {
		return // the origin or a removed peer
	}
	switch {
	case q.banned():
		p.ignoreMaps(q, now.Add(banDuration))
	case q.failedFetches >= ignoredAfterFailedFetches:
		p.ignoreMaps(q, now.Add(p.settings.backoff.maximum))
	case outcome == Refused && retryAfter >= budgetRetryAfter:
		p.ignoreMaps(q, now.Add(retryAfter))
	}
}

// banDuration is longer than any rollout.
const banDuration = 365 * 24 * time.Hour

// sourceState returns the state of the source: that of the origin, that of a peer, or
// an empty one for a removed peer.
func (p *Picker) sourceState(s Source) *peer {
	if s.Origin() {
		return &p.origin
	}
	if q := p.peers[s.Peer]; q != nil {
		return q
	}
	return &peer{}
}

// updateMeanFetchTime updates the exponential moving average of the fetch time, in
// which the newest fetch has a weight of 1/8.
func (p *Picker) updateMeanFetchTime(d time.Duration) {
	if p.meanFetchTime == 0 {
		p.meanFetchTime = d
	}
	p.meanFetchTime += (d - p.meanFetchTime) / 8
	p.meanFetchTime = max(p.meanFetchTime, time.Microsecond)
}

// recordCorrupt applies backoff to the senders of a corrupt chunk. If several senders
// contributed bytes, it is unknown which one was at fault. All of them are then delayed
// without counting a failure, and the chunk is fetched again from the start.
func (p *Picker) recordCorrupt(now time.Time, f *activeFetch) {
	if f.Offset == 0 {
		p.sourceState(f.Source).backoff.recordFailure(now, p.settings.backoff)
		return
	}
	for _, name := range append(f.senders, f.Source.Peer) {
		p.sourceState(Source{Peer: name}).backoff.delay(now, p.settings.backoff.initial)
	}
}

// savePartial records the received bytes of an incomplete chunk, so that another fetch
// can resume it.
func (p *Picker) savePartial(f *activeFetch) {
	c := &p.chunks[f.Chunk]
	complete := f.received >= p.manifest.Chunk(f.Chunk).Size()
	if c.staged || c.activeFetches > 0 || f.received <= c.partialSize || complete {
		return
	}
	c.partialSize = f.received
	c.partialSenders = f.senders
	if f.received > f.Offset && !slices.Contains(c.partialSenders, f.Source.Peer) {
		c.partialSenders = append(c.partialSenders, f.Source.Peer)
	}
}

// PartialSize returns the number of bytes of chunk i that are kept to resume it.
func (p *Picker) PartialSize(i int) int64 { return p.chunks[i].partialSize }

// DiscardPartial records that the partial bytes of chunk i are no longer kept.
func (p *Picker) DiscardPartial(i int) {
	p.chunks[i].partialSize = 0
	p.chunks[i].partialSenders = nil
}

// clearHeld removes the chunk from the chunk map of the peer that failed to send it.
func (p *Picker) clearHeld(f *activeFetch) {
	q := p.peers[f.Source.Peer]
	if q == nil || !q.held.Has(f.Chunk) {
		return
	}
	q.held.Clear(f.Chunk)
	if q.inRegion {
		p.chunks[f.Chunk].holders--
	}
}
