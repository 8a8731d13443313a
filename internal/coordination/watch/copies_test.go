package watch_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/gateway"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// Times of the simulated network and of what must hold.
const (
	copyLatency  = 60 * time.Millisecond // one way at most, also to the store
	copyWait     = 300 * time.Millisecond
	copyCoalesce = 400 * time.Millisecond
	removalBound = 2 * time.Second // from a removal until no entry lists the row
	copyContact  = 3 * time.Second // without a start or a return of the store before removalBound counts
)

// copyStore is a store with one operator row and a table of endpoints.
type copyStore struct {
	delay func() // of a message on its way
	waits bool   // polls since a version that the store does not have wait for it

	mu      sync.Mutex
	at      watch.Position
	rows    map[string]watch.Row
	history []watch.Row
	floor   int64
	changed chan struct{}
	backup  map[string]watch.Row // rows at an earlier version
	version int64                // of the backup
}

func newCopyStore(delay func()) *copyStore {
	return &copyStore{delay: delay, at: watch.Position{Era: 1}, rows: make(map[string]watch.Row), changed: make(chan struct{})}
}

func (s *copyStore) write(r watch.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at.Version++
	r.Version = s.at.Version
	if r.Deleted {
		delete(s.rows, r.Key)
	} else {
		s.rows[r.Key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history.
func (s *copyStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.history = s.at.Version, nil
}

// backUp keeps a copy of the rows.
func (s *copyStore) backUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup, s.version = maps.Clone(s.rows), s.at.Version
}

func (s *copyStore) hasBackup() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backup != nil
}

// has reports whether the store has a row as it is.
func (s *copyStore) has(r watch.Row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[r.Key].Version == r.Version
}

// restore lets the store come back from its copy, and returns the rows that it had.
func (s *copyStore) restore() (lost map[string]watch.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost, s.rows = s.rows, maps.Clone(s.backup)
	s.at = watch.Position{Era: s.at.Era + 1, Version: s.version}
	s.floor, s.history = s.version, nil
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// keys returns the keys of the rows in order.
func (s *copyStore) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.rows))
}

// since returns all rows, or the changes after a version, and what is closed with the next
// change.
func (s *copyStore) since(after int64, full bool) (watch.Update, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := watch.Update{Position: s.at, Full: full, StoreTime: copyTime()}
	if full {
		u.Rows = slices.Collect(maps.Values(s.rows))
		return u, nil, nil
	}
	if after < s.floor || after > s.at.Version && !s.waits {
		return u, nil, watch.ErrCompacted
	}
	for _, r := range s.history {
		if r.Version > after {
			u.Rows = append(u.Rows, r)
		}
	}
	return u, s.changed, nil
}

func (s *copyStore) list(context.Context) (watch.Update, error) {
	s.delay()
	u, _, err := s.since(0, true)
	s.delay()
	return u, err
}

func (s *copyStore) poll(ctx context.Context, after int64, wait time.Duration) (watch.Update, error) {
	s.delay()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		u, changed, err := s.since(after, false)
		if err != nil || len(u.Rows) > 0 {
			return u, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return u, nil
		case <-ctx.Done():
			return u, ctx.Err()
		}
	}
}

// copyTime is the clock of all parts of the simulation.
func copyTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// copyFleet is a set of entries that copy the tables of one store. All of it runs in one
// synctest bubble on one processor at a time.
type copyFleet struct {
	store  *copyStore
	all    []string
	random *rand.Rand

	mu      sync.Mutex
	delays  *rand.Rand
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
	f := &copyFleet{entries: make(map[string]*copyEntry), random: rand.New(rand.NewPCG(seed, 0)), delays: rand.New(rand.NewPCG(seed, 1))}
	f.store = newCopyStore(f.delay)
	f.store.waits = seed%2 == 1
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

// delay waits as long as a message is on its way.
func (f *copyFleet) delay() {
	f.mu.Lock()
	d := time.Duration(f.delays.Int64N(int64(copyLatency)))
	f.mu.Unlock()
	time.Sleep(d)
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

// errStopped is returned by calls to an entry that does not run.
var errStopped = errors.New("entry is stopped")

func (f *copyFleet) start(address string) {
	region := "region-" + address[3:4]
	e := &copyEntry{started: copyTime()}
	send := func(to string, m *nodev1.Datagram) error {
		go func() {
			f.delay()
			if peer := f.entry(to); peer != nil && m.GetSummary() != nil {
				peer.gateway.ReceiveSummary(context.Background(), m.GetSummary())
			}
		}()
		return nil
	}
	fetch := func(_ context.Context, from string, name nodev1.Table) error {
		return e.watcher(name).Table().Sync(copyTime, func(after watch.Position) (watch.Update, error) {
			f.delay()
			peer := f.entry(from)
			if peer == nil || peer.watcher(name).Table().Confirmed() == 0 {
				return watch.Update{}, errStopped
			}
			u := peer.watcher(name).Table().Since(after)
			f.delay()
			return u, nil
		})
	}
	self := gateway.Identity{Name: address, Region: region, FailureDomain: region, PeerAddress: address, CallerAddress: address, Incarnation: uint64(copyTime())}
	confirmed := func() time.Duration { return e.operator.Table().Confirmed() }
	e.gateway = gateway.New(self, gateway.Codec{}, gateway.WithClock(copyTime), gateway.WithPeers(f.all[:1], send), gateway.WithConfirmation(confirmed, 0),
		gateway.WithTables(func(name nodev1.Table) watch.State { return e.watcher(name).Table().State() }, fetch),
		gateway.WithAgents(func(string) string { return "" }, func(domain string) string { return domain }))
	e.operator = watch.New(watch.Source{
		List: func(ctx context.Context) (watch.Update, error) {
			u, err := f.store.list(ctx)
			u.Rows = nil
			return u, err
		},
		Watch: func(_ context.Context, after int64, wait time.Duration) (watch.Update, error) {
			time.Sleep(wait)
			u, _, err := f.store.since(after, false)
			u.Rows = nil
			return u, err
		},
	}, watch.WithClock(copyTime), watch.WithLongPollTimeout(copyWait), watch.WithActive(e.gateway.Watching),
		watch.WithOnChange(func(map[string]watch.Row) { e.gateway.ApplyConfiguration(fleet.NewConfiguration(1), nil) }))
	e.endpoints = watch.New(watch.Source{List: f.store.list, Watch: f.store.poll},
		watch.WithClock(copyTime), watch.WithCoalesceDelay(copyCoalesce), watch.WithActive(e.gateway.WatchingEndpoints),
		watch.WithOnChange(func(rows map[string]watch.Row) {
			e.apply(rows)
		}))
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.ended = []<-chan struct{}{e.operator.Run(ctx), e.endpoints.Run(ctx), e.gateway.Start(ctx)}
	f.setEntry(address, e)
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
		time.Sleep(time.Duration(f.random.IntN(600)) * time.Millisecond)
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
		f.store.write(watch.Row{Key: key})
		time.Sleep(time.Duration(f.random.IntN(40)) * time.Millisecond)
	}
	for _, key := range f.store.keys() {
		if _, existed := lost[key]; !existed {
			f.store.write(watch.Row{Key: key, Deleted: true})
			time.Sleep(time.Duration(f.random.IntN(40)) * time.Millisecond)
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
		time.Sleep(time.Duration(f.random.IntN(350/len(f.all))) * time.Millisecond)
	}
	for range 30 {
		time.Sleep(time.Duration(f.random.IntN(100)) * time.Millisecond)
		f.store.write(watch.Row{Key: fmt.Sprintf("e-%d", 100+f.random.IntN(1000))})
		if keys := f.store.keys(); len(keys) > 2 {
			f.store.write(watch.Row{Key: keys[f.random.IntN(len(keys))], Deleted: true})
		}
	}
}

// listedTooLong returns the endpoints that an entry lists although they were removed, and
// those that it lacks.
func (f *copyFleet) listedTooLong(e *copyEntry) (removed, missing []string) {
	e.mu.Lock()
	listed := e.listed
	e.mu.Unlock()
	without := func(list, excluded []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(key string) bool { return slices.Contains(excluded, key) })
	}
	keys := f.store.keys()
	return without(listed, keys), without(keys, listed)
}

// Entries that start, one by one or all at once, list no endpoint that has left: a removal
// that one of them never saw reaches it from the others.
func TestRemovedEndpointIsForgottenByAllEntries(t *testing.T) {
	for _, test := range []struct {
		name             string
		regions, entries int
	}{
		{"one region", 1, 3},
		{"three regions", 3, 3},
		{"two regions of many", 2, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(12) {
				synctest.Test(t, func(t *testing.T) { playCopies(t, newCopyFleet(seed, test.regions, test.entries)) })
			}
		})
	}
}

// playCopies makes random changes and checks all copies after each series of them.
func playCopies(t *testing.T, f *copyFleet) {
	defer func() {
		for _, a := range f.all {
			f.stop(a)
		}
		time.Sleep(time.Minute) // messages on their way and calls in progress end
	}()
	var steps []string
	steps = append(steps, "start all")
	f.restartAll()
	for range 8 {
		settled := removalBound
		for range 1 + f.random.IntN(4) {
			time.Sleep(time.Duration(f.random.IntN(1200)) * time.Millisecond)
			step := f.step()
			if step == stepRestore {
				settled = copyContact + removalBound
			}
			steps = append(steps, step)
		}
		time.Sleep(settled)
		f.check(t, steps)
	}
	time.Sleep(copyContact)
	f.check(t, steps)
}

// check reports the entries whose copies are wrong, of those that have run long enough.
func (f *copyFleet) check(t *testing.T, steps []string) {
	t.Helper()
	for _, a := range f.all {
		e := f.entry(a)
		if copyTime()-e.started < copyContact {
			continue
		}
		removed, missing := f.listedTooLong(e)
		require.Empty(t, removed, "%s lists endpoints that have left, after %v", a, steps)
		require.Empty(t, missing, "%s lacks endpoints, after %v", a, steps)
	}
}
