package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Limits of the verification before an order.
const (
	// maxReadAge is the age of the oldest read at which an order may still be sent. The
	// platform excuses chunks that became corrupt less than 3 s before the endpoint accepts
	// the order; the difference is for the way of the order.
	maxReadAge = 2 * time.Second
	// maxVerifyTime leaves time for the announcement between the reads and the order.
	maxVerifyTime = maxReadAge - 500*time.Millisecond
	// The number of concurrent reads starts at 1 and is multiplied by readersFactor after
	// each verification that took too long, since slow answers can overlap.
	readersFactor = 4
	maxReaders    = 32
)

var (
	// errStaleReads is returned if the staged chunks were read back too long ago.
	errStaleReads = eris.New("staged chunks were read back too long ago")
	// errSlowReads is returned if the staged chunks cannot be read back in time.
	errSlowReads = eris.New("staged chunks cannot be read back in time")
	// errCorruptStaged is returned if staged chunks do not match the manifest.
	errCorruptStaged = eris.New("staged chunks are corrupt")
)

// verification is the state of the verification before an order.
type verification struct {
	// oldest is when the first read of the last verification began. It is a reading of the
	// Replica's clock, which goes on during a suspension.
	oldest  time.Duration
	readers int // concurrent reads
}

// verifyStaged reads back the staged chunks, of any version, and marks those that match
// the manifest's chunk at the same index.
func (r *Replica) verifyStaged(ctx context.Context, t target, s stagingState) error {
	list, err := r.callbacks.ListStaged(ctx, t.model)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		r.mu.Lock()
		r.unanswered.orders = false // an order would have needed staged chunks
		r.mu.Unlock()
	}
	slices.Sort(list)
	for _, i := range slices.Compact(list) {
		if i >= 0 && i < len(s.staged) {
			s.staged[i] = r.chunkIntact(ctx, t.model, s.manifest, i)
		}
	}
	return nil
}

func (r *Replica) chunkIntact(ctx context.Context, model string, m *model.Manifest, chunk int) bool {
	c := m.Chunk(chunk)
	data, err := r.callbacks.ReadStaged(ctx, model, chunk, c.Size())
	return err == nil && digest.Of(data) == c.Digest()
}

// verifyInTime verifies every chunk within maxVerifyTime.
//
// If the endpoint is so slow that even concurrent reads take longer, it is not ordered:
// loading a corrupt chunk is worse than loading late. The caller tries again until the
// reads are fast enough.
func (r *Replica) verifyInTime(ctx context.Context, t target) error {
	for ctx.Err() == nil {
		if !r.verifyAll(ctx, t) {
			return errCorruptStaged
		}
		took := r.now() - r.verification.oldest
		if took <= maxVerifyTime {
			return nil
		}
		if r.verification.readers >= maxReaders {
			telemetry.StagedReadsSlow.Log(ctx, r.logger, "model", t.model, "version", t.version, "took", took)
			return errSlowReads
		}
		r.verification.readers = min(r.verification.readers*readersFactor, maxReaders)
	}
	return ctx.Err()
}

// checkReadAge returns an error that wraps errStaleReads if the oldest read of the last
// verification is older than maxReadAge.
func (r *Replica) checkReadAge() error {
	if age := r.now() - r.verification.oldest; age > maxReadAge {
		return eris.Wrapf(errStaleReads, "age %v", age)
	}
	return nil
}

// verifyAll reads back and verifies every chunk, clears the mark of corrupt ones so that
// they are fetched again, and reports whether all are intact. It ends early if it takes
// more than maxVerifyTime, and then says nothing about the rest.
func (r *Replica) verifyAll(ctx context.Context, t target) bool {
	r.mu.Lock()
	s := r.staging
	r.mu.Unlock()
	r.verification.oldest = r.now()
	corrupt := r.findCorrupt(ctx, t, s)
	for _, i := range corrupt {
		telemetry.StagedChunkSpoilt.Log(ctx, r.logger, "model", t.model, "version", t.version, "chunk", i)
		r.mu.Lock()
		s.staged[i] = false
		r.mu.Unlock()
	}
	return len(corrupt) == 0
}

// findCorrupt reads back every chunk, as long as the verification is in time, and returns
// the indexes of those that are missing or do not match the manifest.
func (r *Replica) findCorrupt(ctx context.Context, t target, s stagingState) []int {
	indexes := make(chan int)
	var readers sync.WaitGroup
	var mu sync.Mutex
	var corrupt []int
	for range max(r.verification.readers, 1) {
		readers.Go(func() {
			for i := range indexes {
				if r.chunkIntact(ctx, t.model, s.manifest, i) {
					continue
				}
				mu.Lock()
				corrupt = append(corrupt, i)
				mu.Unlock()
			}
		})
	}
	for i := range s.staged {
		if r.now()-r.verification.oldest > maxVerifyTime {
			break // too late for this verification
		}
		indexes <- i
	}
	close(indexes)
	readers.Wait()
	return corrupt
}
