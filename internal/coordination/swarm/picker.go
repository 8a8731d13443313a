package swarm

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// Source is where a chunk is fetched from. The zero value is the origin.
type Source struct {
	// Peer is the name of the member that sends, empty for the origin.
	Peer string
}

// Origin reports whether the source is the origin.
func (s Source) Origin() bool { return s.Peer == "" }

// Fetch is one transfer that the Picker wants.
type Fetch struct {
	// ID is unique in the Picker.
	ID int
	// Chunk is the index in the manifest.
	Chunk int
	// Source is who sends.
	Source Source
	// Offset is where to resume, in bytes from the start of the chunk.
	Offset int64
	// Rate is the pace in bytes a second, 0 for none. Fetches with the same
	// Link share one pace.
	Rate float64
	// Link names the region on the far side, empty inside the region.
	Link string
}

// Crossing reports whether the fetch enters the region from outside of it.
func (f Fetch) Crossing() bool { return f.Link != "" }

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
	// Dropped: ended by a decision of the Picker.
	Dropped
)

type chunkState struct {
	staged  bool
	flights int
	// holders counts the known members of the region that hold the chunk.
	holders int
	// twin is the first index with the same digest.
	twin int
	// partial bytes are kept from the senders named, unverified.
	partial int64
	senders []string
	// hash is the rendezvous key, the same in every member.
	hash uint64
	// entry is the region that draws the chunk before the other regions.
	entry string
}

type peer struct {
	member  member.Member
	local   bool
	watched bool
	gateway bool
	known   bool
	held    Bitmap
	uploads int
	flights int
	mark    mark
	polled  time.Time
	gained  time.Time
	// claimed is the largest number of chunks announced.
	claimed int
	// failedPolls, wrong and stalls count failures in a row.
	failedPolls  int
	wrong        int
	stalls       int
	ignoredUntil time.Time
}

// Failures in a row from which a peer counts as unreachable, as distrusted for
// the rest of the rollout, or as one to do without for a while.
const (
	unreachablePolls = 2
	distrustWrong    = 3
	ignoreStalls     = 2
)

func (q *peer) unreachable() bool { return q.failedPolls >= unreachablePolls }

func (q *peer) distrusted() bool { return q.wrong >= distrustWrong }

type flight struct {
	Fetch
	started  time.Time
	progress time.Time
	got      int64
	// senders gave the bytes before the offset.
	senders []string
}

// Picker decides what one instance fetches from where. Its owner calls it from
// one goroutine.
type Picker struct {
	manifest *model.Manifest
	self     member.Member
	set      settings
	chunks   []chunkState
	staged   Bitmap
	// open are the chunks that are neither staged nor on their way.
	open     Bitmap
	peers    map[string]*peer
	local    []*peer
	foreign  []*peer
	watching []*peer
	// near are the members of the region that are asked for chunks. Gateways
	// are watched by more members than they could serve.
	near []*peer
	// watchedLocal are the watched members of the region.
	watchedLocal []*peer
	neighbour    map[string]bool
	ranked       map[string][]string
	regions      []string
	direct       bool
	listed       bool
	// gained is when the last chunk was staged.
	gained    time.Time
	meanFetch time.Duration
	origin    peer
	idleSince map[string]time.Time
	flights   []*flight
	nextID    int
}

// NewPicker returns a Picker for the instance self that holds nothing.
func NewPicker(manifest *model.Manifest, self member.Member, options ...PickerOption) *Picker {
	p := &Picker{
		manifest:  manifest,
		self:      self,
		set:       newSettings(options),
		chunks:    make([]chunkState, manifest.Chunks()),
		staged:    NewBitmap(manifest.Chunks()),
		open:      NewBitmap(manifest.Chunks()),
		peers:     make(map[string]*peer),
		neighbour: make(map[string]bool),
		idleSince: make(map[string]time.Time),
	}
	first := make(map[string]int)
	for i := range p.chunks {
		key := manifest.Chunk(i).Digest().String()
		twin, seen := first[key]
		if !seen {
			twin = i
			first[key] = i
		}
		p.chunks[i].twin = twin
		p.refreshOpen(i)
		p.chunks[i].hash = rendezvous("chunk", key)
	}
	p.SetMembers(time.Time{}, nil)
	return p
}

// Staged returns the chunks that are verified and staged.
func (p *Picker) Staged() Bitmap { return p.staged }

// Complete reports whether every chunk is verified and staged.
func (p *Picker) Complete() bool { return p.staged.Full() }

// MarkStaged records that chunk i, and every chunk with its digest, is verified
// and staged.
func (p *Picker) MarkStaged(i int) {
	twin := p.chunks[i].twin
	for j := range p.chunks {
		if p.chunks[j].twin == twin {
			p.chunks[j].staged = true
			p.chunks[j].partial = 0
			p.chunks[j].senders = nil
			p.staged.Set(j)
			p.refreshOpen(j)
		}
	}
}

// start records a fetch that begins at now.
func (p *Picker) start(now time.Time, f Fetch) Fetch {
	f.ID = p.nextID
	p.nextID++
	c := &p.chunks[f.Chunk]
	f.Offset = c.partial
	c.flights++
	p.refreshOpen(f.Chunk)
	p.senderOf(f.Source).flights++
	p.flights = append(p.flights, &flight{
		Fetch: f, started: now, progress: now, got: f.Offset, senders: c.senders,
	})
	c.partial = 0
	c.senders = nil
	return f
}

// Progress records that the fetch has received got bytes of the chunk, those
// before its offset included.
func (p *Picker) Progress(now time.Time, id int, got int64) {
	if i := p.flightIndex(id); i >= 0 && got > p.flights[i].got {
		p.flights[i].got = got
		p.flights[i].progress = now
	}
}

// Drops returns the fetches that must be cancelled: those that stand still, and
// those whose chunk arrived by another one. The owner answers with Done and
// Dropped.
func (p *Picker) Drops(now time.Time) []Fetch {
	var drops []Fetch
	for _, f := range p.flights {
		if p.chunks[f.Chunk].staged || p.stalled(now, f) {
			drops = append(drops, f.Fetch)
		}
	}
	return drops
}

func (p *Picker) stalled(now time.Time, f *flight) bool {
	return now.Sub(f.progress) >= p.set.stallTimeout
}

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
	stalled := outcome == Dropped && p.stalled(now, f)
	switch outcome {
	case Verified:
		m.credit()
		p.learnDuration(now.Sub(f.started))
		p.gained = now
		p.MarkStaged(f.Chunk)
	case Corrupt:
		p.corrupt(now, f)
	case Failed:
		m.strike(now)
		p.keepPartial(f)
	case Refused:
		m.rest(now, retryAfter)
	case Missing:
		m.strike(now)
		p.forget(f)
	case Dropped:
		if stalled {
			m.strike(now)
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
		p.ignore(q, now.Add(maxBackoff))
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
		p.senderOf(f.Source).mark.strike(now)
		return
	}
	for _, name := range append(f.senders, f.Source.Peer) {
		p.senderOf(Source{Peer: name}).mark.rest(now, firstBackoff)
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

// Partial returns how many bytes of chunk i are kept to resume it.
func (p *Picker) Partial(i int) int64 { return p.chunks[i].partial }

// DropPartial forgets the bytes kept of chunk i.
func (p *Picker) DropPartial(i int) {
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

func (p *Picker) flightIndex(id int) int {
	return slices.IndexFunc(p.flights, func(f *flight) bool { return f.ID == id })
}

// Next returns the fetches to start now. They count as started.
func (p *Picker) Next(now time.Time) []Fetch {
	if p.Complete() {
		return nil
	}
	fetches := p.nextCrossing(now)
	for p.inFlight("") < p.set.concurrency {
		f, found := p.pickLocal(now)
		if !found {
			f, found = p.pickDuplicate(now)
		}
		if !found {
			break
		}
		fetches = append(fetches, p.start(now, f))
	}
	return fetches
}

func (p *Picker) inFlight(link string) int {
	n := 0
	for _, f := range p.flights {
		if f.Link == link {
			n++
		}
	}
	return n
}

// refreshOpen records whether chunk i is neither staged nor on its way.
func (p *Picker) refreshOpen(i int) {
	c := &p.chunks[i]
	if !c.staged && c.flights == 0 && c.twin == i {
		p.open.Set(i)
	} else {
		p.open.Clear(i)
	}
}

// pickLocal picks a chunk from a member of the region. Members that are watched
// only as gateways are asked when no neighbour has anything: one of them may be
// the only holder, and nobody's neighbour.
func (p *Picker) pickLocal(now time.Time) (Fetch, bool) {
	if f, found := p.pickRarest(now, p.near); found {
		return f, true
	}
	return p.pickRarest(now, p.watchedLocal)
}

// pickRarest picks the rarest chunk that a usable one of the peers holds.
func (p *Picker) pickRarest(now time.Time, among []*peer) (Fetch, bool) {
	available := NewBitmap(len(p.chunks))
	for _, q := range among {
		if p.askable(now, q) {
			available.union(q.held)
		}
	}
	available.intersect(p.open)
	best, rarest := -1, math.MaxInt
	offset := p.set.rand(len(available.bits))
	for k := range available.bits {
		at := (k + offset) % len(available.bits)
		for octet := available.bits[at]; octet != 0; octet &= octet - 1 {
			i := 8*at + bits.TrailingZeros8(octet)
			if p.chunks[i].holders < rarest {
				best, rarest = i, p.chunks[i].holders
			}
		}
	}
	if best < 0 {
		return Fetch{}, false
	}
	return Fetch{Chunk: best, Source: p.bestPeer(now, best, among, "")}, true
}

// pickDuplicate starts the endgame: with every missing chunk on its way, a chunk
// that one sender has been at for long is asked of a second one as well.
func (p *Picker) pickDuplicate(now time.Time) (Fetch, bool) {
	duplicates := 0
	var oldest *flight
	for _, f := range p.flights {
		if p.chunks[f.Chunk].flights > 1 {
			duplicates++
			continue
		}
		if now.Sub(f.started) >= p.endgameAge() && (oldest == nil || f.started.Before(oldest.started)) &&
			!p.bestPeer(now, f.Chunk, p.near, f.Source.Peer).Origin() {
			oldest = f
		}
	}
	if oldest == nil || duplicates >= 2*p.set.maxDuplicates || p.open.Count() > 0 {
		return Fetch{}, false
	}
	return Fetch{Chunk: oldest.Chunk, Source: p.bestPeer(now, oldest.Chunk, p.near, oldest.Source.Peer)}, true
}

func (p *Picker) endgameAge() time.Duration { return 2 * max(p.meanFetch, p.pollInterval()) }

// askable reports whether a further fetch may go to the peer.
func (p *Picker) askable(now time.Time, q *peer) bool {
	return q.known && q.flights < p.set.perPeer && q.mark.usable(now)
}

// bestPeer returns the holder of the chunk to ask: one with a free slot, in the
// own failure domain, with the fewest uploads. The one named by except is left
// out. The result is the origin if there is none.
func (p *Picker) bestPeer(now time.Time, chunk int, among []*peer, except string) Source {
	var best *peer
	var lowest int
	ties := 0
	for _, q := range among {
		if !q.held.Has(chunk) || q.member.Name() == except || !p.askable(now, q) {
			continue
		}
		c := p.cost(q)
		switch {
		case best == nil || c < lowest:
			best, lowest, ties = q, c, 1
		case c == lowest:
			ties++
			if p.set.rand(ties) == 0 {
				best = q
			}
		}
	}
	if best == nil {
		return Source{}
	}
	return Source{Peer: best.member.Name()}
}

// Weights of the cost of a peer: a busy one costs more than any idle one, and
// one of another failure domain more than any of the own.
const (
	busyCost    = 1 << 20
	gatewayCost = 1 << 15
	distantCost = 1 << 10
)

func (p *Picker) cost(q *peer) int {
	load := q.uploads + q.flights
	c := load
	if load >= p.set.uploadSlots {
		c += busyCost
	}
	if q.gateway {
		c += gatewayCost
	}
	if q.member.FailureDomain() != p.self.FailureDomain() {
		c += distantCost
	}
	return c
}
