package suspects

import (
	"encoding/binary"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// Isolation allows one suspect at a time to run on an endpoint. An entry has one for
// the endpoints that it dispatches to. An agent has one for its own endpoint, which
// also serializes the suspects that different entries dispatch. The zero value is ready
// to use. It is safe for concurrent use.
type Isolation struct {
	mu   sync.Mutex
	held map[string]struct{}
}

// TryAcquire reserves the endpoint for a suspect. It returns false if another suspect
// runs there.
func (i *Isolation) TryAcquire(endpoint string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, taken := i.held[endpoint]; taken {
		return false
	}
	if i.held == nil {
		i.held = map[string]struct{}{}
	}
	i.held[endpoint] = struct{}{}
	return true
}

// Release ends the reservation of the endpoint.
func (i *Isolation) Release(endpoint string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.held, endpoint)
}

const (
	completedSlots  = 1 << 14
	completedWindow = time.Minute
)

// completedCache records the fingerprints that completed within the last one to two
// completedWindow periods, in two generations of a direct-mapped cache. If an entry of
// the cache is overwritten, the only effect is that its request may be suspected
// needlessly.
type completedCache struct {
	seed      maphash.Seed
	mu        sync.Mutex
	rotatedAt atomic.Int64
	current   atomic.Pointer[generation]
	previous  atomic.Pointer[generation]
}

type generation [completedSlots]atomic.Uint64

func (c *completedCache) init(now time.Time) {
	c.seed = maphash.MakeSeed()
	c.rotatedAt.Store(now.UnixNano())
	c.current.Store(&generation{})
	c.previous.Store(&generation{})
}

func (c *completedCache) add(fp digest.Digest, servedDigest string, now time.Time) {
	c.rotate(now)
	id := c.id(fp, servedDigest)
	c.current.Load()[id%completedSlots].Store(id)
}

func (c *completedCache) has(fp digest.Digest, servedDigest string, now time.Time) bool {
	c.rotate(now)
	id := c.id(fp, servedDigest)
	slot := id % completedSlots
	return c.current.Load()[slot].Load() == id || c.previous.Load()[slot].Load() == id
}

func (c *completedCache) id(fp digest.Digest, servedDigest string) uint64 {
	return binary.LittleEndian.Uint64(fp[:8]) ^ maphash.String(c.seed, servedDigest)
}

func (c *completedCache) rotate(now time.Time) {
	if now.UnixNano()-c.rotatedAt.Load() < int64(completedWindow) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.UnixNano() - c.rotatedAt.Load()
	if age < int64(completedWindow) {
		return
	}
	previous := c.current.Load()
	if age >= 2*int64(completedWindow) {
		previous = &generation{}
	}
	c.previous.Store(previous)
	c.current.Store(&generation{})
	c.rotatedAt.Store(now.UnixNano())
}
