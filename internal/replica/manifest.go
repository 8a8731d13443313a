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

// Limits of fetching a manifest. The first agent in rank of a region reads it from the
// origin and the others fetch it from peers, since the origin accepts few connections and
// its link carries the chunks. An agent whose timeout has passed reads from the origin
// too.
const (
	secondRankTimeout = 400 * time.Millisecond // for the second in rank
	otherRankTimeout  = 1500 * time.Millisecond
	peerRetryInterval = 30 * time.Millisecond
	// maxManifestReads limits the reads until two consecutive ones match.
	maxManifestReads = 4
)

var errManifestMismatch = eris.New("no two consecutive reads of the manifest match")

// fetchManifest returns the manifest of a version, from the origin or from a peer.
func (r *Replica) fetchManifest(ctx context.Context, t target) (*model.Manifest, error) {
	peers := rankedPeers(r.regionPeers(ctx), t.version)
	timeout := otherRankTimeout
	switch rankAmong(r.self.Name(), peers, t.version) {
	case 0:
		return r.readOriginManifest(ctx, t)
	case 1:
		timeout = secondRankTimeout
	}
	started := r.now()
	for attempt := 0; r.now()-started < timeout && ctx.Err() == nil; attempt++ {
		m, err := r.callbacks.PeerManifest(ctx, peers[peerIndex(attempt, len(peers))], t.model, t.version)
		if err == nil && m != nil && m.Name() == t.model && m.Version() == formatVersion(t.version) {
			return m, nil
		}
		// A peer that cannot be reached, or sends another manifest, is treated as one
		// without the manifest.
		r.sleep(ctx, peerRetryInterval)
		if r.superseded(t) {
			return nil, errSuperseded
		}
	}
	return r.readOriginManifest(ctx, t)
}

// peerIndex returns the rank of the peer to call in an attempt. Every second attempt goes
// to the first in rank, which has the manifest before all others; the attempts between go
// to the others in turn.
func peerIndex(attempt, peers int) int {
	if attempt%2 == 0 || peers == 1 {
		return 0
	}
	return 1 + attempt/2%(peers-1)
}

// regionPeers returns the other agents of the agent's own region.
func (r *Replica) regionPeers(ctx context.Context) []member.Member {
	all, err := r.callbacks.ListPeers(ctx)
	if err != nil {
		return nil // without peers the origin is read
	}
	var list []member.Member
	for _, m := range all {
		if m.Region() == r.self.Region() && m.Name() != r.self.Name() {
			list = append(list, m)
		}
	}
	return list
}

// readOriginManifest reads the manifest from the origin until two consecutive reads
// match: there is no other way to detect a manifest that was corrupted in transit.
func (r *Replica) readOriginManifest(ctx context.Context, t target) (*model.Manifest, error) {
	var previous *model.Manifest
	for range maxManifestReads {
		m, err := r.callbacks.OriginManifest(ctx, t.model, t.version)
		if err != nil {
			return nil, err
		}
		if previous != nil && previous.ID() == m.ID() {
			return m, nil
		}
		previous = m
	}
	return nil, errManifestMismatch
}

// FetchManifest returns the manifest that this agent stages, if it is the requested one.
func (h handler) FetchManifest(_ context.Context, q *connect.Request[nodev1.FetchManifestRequest]) (*connect.Response[nodev1.FetchManifestResponse], error) {
	r := h.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	response := &nodev1.FetchManifestResponse{}
	m := r.staging.manifest
	if m != nil && m.Name() == q.Msg.GetModel() && m.Version() == formatVersion(q.Msg.GetVersion()) {
		response.Manifest = m.Encode()
	}
	return connect.NewResponse(response), nil
}
