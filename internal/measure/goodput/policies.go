package goodput

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
)

// policy is a way to place requests. Its functions are called in virtual time.
type policy struct {
	name string
	// start prepares for the engines.
	start func(f *field)
	// offer takes a request at one of the entries.
	offer func(f *field, q *request)
	// tick is called at each step.
	tick func(f *field)
	// ended is told of each request that an engine has ended.
	ended func(f *field, q *request)
}

func policies() []policy {
	return []policy{placed(), newestFirst(), leastRequests(), random(), firstCome()}
}

func nothing(*field)         {}
func noEnd(*field, *request) {}

// newestFirst hands an engine the newest request as soon as it has a free slot and turns
// away what has waited too long. No entry could know the engines so well.
func newestFirst() policy {
	var waiting []*request
	return policy{
		name:  "newest first, all known",
		start: func(*field) { waiting = nil },
		offer: func(_ *field, q *request) { waiting = append(waiting, q) },
		tick: func(f *field) {
			for len(waiting) > 0 {
				e := f.freest()
				if e == nil {
					break
				}
				f.send(waiting[len(waiting)-1], e)
				waiting = waiting[:len(waiting)-1]
			}
			for len(waiting) > 0 && f.now-waiting[0].arrived > target {
				f.refuse(waiting[0], never)
				waiting = waiting[1:]
			}
		},
		ended: noEnd,
	}
}

// random sends each request to some engine at once.
func random() policy {
	return policy{
		name: "random", start: nothing, tick: nothing, ended: noEnd,
		offer: func(f *field, q *request) { f.send(q, f.alive()[f.random.IntN(len(f.alive()))]) },
	}
}

// leastRequests sends each request at once to the engine with the fewest requests, as
// known from the last summaries and the own requests since.
func leastRequests() policy {
	var told map[*engine]int
	return policy{
		name: "least requests", start: func(*field) { told = make(map[*engine]int) }, ended: noEnd,
		tick: func(f *field) {
			if f.summaryDue() {
				for _, e := range f.engines {
					told[e] = e.load()
				}
			}
		},
		offer: func(f *field, q *request) {
			best := f.alive()[f.random.IntN(len(f.alive()))]
			for _, e := range f.alive() {
				if told[e] < told[best] {
					best = e
				}
			}
			told[best]++
			f.send(q, best)
		},
	}
}

// firstCome lets requests wait in order of arrival, for as long as their callers do.
func firstCome() policy {
	var waiting []*request
	return policy{
		name:  "first come, no refusal",
		start: func(*field) { waiting = nil },
		offer: func(_ *field, q *request) { waiting = append(waiting, q) },
		tick: func(f *field) {
			for len(waiting) > 0 {
				e := f.freest()
				if e == nil {
					return
				}
				f.send(waiting[0], e)
				waiting = waiting[1:]
			}
		},
		ended: noEnd,
	}
}

// entries is the number of entries that place requests.
const entries = 4

// placed uses the decisions of the fleet's entries.
func placed() policy {
	var pools []*placement.Pool
	var waiting []*request
	settle := func(f *field) {
		still := waiting[:0]
		for _, q := range waiting {
			select {
			case v := <-q.ticket.Decision():
				f.settle(q, v)
			default:
				still = append(still, q)
			}
		}
		waiting = still
	}
	return policy{
		name: "entries",
		start: func(f *field) {
			waiting, pools = nil, nil
			for i := range entries {
				p := placement.New(placement.WithDomain(domain), placement.WithOvercommit(1), placement.WithRandom(f.random.Float64))
				p.SetLatencyModel(placement.LatencyModel{Step: pass, StepPerRequest: passPerRequest, PrefillPerToken: readToken})
				p.SetEndpoints(f.now, f.candidates(i))
				pools = append(pools, p)
			}
		},
		offer: func(f *field, q *request) {
			q.entry = f.random.IntN(entries)
			q.ticket = pools[q.entry].Submit(f.now, placement.Request{
				Arrived: q.arrived, Target: target, Deadline: q.deadline, Prompt: q.prompt,
			})
			waiting = append(waiting, q)
		},
		tick: func(f *field) {
			if f.summaryDue() {
				tell(f, pools)
			}
			for _, p := range pools {
				p.Expire(f.now)
			}
			for _, q := range f.begun() {
				pools[q.entry].RecordFirstEvent(f.now, &q.choice)
			}
			settle(f)
		},
		ended: func(f *field, q *request) {
			pools[q.entry].Release(f.now, q.choice, placement.Succeeded)
		},
	}
}

// tell gives each entry what the others have in flight, and its share of the rest.
func tell(f *field, pools []*placement.Pool) {
	for i, p := range pools {
		others := make(map[string]placement.Load)
		for j, other := range pools {
			if i == j {
				continue
			}
			for _, l := range other.Loads() {
				w := others[l.ID]
				w.InFlight += l.InFlight
				w.PrefillTokens += l.PrefillTokens
				others[l.ID] = w
			}
		}
		p.SetEndpoints(f.now, f.candidates(i))
		p.SetPeerLoad(f.now, func(id string) placement.Load { return others[id] })
		p.GrantQuota(f.now, placement.EntryCounts{SameRegion: entries}, true)
	}
}

const domain = "a"

// candidates returns the engines as an entry lists them.
func (f *field) candidates(entry int) []placement.Candidate {
	var list []placement.Candidate
	for _, e := range f.alive() {
		list = append(list, placement.Candidate{ID: e.name, Address: e.name, Domain: domain, Slots: slots, SameRegion: true})
	}
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprint("entry-", i))
	}
	placement.MarkPreferred(list, map[string][]string{domain: names}, domain, names[entry])
	return list
}

// newRandom returns the numbers of a run.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// never is what a caller is told who need not come back.
const never = time.Duration(0)
