package swarm

import (
	"context"
	"crypto/sha256"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// transfer is a fetch in progress.
type transfer struct {
	fetch    Fetch
	chunk    model.Chunk
	buffer   *chunkBuffer
	cancel   context.CancelFunc
	received atomic.Int64
}

// startTransfer starts a fetch requested by the picker.
func (x *Exchange) startTransfer(ctx context.Context, f Fetch) {
	t := &transfer{fetch: f, chunk: x.manifest.Chunk(f.Chunk)}
	t.buffer = x.partials[f.Chunk]
	if f.Offset > 0 {
		delete(x.partials, f.Chunk)
	} else {
		t.buffer = x.buffers.get()
	}
	t.received.Store(f.Offset)
	transferCtx, cancel := context.WithCancel(ctx)
	t.cancel = cancel
	x.transfers[f.ID] = t
	peer := x.members[f.Source.Peer]
	open := func() (io.ReadCloser, error) {
		if f.Source.Origin() {
			return x.callbacks.FetchOrigin(transferCtx, t.chunk.Digest(), f.Offset)
		}
		return x.callbacks.FetchPeer(transferCtx, peer, t.chunk.Digest(), f.Offset)
	}
	limiters := x.limiters(f)
	x.tasks.Go(func() {
		err := x.receive(transferCtx, t, open, limiters)
		staged := err == nil
		if staged {
			err = x.callbacks.Stage(transferCtx, t.chunk, t.buffer.data[:t.chunk.Size()])
		}
		// The context of a canceled transfer has ended, so the result is posted
		// with the context of the run. Otherwise its slot would not be released.
		x.post(ctx, func(now time.Time) { x.finish(now, t, staged, err) })
	})
}

// limiters returns the rate limiters that apply to a fetch: that of all downloads
// and, if the fetch has a rate, that of its link.
func (x *Exchange) limiters(f Fetch) []*rate.Limiter {
	limiters := []*rate.Limiter{x.downloadLimiter}
	if f.Rate <= 0 {
		return limiters
	}
	l := x.linkLimiters[f.Link]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(f.Rate), readBlockSize)
		x.linkLimiters[f.Link] = l
	}
	l.SetLimit(rate.Limit(f.Rate))
	return append(limiters, l)
}

// receive reads a chunk while a second goroutine hashes the received bytes, and then
// verifies the digest.
func (x *Exchange) receive(ctx context.Context, t *transfer, open func() (io.ReadCloser, error), limiters []*rate.Limiter) error {
	body, err := open()
	if err != nil {
		return err
	}
	defer body.Close()
	stop := context.AfterFunc(ctx, func() { body.Close() })
	defer stop()
	received := make(chan int, int(t.chunk.Size()/readBlockSize)+2)
	sum := make(chan digest.Digest, 1)
	go func() { sum <- hashReceived(t.buffer.data, received) }()
	err = x.readBody(ctx, t, body, limiters, received)
	close(received)
	actualDigest := <-sum
	if err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
	if actualDigest != t.chunk.Digest() {
		return errCorrupt
	}
	return nil
}

// hashReceived hashes data incrementally. Each value from received is the length of
// the data received so far. It returns the digest of the data up to the last length.
func hashReceived(data []byte, received <-chan int) digest.Digest {
	h := sha256.New()
	hashed := 0
	for n := range received {
		h.Write(data[hashed:n])
		hashed = n
	}
	var d digest.Digest
	h.Sum(d[:0])
	return d
}

// readBody reads the chunk from the offset to its size into the buffer. It returns
// errCorrupt if the sender sends more bytes than the chunk has.
func (x *Exchange) readBody(ctx context.Context, t *transfer, body io.Reader, limiters []*rate.Limiter, received chan<- int) error {
	counter := &x.bytesPeers
	if t.fetch.Source.Origin() {
		counter = &x.bytesOrigin
	}
	size := int(t.chunk.Size())
	pos := int(t.fetch.Offset)
	received <- pos
	for pos < size {
		block := min(readBlockSize, size-pos)
		for _, l := range limiters {
			if err := l.WaitN(ctx, block); err != nil {
				return err
			}
		}
		n, err := io.ReadFull(body, t.buffer.data[pos:pos+block])
		pos += n
		counter.Add(int64(n))
		t.received.Store(int64(pos))
		if err != nil {
			return eris.Wrapf(err, "chunk %s at %d of %d bytes", t.chunk.Digest().Short(), pos, size)
		}
		received <- pos
	}
	var extra [1]byte
	if n, _ := io.ReadFull(body, extra[:]); n > 0 {
		return errCorrupt
	}
	return nil
}

// finish records the end of a transfer. Verified reports whether the chunk matched its
// digest; err is then the error of the staging area.
func (x *Exchange) finish(now time.Time, t *transfer, verified bool, err error) {
	t.cancel()
	delete(x.transfers, t.fetch.ID)
	x.picker.Progress(now, t.fetch.ID, t.received.Load())
	outcome, retryAfter := classifyError(err)
	if verified && err != nil {
		outcome = Canceled
		if !x.picker.Staged().Has(t.fetch.Chunk) {
			x.stagingErr = eris.Wrapf(ErrStaging, "%s: %v", t.chunk.Digest().Short(), err)
		}
	}
	if outcome == Corrupt {
		x.corruptChunks.Add(1)
		telemetry.CorruptChunk.Log(context.Background(), x.log, "chunk", t.chunk.Digest().Short(), "sender", t.fetch.Source.Peer)
	}
	x.picker.Done(now, t.fetch.ID, outcome, retryAfter)
	x.stagedChunks.Store(int64(x.picker.Staged().Count()))
	x.keepOrRelease(t)
}

// keepOrRelease keeps the buffer of a chunk that will be resumed, as long as fewer than
// maxPartialChunks are kept, and otherwise returns it to the pool.
func (x *Exchange) keepOrRelease(t *transfer) {
	i := t.fetch.Chunk
	keep := x.picker.PartialSize(i) > 0 && x.partials[i] == nil
	if keep && len(x.partials) < maxPartialChunks {
		x.partials[i] = t.buffer
		return
	}
	if keep {
		x.picker.DiscardPartial(i)
	}
	x.buffers.put(t.buffer)
}
