package replica

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// Figures of the endpoint of the tests.
const (
	testChunks   = 12
	testLoadTime = 50 * time.Millisecond
	// excusedAge is the time before an accepted order within which a chunk may have become
	// corrupt without fault of the agent.
	excusedAge = 3 * time.Second
)

// content returns the content of a chunk of a version. Every third chunk is the same in
// all versions.
func content(version int64, chunk int) string {
	if chunk%3 == 0 {
		version = 0
	}
	return fmt.Sprintf("version %d chunk %d", version, chunk)
}

// testEndpoint is an endpoint with a staging area, and the origin of its weights, in
// virtual time.
type testEndpoint struct {
	t   *testing.T
	now func() time.Duration // the boottime clock

	running sync.WaitGroup // what the endpoint does by itself

	mu        sync.Mutex
	suspended time.Duration // of the boottime clock, besides the time that timers count
	started   int64
	version   int64
	busy      bool
	staged    map[int]string
	spoiltAt  map[int]time.Duration
	sequence  int64   // orders accepted since the start
	loads     []int64 // the versions of all accepted orders
	faults    []string
	lost      int64                  // version that the origin has no more
	keepCalls func(call string) bool // into the buffers instead of carrying them out
	kept      []func()               // calls in the buffers
	late      func()                 // call that is carried out just before an order

	// Hooks of the tests, called before the endpoint carries out a call.
	onRead     func(chunk int)
	onAnnounce func()
	onOrder    func()
}

func newTestEndpoint(t *testing.T, version int64) *testEndpoint {
	e := &testEndpoint{
		t: t, started: 1, version: version, staged: make(map[int]string), spoiltAt: make(map[int]time.Duration),
		keepCalls: func(string) bool { return false },
		onRead:    func(int) {}, onAnnounce: func() {}, onOrder: func() {},
	}
	for i := range testChunks {
		if version > 0 {
			e.staged[i] = content(version, i)
		}
	}
	started := time.Now()
	e.now = func() time.Duration {
		e.mu.Lock()
		defer e.mu.Unlock()
		return time.Minute + time.Since(started) + e.suspended
	}
	return e
}

// suspendAgent makes the boottime clock go on, while timers stand still.
func (e *testEndpoint) suspendAgent(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspended += d
}

// start runs a Replica at the endpoint until the test ends.
func (e *testEndpoint) start() *Replica {
	r := New(agent(1), e.callbacks(), WithVersionBound(8*time.Second), WithClock(e.now))
	ctx, cancel := context.WithCancel(e.t.Context())
	done := r.Start(ctx)
	e.t.Cleanup(func() {
		cancel()
		<-done
		e.running.Wait()
	})
	r.SetTarget(Target{Model: "m", Version: 1, Initial: true})
	return r
}

// spoil makes a staged chunk corrupt.
func (e *testEndpoint) spoil(chunk int) {
	at := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[chunk] += " corrupt"
	e.spoiltAt[chunk] = at
}

// callTimeout is after how long the agent gives up a call without an answer.
const callTimeout = 3 * time.Second

// keep keeps a call in the buffers, if it is to be kept, and returns an error after the
// timeout of the call.
func (e *testEndpoint) keep(ctx context.Context, call string, carryOut func()) error {
	e.mu.Lock()
	kept := e.keepCalls(call)
	if kept {
		e.kept = append(e.kept, carryOut)
	}
	e.mu.Unlock()
	if !kept {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

// setKept sets which calls are kept in the buffers from now on.
func (e *testEndpoint) setKept(keep func(call string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keepCalls = keep
}

// release carries out the calls in the buffers, in the order of their arrival or the
// reverse, and keeps no more.
func (e *testEndpoint) release(reverse bool) {
	e.mu.Lock()
	kept := e.kept
	e.kept = nil
	e.keepCalls = func(string) bool { return false }
	e.mu.Unlock()
	if reverse {
		slices.Reverse(kept)
	}
	for _, carryOut := range kept {
		carryOut()
	}
}

// setLate makes a call be carried out as late as that can be: between the verification of
// the staged chunks and the order, or at the latest after a time.
func (e *testEndpoint) setLate(call func(), latest time.Duration) {
	e.mu.Lock()
	e.late = call
	e.mu.Unlock()
	e.running.Go(func() {
		time.Sleep(latest)
		e.carryOutLate()
	})
}

func (e *testEndpoint) carryOutLate() {
	e.mu.Lock()
	call := e.late
	e.late = nil
	e.mu.Unlock()
	if call != nil {
		call()
	}
}

// restart starts the endpoint's process again under its identity. What was in its buffers
// is lost, and so are the staged chunks if it lost power.
func (e *testEndpoint) restart(lostPower bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started++
	e.sequence, e.version, e.busy, e.kept = 0, 0, false, nil
	if lostPower {
		clear(e.staged)
	}
}

// excuseMissing excuses the agent for chunks that are lost just now.
func (e *testEndpoint) excuseMissing() {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range testChunks {
		if _, found := e.staged[i]; !found {
			e.spoiltAt[i] = now
		}
	}
}

// accept carries out an order. It records a fault for each chunk that is not that of the
// version and did not become corrupt just before.
func (e *testEndpoint) accept(o Order) error {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || o.Sequence != e.sequence {
		return eris.Wrapf(ErrRejected, "busy %v, sequence %d", e.busy, e.sequence)
	}
	for i := range testChunks {
		if at, spoilt := e.spoiltAt[i]; e.staged[i] == content(o.Version, i) || spoilt && now-at < excusedAge {
			continue
		}
		e.faults = append(e.faults, fmt.Sprintf("version %d was loaded with %q as chunk %d", o.Version, e.staged[i], i))
	}
	e.loads = append(e.loads, o.Version)
	e.sequence++
	e.busy = true
	started := e.started
	e.running.Go(func() {
		time.Sleep(testLoadTime)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.started == started {
			e.version, e.busy = o.Version, false
		}
	})
	return nil
}

func (e *testEndpoint) put(chunk int, data string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[chunk] = data
	delete(e.spoiltAt, chunk)
}

// state returns the loaded version, the versions of the accepted orders and the faults.
func (e *testEndpoint) state() (version int64, loads []int64, faults []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, append([]int64(nil), e.loads...), append([]string(nil), e.faults...)
}

// requireLoaded requires the version to be loaded within a time, without any fault.
func (e *testEndpoint) requireLoaded(version int64, within time.Duration, name string) {
	e.t.Helper()
	deadline := time.Now().Add(within)
	for {
		loaded, loads, faults := e.state()
		require.Empty(e.t, faults, name)
		if loaded == version {
			return
		}
		require.True(e.t, time.Now().Before(deadline), "%s: version %d is not loaded, orders %v", name, version, loads)
		time.Sleep(10 * time.Millisecond)
	}
}

func (e *testEndpoint) callbacks() Callbacks {
	self := agent(1)
	return Callbacks{
		Status: func(ctx context.Context, _ string) (Status, error) {
			if err := e.keep(ctx, "status", func() {}); err != nil {
				return Status{}, err
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			return Status{Started: e.started, Version: e.version, Busy: e.busy, Sequence: e.sequence}, nil
		},
		ListStaged: func(context.Context, string) ([]int, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			var list []int
			for i := range e.staged {
				list = append(list, i)
			}
			return list, nil
		},
		ReadStaged: func(ctx context.Context, _ string, chunk int, _ int64) ([]byte, error) {
			e.onRead(chunk)
			if err := e.keep(ctx, "read", func() {}); err != nil {
				return nil, err
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			data, found := e.staged[chunk]
			if !found {
				return nil, eris.New("missing")
			}
			return []byte(data), nil
		},
		Stage: func(ctx context.Context, _ string, chunk int, data []byte) error {
			text := string(data)
			if err := e.keep(ctx, "stage", func() { e.put(chunk, text) }); err != nil {
				return err
			}
			e.put(chunk, text)
			return nil
		},
		Load: func(ctx context.Context, o Order) error {
			e.onOrder()
			if err := o.Check(); err != nil {
				return err
			}
			if err := e.keep(ctx, "order", func() { _ = e.accept(o) }); err != nil {
				return err
			}
			return e.accept(o)
		},
		Announce: func(context.Context, string, int64, bool) {
			e.onAnnounce()
			e.carryOutLate()
		},
		OriginManifest: func(_ context.Context, _ string, version int64) (*model.Manifest, error) {
			var list []string
			for i := range testChunks {
				list = append(list, content(version, i))
			}
			return manifest(e.t, version, list...), nil
		},
		OriginChunk: func(_ context.Context, _ string, version int64, chunk int) (io.ReadCloser, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if version == e.lost {
				return nil, eris.New("gone")
			}
			return io.NopCloser(bytes.NewReader([]byte(content(version, chunk)))), nil
		},
		ListPeers:    func(context.Context) ([]member.Member, error) { return []member.Member{self}, nil },
		OriginRegion: func() string { return self.Region() },
		FetchPeer: func(context.Context, member.Member, digest.Digest, int64) (io.ReadCloser, error) {
			return nil, eris.New("no peers")
		},
	}
}

// A chunk may become corrupt while the agent is suspended between its read and the order:
// all are read again then.
func TestOrderRestsOnRecentReads(t *testing.T) {
	for _, test := range []struct {
		name string
		hook func(e *testEndpoint, suspend func())
	}{
		{"suspended between reads", func(e *testEndpoint, suspend func()) {
			e.onRead = func(chunk int) {
				if chunk == 5 {
					suspend()
				}
			}
		}},
		{"suspended after the last read", func(e *testEndpoint, suspend func()) {
			e.onRead = func(chunk int) {
				if chunk == testChunks-1 {
					suspend()
				}
			}
		}},
		{"suspended in the announcement", func(e *testEndpoint, suspend func()) { e.onAnnounce = suspend }},
		{"suspended as the connection is opened", func(e *testEndpoint, suspend func()) { e.onOrder = suspend }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEndpoint(t, 1)
				var armed atomic.Bool
				test.hook(e, func() {
					if armed.Swap(false) {
						e.spoil(1)
						e.suspendAgent(4 * time.Second)
					}
				})
				r := e.start()
				time.Sleep(2 * time.Second)
				armed.Store(true)
				r.SetTarget(Target{Model: "m", Version: 2, Exact: true})
				e.requireLoaded(2, 8*time.Second, test.name)
			})
		})
	}
}

// Reads that are too slow one after the other are made concurrently. An endpoint that is too
// slow for that as well is not ordered, and is as soon as it is fast again.
func TestSlowReadsBeforeOrder(t *testing.T) {
	for _, test := range []struct {
		name   string
		read   time.Duration
		within time.Duration
		loads  bool
	}{
		{"fast", time.Millisecond, 4 * time.Second, true},
		{"one after the other too slow", 400 * time.Millisecond, 12 * time.Second, true},
		{"concurrently too slow", 2500 * time.Millisecond, time.Minute, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEndpoint(t, 1)
				var read atomic.Int64
				read.Store(int64(time.Millisecond))
				e.onRead = func(int) { time.Sleep(time.Duration(read.Load())) }
				r := e.start()
				time.Sleep(2 * time.Second)
				read.Store(int64(test.read))
				r.SetTarget(Target{Model: "m", Version: 2, Exact: true})
				if test.loads {
					e.requireLoaded(2, test.within, test.name)
					return
				}
				time.Sleep(test.within)
				_, loads, _ := e.state()
				require.Empty(t, loads, test.name)
				read.Store(int64(time.Millisecond))
				e.requireLoaded(2, 10*time.Second, test.name+", then fast")
			})
		})
	}
}

// startAndArm runs a Replica, which calls atOrder as it gives its next order.
func (e *testEndpoint) startAndArm(atOrder func()) *Replica {
	var armed atomic.Bool
	e.onOrder = func() {
		if armed.Swap(false) {
			atOrder()
		}
	}
	r := e.start()
	time.Sleep(2 * time.Second)
	armed.Store(true)
	return r
}

// keeps returns a function that keeps the named calls.
func keeps(calls ...string) func(string) bool {
	return func(call string) bool { return slices.Contains(calls, call) }
}

// An order without an answer may be accepted later, when another version is the target. The
// chunks that are staged by then must be those of the order.
func TestOrderWithoutAnswerIsAcceptedLater(t *testing.T) {
	for _, test := range []struct {
		name    string
		kept    []string
		next    time.Duration // from the order until the next version is set
		release time.Duration // and until the endpoint carries out what is in its buffers
		calls   func(e *testEndpoint)
	}{
		{"the order is late", []string{"order"}, 100 * time.Millisecond, 4 * time.Second, nil},
		{"the order is later than the wave of the next version", []string{"order"}, 100 * time.Millisecond, 6 * time.Second, nil},
		{"the order and the next version are late", []string{"order"}, 4 * time.Second, 6 * time.Second, nil},
		{"the endpoint is suspended", []string{"order", "status", "read", "stage"}, 100 * time.Millisecond, 5 * time.Second, nil},
		{"the endpoint is suspended for long", []string{"order", "status", "read", "stage"}, time.Second, 25 * time.Second, nil},
		{"a chunk becomes corrupt", []string{"order"}, 100 * time.Millisecond, 7 * time.Second, func(e *testEndpoint) { e.spoil(4) }},
		{"the endpoint restarts", []string{"order"}, 100 * time.Millisecond, 5 * time.Second, func(e *testEndpoint) { e.restart(false) }},
		{"the endpoint loses power", []string{"order", "status"}, 100 * time.Millisecond, 5 * time.Second, func(e *testEndpoint) { e.restart(true) }},
	} {
		for _, reverse := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, newest call first %v", test.name, reverse), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestEndpoint(t, 1)
					ordered := make(chan struct{})
					r := e.startAndArm(func() {
						e.setKept(keeps(test.kept...))
						close(ordered)
					})
					r.SetTarget(Target{Model: "m", Version: 2, Exact: true})
					<-ordered
					time.Sleep(test.next)
					r.SetTarget(Target{Model: "m", Version: 3, Exact: true})
					if test.calls != nil {
						test.calls(e)
					}
					time.Sleep(test.release - test.next)
					e.release(reverse)
					e.requireLoaded(3, 20*time.Second, test.name)
				})
			})
		}
	}
}

// An order that is never accepted does not keep the endpoint from later versions, not even
// if its chunks can't be had any more.
func TestOrderWithoutAnswerIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEndpoint(t, 1)
		r := e.startAndArm(func() { e.setKept(keeps("order")) })
		r.SetTarget(Target{Model: "m", Version: 2, Exact: true})
		time.Sleep(4 * time.Second)
		e.spoil(4)
		e.mu.Lock()
		e.kept, e.keepCalls = nil, keeps() // the order is lost
		e.lost = 2
		e.mu.Unlock()
		r.SetTarget(Target{Model: "m", Version: 3, Exact: true})
		e.requireLoaded(3, time.Minute, "given up")
	})
}

// A write without an answer may be carried out later, when a chunk of the next version was
// staged in the same place, and read back. An endpoint that runs carries out what is in its
// buffers within settleTime.
func TestWriteWithoutAnswerIsCarriedOutLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEndpoint(t, 1)
		r := e.start()
		time.Sleep(2 * time.Second)
		e.setKept(keeps("stage"))
		r.SetTarget(Target{Model: "m", Version: 2, Exact: true})
		time.Sleep(100 * time.Millisecond)
		e.mu.Lock()
		require.NotEmpty(t, e.kept)
		writes := e.kept
		e.kept, e.keepCalls = nil, keeps()
		e.mu.Unlock()
		e.setLate(func() {
			for _, w := range writes {
				w()
			}
		}, callTimeout+settleTime-500*time.Millisecond)
		r.SetTarget(Target{Model: "m", Version: 3, Exact: true})
		e.requireLoaded(3, 15*time.Second, "late write")
	})
}

// An agent that starts knows nothing of the calls of its predecessor, which may be carried
// out when it has begun to stage another version.
func TestCallsOfEarlierProcessAreCarriedOutLater(t *testing.T) {
	for _, test := range []struct {
		name string
		call func(e *testEndpoint)
	}{
		{"an order", func(e *testEndpoint) { _ = e.accept(Order{Model: "m", Version: 2}) }},
		{"a write", func(e *testEndpoint) { e.put(4, content(2, 4)) }},
	} {
		for _, loaded := range []int64{0, 1} {
			t.Run(fmt.Sprintf("%s, version %d is loaded", test.name, loaded), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestEndpoint(t, 2)
					e.version = loaded
					e.setLate(func() { test.call(e) }, startSettleTime/2)
					r := e.start()
					r.SetTarget(Target{Model: "m", Version: 3, Age: 5 * time.Second, Exact: true})
					e.requireLoaded(3, 12*time.Second, test.name)
				})
			})
		}
	}
}

// An endpoint that is started again, with or without its staged chunks, loads the whole
// target version, at whatever moment of a rollout that is.
func TestEndpointRestartsDuringRollout(t *testing.T) {
	for _, test := range []struct {
		name string
		hook func(e *testEndpoint, restart func() bool)
	}{
		{"while chunks are read back", func(e *testEndpoint, restart func() bool) {
			e.onRead = func(chunk int) {
				if chunk == 7 {
					restart()
				}
			}
		}},
		{"as it is announced", func(e *testEndpoint, restart func() bool) { e.onAnnounce = func() { restart() } }},
		{"as it is ordered", func(e *testEndpoint, restart func() bool) {
			e.onOrder = func() {
				if restart() {
					e.excuseMissing()
				}
			}
		}},
	} {
		for _, lostPower := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, lost power %v", test.name, lostPower), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestEndpoint(t, 1)
					var armed atomic.Bool
					test.hook(e, func() bool {
						if !armed.Swap(false) {
							return false
						}
						e.restart(lostPower)
						return true
					})
					r := e.start()
					time.Sleep(2 * time.Second)
					armed.Store(true)
					r.SetTarget(Target{Model: "m", Version: 2, Exact: true})
					e.requireLoaded(2, 12*time.Second, test.name)
					e.restart(lostPower)
					e.requireLoaded(2, 4*time.Second, "once more")
				})
			})
		}
	}
}
