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
	retryPeriod   = 20 * time.Millisecond
	service       = "tally-writers"
	entryCount    = 8
	endpointCount = 11
)

// table is the table that all entries share.
type table struct {
	rows        map[string][]byte
	versions    map[string]uint64
	unavailable bool
}

var errUnavailable = eris.New("table unavailable")

func (t *table) get(_ context.Context, key string) ([]byte, uint64, error) {
	if t.unavailable {
		return nil, 0, errUnavailable
	}
	return t.rows[key], t.versions[key], nil
}

func (t *table) compareAndSet(_ context.Context, key string, version uint64, value []byte) error {
	if t.unavailable {
		return errUnavailable
	}
	if t.versions[key] != version {
		return suspects.ErrConflict
	}
	t.rows[key] = value
	t.versions[key]++
	return nil
}

func (t *table) list(_ context.Context, prefix string, _ int) ([][]byte, error) {
	if t.unavailable {
		return nil, errUnavailable
	}
	var values [][]byte
	for key, value := range t.rows {
		if strings.HasPrefix(key, prefix) {
			values = append(values, value)
		}
	}
	return values, nil
}

// simulation holds the entries and endpoints of one service and runs them in virtual
// time.
type simulation struct {
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

func (sm *simulation) after(d time.Duration, run func()) {
	e := event{at: sm.now.Add(d), seq: sm.seq, run: run}
	sm.seq++
	i, _ := slices.BinarySearchFunc(sm.events, e, func(a, b event) int {
		if c := b.at.Compare(a.at); c != 0 {
			return c
		}
		return b.seq - a.seq
	})
	sm.events = slices.Insert(sm.events, i, e)
}

func (sm *simulation) run(d time.Duration) {
	end := sm.now.Add(d)
	for len(sm.events) > 0 && !sm.events[len(sm.events)-1].at.After(end) {
		e := sm.events[len(sm.events)-1]
		sm.events = sm.events[:len(sm.events)-1]
		sm.now = e.at
		e.run()
	}
	sm.now = end
}

type endpoint struct {
	name        string
	incarnation uint64
	up          bool
	running     []*execution
	isolation   suspects.Isolation
}

// execution is one attempt running on an endpoint.
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
	sim      *simulation
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
	done        func(completed bool)
}

func newSimulation(announce bool) *simulation {
	sm := &simulation{now: time.Unix(1_700_000_000, 0), announce: announce}
	sm.table = &table{rows: map[string][]byte{}, versions: map[string]uint64{}}
	for i := range endpointCount {
		sm.endpoints = append(sm.endpoints, &endpoint{
			name: fmt.Sprint("writer-", i), incarnation: 1, up: true,
		})
	}
	clock := func() time.Time { return sm.now }
	for i := range entryCount {
		random := rand.New(rand.NewPCG(6, uint64(i)))
		e := &entry{sim: sm, budget: retry.NewBudget(retry.WithRandom(random.Float64))}
		e.router = routing.New(fmt.Sprint("entry-", i), routing.WithNow(clock), routing.WithRandom(random.Uint64))
		e.registry = suspects.New(sm.table.get, sm.table.compareAndSet, sm.table.list,
			suspects.WithNow(clock), suspects.WithPropagationDelay(refreshPeriod), suspects.WithAnnounce(func(_ context.Context, s []*suspects.Suspect) { sm.announceToPeers(e, s) }))
		sm.entries = append(sm.entries, e)
		sm.after(time.Duration(i)*refreshPeriod/entryCount, e.refresh)
	}
	sm.update()
	return sm
}

func (sm *simulation) update() {
	var list []routing.Endpoint
	for _, e := range sm.endpoints {
		state := routing.Serving
		if !e.up {
			state = routing.Down
		}
		list = append(list, routing.NewEndpoint(e.name, e.name, routing.WithState(state), routing.WithIncarnation(e.incarnation)))
	}
	for _, e := range sm.entries {
		e.router.SetEndpoints(service, list)
	}
}

func (sm *simulation) announceToPeers(from *entry, s []*suspects.Suspect) {
	if !sm.announce {
		return
	}
	for _, e := range sm.entries {
		if e != from {
			sm.after(announceDelay, func() { e.registry.MergeAnnounced(s) })
		}
	}
}

func (sm *simulation) endpoint(name string) *endpoint {
	i := slices.IndexFunc(sm.endpoints, func(e *endpoint) bool { return e.name == name })
	return sm.endpoints[i]
}

func (sm *simulation) crash(e *endpoint) {
	sm.crashes++
	e.up = false
	lost := e.running
	e.running = nil
	for _, x := range lost {
		x.finish(true)
	}
	sm.update()
	sm.after(restartTime, func() {
		e.up = true
		e.incarnation++
		sm.update()
	})
}

func (e *entry) refresh() {
	_ = e.registry.Refresh(context.Background())
	e.sim.after(refreshPeriod, e.refresh)
}

// send accepts a caller's request.
func (e *entry) send(r *request) {
	r.deadline = e.sim.now.Add(requestLimit)
	r.sequence = e.budget.Start(retry.WithIdempotent(r.idempotent))
	e.dispatch(r)
}

func (e *entry) dispatch(r *request) {
	decision := e.registry.Admit(context.Background(), r.fingerprint, r.idempotent)
	if decision.Kind() == suspects.Quarantined {
		r.done(false)
		return
	}
	suspect := decision.Kind() == suspects.Isolated
	prefix := uint64(0)
	if suspect || r.poison {
		prefix = binary.LittleEndian.Uint64(r.fingerprint[:8])
	}
	choice, err := e.router.Pick(routing.NewRequest(service, routing.WithPrefix(prefix)))
	if err != nil {
		e.retryLater(r)
		return
	}
	target := e.sim.endpoint(choice.Name())
	if suspect && !target.isolation.TryAcquire(target.name) {
		e.router.Done(choice, routing.Refused)
		e.retryLater(r)
		return
	}
	e.execute(r, choice, target, suspect)
}

// retryLater dispatches the request again after retryPeriod. It does not count as an
// attempt.
func (e *entry) retryLater(r *request) {
	if e.sim.now.Add(retryPeriod).After(r.deadline) {
		r.done(false)
		return
	}
	e.sim.after(retryPeriod, func() { e.dispatch(r) })
}

func (e *entry) execute(r *request, choice routing.Choice, target *endpoint, suspect bool) {
	x := &execution{}
	x.end = func(crashed bool) {
		target.running = slices.DeleteFunc(target.running, func(other *execution) bool { return other == x })
		if suspect {
			target.isolation.Release(target.name)
		}
		if crashed {
			e.handleCrash(r, choice)
			return
		}
		e.router.Done(choice, routing.Succeeded)
		e.registry.RecordCompletion(context.Background(), r.fingerprint, "")
		r.done(true)
	}
	target.running = append(target.running, x)
	if !r.poison {
		e.sim.after(serviceTime, func() { x.finish(false) })
		return
	}
	e.sim.after(crashTime, func() {
		if !x.ended {
			e.sim.crash(target)
		}
	})
}

func (e *entry) handleCrash(r *request, choice routing.Choice) {
	e.router.Done(choice, routing.Unreachable)
	crash := suspects.NewCrash(choice.Name(), choice.Incarnation(), "")
	_ = e.registry.RecordCrash(context.Background(), crash, []digest.Digest{r.fingerprint})
	d := r.sequence.Decide(retry.MayHaveRun(), r.deadline.Sub(e.sim.now))
	if d.Kind() != retry.Retry {
		r.done(false)
		return
	}
	e.sim.after(max(d.Backoff(), e.registry.PropagationDelay()), func() { e.dispatch(r) })
}

// startHarmlessLoad sends idempotent requests through all entries. Every fifth request
// is the same one. It counts the requests that got a complete response.
func (sm *simulation) startHarmlessLoad(period, length time.Duration) (sent, completed *int) {
	sent, completed = new(int), new(int)
	end := sm.now.Add(length)
	var next func()
	next = func() {
		text := fmt.Sprint(*sent)
		if *sent%5 == 0 {
			text = "popular"
		}
		r := &request{fingerprint: digest.Of([]byte(text)), idempotent: true}
		r.done = func(ok bool) {
			if ok {
				*completed++
			}
		}
		sm.entries[*sent%entryCount].send(r)
		*sent++
		if sm.now.Before(end) {
			sm.after(period, next)
		}
	}
	next()
	return sent, completed
}

// startPoisonLoad sends a request that crashes its endpoint through one entry after
// the other. It sends the next one 10 ms after each response and ignores the time after
// which to retry.
func (sm *simulation) startPoisonLoad(first int, idempotent bool) *int {
	sent := new(int)
	var next func()
	next = func() {
		r := &request{fingerprint: digest.Of([]byte("poison")), poison: true, idempotent: idempotent}
		r.done = func(bool) { sm.after(10*time.Millisecond, next) }
		*sent++
		sm.entries[(first+*sent)%entryCount].send(r)
	}
	sm.after(10*time.Second, next)
	return sent
}

// TestPoisonRequest guards against a request that crashes every endpoint it runs on.
// Its callers send it without pause, together with a load of harmless requests. At most
// three crashes may occur, and nearly all harmless requests must complete.
func TestPoisonRequest(t *testing.T) {
	const length = time.Minute
	tests := []struct {
		name             string
		idempotent       bool
		announce         bool
		tableUnavailable bool
		callers          int
	}{
		{"idempotent", true, false, false, 1},
		{"not idempotent", false, false, false, 1},
		{"idempotent, through all entries at once", true, false, false, entryCount},
		{"not idempotent, through all entries at once", false, false, false, entryCount},
		{"idempotent, table unavailable", true, true, true, 1},
		{"not idempotent, table unavailable", false, true, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sm := newSimulation(tt.announce)
			sm.table.unavailable = tt.tableUnavailable
			sent, completed := sm.startHarmlessLoad(5*time.Millisecond, length)
			var poisonSends []*int
			for i := range tt.callers {
				poisonSends = append(poisonSends, sm.startPoisonLoad(i, tt.idempotent))
			}
			sm.run(length + requestLimit)
			completedShare := float64(*completed) / float64(*sent)
			t.Logf("%d harmless requests, %.3f%% completed; %d poison sends, %d endpoint crashes",
				*sent, 100*completedShare, *poisonSends[0]*tt.callers, sm.crashes)
			require.LessOrEqual(t, sm.crashes, 3)
			require.GreaterOrEqual(t, completedShare, 0.999)
			require.Greater(t, *poisonSends[0], 1000)
		})
	}
}
