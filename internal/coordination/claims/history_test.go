package claims_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosetally/primrosetally/internal/coordination/claims"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// fault is what happens to one access of an actor to the table or the agent.
type fault int

const (
	none        fault = iota
	unavailable       // nothing happens
	lostApplied       // takes effect, the answer is lost
	lostDropped       // no effect, the answer is lost
	lostDelayed       // takes effect later, the answer is lost
	killed            // the entry dies
)

// actor is one call of an entry that stops before each access to the outside.
// Only one actor runs at a time, so a history is fixed by rapid's draws.
type actor struct {
	entry  int
	parked chan struct{}
	resume chan fault
	ended  chan struct{}
}

type actorKey struct{}

func (a *actor) pause() fault {
	a.parked <- struct{}{}
	f := <-a.resume
	if f == killed {
		runtime.Goexit()
	}
	return f
}

type cell struct {
	value   []byte
	version uint64
}

type delayedWrite struct {
	key     string
	version uint64
	value   []byte
}

// send is one transmission of a key as its caller sees it.
type send struct {
	id     string
	number uint32
	ran    bool
	told   claims.Kind
}

type keyHistory struct {
	key   claims.Key
	runs  int
	sends []*send
}

func (k *keyHistory) notRunThrough() uint32 {
	n := uint32(0)
	for _, s := range k.sends {
		if s.told != claims.NotRun {
			break
		}
		n++
	}
	return n
}

type world struct {
	t       *rapid.T
	now     time.Time
	rows    map[string]cell
	version uint64
	delayed []delayedWrite
	entries []*claims.Claims
	keys    []*keyHistory
	actors  []*actor
	nextID  int
	// numbered callers give the numbers of their sends.
	numbered bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.UnixMilli(1_700_000_000_000), rows: map[string]cell{}}
	w.numbered = rapid.Bool().Draw(t, "numbered")
	for i := range 3 {
		w.entries = append(w.entries, w.newEntry(i))
	}
	for i := range 2 {
		w.keys = append(w.keys, &keyHistory{key: claims.NewKey(w.now, [16]byte{byte(i)})})
	}
	return w
}

func (w *world) newEntry(i int) *claims.Claims {
	return claims.New(fmt.Sprint("entry-", i), 1, w.get, w.compareAndSet,
		claims.WithNow(func() time.Time { return w.now }))
}

func (w *world) get(ctx context.Context, key string) ([]byte, uint64, error) {
	a := ctx.Value(actorKey{}).(*actor)
	if a.pause() != none {
		return nil, 0, claims.ErrUnavailable
	}
	c := w.rows[key]
	return c.value, c.version, nil
}

func (w *world) compareAndSet(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	a := ctx.Value(actorKey{}).(*actor)
	switch a.pause() {
	case unavailable:
		return 0, claims.ErrUnavailable
	case lostApplied:
		_, _ = w.apply(key, version, value)
		return 0, claims.ErrUnknown
	case lostDropped:
		return 0, claims.ErrUnknown
	case lostDelayed:
		w.delayed = append(w.delayed, delayedWrite{key, version, value})
		return 0, claims.ErrUnknown
	}
	return w.apply(key, version, value)
}

func (w *world) apply(key string, version uint64, value []byte) (uint64, error) {
	if w.rows[key].version != version {
		return 0, claims.ErrConflict
	}
	w.version++
	w.rows[key] = cell{value, w.version}
	return w.version, nil
}

// start runs call up to its first access.
func (w *world) start(entry int, call func(ctx context.Context, a *actor)) {
	a := &actor{entry: entry, parked: make(chan struct{}), resume: make(chan fault), ended: make(chan struct{})}
	w.actors = append(w.actors, a)
	go func() {
		defer close(a.ended)
		call(context.WithValue(context.Background(), actorKey{}, a), a)
	}()
	w.await(a)
}

func (w *world) await(a *actor) {
	select {
	case <-a.parked:
	case <-a.ended:
		for i, other := range w.actors {
			if other == a {
				w.actors = append(w.actors[:i], w.actors[i+1:]...)
				return
			}
		}
	}
}

func (w *world) step(a *actor, f fault) {
	a.resume <- f
	w.await(a)
}

// request sends a key through an entry, as a caller that may not have waited
// for its earlier sends.
func (w *world) request(entry int, k *keyHistory) *send {
	w.nextID++
	s := &send{id: fmt.Sprint("request-", w.nextID), number: uint32(len(k.sends) + 1)}
	options := []claims.RequestOption{claims.WithReceived(w.now)}
	if w.numbered {
		options = append(options, claims.WithSend(s.number, k.notRunThrough()))
	}
	k.sends = append(k.sends, s)
	r := claims.NewRequest(s.id, "bookings", "planner", k.key, digest.Of([]byte("body")), options...)
	c := w.entries[entry]
	w.start(entry, func(ctx context.Context, a *actor) {
		d := c.Begin(ctx, r)
		if d.Kind() == claims.Stored {
			require.Equal(w.t, 1, k.runs)
			require.Equal(w.t, "seat held", string(d.Response().Body()))
		}
		if d.Kind() == claims.Run {
			w.dispatch(ctx, a, c, d.Claim(), k, s)
			return
		}
		w.tell(k, s, d.Kind())
	})
	return s
}

// dispatch stands for the agent; the fault decides what becomes of the attempt.
func (w *world) dispatch(ctx context.Context, a *actor, c *claims.Claims, claim claims.Claim, k *keyHistory, s *send) {
	outcome, told := claims.Completed(claims.NewResponse(200, nil, []byte("seat held"))), claims.Stored
	f := a.pause()
	switch f {
	case unavailable:
		outcome, told = claims.NeverRan("leaving"), claims.NotRun
	case lostApplied, lostDropped, lostDelayed:
		outcome, told = claims.MayHaveRun("connection lost"), claims.Unknown
	}
	if f == none || f == lostApplied {
		k.runs++
		s.ran = true
		w.check(k)
	}
	_ = c.Finish(ctx, claim, outcome)
	w.tell(k, s, told)
}

func (w *world) tell(k *keyHistory, s *send, kind claims.Kind) {
	s.told = kind
	w.check(k)
}

func (w *world) check(k *keyHistory) {
	require.LessOrEqual(w.t, k.runs, 1, "ran more than once")
	for i, s := range k.sends {
		if s.told != claims.NotRun {
			continue
		}
		require.False(w.t, s.ran, "%s ran, told not run", s.id)
		if !w.numbered {
			continue
		}
		for _, earlier := range k.sends[:i] {
			require.False(w.t, earlier.ran, "%s ran, not run was said for the key", earlier.id)
		}
	}
}

// kill ends all calls of an entry where they are and starts it anew.
func (w *world) kill(entry int) {
	for _, a := range append([]*actor(nil), w.actors...) {
		if a.entry == entry {
			w.step(a, killed)
		}
	}
	w.entries[entry] = w.newEntry(entry)
}

func (w *world) finishAll() {
	for len(w.actors) > 0 {
		w.step(w.actors[0], none)
	}
}

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "6", "rapid.checks": "1500", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestHistories runs sends of two keys through three entries, interleaved at
// every access to the table and the agent, with kills, lost, delayed and refused
// writes and two sends at once.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				if len(w.actors) > 6 {
					return
				}
				w.request(rapid.IntRange(0, 2).Draw(t, "entry"), rapid.SampledFrom(w.keys).Draw(t, "key"))
			},
			"step": func(t *rapid.T) {
				if len(w.actors) == 0 {
					return
				}
				a := rapid.SampledFrom(w.actors).Draw(t, "actor")
				w.step(a, fault(rapid.IntRange(0, int(lostDelayed)).Draw(t, "fault")))
			},
			"proceed": func(t *rapid.T) {
				if len(w.actors) == 0 {
					return
				}
				w.step(rapid.SampledFrom(w.actors).Draw(t, "actor"), none)
			},
			"settle": func(t *rapid.T) {
				entry := rapid.IntRange(0, 2).Draw(t, "entry")
				c := w.entries[entry]
				w.start(entry, func(ctx context.Context, _ *actor) { c.Flush(ctx) })
			},
			"arrive": func(_ *rapid.T) {
				if len(w.delayed) == 0 {
					return
				}
				d := w.delayed[0]
				w.delayed = w.delayed[1:]
				_, _ = w.apply(d.key, d.version, d.value)
			},
			"kill": func(t *rapid.T) {
				w.kill(rapid.IntRange(0, 2).Draw(t, "entry"))
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "milliseconds")) * time.Millisecond)
			},
		})
		w.finishAll()
		w.checkNotBlocked()
	})
}

// checkNotBlocked sends each key once more after all faults are over: a key of
// which every send was answered "not run" must run.
func (w *world) checkNotBlocked() {
	for _, d := range w.delayed {
		_, _ = w.apply(d.key, d.version, d.value)
	}
	for _, k := range w.keys {
		if !w.numbered || int(k.notRunThrough()) != len(k.sends) {
			continue
		}
		s := w.request(0, k)
		w.finishAll()
		require.Equal(w.t, claims.Stored, s.told, "key blocked")
		require.Equal(w.t, 1, k.runs)
	}
}
