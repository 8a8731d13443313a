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
	fetch  Fetch
	chunk  model.Chunk
	buffer *buffer
	cancel context.CancelFunc
	got    atomic.Int64
}

// begin starts a fetch that the picker decided on.
func (x *Exchange) begin(ctx context.Context, f Fetch) {
	t := &transfer{fetch: f, chunk: x.manifest.Chunk(f.Chunk)}
	t.buffer = x.partials[f.Chunk]
	if f.Offset > 0 {
		delete(x.partials, f.Chunk)
	} else {
		t.buffer = x.buffers.get()
	}
	t.got.Store(f.Offset)
	own, cancel := context.WithCancel(ctx)
	t.cancel = cancel
	x.transfers[f.ID] = t
	peer := x.members[f.Source.Peer]
	open := func() (io.ReadCloser, error) {
		if f.Source.Origin() {
			return x.seams.FetchOrigin(own, t.chunk.Digest(), f.Offset)
		}
		return x.seams.FetchPeer(own, peer, t.chunk.Digest(), f.Offset)
	}
	limiters := x.limiters(f)
	x.tasks.Go(func() {
		err := x.receive(own, t, open, limiters)
		staged := err == nil
		if staged {
			err = x.seams.Stage(own, t.chunk, t.buffer.data[:t.chunk.Size()])
		}
		// The end is reported under the context of the run: that of a dropped
		// transfer has ended, and its slot must come back.
		x.report(ctx, func(now time.Time) { x.finish(now, t, staged, err) })
	})
}

// limiters returns the paces that a fetch is bound to.
func (x *Exchange) limiters(f Fetch) []*rate.Limiter {
	limiters := []*rate.Limiter{x.download}
	if f.Rate <= 0 {
		return limiters
	}
	l := x.pace[f.Link]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(f.Rate), blockSize)
		x.pace[f.Link] = l
	}
	l.SetLimit(rate.Limit(f.Rate))
	return append(limiters, l)
}

// receive reads the chunk while a second goroutine hashes what has arrived, and
// compares the digest.
func (x *Exchange) receive(ctx context.Context, t *transfer, open func() (io.ReadCloser, error), limiters []*rate.Limiter) error {
	body, err := open()
	if err != nil {
		return err
	}
	defer body.Close()
	stop := context.AfterFunc(ctx, func() { body.Close() })
	defer stop()
	arrived := make(chan int, int(t.chunk.Size()/blockSize)+2)
	sum := make(chan digest.Digest, 1)
	go func() { sum <- hashArrived(t.buffer.data, arrived) }()
	err = x.read(ctx, t, body, limiters, arrived)
	close(arrived)
	actual := <-sum
	if err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
	if actual != t.chunk.Digest() {
		return errCorrupt
	}
	return nil
}

// hashArrived returns the digest of the data up to the last length that arrived.
func hashArrived(data []byte, arrived <-chan int) digest.Digest {
	h := sha256.New()
	done := 0
	for n := range arrived {
		h.Write(data[done:n])
		done = n
	}
	var d digest.Digest
	h.Sum(d[:0])
	return d
}

// read fills the buffer from the offset to the size of the chunk. A sender that
// has more to give is as wrong as one with other bytes.
func (x *Exchange) read(ctx context.Context, t *transfer, body io.Reader, limiters []*rate.Limiter, arrived chan<- int) error {
	total := &x.bytesPeers
	if t.fetch.Source.Origin() {
		total = &x.bytesOrigin
	}
	size := int(t.chunk.Size())
	at := int(t.fetch.Offset)
	arrived <- at
	for at < size {
		block := min(blockSize, size-at)
		for _, l := range limiters {
			if err := l.WaitN(ctx, block); err != nil {
				return err
			}
		}
		n, err := io.ReadFull(body, t.buffer.data[at:at+block])
		at += n
		total.Add(int64(n))
		t.got.Store(int64(at))
		if err != nil {
			return eris.Wrapf(err, "chunk %s at %d of %d bytes", t.chunk.Digest().Short(), at, size)
		}
		arrived <- at
	}
	var extra [1]byte
	if n, _ := io.ReadFull(body, extra[:]); n > 0 {
		return errCorrupt
	}
	return nil
}

// finish records the end of a transfer. Received tells that the chunk verified,
// so that err is of the staging area.
func (x *Exchange) finish(now time.Time, t *transfer, received bool, err error) {
	t.cancel()
	delete(x.transfers, t.fetch.ID)
	x.picker.Progress(now, t.fetch.ID, t.got.Load())
	outcome, retryAfter := outcomeOf(err)
	if received && err != nil {
		outcome = Canceled
		if !x.picker.Staged().Has(t.fetch.Chunk) {
			x.failure = eris.Wrapf(ErrStaging, "%s: %v", t.chunk.Digest().Short(), err)
		}
	}
	if outcome == Corrupt {
		x.corrupt.Add(1)
		telemetry.CorruptChunk.Log(context.Background(), x.log, "chunk", t.chunk.Digest().Short(), "sender", t.fetch.Source.Peer)
	}
	x.picker.Done(now, t.fetch.ID, outcome, retryAfter)
	x.staged.Store(int64(x.picker.Staged().Count()))
	x.keepOrRelease(t)
}

// keepOrRelease keeps the bytes of a chunk that resumes elsewhere, as long as
// fewer than maxPartials are kept.
func (x *Exchange) keepOrRelease(t *transfer) {
	i := t.fetch.Chunk
	keep := x.picker.PartialSize(i) > 0 && x.partials[i] == nil
	if keep && len(x.partials) < maxPartials {
		x.partials[i] = t.buffer
		return
	}
	if keep {
		x.picker.DiscardPartial(i)
	}
	x.buffers.put(t.buffer)
}
