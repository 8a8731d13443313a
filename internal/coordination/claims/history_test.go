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

// fault is the fault injected into one access of an actor to the table or the agent.
type fault int

const (
	none             fault = iota
	unavailable            // nothing happens
	replyLostApplied       // takes effect, the reply is lost
	replyLostDropped       // no effect, the reply is lost
	replyLostDelayed       // takes effect later, the reply is lost
	killed                 // the entry crashes
)

// actor is one call of an entry. It pauses before each access to the table or the
// agent. Only one actor runs at a time, so rapid's draws determine the history.
type actor struct {
	entry  int
	paused chan struct{}
	resume chan fault
	done   chan struct{}
}

type actorKey struct{}

func (a *actor) awaitFault() fault {
	a.paused <- struct{}{}
	f := <-a.resume
	if f == killed {
		runtime.Goexit()
	}
	return f
}

type tableRow struct {
	value   []byte
	version uint64
}

type delayedWrite struct {
	key     string
	version uint64
	value   []byte
}

// send is one transmission of a key, as observed by its caller.
type send struct {
	id       string
	number   uint32
	ran      bool
	reported claims.Kind
}

type keyHistory struct {
	key   claims.Key
	runs  int
	sends []*send
}

func (k *keyHistory) notRunThrough() uint32 {
	n := uint32(0)
	for _, s := range k.sends {
		if s.reported != claims.NotRun {
			break
		}
		n++
	}
	return n
}

type simulation struct {
	t       *rapid.T
	now     time.Time
	rows    map[string]tableRow
	version uint64
	delayed []delayedWrite
	entries []*claims.Claims
	keys    []*keyHistory
	actors  []*actor
	nextID  int
	// numbered is true if the callers send the number of each send.
	numbered bool
}

func newSimulation(t *rapid.T) *simulation {
	sm := &simulation{t: t, now: time.UnixMilli(1_700_000_000_000), rows: map[string]tableRow{}}
	sm.numbered = rapid.Bool().Draw(t, "numbered")
	for i := range 3 {
		sm.entries = append(sm.entries, sm.newEntry(i))
	}
	for i := range 2 {
		sm.keys = append(sm.keys, &keyHistory{key: claims.NewKey(sm.now, [16]byte{byte(i)})})
	}
	return sm
}

func (sm *simulation) newEntry(i int) *claims.Claims {
	return claims.New(fmt.Sprint("entry-", i), 1, sm.get, sm.compareAndSet,
		claims.WithNow(func() time.Time { return sm.now }))
}

func (sm *simulation) get(ctx context.Context, key string) ([]byte, uint64, error) {
	a := ctx.Value(actorKey{}).(*actor)
	if a.awaitFault() != none {
		return nil, 0, claims.ErrUnavailable
	}
	c := sm.rows[key]
	return c.value, c.version, nil
}

func (sm *simulation) compareAndSet(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	a := ctx.Value(actorKey{}).(*actor)
	switch a.awaitFault() {
	case unavailable:
		return 0, claims.ErrUnavailable
	case replyLostApplied:
		_, _ = sm.apply(key, version, value)
		return 0, claims.ErrUnknown
	case replyLostDropped:
		return 0, claims.ErrUnknown
	case replyLostDelayed:
		sm.delayed = append(sm.delayed, delayedWrite{key, version, value})
		return 0, claims.ErrUnknown
	}
	return sm.apply(key, version, value)
}

func (sm *simulation) apply(key string, version uint64, value []byte) (uint64, error) {
	if sm.rows[key].version != version {
		return 0, claims.ErrConflict
	}
	sm.version++
	sm.rows[key] = tableRow{value, sm.version}
	return sm.version, nil
}

// start runs call until its first access.
func (sm *simulation) start(entry int, call func(ctx context.Context, a *actor)) {
	a := &actor{entry: entry, paused: make(chan struct{}), resume: make(chan fault), done: make(chan struct{})}
	sm.actors = append(sm.actors, a)
	go func() {
		defer close(a.done)
		call(context.WithValue(context.Background(), actorKey{}, a), a)
	}()
	sm.await(a)
}

func (sm *simulation) await(a *actor) {
	select {
	case <-a.paused:
	case <-a.done:
		for i, other := range sm.actors {
			if other == a {
				sm.actors = append(sm.actors[:i], sm.actors[i+1:]...)
				return
			}
		}
	}
}

func (sm *simulation) step(a *actor, f fault) {
	a.resume <- f
	sm.await(a)
}

// request sends a key through an entry. The caller may not have waited for the results
// of its earlier sends.
func (sm *simulation) request(entry int, k *keyHistory) *send {
	sm.nextID++
	s := &send{id: fmt.Sprint("request-", sm.nextID), number: uint32(len(k.sends) + 1)}
	options := []claims.RequestOption{claims.WithReceived(sm.now)}
	if sm.numbered {
		options = append(options, claims.WithSend(s.number, k.notRunThrough()))
	}
	k.sends = append(k.sends, s)
	r := claims.NewRequest(s.id, "bookings", "planner", k.key, digest.Of([]byte("body")), options...)
	c := sm.entries[entry]
	sm.start(entry, func(ctx context.Context, a *actor) {
		d := c.Begin(ctx, r)
		if d.Kind() == claims.Stored {
			require.Equal(sm.t, 1, k.runs)
			require.Equal(sm.t, "seat held", string(d.Response().Body()))
		}
		if d.Kind() == claims.Run {
			sm.dispatch(ctx, a, c, d.Claim(), k, s)
			return
		}
		sm.report(k, s, d.Kind())
	})
	return s
}

// dispatch simulates the agent; the injected fault determines the result of the attempt.
func (sm *simulation) dispatch(ctx context.Context, a *actor, c *claims.Claims, claim claims.Claim, k *keyHistory, s *send) {
	outcome, reported := claims.Completed(claims.NewResponse(200, nil, []byte("seat held"))), claims.Stored
	f := a.awaitFault()
	switch f {
	case unavailable:
		outcome, reported = claims.NeverRan("leaving"), claims.NotRun
	case replyLostApplied, replyLostDropped, replyLostDelayed:
		outcome, reported = claims.MayHaveRun("connection lost"), claims.Unknown
	}
	if f == none || f == replyLostApplied {
		k.runs++
		s.ran = true
		sm.check(k)
	}
	_ = c.Finish(ctx, claim, outcome)
	sm.report(k, s, reported)
}

func (sm *simulation) report(k *keyHistory, s *send, kind claims.Kind) {
	s.reported = kind
	sm.check(k)
}

func (sm *simulation) check(k *keyHistory) {
	require.LessOrEqual(sm.t, k.runs, 1, "ran more than once")
	for i, s := range k.sends {
		if s.reported != claims.NotRun {
			continue
		}
		require.False(sm.t, s.ran, "%s ran, but its caller got not run", s.id)
		if !sm.numbered {
			continue
		}
		for _, earlier := range k.sends[:i] {
			require.False(sm.t, earlier.ran, "%s ran, but a later send of the key got not run", earlier.id)
		}
	}
}

// kill stops all calls of an entry at their current access and restarts the entry.
func (sm *simulation) kill(entry int) {
	for _, a := range append([]*actor(nil), sm.actors...) {
		if a.entry == entry {
			sm.step(a, killed)
		}
	}
	sm.entries[entry] = sm.newEntry(entry)
}

func (sm *simulation) finishAll() {
	for len(sm.actors) > 0 {
		sm.step(sm.actors[0], none)
	}
}

// TestMain sets a fixed seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "6", "rapid.checks": "1500", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestHistories runs sends of two keys through three entries, interleaved at every
// access to the table and the agent. It injects entry crashes, lost, delayed and
// refused writes, and concurrent sends of one key. It guards against a key that runs
// more than once and against "not run" for a request that ran.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				if len(sm.actors) > 6 {
					return
				}
				sm.request(rapid.IntRange(0, 2).Draw(t, "entry"), rapid.SampledFrom(sm.keys).Draw(t, "key"))
			},
			"step": func(t *rapid.T) {
				if len(sm.actors) == 0 {
					return
				}
				a := rapid.SampledFrom(sm.actors).Draw(t, "actor")
				sm.step(a, fault(rapid.IntRange(0, int(replyLostDelayed)).Draw(t, "fault")))
			},
			"proceed": func(t *rapid.T) {
				if len(sm.actors) == 0 {
					return
				}
				sm.step(rapid.SampledFrom(sm.actors).Draw(t, "actor"), none)
			},
			"startFlush": func(t *rapid.T) {
				entry := rapid.IntRange(0, 2).Draw(t, "entry")
				c := sm.entries[entry]
				sm.start(entry, func(ctx context.Context, _ *actor) { c.Flush(ctx) })
			},
			"applyDelayed": func(_ *rapid.T) {
				if len(sm.delayed) == 0 {
					return
				}
				d := sm.delayed[0]
				sm.delayed = sm.delayed[1:]
				_, _ = sm.apply(d.key, d.version, d.value)
			},
			"kill": func(t *rapid.T) {
				sm.kill(rapid.IntRange(0, 2).Draw(t, "entry"))
			},
			"wait": func(t *rapid.T) {
				sm.now = sm.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "milliseconds")) * time.Millisecond)
			},
		})
		sm.finishAll()
		sm.checkNotBlocked()
	})
}

// checkNotBlocked sends each key once more after all faults have ended: a key for which
// every send got "not run" must run.
func (sm *simulation) checkNotBlocked() {
	for _, d := range sm.delayed {
		_, _ = sm.apply(d.key, d.version, d.value)
	}
	for _, k := range sm.keys {
		if !sm.numbered || int(k.notRunThrough()) != len(k.sends) {
			continue
		}
		s := sm.request(0, k)
		sm.finishAll()
		require.Equal(sm.t, claims.Stored, s.reported, "key whose sends all got not run does not run")
		require.Equal(sm.t, 1, k.runs)
	}
}
