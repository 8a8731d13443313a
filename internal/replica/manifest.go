package replica

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// Bounds of the search for a manifest. The first in rank of a region reads it from
// the origin and the others take it over, since the origin accepts few connections
// and its link carries the chunks. One that has waited for its patience reads too.
const (
	secondPatience = 400 * time.Millisecond // of the second in rank
	otherPatience  = 1500 * time.Millisecond
	peerPause      = 30 * time.Millisecond
	// manifestReads bounds the tries for two readings that agree.
	manifestReads = 4
)

var errManifests = eris.New("origin gives a different manifest each time")

// fetchManifest returns the manifest of a version, from the origin or from a peer.
func (r *Replica) fetchManifest(ctx context.Context, w want) (*model.Manifest, error) {
	peers := rankedPeers(r.regionPeers(ctx), w.version)
	patience := otherPatience
	switch rankAmong(r.self.Name(), peers, w.version) {
	case 0:
		return r.readManifest(ctx, w)
	case 1:
		patience = secondPatience
	}
	begun := r.now()
	for try := 0; r.now()-begun < patience && ctx.Err() == nil; try++ {
		m, err := r.seams.PeerManifest(ctx, peers[askedAt(try, len(peers))], w.model, w.version)
		if err == nil && m != nil {
			return m, nil
		}
		// A peer that can't be asked is as good as one that has none yet.
		r.sleep(ctx, peerPause)
		if r.superseded(w) {
			return nil, errSuperseded
		}
	}
	return r.readManifest(ctx, w)
}

// askedAt returns the rank of the peer to ask at a try. Every second one goes to the
// first in rank, who has the manifest before all others, and the next ones to the
// others in turn.
func askedAt(try, peers int) int {
	if try%2 == 0 || peers == 1 {
		return 0
	}
	return 1 + try/2%(peers-1)
}

// regionPeers returns the other agents of the own region.
func (r *Replica) regionPeers(ctx context.Context) []member.Member {
	all, err := r.seams.ListPeers(ctx)
	if err != nil {
		return nil // then the origin is asked
	}
	var list []member.Member
	for _, m := range all {
		if m.Region() == r.self.Region() && m.Name() != r.self.Name() {
			list = append(list, m)
		}
	}
	return list
}

// readManifest reads the manifest from the origin until two readings agree:
// nothing else tells a spoilt one from a good one.
func (r *Replica) readManifest(ctx context.Context, w want) (*model.Manifest, error) {
	var before *model.Manifest
	for range manifestReads {
		m, err := r.seams.OriginManifest(ctx, w.model, w.version)
		if err != nil {
			return nil, err
		}
		if before != nil && before.ID() == m.ID() {
			return m, nil
		}
		before = m
	}
	return nil, errManifests
}

// FetchManifest returns the manifest that this agent stages, if it is the one asked
// for.
func (h handler) FetchManifest(_ context.Context, q *connect.Request[nodev1.FetchManifestRequest]) (*connect.Response[nodev1.FetchManifestResponse], error) {
	r := h.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := &nodev1.FetchManifestResponse{}
	m := r.held.manifest
	if m != nil && m.Name() == q.Msg.GetModel() && m.Version() == versionText(q.Msg.GetVersion()) {
		answer.Manifest = m.Encode()
	}
	return connect.NewResponse(answer), nil
}
