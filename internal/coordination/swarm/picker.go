package swarm

import (
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

// Ingress reports whether the fetch enters the region from outside of it.
func (f Fetch) Ingress() bool { return f.Link != "" }

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

// ToCancel returns the fetches that must be cancelled: those that stand still, and
// those whose chunk arrived by another one. The owner answers with Done and
// Dropped.
func (p *Picker) ToCancel(now time.Time) []Fetch {
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
