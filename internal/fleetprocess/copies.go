package fleetprocess

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/entries"
	"github.com/primrosetally/primrosetally/platform"
)

// Times of an agent's copies.
const (
	// refreshInterval is how often the operators' rows are asked for. Entries tell
	// agents of new versions; this finds what they could not tell.
	refreshInterval = 6 * time.Second
	refreshRetry    = 300 * time.Millisecond
	// entriesAsked of all entries are tried before the store is.
	entriesAsked = 2
	// entriesPatience is how long after its start an agent asks entries alone: they may
	// be starting too, and the agents of a fleet would fill the store's link.
	entriesPatience = 2 * time.Second
	// entriesTimeout bounds the question which entries there are.
	entriesTimeout = 500 * time.Millisecond
)

// copies are an agent's copies of the store's tables. They are brought up to date
// from entries of the own region, else from any, and from the store when no entry
// answers: the store's calls are few, and an agent needs its rows seldom.
type copies struct {
	agent     *Agent
	client    *entries.Client
	operators *watch.Watcher
	listed    *watch.Watcher
	started   time.Duration

	mu    sync.Mutex
	known []string // peer addresses of entries that place requests, and of the own region
	near  []string // those of the own region
}

func newCopies(a *Agent) *copies {
	c := &copies{
		agent:     a,
		operators: a.watch(platform.TableOperator, a.applyOperator, watch.WithLongPollTimeout(0)),
		listed:    a.watch(platform.TableEndpoints, a.applyEndpoints, watch.WithLongPollTimeout(0)),
		known:     a.settings.Seeds(),
		started:   boottime.Now(),
	}
	c.client = entries.NewClient(entries.WithRegion(a.settings.Region(), c.learnNear))
	return c
}

// learn replaces the entries to ask and to tell.
func (c *copies) learn(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = addresses
}

// learnNear replaces the entries to ask first.
func (c *copies) learnNear(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.near = addresses
}

// toAsk returns the entries to ask for rows, in order: one of the own region, then two
// of all, unless the fleet is starting.
func (c *copies) toAsk(starting bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	if len(c.near) > 0 {
		list = append(list, c.near[rand.IntN(len(c.near))])
	}
	if starting {
		return list
	}
	for i, n := range rand.Perm(len(c.known)) {
		if i < entriesAsked {
			list = append(list, c.known[n])
		}
	}
	return list
}

// entries returns the entries to tell.
func (c *copies) entries() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// run refreshes the operators' rows until ctx ends.
func (c *copies) run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			wait := refreshInterval
			if err := c.sync(ctx, nodev1.Table_TABLE_OPERATOR); err != nil {
				wait = refreshRetry
			}
			if !sleep(ctx, wait/2+rand.N(wait)) {
				return
			}
		}
	}()
	return done
}

func (c *copies) watcher(name nodev1.Table) *watch.Watcher {
	if name == nodev1.Table_TABLE_OPERATOR {
		return c.operators
	}
	return c.listed
}

// sync brings a copy up to date.
func (c *copies) sync(ctx context.Context, name nodev1.Table) error {
	w := c.watcher(name)
	starting := boottime.Now()-c.started < entriesPatience
	if starting && !c.knowsNear(ctx) {
		return errNoEntry
	}
	for _, address := range c.toAsk(starting) {
		err := c.fetch(ctx, address, name, w)
		if err == nil {
			return nil
		}
		telemetry.PeerCopyNotFetched.Log(ctx, c.agent.logger, "peer", address, "table", name.String(), "error", err)
	}
	if starting {
		return errNoEntry
	}
	return w.Poll(ctx)
}

// knowsNear reports whether an entry of the own region is known, and asks the seeds for
// some where none is: rows come from the own region, since those of many agents that
// start together would fill the links between regions.
func (c *copies) knowsNear(ctx context.Context) bool {
	c.mu.Lock()
	known, seeds := len(c.near) > 0, c.known
	c.mu.Unlock()
	for _, address := range seeds {
		if known {
			return true
		}
		ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
		list, err := c.client.Entries(ctx, address)
		cancel()
		if err != nil {
			telemetry.PeerCopyNotFetched.Log(ctx, c.agent.logger, "peer", address, "table", "entries", "error", err)
		}
		known = len(list) > 0
	}
	return known
}

// errNoEntry is returned while no entry has answered and the store is not asked yet.
var errNoEntry = eris.New("no entry has answered")

func (c *copies) fetch(ctx context.Context, address string, name nodev1.Table, w *watch.Watcher) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return c.client.Sync(ctx, address, name, w.Table(), boottime.Now)
}
