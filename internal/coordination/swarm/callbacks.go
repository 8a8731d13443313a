package swarm

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// Errors of an exchange and of its callbacks.
var (
	// ErrRefused is wrapped by the error of a fetch for which the sender has no free
	// upload slot or no budget left.
	ErrRefused = eris.New("upload refused")
	// ErrMissing is wrapped by the error of a fetch of a chunk that the sender does
	// not hold.
	ErrMissing = eris.New("sender does not hold the chunk")
	// ErrStaging is wrapped by the error of Run when the staging area cannot be read
	// or a chunk cannot be written to it.
	ErrStaging = eris.New("chunk cannot be staged")
	// errCorrupt is the error of a fetch whose bytes do not match the digest.
	errCorrupt = eris.New("chunk does not match its digest")
)

// RefusedError is an ErrRefused with the time after which the sender suggests to
// retry.
type RefusedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "upload refused, retry after " + e.RetryAfter.String()
}

// Is makes errors.Is(err, ErrRefused) true.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

// Callbacks are the functions through which an exchange lists peers, transfers
// bytes, accesses the staging area, and obtains the time and random numbers. They
// must be safe for concurrent use.
type Callbacks struct {
	// ListPeers returns the live members that download or hold the manifest.
	ListPeers func(ctx context.Context) ([]member.Member, error)
	// ChunkMap requests from a peer the chunks that it can send and the number of
	// its uploads in progress.
	ChunkMap func(ctx context.Context, peer member.Member) (Bitmap, int, error)
	// FetchPeer opens a chunk of a peer for reading, starting at offset bytes. Its
	// errors may wrap ErrRefused, as RefusedError does, or ErrMissing.
	FetchPeer func(ctx context.Context, peer member.Member, chunk digest.Digest, offset int64) (io.ReadCloser, error)
	// FetchOrigin opens a chunk of the origin for reading, starting at offset bytes.
	FetchOrigin func(ctx context.Context, chunk digest.Digest, offset int64) (io.ReadCloser, error)
	// Stage stores a verified chunk. The buffer of data is reused after it returns.
	Stage func(ctx context.Context, chunk model.Chunk, data []byte) error
	// Staged returns the chunks that are already in the staging area.
	Staged func(ctx context.Context) ([]digest.Digest, error)
	// Headroom returns the share, from 0 to 1, of the download rate that live
	// requests leave for the transfer. Nil means 1.
	Headroom func() float64
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
	// Rand returns a number in [0, n). Nil means a randomly seeded generator.
	Rand func(n int) int
}

func (c *Callbacks) fillDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.IntN
	}
	if c.Headroom == nil {
		c.Headroom = func() float64 { return 1 }
	}
}

// classifyError returns the outcome of a fetch that ended with err, and the time to
// wait before a retry if it was refused.
func classifyError(err error) (Outcome, time.Duration) {
	var refused *RefusedError
	switch {
	case err == nil:
		return Verified, 0
	case errors.As(err, &refused):
		return Refused, refused.RetryAfter
	case errors.Is(err, ErrRefused):
		return Refused, busyRetryAfter
	case errors.Is(err, ErrMissing):
		return Missing, 0
	case errors.Is(err, errCorrupt):
		return Corrupt, 0
	case errors.Is(err, context.Canceled):
		return Canceled, 0
	default:
		return Failed, 0
	}
}
