package watch_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/gateway"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

// Parameters of the simulated fleet.
const (
	copyLatency  = 60 * time.Millisecond // one way at most, also to the store
	copyShift    = 500 * time.Nanosecond // at most
	copyWait     = 300 * time.Millisecond
	copyCoalesce = 400 * time.Millisecond
	// compactEvery is the mean number of changes between two compactions while entries
	// start, so that entries list the store again whose peers were listed before.
	compactEvery = 8
)

// copyTime is the clock of all parts of the simulation.
func copyTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// copyFleet is a set of entries that copy the tables of one store. All of it runs in one
// synctest bubble, and happens in the same order in each run of a seed: whatever affects
// another part happens at a time of its own, which follows from the seed alone.
type copyFleet struct {
	store    *copyStore
	all      []string
	seed     uint64
	random   *rand.Rand // of the steps
	extra    *rand.Rand // of shifts and compactions
	compacts bool       // the store drops its history while entries start
	trace    *copyTrace
	costs    copyCosts

	mu      sync.Mutex
	sent    map[string]uint64     // messages by link
	differ  []string              // entries whose copy differed from that of a peer at one position
	entries map[string]*copyEntry // by address; a stopped one is absent
}

type copyEntry struct {
	gateway   *gateway.Gateway
	operator  *watch.Watcher
	endpoints *watch.Watcher
	cancel    context.CancelFunc
	ended     []<-chan struct{}
	started   time.Duration

	mu     sync.Mutex
	listed []string // endpoints that the gateway has
}

func (e *copyEntry) watcher(name nodev1.Table) *watch.Watcher {
	if name == nodev1.Table_TABLE_OPERATOR {
		return e.operator
	}
	return e.endpoints
}

func newCopyFleet(seed uint64, regions, entries int) *copyFleet {
	f := &copyFleet{
		store: newCopyStore(), seed: seed, trace: &copyTrace{}, sent: make(map[string]uint64), entries: make(map[string]*copyEntry),
		random: rand.New(rand.NewPCG(seed, 0)), extra: rand.New(rand.NewPCG(seed, 1)),
	}
	f.store.waits = seed%2 == 1
	f.compacts = seed%4 >= 2
	for r := range regions {
		for n := range entries {
			f.all = append(f.all, fmt.Sprintf("10.%d.0.%d:1", r, n+1))
		}
	}
	for n := range 6 * regions {
		f.store.write(watch.Row{Key: fmt.Sprintf("e-%d", n)})
	}
	return f
}

// latency returns how long the next message on a link is on its way.
func (f *copyFleet) latency(link string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[link]++
	h := fnv.New64a()
	h.Write([]byte(link))
	random := rand.New(rand.NewPCG(f.seed, rendezvous.Mix(h.Sum64()+f.sent[link])))
	return time.Duration(random.Int64N(int64(copyLatency)))
}

// delayOn returns the function that waits for as long as a message on a link is on its way.
func (f *copyFleet) delayOn(link string) func() {
	return func() { time.Sleep(f.latency(link)) }
}

// pause waits for less than a number of milliseconds.
func (f *copyFleet) pause(milliseconds int) {
	time.Sleep(time.Duration(f.random.IntN(milliseconds)) * time.Millisecond)
	f.shift()
}

// shift waits for a time that is too short to matter, so that what waits for whole
// milliseconds elsewhere does not go on at the same moment.
func (f *copyFleet) shift() {
	time.Sleep(1 + time.Duration(f.extra.Int64N(int64(copyShift))))
}

func (f *copyFleet) entry(address string) *copyEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[address]
}

func (f *copyFleet) setEntry(address string, e *copyEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[address] = e
}

// differing returns the entries whose copy has differed from that of a peer at one position.
func (f *copyFleet) differing() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.differ)
}

// errStopped is returned by calls to an entry that does not run.
var errStopped = errors.New("entry is stopped")

func (f *copyFleet) start(address string) {
	e := &copyEntry{started: copyTime()}
	e.gateway = f.newGateway(address, e)
	e.operator = f.newOperatorWatcher(address, e)
	e.endpoints = f.newEndpointWatcher(address, e)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.ended = append(e.ended, e.operator.Run(ctx))
	f.shift()
	e.ended = append(e.ended, e.endpoints.Run(ctx))
	f.shift()
	e.ended = append(e.ended, e.gateway.Start(ctx))
	f.setEntry(address, e)
}

func (f *copyFleet) newGateway(address string, e *copyEntry) *gateway.Gateway {
	region := regionOf(address)
	self := gateway.Identity{Name: address, Region: region, FailureDomain: region, PeerAddress: address, CallerAddress: address, Incarnation: uint64(copyTime())}
	return gateway.New(self, gateway.Codec{}, gateway.WithClock(copyTime),
		gateway.WithPeers(f.all[:1], func(to string, m *nodev1.Datagram) error {
			f.send(address, to, m)
			return nil
		}),
		gateway.WithConfirmation(func() time.Duration { return e.operator.Table().Confirmed() }, 0),
		gateway.WithTables(func(name nodev1.Table) watch.State { return e.watcher(name).Table().State() },
			func(_ context.Context, from string, name nodev1.Table) error {
				return f.sync(address, from, name, e.watcher(name).Table())
			}),
		gateway.WithAgents(func(string) string { return "" }, func(domain string) string { return domain }))
}

// send delivers a summary to the entry that has the address when it arrives.
func (f *copyFleet) send(from, to string, m *nodev1.Datagram) {
	if m.GetSummary() == nil {
		return
	}
	summary := proto.CloneOf(m.GetSummary()) // the sender changes it for the next peer
	latency := f.latency("summary " + from + " " + to)
	go func() {
		time.Sleep(latency)
		if peer := f.entry(to); peer != nil {
			peer.gateway.ReceiveSummary(context.Background(), summary)
		}
	}()
}

// sync updates a copy from that of a peer.
func (f *copyFleet) sync(address, from string, name nodev1.Table, t *watch.Table) error {
	delay := f.delayOn(fmt.Sprintf("fetch %s %s %s", name, address, from))
	err := t.Sync(from, copyTime, func(after watch.Position) (watch.Update, error) {
		delay()
		peer := f.entry(from)
		if peer == nil || peer.watcher(name).Table().Confirmed() == 0 {
			return watch.Update{}, errStopped
		}
		u := peer.watcher(name).Table().Since(after)
		f.costs.fetch(address, from, u)
		f.trace.add(address, "fetches %s from %s, after %v: %s", name, from, after, updateText(u))
		delay()
		return u, nil
	})
	f.trace.add(address, "has %s %+v: %v", name, t.State(), err)
	if errors.Is(err, watch.ErrDiverged) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.differ = append(f.differ, address)
	}
	return err
}

func (f *copyFleet) newOperatorWatcher(address string, e *copyEntry) *watch.Watcher {
	list := f.delayOn("operator list " + address)
	return watch.New(watch.Source{
		List: func(context.Context) (watch.Update, error) {
			u, err := f.store.list(list)
			f.costs.call()
			u.Rows = nil
			return u, err
		},
		Watch: func(ctx context.Context, after int64, wait time.Duration) (watch.Update, error) {
			f.costs.call()
			era := f.store.era()
			time.Sleep(wait)
			if f.store.hangs(era) {
				return watch.Update{}, awaitTimeout(ctx, copyCallTimeout)
			}
			u, _, err := f.store.since(after, false)
			u.Rows = nil
			return u, err
		},
	}, watch.WithClock(copyTime), watch.WithRandom(f.randomOf(address+" operator")), watch.WithLongPollTimeout(copyWait), watch.WithActive(e.gateway.Watching),
		watch.WithOnChange(func(map[string]watch.Row) { e.gateway.ApplyConfiguration(fleet.NewConfiguration(1), nil) }))
}

func (f *copyFleet) newEndpointWatcher(address string, e *copyEntry) *watch.Watcher {
	list, poll := f.delayOn("list "+address), f.delayOn("poll "+address)
	return watch.New(watch.Source{
		List: func(context.Context) (watch.Update, error) {
			u, err := f.store.list(list)
			f.costs.list(u)
			f.trace.add(address, "lists %s: %v", updateText(u), err)
			return u, err
		},
		Watch: func(ctx context.Context, after int64, wait time.Duration) (watch.Update, error) {
			f.costs.call()
			u, err := f.store.poll(ctx, poll, after, wait)
			f.trace.add(address, "polls after %d: %s: %v", after, updateText(u), err)
			return u, err
		},
	}, watch.WithClock(copyTime), watch.WithRandom(f.randomOf(address+" endpoints")), watch.WithCoalesceDelay(copyCoalesce), watch.WithActive(e.gateway.WatchingEndpoints),
		watch.WithOnChange(e.apply))
}

// randomOf returns the random numbers of one part of an entry.
func (f *copyFleet) randomOf(part string) func() float64 {
	return rand.New(rand.NewPCG(f.seed, uint64(f.latency(part)))).Float64
}

// apply passes the rows to the gateway.
func (e *copyEntry) apply(rows map[string]watch.Row) {
	var list []*fleet.Endpoint
	for key := range rows {
		list = append(list, fleet.NewEndpoint(key, "s", "10.9.0.1:1"))
	}
	e.mu.Lock()
	e.listed = slices.Sorted(maps.Keys(rows))
	e.mu.Unlock()
	e.gateway.ApplyEndpoints(list)
	e.gateway.TableChanged()
}

// stop ends an entry as a kill does: its peers get no last message.
func (f *copyFleet) stop(address string) {
	e := f.entry(address)
	if e == nil {
		return
	}
	f.setEntry(address, nil)
	e.cancel()
	for _, ended := range e.ended {
		<-ended
	}
}

// stepRestore names the return of the store from an older copy.
const stepRestore = "restore"

// step makes one random change.
func (f *copyFleet) step() string {
	address := f.all[f.random.IntN(len(f.all))]
	keys := f.store.keys()
	switch n := f.random.IntN(11); {
	case n < 4 && len(keys) > 2:
		key := keys[f.random.IntN(len(keys))]
		f.store.write(watch.Row{Key: key, Deleted: true})
		return "remove " + key
	case n < 7:
		key := fmt.Sprintf("e-%d", 100+f.random.IntN(1000))
		f.store.write(watch.Row{Key: key})
		return "write " + key
	case n == 7:
		f.store.compact()
		return "compact"
	case n == 8 && f.store.hasBackup():
		f.restore()
		return stepRestore
	case n == 8:
		f.store.backUp()
		return "back up"
	case n == 9:
		f.stop(address)
		f.pause(600)
		f.start(address)
		return "restart " + address
	}
	f.restartAll()
	return "restart all"
}

// restore lets the store come back from an older copy. What was written since is written
// again, in any order and not at once.
func (f *copyFleet) restore() {
	lost := f.store.restore()
	keys := slices.Sorted(maps.Keys(lost))
	f.random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	for _, key := range keys {
		if f.store.has(lost[key]) {
			continue
		}
		f.pause(40)
		f.store.write(watch.Row{Key: key})
	}
	for _, key := range f.store.keys() {
		if _, existed := lost[key]; !existed {
			f.pause(40)
			f.store.write(watch.Row{Key: key, Deleted: true})
		}
	}
}

// restartAll stops all entries at once and starts them within 350 ms in any order, while
// endpoints leave.
func (f *copyFleet) restartAll() {
	for _, a := range f.all {
		f.stop(a)
	}
	for _, n := range f.random.Perm(len(f.all)) {
		f.start(f.all[n])
		f.pause(350 / len(f.all))
	}
	for range 30 {
		f.pause(100)
		written := watch.Row{Key: fmt.Sprintf("e-%d", 100+f.random.IntN(1000))}
		keys := f.store.keysWith(written.Key)
		if len(keys) <= 2 {
			f.store.write(written)
			continue
		}
		f.store.write(written, watch.Row{Key: keys[f.random.IntN(len(keys))], Deleted: true})
		if f.compacts && f.extra.IntN(compactEvery) == 0 {
			f.store.compact()
		}
	}
}

func regionOf(address string) string { return "region-" + address[3:4] }
