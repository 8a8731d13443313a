package suspects

import (
	"encoding/binary"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

// Isolation lets one suspect at a time run on an endpoint. An entry keeps one
// for the endpoints it dispatches to, an agent one for its own endpoint, which
// holds across entries. The zero value is ready; it is safe for concurrent use.
type Isolation struct {
	mu       sync.Mutex
	occupied map[string]struct{}
}

// TryAcquire claims the endpoint for a suspect, or returns false if one runs there.
func (i *Isolation) TryAcquire(endpoint string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, taken := i.occupied[endpoint]; taken {
		return false
	}
	if i.occupied == nil {
		i.occupied = map[string]struct{}{}
	}
	i.occupied[endpoint] = struct{}{}
	return true
}

// Release ends the claim.
func (i *Isolation) Release(endpoint string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.occupied, endpoint)
}

const (
	provenSlots  = 1 << 14
	provenWindow = time.Minute
)

// proven remembers which fingerprints finished in the last minute or two, in
// two generations of a direct-mapped cache. A request that is overwritten there
// is merely suspected when it need not be.
type proven struct {
	seed      maphash.Seed
	mu        sync.Mutex
	rotatedAt atomic.Int64
	current   atomic.Pointer[generation]
	previous  atomic.Pointer[generation]
}

type generation [provenSlots]atomic.Uint64

func (p *proven) init(now time.Time) {
	p.seed = maphash.MakeSeed()
	p.rotatedAt.Store(now.UnixNano())
	p.current.Store(&generation{})
	p.previous.Store(&generation{})
}

func (p *proven) add(fp digest.Digest, served string, now time.Time) {
	p.rotate(now)
	id := p.id(fp, served)
	p.current.Load()[id%provenSlots].Store(id)
}

func (p *proven) has(fp digest.Digest, served string, now time.Time) bool {
	p.rotate(now)
	id := p.id(fp, served)
	slot := id % provenSlots
	return p.current.Load()[slot].Load() == id || p.previous.Load()[slot].Load() == id
}

func (p *proven) id(fp digest.Digest, served string) uint64 {
	return binary.LittleEndian.Uint64(fp[:8]) ^ maphash.String(p.seed, served)
}

func (p *proven) rotate(now time.Time) {
	if now.UnixNano()-p.rotatedAt.Load() < int64(provenWindow) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	age := now.UnixNano() - p.rotatedAt.Load()
	if age < int64(provenWindow) {
		return
	}
	kept := p.current.Load()
	if age >= 2*int64(provenWindow) {
		kept = &generation{}
	}
	p.previous.Store(kept)
	p.current.Store(&generation{})
	p.rotatedAt.Store(now.UnixNano())
}
