package suspects_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/retry"
	"github.com/primrosetally/primrosetally/internal/coordination/routing"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

const (
	serviceTime   = 200 * time.Millisecond
	crashTime     = 30 * time.Millisecond
	restartTime   = 5 * time.Second
	requestLimit  = 10 * time.Second
	refreshPeriod = 500 * time.Millisecond
	announceDelay = 2 * time.Millisecond
	pollPeriod    = 20 * time.Millisecond
	service       = "tally-writers"
	entryCount    = 8
	endpointCount = 11
)

// table is the shared table of all entries.
type table struct {
	rows map[string][]byte
	at   map[string]uint64
	down bool
}

var errDown = eris.New("table down")

func (t *table) get(_ context.Context, key string) ([]byte, uint64, error) {
	if t.down {
		return nil, 0, errDown
	}
	return t.rows[key], t.at[key], nil
}

func (t *table) compareAndSet(_ context.Context, key string, version uint64, value []byte) error {
	if t.down {
		return errDown
	}
	if t.at[key] != version {
		return suspects.ErrConflict
	}
	t.rows[key] = value
	t.at[key]++
	return nil
}

func (t *table) list(_ context.Context, prefix string, _ int) ([][]byte, error) {
	if t.down {
		return nil, errDown
	}
	var values [][]byte
	for key, value := range t.rows {
		if strings.HasPrefix(key, prefix) {
			values = append(values, value)
		}
	}
	return values, nil
}

// fleet is the entries and endpoints of one service in virtual time.
type fleet struct {
	now       time.Time
	events    []event
	seq       int
	table     *table
	entries   []*entry
	endpoints []*endpoint
	crashes   int
	announce  bool
}

type event struct {
	at  time.Time
	seq int
	run func()
}

func (f *fleet) after(d time.Duration, run func()) {
	e := event{at: f.now.Add(d), seq: f.seq, run: run}
	f.seq++
	i, _ := slices.BinarySearchFunc(f.events, e, func(a, b event) int {
		if c := b.at.Compare(a.at); c != 0 {
			return c
		}
		return b.seq - a.seq
	})
	f.events = slices.Insert(f.events, i, e)
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[len(f.events)-1].at.After(end) {
		e := f.events[len(f.events)-1]
		f.events = f.events[:len(f.events)-1]
		f.now = e.at
		e.run()
	}
	f.now = end
}

type endpoint struct {
	name        string
	incarnation uint64
	up          bool
	running     []*execution
	alone       suspects.Isolation
}

// execution is one attempt that runs on an endpoint.
type execution struct {
	ended bool
	end   func(crashed bool)
}

func (x *execution) finish(crashed bool) {
	if !x.ended {
		x.ended = true
		x.end(crashed)
	}
}

type entry struct {
	fleet    *fleet
	router   *routing.Router
	budget   *retry.Budget
	registry *suspects.Registry
}

type request struct {
	fingerprint digest.Digest
	poison      bool
	idempotent  bool
	deadline    time.Time
	sequence    *retry.Sequence
	done        func(whole bool)
}

func newFleet(announce bool) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0), announce: announce}
	f.table = &table{rows: map[string][]byte{}, at: map[string]uint64{}}
	for i := range endpointCount {
		f.endpoints = append(f.endpoints, &endpoint{
			name: fmt.Sprint("writer-", i), incarnation: 1, up: true,
		})
	}
	clock := func() time.Time { return f.now }
	for i := range entryCount {
		random := rand.New(rand.NewPCG(6, uint64(i)))
		e := &entry{fleet: f, budget: retry.NewBudget(retry.WithRandom(random.Float64))}
		e.router = routing.New(fmt.Sprint("entry-", i), routing.WithNow(clock), routing.WithRandom(random.Uint64))
		e.registry = suspects.New(f.table.get, f.table.compareAndSet, f.table.list,
			suspects.WithNow(clock), suspects.WithPropagationDelay(refreshPeriod), suspects.WithAnnounce(func(_ context.Context, s []*suspects.Suspect) { f.spread(e, s) }))
		f.entries = append(f.entries, e)
		f.after(time.Duration(i)*refreshPeriod/entryCount, e.refresh)
	}
	f.update()
	return f
}

func (f *fleet) update() {
	var list []routing.Endpoint
	for _, e := range f.endpoints {
		state := routing.Serving
		if !e.up {
			state = routing.Down
		}
		list = append(list, routing.NewEndpoint(e.name, e.name, routing.WithState(state), routing.WithIncarnation(e.incarnation)))
	}
	for _, e := range f.entries {
		e.router.SetEndpoints(service, list)
	}
}

func (f *fleet) spread(from *entry, s []*suspects.Suspect) {
	if !f.announce {
		return
	}
	for _, e := range f.entries {
		if e != from {
			f.after(announceDelay, func() { e.registry.MergeAnnounced(s) })
		}
	}
}

func (f *fleet) endpoint(name string) *endpoint {
	i := slices.IndexFunc(f.endpoints, func(e *endpoint) bool { return e.name == name })
	return f.endpoints[i]
}

func (f *fleet) crash(e *endpoint) {
	f.crashes++
	e.up = false
	lost := e.running
	e.running = nil
	for _, x := range lost {
		x.finish(true)
	}
	f.update()
	f.after(restartTime, func() {
		e.up = true
		e.incarnation++
		f.update()
	})
}

func (e *entry) refresh() {
	_ = e.registry.Refresh(context.Background())
	e.fleet.after(refreshPeriod, e.refresh)
}

// send takes a caller's request in.
func (e *entry) send(r *request) {
	r.deadline = e.fleet.now.Add(requestLimit)
	r.sequence = e.budget.Start(retry.WithIdempotent(r.idempotent))
	e.dispatch(r)
}

func (e *entry) dispatch(r *request) {
	verdict := e.registry.Admit(context.Background(), r.fingerprint, r.idempotent)
	if verdict.Kind() == suspects.Quarantined {
		r.done(false)
		return
	}
	suspect := verdict.Kind() == suspects.Isolated
	prefix := uint64(0)
	if suspect || r.poison {
		prefix = binary.LittleEndian.Uint64(r.fingerprint[:8])
	}
	choice, err := e.router.Pick(routing.NewRequest(service, routing.WithPrefix(prefix)))
	if err != nil {
		e.wait(r)
		return
	}
	target := e.fleet.endpoint(choice.Name())
	if suspect && !target.alone.TryAcquire(target.name) {
		e.router.Done(choice, routing.Refused)
		e.wait(r)
		return
	}
	e.execute(r, choice, target, suspect)
}

// wait tries again later without an attempt having been made.
func (e *entry) wait(r *request) {
	if e.fleet.now.Add(pollPeriod).After(r.deadline) {
		r.done(false)
		return
	}
	e.fleet.after(pollPeriod, func() { e.dispatch(r) })
}

func (e *entry) execute(r *request, choice routing.Choice, target *endpoint, suspect bool) {
	x := &execution{}
	x.end = func(crashed bool) {
		target.running = slices.DeleteFunc(target.running, func(other *execution) bool { return other == x })
		if suspect {
			target.alone.Release(target.name)
		}
		if crashed {
			e.crashed(r, choice)
			return
		}
		e.router.Done(choice, routing.Succeeded)
		e.registry.RecordCompletion(context.Background(), r.fingerprint, "")
		r.done(true)
	}
	target.running = append(target.running, x)
	if !r.poison {
		e.fleet.after(serviceTime, func() { x.finish(false) })
		return
	}
	e.fleet.after(crashTime, func() {
		if !x.ended {
			e.fleet.crash(target)
		}
	})
}

func (e *entry) crashed(r *request, choice routing.Choice) {
	e.router.Done(choice, routing.Unreachable)
	crash := suspects.NewCrash(choice.Name(), choice.Incarnation(), "")
	_ = e.registry.RecordCrash(context.Background(), crash, []digest.Digest{r.fingerprint})
	d := r.sequence.Decide(retry.MayHaveRun(), r.deadline.Sub(e.fleet.now))
	if d.Kind() != retry.Retry {
		r.done(false)
		return
	}
	e.fleet.after(max(d.Backoff(), e.registry.PropagationDelay()), func() { e.dispatch(r) })
}

// innocents sends idempotent requests through all entries, every fifth of them
// the same one, and counts those that got their whole answer.
func (f *fleet) innocents(period, length time.Duration) (sent, whole *int) {
	sent, whole = new(int), new(int)
	end := f.now.Add(length)
	var next func()
	next = func() {
		text := fmt.Sprint(*sent)
		if *sent%5 == 0 {
			text = "popular"
		}
		r := &request{fingerprint: digest.Of([]byte(text)), idempotent: true}
		r.done = func(ok bool) {
			if ok {
				*whole++
			}
		}
		f.entries[*sent%entryCount].send(r)
		*sent++
		if f.now.Before(end) {
			f.after(period, next)
		}
	}
	next()
	return sent, whole
}

// poison sends the request that crashes its endpoint through one entry after
// the other, each time as soon as the last answer is there and without heed of
// when to come back.
func (f *fleet) poison(first int, idempotent bool) *int {
	sent := new(int)
	var next func()
	next = func() {
		r := &request{fingerprint: digest.Of([]byte("poison")), poison: true, idempotent: idempotent}
		r.done = func(bool) { f.after(10*time.Millisecond, next) }
		*sent++
		f.entries[(first+*sent)%entryCount].send(r)
	}
	f.after(10*time.Second, next)
	return sent
}

// TestPoisonousRequest sends one request that crashes its endpoint for ever,
// beside the traffic of innocent requests.
func TestPoisonousRequest(t *testing.T) {
	const length = time.Minute
	tests := []struct {
		name       string
		idempotent bool
		announce   bool
		tableDown  bool
		callers    int
	}{
		{"idempotent", true, false, false, 1},
		{"not idempotent", false, false, false, 1},
		{"idempotent, through all entries at once", true, false, false, entryCount},
		{"not idempotent, through all entries at once", false, false, false, entryCount},
		{"idempotent, table down", true, true, true, 1},
		{"not idempotent, table down", false, true, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(tt.announce)
			f.table.down = tt.tableDown
			sent, whole := f.innocents(5*time.Millisecond, length)
			var poisoned []*int
			for i := range tt.callers {
				poisoned = append(poisoned, f.poison(i, tt.idempotent))
			}
			f.run(length + requestLimit)
			share := float64(*whole) / float64(*sent)
			t.Logf("%d innocent requests, %.3f%% whole; %d poisonous sends, %d endpoints down",
				*sent, 100*share, *poisoned[0]*tt.callers, f.crashes)
			require.LessOrEqual(t, f.crashes, 3)
			require.GreaterOrEqual(t, share, 0.999)
			require.Greater(t, *poisoned[0], 1000)
		})
	}
}
