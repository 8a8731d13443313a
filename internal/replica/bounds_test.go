package replica

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// Staged chunks that the endpoint lists and the manifest does not have are ignored, and
// each chunk is read once.
func TestListOfStagedChunksIsOdd(t *testing.T) {
	m := manifest(t, 2, "a", "b")
	reads := 0
	r := New(agent(1), Callbacks{
		ListStaged: func(context.Context, string) ([]int, error) {
			return []int{-1, math.MinInt, 1, 2, math.MaxInt, 1, 1, 1}, nil
		},
		ReadStaged: func(context.Context, string, int, int64) ([]byte, error) {
			reads++
			return []byte("wrong"), nil
		},
	})
	s := stagingState{manifest: m, staged: make([]bool, m.Chunks())}
	require.NoError(t, r.verifyStaged(t.Context(), target{model: "m", version: 2}, s))
	require.Equal(t, []bool{false, false}, s.staged)
	require.Equal(t, 1, reads)
}

// A peer that asks for bytes beyond a chunk is refused and holds no upload.
func TestFetchChunkBeyondItsEnd(t *testing.T) {
	const content = "abcdef"
	m := manifest(t, 2, content)
	r := New(agent(1), Callbacks{
		ReadStaged: func(context.Context, string, int, int64) ([]byte, error) { return []byte(content), nil },
	})
	r.staging = stagingState{manifest: m, staged: []bool{true}, index: map[digest.Digest]int{m.Chunk(0).Digest(): 0}}
	r.uploads = swarm.NewUploadLimiter(m.Size(), swarm.WithSlots(uploadSlots))
	mux := http.NewServeMux()
	r.Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	client := nodev1connect.NewAgentServiceClient(server.Client(), server.URL)
	fetch := func(offset uint64) ([]byte, error) {
		stream, err := client.FetchChunk(t.Context(), connect.NewRequest(&nodev1.FetchChunkRequest{Digest: m.Chunk(0).Digest().Bytes(), Offset: offset}))
		require.NoError(t, err)
		defer stream.Close()
		var data []byte
		for stream.Receive() {
			data = append(data, stream.Msg().GetData()...)
		}
		return data, stream.Err()
	}
	for _, offset := range []uint64{math.MaxUint64, 1 << 63, 7, math.MaxInt64} {
		for range uploadSlots + 1 {
			_, err := fetch(offset)
			require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err), "offset %d: %v", offset, err)
		}
	}
	data, err := fetch(2)
	require.NoError(t, err)
	require.Equal(t, content[2:], string(data))
	require.Zero(t, r.uploads.ActiveInRegion())
}

// A manifest that a peer sends for another one is not used.
func TestOtherManifestFromPeer(t *testing.T) {
	self := agent(1)
	var peers []member.Member
	for i := 2; rankAmong(self.Name(), peers, 2) < 2; i++ {
		peers = append(peers, agent(i))
	}
	answers := []*model.Manifest{manifest(t, 1, "a"), manifest(t, 3, "a"), manifest(t, 2, "b")}
	r := New(self, Callbacks{
		ListPeers: func(context.Context) ([]member.Member, error) { return peers, nil },
		PeerManifest: func(context.Context, member.Member, string, int64) (*model.Manifest, error) {
			m := answers[0]
			answers = answers[1:]
			return m, nil
		},
	})
	r.target = target{model: "m", version: 2}
	m, err := r.fetchManifest(t.Context(), r.target)
	require.NoError(t, err)
	require.Equal(t, "2", m.Version())
}

// An age that is out of bounds leaves the time of a version between the bound and now.
func TestTargetWithOddAge(t *testing.T) {
	const now, bound = time.Minute, 8 * time.Second
	for _, test := range []struct {
		name string
		age  time.Duration
		want time.Duration
	}{
		{"negative", -time.Hour, now},
		{"smallest", math.MinInt64, now},
		{"largest", math.MaxInt64, now - bound},
	} {
		r := New(agent(1), Callbacks{}, WithVersionBound(bound), WithClock(func() time.Duration { return now }))
		r.SetTarget(Target{Model: "m", Version: 2, Age: test.age})
		require.Equal(t, test.want, r.currentTarget().setAt, test.name)
	}
}
