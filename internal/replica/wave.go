package replica

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

// Shares of the version bound in which endpoints begin to load. Before the first
// the transfer fills the links anyway; after the last an endpoint still has to
// finish the requests that it runs.
const (
	firstWave = 0.35
	lastWave  = 0.70
)

// waveAt returns when, after a version was named, the endpoint at a rank among n
// may begin to load.
func waveAt(bound time.Duration, rank, n int) time.Duration {
	if bound == 0 || n < 2 {
		return 0
	}
	share := firstWave + (lastWave-firstWave)*float64(rank)/float64(n-1)
	return time.Duration(share * float64(bound))
}

// rankAmong returns the place of self among the members, by a hash over the
// version, so that not the same endpoints are always last.
func rankAmong(self string, members []member.Member, version int64) int {
	key := rendezvous.Hash(versionText(version))
	mine := rendezvous.Mix(rendezvous.Hash(self) ^ key)
	rank := 0
	for _, m := range members {
		if m.Name() != self && rendezvous.Mix(rendezvous.Hash(m.Name())^key) < mine {
			rank++
		}
	}
	return rank
}

// awaitWave waits until it is the endpoint's turn to load. An endpoint that has
// nothing to serve loads at once.
func (r *Replica) awaitWave(ctx context.Context, w want) error {
	report, err := r.seams.Report(ctx, w.model)
	if err != nil {
		return err
	}
	if w.first || report.Version == 0 {
		return nil
	}
	peers, err := r.seams.Peers(ctx)
	if err != nil {
		return nil // without the list there is no rank, and the bound matters more
	}
	n := len(peers)
	if !slices.ContainsFunc(peers, func(m member.Member) bool { return m.Name() == r.self.Name() }) {
		n++
	}
	at := w.since + waveAt(r.bound, rankAmong(r.self.Name(), peers, w.version), n)
	for r.now() < at && ctx.Err() == nil {
		r.pause(ctx, min(at-r.now(), retryInterval))
		if r.current() != w {
			return errSuperseded
		}
	}
	return ctx.Err()
}

func versionText(version int64) string { return strconv.FormatInt(version, 10) }
