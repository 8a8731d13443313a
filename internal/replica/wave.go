package replica

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

// Fractions of the version bound between which endpoints start to load. Before the first
// the transfer still uses the full links. At the last the endpoint accepts no more
// requests and has the rest of the bound to complete the running ones on the old version.
const (
	firstWaveFraction = 0.42
	lastWaveFraction  = 0.90
)

// waveStart returns when the endpoint at a rank among n may start to load a version that
// was set at setAt, while its loaded version may be used until limit. The starts are
// spread evenly over the time from firstWaveFraction of the bound after setAt until
// 1-lastWaveFraction of the bound before limit. An endpoint that is slower by the factor
// pace needs longer to begin what it has accepted, so that its last start is sooner by that.
func waveStart(bound, setAt, limit time.Duration, rank, n int, pace float64) time.Duration {
	first := setAt + time.Duration(firstWaveFraction*float64(bound))
	end := limit - time.Duration((1-lastWaveFraction)*max(pace, 1)*float64(bound))
	if bound == 0 || n < 2 || end <= first {
		return first
	}
	return first + (end-first)*time.Duration(rank)/time.Duration(n-1)
}

// usableUntil returns the time from which no request may start on a loaded version: the
// time at which the next version was set plus the version bound.
func (r *Replica) usableUntil(t target, loaded int64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, next := range r.targets {
		if next.model == t.model && next.version > loaded && !next.initial {
			return next.setAt + r.versionBound
		}
	}
	return t.setAt + r.versionBound
}

// rankKey returns the key by which agents are ranked for a version. It depends on the
// version, so that the same agents are not always first.
func rankKey(name string, version int64) uint64 {
	return rendezvous.Mix(rendezvous.Hash(name) ^ rendezvous.Hash(formatVersion(version)))
}

// rankAmong returns the rank of self among the members.
func rankAmong(self string, members []member.Member, version int64) int {
	selfKey := rankKey(self, version)
	rank := 0
	for _, m := range members {
		if m.Name() != self && rankKey(m.Name(), version) < selfKey {
			rank++
		}
	}
	return rank
}

// rankedPeers sorts the members by rank and returns them.
func rankedPeers(members []member.Member, version int64) []member.Member {
	slices.SortFunc(members, func(a, b member.Member) int {
		return cmp.Compare(rankKey(a.Name(), version), rankKey(b.Name(), version))
	})
	return members
}

// awaitWave waits until the endpoint's wave starts. An endpoint without a loaded version
// loads at once. It returns errSuperseded if the target changes.
func (r *Replica) awaitWave(ctx context.Context, t target) error {
	status, err := r.status(ctx, t.model)
	if err != nil {
		return err
	}
	if t.initial || status.Version == 0 {
		return nil
	}
	peers, err := r.callbacks.ListPeers(ctx)
	if err != nil {
		return nil // without the list there is no rank; meeting the version bound has priority
	}
	n := len(peers)
	if !slices.ContainsFunc(peers, func(m member.Member) bool { return m.Name() == r.self.Name() }) {
		n++
	}
	rank := rankAmong(r.self.Name(), peers, t.version)
	for ctx.Err() == nil {
		if r.superseded(t) {
			return errSuperseded
		}
		t = r.currentTarget() // the time at which it was set may have been corrected
		at := waveStart(r.versionBound, t.setAt, r.usableUntil(t, status.Version), rank, n, status.Pace)
		if r.now() >= at {
			return nil
		}
		if now, err := r.status(ctx, t.model); err == nil {
			status.Pace = now.Pace
		}
		r.waitForWake(ctx, min(at-r.now(), retryInterval))
	}
	return ctx.Err()
}

func formatVersion(version int64) string { return strconv.FormatInt(version, 10) }
