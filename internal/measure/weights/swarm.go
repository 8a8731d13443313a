package weights

import (
	"container/heap"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// Steps of the virtual time.
const (
	tick        = 20 * time.Millisecond
	agentPeriod = 200 * time.Millisecond
	// startSkew spreads the moments at which agents learn of the manifest.
	startSkew = 500 * time.Millisecond
	// pollTimeout is when a poll of a dead peer fails.
	pollTimeout = 2 * time.Second
	// giveUp ends a run that does not complete.
	giveUp = 2 * time.Hour
)

func chunkSize() int64 { return model.ChunkSizeFor(ModelSize) }

// manifest returns a manifest of ModelSize bytes; its chunks have no bytes.
func manifest(size int64) *model.Manifest {
	var chunks []model.Chunk
	for at := int64(0); at < size; at += chunkSize() {
		var key [8]byte
		binary.BigEndian.PutUint64(key[:], uint64(at))
		chunks = append(chunks, model.NewChunk(digest.Of(key[:]), min(chunkSize(), size-at)))
	}
	m, err := model.New("measured", "1", chunks, digest.Of([]byte("measured")))
	if err != nil {
		panic("weights: " + err.Error())
	}
	return m
}

// agent is one instance with its decisions.
type agent struct {
	index    int
	self     member.Member
	picker   *swarm.Picker
	uploads  *swarm.UploadLimiter
	flows    map[int]*transfer
	dirty    bool
	dead     bool
	next     time.Duration
	complete time.Duration
	received float64
	sent     float64
	crossed  float64
}

// inOrder returns the transfers of the agent in the order in which they began, so
// that a seed fixes every figure.
func (a *agent) inOrder() []*transfer {
	transfers := make([]*transfer, 0, len(a.flows))
	for _, id := range slices.Sorted(maps.Keys(a.flows)) {
		transfers = append(transfers, a.flows[id])
	}
	return transfers
}

type transfer struct {
	fetch  swarm.Fetch
	from   int
	flow   *flow
	size   float64
	opened bool
}

// run drives the pickers of all agents through virtual time.
type run struct {
	place    Place
	faults   Faults
	manifest *model.Manifest
	net      *network
	agents   []*agent
	byName   map[string]int
	rand     *rand.Rand
	now      time.Duration
	events   eventHeap
	sequence int
	origin   []float64 // bytes drawn from the origin by region
	crossing [][]float64
	alive    int
}

// epoch is the wall time at which virtual time starts.
var epoch = time.Unix(0, 0)

func (r *run) clock() time.Time { return epoch.Add(r.now) }

// Swarm measures one run of the exchange with n replicas.
func Swarm(p Place, n int, f Faults, seed uint64, options ...swarm.PickerOption) Result {
	r := newRun(p, n, f, seed, options)
	r.scheduleFaults()
	for r.now < giveUp && !r.finished() {
		r.step()
	}
	return r.result()
}

func newRun(p Place, n int, f Faults, seed uint64, options []swarm.PickerOption) *run {
	r := &run{
		place: p, faults: f, manifest: manifest(ModelSize), net: newNetwork(p, n), alive: n,
		byName: make(map[string]int), rand: rand.New(rand.NewPCG(seed, 0)), origin: make([]float64, len(p.regions)),
	}
	for range p.regions {
		r.crossing = append(r.crossing, make([]float64, len(p.regions)))
	}
	copies := 0
	if p.policy == FewOriginBytes {
		copies = 1
	}
	members := p.members(n)
	for i, m := range members {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		base := []swarm.PickerOption{
			swarm.WithRand(random.IntN),
			swarm.WithOriginRegion(p.regions[0]),
			swarm.WithMaxOriginCopies(copies),
			swarm.WithRegionLink(p.regionRate, swarm.DefaultLinkShare),
		}
		a := &agent{
			index: i, self: m, uploads: swarm.NewUploadLimiter(ModelSize), flows: make(map[int]*transfer),
			picker: swarm.NewPicker(r.manifest, m, append(base, options...)...),
		}
		a.next = time.Duration(random.Int64N(int64(startSkew)))
		a.picker.SetMembers(r.clock(), members)
		r.agents = append(r.agents, a)
		r.byName[m.Name()] = i
	}
	return r
}

func (r *run) finished() bool {
	for _, a := range r.agents {
		if !a.dead && !a.picker.Complete() {
			return false
		}
	}
	return true
}

// step advances virtual time by one tick.
func (r *run) step() {
	r.now += tick
	for len(r.events) > 0 && r.events[0].at <= r.now {
		heap.Pop(&r.events).(*event).do()
	}
	for _, f := range r.net.advance(tick.Seconds()) {
		r.net.stop(f)
		f.done()
	}
	for _, a := range r.agents {
		if a.dead || a.picker.Complete() || !a.dirty && r.now < a.next {
			continue
		}
		r.decide(a)
	}
}

// decide lets one agent act, as the runner of the real agent does.
func (r *run) decide(a *agent) {
	now := r.clock()
	if r.now >= a.next {
		a.next = r.now + agentPeriod
		for id, t := range a.flows {
			if t.flow != nil {
				a.picker.Progress(now, id, int64(t.size-max(t.flow.remaining, 0))+t.fetch.Offset)
			}
		}
		for _, f := range a.picker.ToCancel(now) {
			r.end(a, a.flows[f.ID], swarm.Canceled, 0)
		}
	}
	a.dirty = false
	for _, name := range a.picker.PollTargets(now) {
		r.poll(a, r.agents[r.byName[name]])
	}
	for _, f := range a.picker.Next(now) {
		r.fetch(a, f)
	}
}

func (r *run) poll(a, q *agent) {
	oneWay := r.place.latency(r.place.region(a.index), r.place.region(q.index))
	r.after(oneWay, func() {
		if q.dead || r.unreachable(a.index, q.index) {
			r.after(pollTimeout, func() { a.picker.RecordFailedPoll(r.clock(), q.self.Name()) })
			return
		}
		held := swarm.BitmapFromBytes(r.manifest.Chunks(), q.picker.Staged().Bytes())
		uploads := q.uploads.ActiveInRegion()
		r.after(oneWay, func() {
			a.picker.RecordChunkMap(r.clock(), q.self.Name(), held, uploads)
			a.dirty = true
		})
	})
}

// unreachable reports whether a link between the two stands still.
func (r *run) unreachable(i, j int) bool {
	if r.net.up[i].rate == 0 || r.net.up[j].rate == 0 {
		return true
	}
	a, b := r.place.region(i), r.place.region(j)
	return a != b && r.net.between[a][b].rate == 0
}

// fetch opens a transfer; the sender decides after one latency, and the first
// bytes or the refusal arrive after another.
func (r *run) fetch(a *agent, f swarm.Fetch) {
	t := &transfer{fetch: f, from: -1}
	region := 0
	if !f.Source.Origin() {
		t.from = r.byName[f.Source.Peer]
		region = r.place.region(t.from)
	}
	t.size = float64(r.manifest.Chunk(f.Chunk).Size() - f.Offset)
	a.flows[f.ID] = t
	oneWay := r.place.latency(region, r.place.region(a.index))
	r.after(oneWay, func() {
		if a.flows[f.ID] != t || t.from >= 0 && r.agents[t.from].dead {
			return
		}
		if t.from >= 0 {
			admission := r.agents[t.from].uploads.Admit(int64(t.size), f.Ingress())
			if !admission.Admitted {
				r.after(oneWay, func() { r.end(a, t, swarm.Refused, admission.RetryAfter) })
				return
			}
			t.opened = true
		}
		r.after(oneWay, func() { r.begin(a, t) })
	})
}

func (r *run) begin(a *agent, t *transfer) {
	if a.flows[t.fetch.ID] != t {
		return
	}
	t.flow = r.net.start(&flow{
		links: r.net.path(r.place, t.from, a.index), pace: t.fetch.Rate, remaining: t.size,
		stuck: t.from >= 0 && r.agents[t.from].dead,
	})
	t.flow.done = func() {
		outcome := swarm.Verified
		if r.rand.Float64() < r.faults.CorruptShare {
			outcome = swarm.Corrupt
		}
		r.end(a, t, outcome, 0)
	}
}

// end accounts for a transfer and tells the picker.
func (r *run) end(a *agent, t *transfer, outcome swarm.Outcome, retryAfter time.Duration) {
	if t == nil || a.flows[t.fetch.ID] != t {
		return
	}
	delete(a.flows, t.fetch.ID)
	unsent := t.size
	if t.flow != nil {
		r.net.stop(t.flow)
		unsent = max(t.flow.remaining, 0)
		a.picker.Progress(r.clock(), t.fetch.ID, t.fetch.Offset+int64(t.size-unsent))
	}
	r.account(a, t, t.size-unsent)
	if t.opened {
		r.agents[t.from].uploads.Release(int64(unsent), t.fetch.Ingress())
	}
	a.picker.Done(r.clock(), t.fetch.ID, outcome, retryAfter)
	a.dirty = true
	if a.picker.Complete() {
		a.complete = r.now
		for _, other := range a.inOrder() {
			r.end(a, other, swarm.Canceled, 0)
		}
	}
}

func (r *run) account(a *agent, t *transfer, bytes float64) {
	to := r.place.region(a.index)
	from := 0
	a.received += bytes
	if t.from < 0 {
		r.origin[to] += bytes
	} else {
		r.agents[t.from].sent += bytes
		from = r.place.region(t.from)
	}
	if t.fetch.Ingress() {
		a.crossed += bytes
	}
	r.crossing[from][to] += bytes
}

// after schedules do.
func (r *run) after(d time.Duration, do func()) {
	r.sequence++
	heap.Push(&r.events, &event{at: r.now + d, sequence: r.sequence, do: do})
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
