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

// Shares of the version bound in which endpoints begin to load. Before the first
// the transfer fills the links anyway; with the last the endpoint takes no more
// work, and finishes on the old version what it runs.
const (
	firstWave = 0.42
	lastWave  = 0.90
)

// waveAt returns when the endpoint at a rank among n may begin to load a version
// that was named at named, while what it has loaded may be used until the limit.
// The endpoints are spread over the time between.
func waveAt(bound, named, limit time.Duration, rank, n int) time.Duration {
	begin := named + time.Duration(firstWave*float64(bound))
	end := limit - time.Duration((1-lastWave)*float64(bound))
	if bound == 0 || n < 2 || end <= begin {
		return begin
	}
	return begin + (end-begin)*time.Duration(rank)/time.Duration(n-1)
}

// usableUntil returns when work may no longer begin on a loaded version: the bound
// runs from the naming of the next one.
func (r *Replica) usableUntil(w want, loaded int64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.named {
		if n.model == w.model && n.version > loaded && !n.first {
			return n.since + r.bound
		}
	}
	return w.since + r.bound
}

// rankOf is the key by which agents rank each other for a version, so that not the
// same are always first.
func rankOf(name string, version int64) uint64 {
	return rendezvous.Mix(rendezvous.Hash(name) ^ rendezvous.Hash(versionText(version)))
}

// rankAmong returns the place of self among the members.
func rankAmong(self string, members []member.Member, version int64) int {
	mine := rankOf(self, version)
	rank := 0
	for _, m := range members {
		if m.Name() != self && rankOf(m.Name(), version) < mine {
			rank++
		}
	}
	return rank
}

// rankedPeers returns the members in the order of their rank.
func rankedPeers(members []member.Member, version int64) []member.Member {
	slices.SortFunc(members, func(a, b member.Member) int {
		return cmp.Compare(rankOf(a.Name(), version), rankOf(b.Name(), version))
	})
	return members
}

// awaitWave waits until it is the endpoint's turn to load. An endpoint that has
// nothing to serve loads at once.
func (r *Replica) awaitWave(ctx context.Context, w want) error {
	report, err := r.seams.Status(ctx, w.model)
	if err != nil {
		return err
	}
	if w.first || report.Version == 0 {
		return nil
	}
	peers, err := r.seams.ListPeers(ctx)
	if err != nil {
		return nil // without the list there is no rank, and the bound matters more
	}
	n := len(peers)
	if !slices.ContainsFunc(peers, func(m member.Member) bool { return m.Name() == r.self.Name() }) {
		n++
	}
	rank := rankAmong(r.self.Name(), peers, w.version)
	for ctx.Err() == nil {
		if r.superseded(w) {
			return errSuperseded
		}
		w = r.current() // its date may have improved
		at := waveAt(r.bound, w.since, r.usableUntil(w, report.Version), rank, n)
		if r.now() >= at {
			return nil
		}
		r.pause(ctx, min(at-r.now(), retryInterval))
	}
	return ctx.Err()
}

func versionText(version int64) string { return strconv.FormatInt(version, 10) }
