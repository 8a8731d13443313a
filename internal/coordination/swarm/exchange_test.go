package swarm_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// network joins exchanges in memory. Faults are injected through its fields.
type network struct {
	mu      sync.Mutex
	members []member.Member
	nodes   map[string]*node
	data    map[digest.Digest][]byte
	// originErr fails fetches from the origin while it is set.
	originErr error
	// cut reports whether two regions cannot reach each other.
	cut func(a, b string) bool
	// latency is how long a fetch takes to open.
	latency time.Duration
	// tamper changes what a sender gives; the sender "" is the origin.
	tamper func(sender, receiver string, data []byte) io.Reader
}

type node struct {
	network  *network
	self     member.Member
	manifest *model.Manifest
	staged   map[digest.Digest]bool
	uploads  *swarm.UploadLimiter
	exchange *swarm.Exchange
	dead     bool
	kill     context.CancelFunc
	// origin returns why the node does not reach the origin.
	origin func() error
	// claimsAll makes the node announce chunks that it does not hold.
	claimsAll bool
	// sendsAnything makes it send them all the same.
	sendsAnything bool
}

var errUnreachable = errors.New("unreachable")

func weights(t *testing.T, version string, chunks int, seed uint64) (*model.Manifest, map[digest.Digest][]byte) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	data := make([]byte, chunks*model.MinChunkSize)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	kept := make(map[digest.Digest][]byte)
	m, err := model.Split("faq", version, bytes.NewReader(data), model.MinChunkSize, func(c model.Chunk, b []byte) error {
		kept[c.Digest()] = bytes.Clone(b)
		return nil
	})
	require.NoError(t, err)
	return m, kept
}

func newNetwork(data map[digest.Digest][]byte) *network {
	return &network{
		nodes:  make(map[string]*node),
		data:   data,
		cut:    func(string, string) bool { return false },
		tamper: func(_, _ string, data []byte) io.Reader { return bytes.NewReader(data) },
	}
}

func (w *network) add(i int, region string, m *model.Manifest, options ...swarm.PickerOption) *node {
	name := fmt.Sprintf("agent-%d", i)
	self := member.New(name, member.RoleAgent, "127.0.0.1:1", member.WithPlace(region, region+"-a"))
	n := &node{network: w, self: self, manifest: m, staged: make(map[digest.Digest]bool), uploads: swarm.NewUploadLimiter(m.Size())}
	n.origin = func() error { return w.originErr }
	random := rand.New(rand.NewPCG(uint64(i), 7))
	n.exchange = swarm.NewExchange(m, self, swarm.WithPickerOptions(options...), swarm.WithCallbacks(swarm.Callbacks{
		ListPeers:   n.listPeers,
		ChunkMap:    n.chunkMap,
		FetchPeer:   n.fetchPeer,
		FetchOrigin: n.fetchOrigin,
		Stage:       n.stage,
		Staged:      n.listStaged,
		Rand:        random.IntN,
	}))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members = append(w.members, self)
	w.nodes[name] = n
	return n
}

func (n *node) listPeers(context.Context) ([]member.Member, error) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return append([]member.Member(nil), n.network.members...), nil
}

func (n *node) reach(peer member.Member) (*node, error) {
	q := n.network.nodes[peer.Name()]
	if q.dead || n.network.cut(n.self.Region(), peer.Region()) {
		return nil, errUnreachable
	}
	return q, nil
}

func (n *node) chunkMap(_ context.Context, peer member.Member) (swarm.Bitmap, int, error) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	q, err := n.reach(peer)
	if err != nil {
		return swarm.Bitmap{}, 0, err
	}
	b := swarm.NewBitmap(n.manifest.Chunks())
	for i := range n.manifest.Chunks() {
		if q.claimsAll || q.staged[n.manifest.Chunk(i).Digest()] {
			b.Set(i)
		}
	}
	return b, q.uploads.ActiveInRegion(), nil
}

// pause waits for the latency of the network.
func (w *network) pause(ctx context.Context) error {
	select {
	case <-time.After(w.latency):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *node) fetchPeer(ctx context.Context, peer member.Member, chunk digest.Digest, offset int64) (io.ReadCloser, error) {
	if err := n.network.pause(ctx); err != nil {
		return nil, err
	}
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	q, err := n.reach(peer)
	if err != nil {
		return nil, err
	}
	if !q.staged[chunk] && !q.sendsAnything {
		return nil, swarm.ErrMissing
	}
	crossing := peer.Region() != n.self.Region()
	data := n.network.data[chunk]
	if a := q.uploads.Admit(int64(len(data)), crossing); !a.Admitted {
		return nil, &swarm.RefusedError{RetryAfter: a.RetryAfter}
	}
	q.uploads.Release(offset, crossing)
	return closing(ctx, n.network.tamper(peer.Name(), n.self.Name(), data[offset:])), nil
}

// closing ends reads from r with ctx, as a connection does.
func closing(ctx context.Context, r io.Reader) io.ReadCloser {
	if s, ok := r.(*stallingReader); ok {
		s.ctx = ctx
	}
	return io.NopCloser(r)
}

// stallingReader gives its data and then nothing until its context ends.
type stallingReader struct {
	ctx  context.Context
	data io.Reader
}

func (s *stallingReader) Read(p []byte) (int, error) {
	if n, err := s.data.Read(p); err == nil {
		return n, nil
	}
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

func (n *node) fetchOrigin(ctx context.Context, chunk digest.Digest, offset int64) (io.ReadCloser, error) {
	if err := n.network.pause(ctx); err != nil {
		return nil, err
	}
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if err := n.origin(); err != nil {
		return nil, err
	}
	return closing(ctx, n.network.tamper("", n.self.Name(), n.network.data[chunk][offset:])), nil
}

func (n *node) stage(_ context.Context, chunk model.Chunk, data []byte) error {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if digest.Of(data) != chunk.Digest() {
		panic("a chunk was staged that does not match its digest")
	}
	n.staged[chunk.Digest()] = true
	return nil
}

func (n *node) listStaged(context.Context) ([]digest.Digest, error) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	var list []digest.Digest
	for d := range n.staged {
		list = append(list, d)
	}
	return list, nil
}

// change edits the network under its lock.
func (w *network) change(edit func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	edit()
}

// runAll runs the exchanges of the nodes and returns their errors by name.
func runAll(ctx context.Context, nodes []*node) map[string]error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	errs := make(map[string]error)
	for _, n := range nodes {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			n.network.change(func() { n.kill = cancel })
			err := n.exchange.Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			errs[n.self.Name()] = err
		})
	}
	wg.Wait()
	return errs
}

func TestExchangeBringsEveryChunk(t *testing.T) {
	tests := []struct {
		name    string
		regions []string
		options []swarm.PickerOption
		copies  float64
	}{
		{"one region", []string{"riga"}, nil, 1.1},
		{"origin region known, one copy", []string{"riga", "liepaja"}, []swarm.PickerOption{
			swarm.WithOriginRegion("riga"), swarm.WithMaxOriginCopies(1),
		}, 1.1},
		{"a copy for each region", []string{"riga", "liepaja", "daugavpils"}, nil, 3.15},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, data := weights(t, "1", 64, 3)
				w := newNetwork(data)
				var nodes []*node
				for i := range 9 {
					nodes = append(nodes, w.add(i, tt.regions[i%len(tt.regions)], m, tt.options...))
				}
				for name, err := range runAll(t.Context(), nodes) {
					require.NoError(t, err, name)
				}
				var origin int64
				for _, n := range nodes {
					c := n.exchange.Counters()
					require.EqualValues(t, m.Chunks(), c.ChunksStaged)
					require.Len(t, n.staged, m.Chunks())
					require.LessOrEqual(t, n.uploads.BytesAdmitted(), 2*m.Size())
					origin += c.BytesOrigin
				}
				require.LessOrEqual(t, float64(origin)/float64(m.Size()), tt.copies)
			})
		})
	}
}

func TestExchangeEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, data := weights(t, "1", 4, 3)
		w := newNetwork(data)
		w.originErr = errUnreachable
		n := w.add(0, "riga", m)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.ErrorIs(t, n.exchange.Run(ctx), context.DeadlineExceeded)
		require.Empty(t, n.staged)
	})
}
