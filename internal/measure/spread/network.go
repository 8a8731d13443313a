package spread

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	core "github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// errNoAnswer is how a lost call ends.
var errNoAnswer = eris.New("no answer")

// One-way latencies between two processes and to the table.
const (
	latencyDomain = 500 * time.Microsecond
	latencyRegion = 1500 * time.Microsecond
	latencyFar    = 3 * time.Millisecond
	latencyTable  = 3 * time.Millisecond
)

// epoch is the moment at which virtual time starts.
var epoch = time.Unix(1_000_000, 0)

// event is something that happens at a virtual time; seq keeps the order of
// events at the same time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// Traffic is counted messages and bytes.
type Traffic struct {
	Messages int `json:"messages"`
	Bytes    int `json:"bytes"`
}

func (t *Traffic) add(bytes int) {
	t.Messages++
	t.Bytes += bytes
}

// network delivers messages in virtual time and counts them.
type network struct {
	random  *rand.Rand
	loss    float64
	framing Framing
	sizes   *sizer

	now   time.Duration
	seq   uint64
	queue eventQueue

	// cut reports whether no message passes between two processes.
	cut func(a, b member.Member) bool
	// tableCut reports whether a process cannot reach the table.
	tableCut func(m member.Member) bool

	pushes, compares, fetches Traffic
	// betweenRegions is the bytes of all messages that crossed regions.
	betweenRegions int
}

func newNetwork(seed uint64, loss float64, framing Framing) *network {
	return &network{
		random:   rand.New(rand.NewPCG(seed, 0x5eed)),
		loss:     loss,
		framing:  framing,
		sizes:    newSizer(),
		cut:      func(member.Member, member.Member) bool { return false },
		tableCut: func(member.Member) bool { return false },
	}
}

// clock returns the virtual time as the processes see it.
func (w *network) clock() time.Time { return epoch.Add(w.now) }

// after runs f when d has passed.
func (w *network) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.seq, run: f})
}

// runUntil runs the events up to a time, or until done reports true.
func (w *network) runUntil(end time.Duration, done func() bool) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		if done != nil && done() {
			return
		}
	}
	w.now = max(w.now, end)
}

// call is one request with its answer between two processes.
type call struct {
	from, to *Process
	traffic  *Traffic
	request  int
	// opens tells that the connection is new: delegates change with each revision,
	// neighbours do not.
	opens bool
	// serve runs at the receiver and returns the size of the answer and what runs
	// at the sender when the answer arrives.
	serve func() (size int, answered func())
	// failed runs at the sender after CallTimeout without an answer.
	failed func()
}

// send delivers a call. A lost request or answer ends it by its timeout.
func (w *network) send(c call) {
	timeout := w.now + core.CallTimeout
	fail := func() { w.after(timeout-w.now, c.from.ifRunning(c.failed)) }
	request := onWire(w.framing.Request, c.request)
	if c.opens {
		request += w.framing.Open
	}
	w.count(c.traffic, c.from, c.to, request)
	if w.drops(c.from, c.to) {
		fail()
		return
	}
	delay := latency(c.from.member, c.to.member)
	w.after(delay, func() {
		if !c.to.Running() {
			fail()
			return
		}
		size, answered := c.serve()
		w.count(c.traffic, c.to, c.from, onWire(w.framing.Response, size))
		if w.drops(c.to, c.from) {
			fail()
			return
		}
		w.after(delay, c.from.ifRunning(answered))
	})
}

func (w *network) drops(from, to *Process) bool {
	return w.cut(from.member, to.member) || w.random.Float64() < w.loss
}

func (w *network) count(t *Traffic, from, to *Process, bytes int) {
	t.add(bytes)
	from.bytes += bytes
	to.bytes += bytes
	if from.member.Region() != to.member.Region() {
		w.betweenRegions += bytes
	}
}

func latency(a, b member.Member) time.Duration {
	switch {
	case a.Region() != b.Region():
		return latencyFar
	case a.FailureDomain() != b.FailureDomain():
		return latencyRegion
	default:
		return latencyDomain
	}
}
