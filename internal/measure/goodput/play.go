package goodput

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
)

// Figures of the load.
const (
	engines = 12
	target  = 450 * time.Millisecond // from a caller's first request to the first event
	// patience is how long a caller waits in all; it keeps to a third of what is left
	// when told to come back.
	patience = 6 * time.Second
	// shortPrompt and longPrompt are drawn with equal chance, in tokens.
	shortPrompt, longPrompt = 300, 1500
	step                    = 5 * time.Millisecond
	summaryInterval         = 100 * time.Millisecond
	mostTries               = 4
)

// cost is the least time of an engine that a request takes: its share of full passes, and
// the reading of its prompt.
func cost(prompt int) time.Duration {
	const full = pass + slots*passPerRequest
	return answerEvents*full/slots + time.Duration(prompt)*readToken
}

// carried is what all engines carry together, in requests a second.
func carried() float64 {
	return engines * float64(time.Second) / float64(cost((shortPrompt+longPrompt)/2))
}

// request is one caller with what became of it.
type request struct {
	arrived, deadline time.Duration
	prompt, unread    int
	events, tries     int
	first, ended      time.Duration
	engine            *engine
	lost              bool // with its engine
	refused           int

	entry    int
	ticket   *placement.Ticket
	choice   placement.Choice
	placedAt time.Duration
}

// field is a run in progress.
type field struct {
	now     time.Duration
	random  *rand.Rand
	engines []*engine
	all     []*request
	sent    []*request // whose first event has not come
	returns map[time.Duration][]*request
	policy  policy
	lags    []time.Duration // of first events behind their prediction
	told    time.Duration   // of the last summaries
	due     bool            // summaries go out in this step
}

// play runs a policy under a load.
func play(p policy, shape Shape, load float64, seed uint64) Result {
	f := &field{random: newRandom(seed), returns: make(map[time.Duration][]*request), policy: p}
	for i := range engines {
		f.engines = append(f.engines, &engine{name: fmt.Sprintf("engine-%02d", i)})
	}
	p.start(f)
	for ; f.now < runLength+afterRun; f.now += step {
		f.change(shape)
		f.work()
		f.due = f.now-f.told >= summaryInterval
		if f.due {
			f.told = f.now
		}
		p.tick(f)
		for _, q := range f.returns[f.now] {
			f.offer(q)
		}
		delete(f.returns, f.now)
		f.arrive(shape, load)
	}
	return f.result(p.name, shape, load)
}

// change takes a third of the engines away in a run with a loss. What they had is lost.
func (f *field) change(shape Shape) {
	if shape != Loss || f.now != changesAt {
		return
	}
	for _, e := range f.engines[:engines/3] {
		e.gone = true
		for _, q := range append(e.running, e.queue...) {
			q.lost = true
			f.policy.ended(f, q)
		}
		e.running, e.queue, e.passEnd = nil, nil, 0
	}
}

// work lets the engines work up to now.
func (f *field) work() {
	for _, e := range f.engines {
		if e.gone {
			continue
		}
		for _, q := range e.advance(f.now) {
			f.policy.ended(f, q)
		}
	}
}

// arrive draws the requests that come in this step.
func (f *field) arrive(shape Shape, load float64) {
	if f.now >= runLength {
		return
	}
	if shape == Jump && f.now < changesAt {
		load = min(load, 0.5)
	}
	for expected := load * carried() * step.Seconds(); expected > 0; expected-- {
		if f.random.Float64() >= expected {
			continue
		}
		q := &request{arrived: f.now, deadline: f.now + patience, prompt: shortPrompt}
		if f.random.IntN(2) == 0 {
			q.prompt = longPrompt
		}
		f.all = append(f.all, q)
		f.offer(q)
	}
}

func (f *field) offer(q *request) {
	q.tries++
	f.policy.offer(f, q)
}

// settle takes the verdict on a request.
func (f *field) settle(q *request, v placement.Decision) {
	if !v.Placed() {
		f.refuse(q, v.RetryAfter())
		return
	}
	q.choice = v.Choice()
	i := slices.IndexFunc(f.engines, func(e *engine) bool { return e.name == q.choice.ID })
	f.send(q, f.engines[i])
}

// send hands a request to an engine.
func (f *field) send(q *request, e *engine) {
	q.engine, q.placedAt, q.unread = e, f.now, q.prompt
	if e.gone {
		q.lost = true
		f.policy.ended(f, q)
		return
	}
	e.queue = append(e.queue, q)
	f.sent = append(f.sent, q)
}

// refuse tells a caller to come back, 0 for never.
func (f *field) refuse(q *request, retryAfter time.Duration) {
	q.refused++
	wait := min(retryAfter, (q.deadline-f.now)/3)
	if retryAfter <= 0 || wait < step || q.tries >= mostTries {
		return
	}
	at := f.now + wait/step*step + step
	f.returns[at] = append(f.returns[at], q)
}

// begun returns the requests whose first event has come since the last call.
func (f *field) begun() []*request {
	var list []*request
	f.sent = slices.DeleteFunc(f.sent, func(q *request) bool {
		if q.first > 0 {
			list = append(list, q)
			f.lags = append(f.lags, q.first-q.placedAt-q.choice.FirstEventDelay())
		}
		return q.first > 0 || q.lost
	})
	return list
}

func (f *field) summaryDue() bool { return f.due }

// alive returns the engines that have not gone.
func (f *field) alive() []*engine {
	return slices.DeleteFunc(slices.Clone(f.engines), func(e *engine) bool { return e.gone })
}

// freest returns the engine with the most free slots, nil for none.
func (f *field) freest() *engine {
	var best *engine
	for _, e := range f.alive() {
		if e.load() < slots && (best == nil || e.load() < best.load()) {
			best = e
		}
	}
	return best
}

// result counts what began after the load has changed, or in the whole run where it does
// not, and what became of those who came then.
func (f *field) result(name string, shape Shape, load float64) Result {
	x := Result{Policy: name, Shape: shape, Load: load}
	from := time.Duration(0)
	if shape != Steady {
		from = changesAt
	}
	n, refused, again := 0, 0, 0
	var offered, inTime, late time.Duration
	for _, q := range f.all {
		if q.first >= from && q.first > 0 && q.first < runLength && q.whole() {
			if q.first-q.arrived <= target {
				x.InTime++
				inTime += cost(q.prompt)
			} else {
				late += cost(q.prompt)
			}
		}
		if q.arrived < from {
			continue
		}
		n++
		offered += cost(q.prompt)
		if q.engine == nil && q.refused > 0 {
			refused++
		}
		if q.refused > 1 {
			again++
		}
	}
	length := runLength - from
	bound := min(offered, time.Duration(len(f.alive()))*length).Seconds()
	x.InTime /= length.Seconds()
	x.OfBound = inTime.Seconds() / bound
	x.Answered = (inTime + late).Seconds() / bound
	x.Refused = float64(refused) / float64(max(n, 1))
	x.RefusedAgain = float64(again) / float64(max(n, 1))
	x.Misjudged = f.misjudged()
	return x
}

// whole reports whether the caller got all of its answer.
func (q *request) whole() bool { return !q.lost && q.ended > 0 && q.ended <= q.deadline }

// misjudged returns the 95th percentile of the lag of first events, in milliseconds.
func (f *field) misjudged() float64 {
	if len(f.lags) == 0 {
		return 0
	}
	slices.Sort(f.lags)
	return float64(f.lags[len(f.lags)*95/100].Microseconds()) / 1000
}
