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

// Parameters of an agent's cached tables.
const (
	// refreshInterval is the interval between refreshes of the operator table. Entries
	// send new versions to the agents; the refresh finds versions whose message was lost.
	refreshInterval = 6 * time.Second
	refreshRetry    = 300 * time.Millisecond
	// maxEntriesTried is the number of entries, of any region, that are tried before the
	// store is.
	maxEntriesTried = 2
	// storeFallbackDelay is the time after its start during which an agent does not fall
	// back to the store. The entries may still be starting too, and the requests of all
	// agents of a fleet would saturate the store's link.
	storeFallbackDelay = 2 * time.Second
	// listEntriesTimeout is the timeout of a request for the list of entries.
	listEntriesTimeout = 500 * time.Millisecond
)

// tableCache holds an agent's cached tables of the store. They are refreshed from entries
// of the own region, else from entries of any region, and from the store if no entry
// responds: the store allows few calls, and an agent rarely needs the rows.
type tableCache struct {
	cachedTables
	agent   *Agent
	started time.Duration

	mu sync.Mutex
	// entryAddresses are the peer addresses of entries that place requests, and of entries
	// of the own region; regionEntries are those of the own region only.
	entryAddresses []string
	regionEntries  []string
}

func newTableCache(a *Agent) *tableCache {
	c := &tableCache{
		agent:          a,
		entryAddresses: a.settings.Seeds(),
		started:        boottime.Now(),
	}
	c.operator = a.newWatcher(platform.TableOperator, a.applyOperator, watch.WithLongPollTimeout(0))
	c.endpoints = a.newWatcher(platform.TableEndpoints, a.applyEndpoints, watch.WithLongPollTimeout(0))
	c.client = entries.NewClient(entries.WithRegion(a.settings.Region(), c.setRegionEntries), entries.WithMaxMessage(maxTableCopy))
	return c
}

// setEntries replaces the entries to fetch tables from and to send notices to. An empty
// list is ignored.
func (c *tableCache) setEntries(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryAddresses = addresses
}

// setRegionEntries replaces the entries of the own region. An empty list is ignored.
func (c *tableCache) setRegionEntries(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.regionEntries = addresses
}

// pickEntries returns the entries to fetch rows from, in order: a random one of the own
// region, then up to maxEntriesTried random ones of all regions, unless starting is set.
func (c *tableCache) pickEntries(starting bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	if len(c.regionEntries) > 0 {
		list = append(list, c.regionEntries[rand.IntN(len(c.regionEntries))])
	}
	if starting {
		return list
	}
	for i, n := range rand.Perm(len(c.entryAddresses)) {
		if i < maxEntriesTried {
			list = append(list, c.entryAddresses[n])
		}
	}
	return list
}

// entries returns the entries to send notices to.
func (c *tableCache) entries() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entryAddresses
}

// run refreshes the operator table until ctx is done.
func (c *tableCache) run(ctx context.Context) <-chan struct{} {
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

// sync refreshes a cached table.
func (c *tableCache) sync(ctx context.Context, name nodev1.Table) error {
	starting := boottime.Now()-c.started < storeFallbackDelay
	if starting && !c.findRegionEntry(ctx) {
		return errNoEntryAvailable
	}
	for _, address := range c.pickEntries(starting) {
		err := c.fetch(ctx, address, name)
		if err == nil {
			return nil
		}
		telemetry.PeerCopyNotFetched.Log(ctx, c.agent.logger, "peer", address, "table", name.String(), "error", err)
	}
	if starting {
		return errNoEntryAvailable
	}
	return c.watcher(name).Poll(ctx)
}

// findRegionEntry reports whether an entry of the own region is known. If none is, it
// requests a list from the known entries. Rows are fetched within the own region, because
// many agents that start together would saturate the links between regions.
func (c *tableCache) findRegionEntry(ctx context.Context) bool {
	c.mu.Lock()
	found, seeds := len(c.regionEntries) > 0, c.entryAddresses
	c.mu.Unlock()
	for _, address := range seeds {
		if found {
			return true
		}
		ctx, cancel := context.WithTimeout(ctx, listEntriesTimeout)
		list, err := c.client.Entries(ctx, address)
		cancel()
		if err != nil {
			telemetry.PeerCopyNotFetched.Log(ctx, c.agent.logger, "peer", address, "table", "entries", "error", err)
		}
		found = len(list) > 0
	}
	return found
}

// errNoEntryAvailable is returned if no entry has responded and storeFallbackDelay has not
// elapsed.
var errNoEntryAvailable = eris.New("no entry has responded")
