package standin

import (
	"container/list"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// CacheBlockBytes is the length of prompt that one cached block covers.
const CacheBlockBytes = 64

// maxCacheEvents bounds the events that are kept for readers.
const maxCacheEvents = 4096

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
	CacheCleared = "cleared"
)

// CacheEvent tells of a change of the prefix cache. Sequence numbers grow by
// one; a reader sees a gap where an event was dropped.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	// Prefix is the digest of the prompt up to the end of the block.
	Prefix digest.Digest `json:"prefix"`
}

// CacheEvents is the JSON form of a list of events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CachePrefixes returns the digests by which the cache knows the whole blocks
// of a prompt, the shortest prefix first.
func CachePrefixes(prompt string) []digest.Digest {
	var prefixes []digest.Digest
	for end := CacheBlockBytes; end <= len(prompt); end += CacheBlockBytes {
		prefixes = append(prefixes, digest.Of([]byte(prompt[:end])))
	}
	return prefixes
}

// prefixCache remembers which prompt blocks were computed, the least recently
// used being dropped first.
type prefixCache struct {
	capacity int
	lag      time.Duration
	gaps     float64
	now      func() time.Time

	mu       sync.Mutex
	random   *rand.Rand
	recent   *list.List // of digest.Digest, the most recently used first
	blocks   map[digest.Digest]*list.Element
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event CacheEvent
}

func newPrefixCache(s engineSettings) *prefixCache {
	return &prefixCache{
		capacity: s.cacheBlocks,
		lag:      s.cacheEventLag,
		gaps:     s.cacheEventGaps,
		now:      s.now,
		random:   rand.New(rand.NewPCG(s.seed, 1)),
		recent:   list.New(),
		blocks:   map[digest.Digest]*list.Element{},
	}
}

// use stores the blocks of a prompt and returns the number of those that had to
// be computed: all after the first one missing.
func (c *prefixCache) use(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	missed := 0
	for _, prefix := range CachePrefixes(prompt) {
		if block, found := c.blocks[prefix]; found && missed == 0 {
			c.recent.MoveToFront(block)
			continue
		}
		missed++
		c.store(prefix)
	}
	return missed
}

func (c *prefixCache) store(prefix digest.Digest) {
	if block, found := c.blocks[prefix]; found {
		c.recent.MoveToFront(block)
		return
	}
	for c.recent.Len() > 0 && c.recent.Len() >= c.capacity {
		oldest := c.recent.Remove(c.recent.Back()).(digest.Digest)
		delete(c.blocks, oldest)
		c.publish(CacheEvicted, oldest)
	}
	c.blocks[prefix] = c.recent.PushFront(prefix)
	c.publish(CacheStored, prefix)
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.Init()
	c.blocks = map[digest.Digest]*list.Element{}
	c.publish(CacheCleared, digest.Digest{})
}

func (c *prefixCache) publish(kind string, prefix digest.Digest) {
	c.sequence++
	if c.random.Float64() < c.gaps {
		return
	}
	event := CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: prefix}
	c.events = append(c.events, timedEvent{at: c.now(), event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *prefixCache) after(sequence uint64) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.now().Add(-c.lag)
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > sequence && !e.at.After(limit) {
			events = append(events, e.event)
		}
	}
	return events
}

func (c *prefixCache) serveEvents(w http.ResponseWriter, r *http.Request) {
	sequence, err := strconv.ParseUint("0"+r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "after is not a sequence number")
		return
	}
	answer(w, http.StatusOK, CacheEvents{Events: c.after(sequence)})
}
