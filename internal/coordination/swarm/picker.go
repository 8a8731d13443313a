package swarm

import (
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// Source is where a chunk is fetched from. The zero value is the origin.
type Source struct {
	// Peer is the name of the sending member, empty for the origin.
	Peer string
}

// Origin reports whether the source is the origin.
func (s Source) Origin() bool { return s.Peer == "" }

// Fetch is a transfer requested by the Picker.
type Fetch struct {
	// ID is unique within the Picker.
	ID int
	// Chunk is the index of the chunk in the manifest.
	Chunk int
	// Source is the sender.
	Source Source
	// Offset is the position at which to start, in bytes from the start of the chunk.
	Offset int64
	// Rate is the rate limit in bytes per second, 0 for none. Fetches with the same
	// Link share one rate limit.
	Rate float64
	// Link names the link into the region: the region at its other end, or "origin" for
	// an origin that is in the same region or in an unknown one. It is empty for a
	// fetch from a peer in the same region.
	Link string
}

// Ingress reports whether the fetch brings a chunk into the region, from the origin or
// from another region.
func (f Fetch) Ingress() bool { return f.Link != "" }

type chunkState struct {
	staged        bool
	activeFetches int
	// holders is the number of peers in the region that are recorded as holders.
	holders int
	// canonical is the first index with the same digest.
	canonical int
	// partialSize is the number of unverified bytes that are kept to resume the chunk.
	// partialSenders are the names of the peers that sent them.
	partialSize    int64
	partialSenders []string
	// hash is the rendezvous hash of the chunk, the same on every member.
	hash uint64
	// entryRegion is the region that fetches the chunk before the other regions do.
	entryRegion string
}

type peer struct {
	member        member.Member
	inRegion      bool
	polled        bool
	gateway       bool
	mapReceived   bool
	held          Bitmap
	uploads       int
	activeFetches int
	backoff       backoffState
	lastPoll      time.Time
	lastProgress  time.Time
	// maxAnnounced is the largest number of chunks that the peer has announced.
	maxAnnounced int
	// failedPolls, badReplies and failedFetches count consecutive failures.
	// badReplies counts chunks that were corrupt or missing.
	failedPolls      int
	badReplies       int
	failedFetches    int
	mapsIgnoredUntil time.Time
}

// Numbers of consecutive failures after which a peer counts as unreachable, is banned
// for the rest of the rollout, or has its chunk maps ignored for the maximum backoff.
const (
	unreachableAfterPolls     = 2
	bannedAfterBadReplies     = 3
	ignoredAfterFailedFetches = 2
)

func (q *peer) unreachable() bool { return q.failedPolls >= unreachableAfterPolls }

func (q *peer) banned() bool { return q.badReplies >= bannedAfterBadReplies }

type activeFetch struct {
	Fetch
	started      time.Time
	lastProgress time.Time
	received     int64
	// senders are the peers that sent the bytes before the offset.
	senders []string
}

// Picker selects the chunks that one instance fetches and their sources. It is not
// safe for concurrent use.
type Picker struct {
	manifest *model.Manifest
	self     member.Member
	settings settings
	chunks   []chunkState
	staged   Bitmap
	// pending are the chunks that are neither staged nor being fetched. Of chunks with
	// the same digest it has only the first.
	pending     Bitmap
	peers       map[string]*peer
	regionPeers []*peer
	remotePeers []*peer
	polledPeers []*peer
	// neighbourPeers are the members of the region from which chunks are requested
	// first. They exclude gateways polled only as gateways, because more members poll
	// a gateway than it could serve.
	neighbourPeers []*peer
	// polledRegionPeers are the polled members of the region.
	polledRegionPeers []*peer
	neighbours        map[string]bool
	gatewayOrder      map[string][]string
	regions           []string
	usesOrigin        bool
	membersListed     bool
	// lastStaged is the time at which the last chunk was staged. Before that it is the
	// time of the first member list.
	lastStaged    time.Time
	meanFetchTime time.Duration
	origin        peer
	idleSince     map[string]time.Time
	activeFetches []*activeFetch
	nextID        int
}

// NewPicker returns a Picker for the instance self, which holds no chunks yet.
func NewPicker(manifest *model.Manifest, self member.Member, options ...PickerOption) *Picker {
	p := &Picker{
		manifest:   manifest,
		self:       self,
		settings:   newSettings(options),
		chunks:     make([]chunkState, manifest.Chunks()),
		staged:     NewBitmap(manifest.Chunks()),
		pending:    NewBitmap(manifest.Chunks()),
		peers:      make(map[string]*peer),
		neighbours: make(map[string]bool),
		idleSince:  make(map[string]time.Time),
	}
	firstIndex := make(map[string]int)
	for i := range p.chunks {
		key := manifest.Chunk(i).Digest().String()
		canonical, seen := firstIndex[key]
		if !seen {
			canonical = i
			firstIndex[key] = i
		}
		p.chunks[i].canonical = canonical
		p.updatePending(i)
		p.chunks[i].hash = rendezvousHash("chunk", key)
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
	canonical := p.chunks[i].canonical
	for j := range p.chunks {
		if p.chunks[j].canonical == canonical {
			p.chunks[j].staged = true
			p.chunks[j].partialSize = 0
			p.chunks[j].partialSenders = nil
			p.staged.Set(j)
			p.updatePending(j)
		}
	}
}

// start records a fetch that starts at now and returns it with its ID and offset.
func (p *Picker) start(now time.Time, f Fetch) Fetch {
	f.ID = p.nextID
	p.nextID++
	c := &p.chunks[f.Chunk]
	f.Offset = c.partialSize
	c.activeFetches++
	p.updatePending(f.Chunk)
	p.sourceState(f.Source).activeFetches++
	p.activeFetches = append(p.activeFetches, &activeFetch{
		Fetch: f, started: now, lastProgress: now, received: f.Offset, senders: c.partialSenders,
	})
	c.partialSize = 0
	c.partialSenders = nil
	return f
}

// Progress records that the fetch has received the given number of bytes of the chunk,
// including those before its offset.
func (p *Picker) Progress(now time.Time, id int, received int64) {
	if i := p.activeIndex(id); i >= 0 && received > p.activeFetches[i].received {
		p.activeFetches[i].received = received
		p.activeFetches[i].lastProgress = now
	}
}

// ToCancel returns the fetches to cancel: those that have stalled, and those whose
// chunk has been staged by another fetch. The caller reports the end of each with Done
// and the outcome Canceled.
func (p *Picker) ToCancel(now time.Time) []Fetch {
	var canceled []Fetch
	for _, f := range p.activeFetches {
		if p.chunks[f.Chunk].staged || p.stalled(now, f) {
			canceled = append(canceled, f.Fetch)
		}
	}
	return canceled
}

func (p *Picker) stalled(now time.Time, f *activeFetch) bool {
	return now.Sub(f.lastProgress) >= p.settings.stallTimeout
}

func (p *Picker) activeIndex(id int) int {
	return slices.IndexFunc(p.activeFetches, func(f *activeFetch) bool { return f.ID == id })
}

// Next returns the fetches to start now and records them as started.
func (p *Picker) Next(now time.Time) []Fetch {
	if p.Complete() {
		return nil
	}
	fetches := p.nextIngress(now)
	for p.countActive("") < p.settings.concurrency {
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

func (p *Picker) countActive(link string) int {
	n := 0
	for _, f := range p.activeFetches {
		if f.Link == link {
			n++
		}
	}
	return n
}

// updatePending records whether chunk i is neither staged nor being fetched.
func (p *Picker) updatePending(i int) {
	c := &p.chunks[i]
	if !c.staged && c.activeFetches == 0 && c.canonical == i {
		p.pending.Set(i)
	} else {
		p.pending.Clear(i)
	}
}
