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

// Errors of an exchange and of its seams.
var (
	// ErrRefused is wrapped by a fetch that the sender has no slot or budget for.
	ErrRefused = eris.New("upload refused")
	// ErrMissing is wrapped by a fetch of a chunk that the sender does not hold.
	ErrMissing = eris.New("sender does not hold the chunk")
	// ErrStaging is wrapped by Run when the staging area took no chunk.
	ErrStaging = eris.New("chunk cannot be staged")
	// errCorrupt ends a fetch whose bytes do not match the digest.
	errCorrupt = eris.New("chunk does not match its digest")
)

// RefusedError is an ErrRefused with the sender's hint when to ask again.
type RefusedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "upload refused, retry after " + e.RetryAfter.String()
}

// Is makes errors.Is(err, ErrRefused) true.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

// Callbacks are the functions through which an exchange reaches its surroundings.
// All are called from several goroutines at a time.
type Callbacks struct {
	// ListPeers returns the live members that want or hold the manifest.
	ListPeers func(ctx context.Context) ([]member.Member, error)
	// ChunkMap asks a peer which chunks it can send, and for its number of
	// uploads in progress.
	ChunkMap func(ctx context.Context, peer member.Member) (Bitmap, int, error)
	// FetchPeer opens the bytes of a chunk from offset on. Its errors may wrap
	// ErrRefused, as RefusedError, or ErrMissing.
	FetchPeer func(ctx context.Context, peer member.Member, chunk digest.Digest, offset int64) (io.ReadCloser, error)
	// FetchOrigin opens the bytes of a chunk in the origin from offset on.
	FetchOrigin func(ctx context.Context, chunk digest.Digest, offset int64) (io.ReadCloser, error)
	// Stage keeps a verified chunk. The data is reused after it returns.
	Stage func(ctx context.Context, chunk model.Chunk, data []byte) error
	// Staged returns the chunks that are kept already.
	Staged func(ctx context.Context) ([]digest.Digest, error)
	// Headroom returns the share, from 0 to 1, of the download pace that live
	// requests leave to the transfer. Nil means 1.
	Headroom func() float64
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
	// Rand returns a number in [0, n). Nil means a randomly seeded generator.
	Rand func(n int) int
}

func (s *Callbacks) fillDefaults() {
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Rand == nil {
		s.Rand = rand.IntN
	}
	if s.Headroom == nil {
		s.Headroom = func() float64 { return 1 }
	}
}

// outcomeOf classifies the error of a fetch.
func outcomeOf(err error) (Outcome, time.Duration) {
	var refused *RefusedError
	switch {
	case err == nil:
		return Verified, 0
	case errors.As(err, &refused):
		return Refused, refused.RetryAfter
	case errors.Is(err, ErrRefused):
		return Refused, retryBusy
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
