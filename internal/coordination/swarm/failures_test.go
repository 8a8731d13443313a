package swarm_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

const (
	nodeCount  = 9
	chunkCount = 48
)

var twoRegions = []string{"riga", "liepaja"}

// fleet returns a network of nodes in two regions with a latency of 100 ms.
func fleet(t *testing.T) (*network, *model.Manifest, []*node) {
	m, data := weights(t, "1", chunkCount, 3)
	w := newNetwork(data)
	w.latency = 100 * time.Millisecond
	var nodes []*node
	for i := range nodeCount {
		nodes = append(nodes, w.add(i, twoRegions[i%2], m, swarm.WithOriginRegion("riga"), swarm.WithMaxOriginCopies(1)))
	}
	return w, m, nodes
}

// requireWhole checks that the nodes have every chunk and ended without error.
func requireWhole(t *testing.T, m *model.Manifest, errs map[string]error, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		require.NoError(t, errs[n.self.Name()], n.self.Name())
		require.Len(t, n.staged, m.Chunks(), n.self.Name())
		require.LessOrEqual(t, n.uploads.BytesAdmitted(), 2*m.Size(), n.self.Name())
	}
}

func flipped(data []byte) io.Reader {
	wrong := bytes.Clone(data)
	wrong[len(wrong)/2] ^= 1
	return bytes.NewReader(wrong)
}

func totalCorrupt(nodes []*node) int64 {
	var total int64
	for _, n := range nodes {
		total += n.exchange.Counters().CorruptChunks
	}
	return total
}

func TestChunkCorruptAtEachHop(t *testing.T) {
	region := func(w *network, name string) string { return w.nodes[name].self.Region() }
	tests := []struct {
		name string
		hop  func(w *network, sender, receiver string) bool
	}{
		{"from the origin", func(_ *network, sender, _ string) bool { return sender == "" }},
		{"between regions", func(w *network, sender, receiver string) bool {
			return sender != "" && region(w, sender) != region(w, receiver)
		}},
		{"inside a region", func(w *network, sender, receiver string) bool {
			return sender != "" && region(w, sender) == region(w, receiver)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, m, nodes := fleet(t)
				sent := 0
				w.tamper = func(sender, receiver string, data []byte) io.Reader {
					if tt.hop(w, sender, receiver) {
						sent++
					}
					if tt.hop(w, sender, receiver) && sent%3 == 1 {
						return flipped(data)
					}
					return bytes.NewReader(data)
				}
				requireWhole(t, m, runAll(t.Context(), nodes), nodes)
				require.Positive(t, totalCorrupt(nodes))
			})
		})
	}
}

func TestPeerThatLies(t *testing.T) {
	other, otherData := weights(t, "2", 1, 9)
	anotherVersion := otherData[other.Chunk(0).Digest()]
	tests := []struct {
		name   string
		sends  bool
		tamper func(data []byte) io.Reader
	}{
		{"announces what it has not", false, nil},
		{"sends wrong bytes", true, flipped},
		{"sends another version's chunk", true, func(data []byte) io.Reader { return bytes.NewReader(anotherVersion[:len(data)]) }},
		{"sends too little", true, func(data []byte) io.Reader { return bytes.NewReader(data[:len(data)/2]) }},
		{"sends too much", true, func(data []byte) io.Reader { return bytes.NewReader(append(bytes.Clone(data), 1)) }},
		{"sends a half and stalls", true, func(data []byte) io.Reader {
			return &stallingReader{data: bytes.NewReader(data[:len(data)/2])}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, m, nodes := fleet(t)
				liar := nodes[0]
				liar.claimsAll = true
				liar.sendsAnything = tt.sends
				w.tamper = func(sender, _ string, data []byte) io.Reader {
					if sender == liar.self.Name() && tt.tamper != nil {
						return tt.tamper(data)
					}
					return bytes.NewReader(data)
				}
				honest := nodes[1:]
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				requireWhole(t, m, runAll(ctx, honest), honest)
			})
		})
	}
}

func TestStalledChunkResumesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, m, nodes := fleet(t)
		w.tamper = func(sender, _ string, data []byte) io.Reader {
			if sender == "" && len(data) == model.MinChunkSize {
				return &stallingReader{data: bytes.NewReader(data[:len(data)/2])}
			}
			return bytes.NewReader(data)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Hour)
		defer cancel()
		requireWhole(t, m, runAll(ctx, nodes), nodes)
		var origin int64
		for _, n := range nodes {
			origin += n.exchange.Counters().BytesOrigin
		}
		require.LessOrEqual(t, float64(origin), 1.6*float64(m.Size()), "the first half of a chunk is not drawn again")
	})
}

func TestOriginDownForMinutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, m, nodes := fleet(t)
		after(w, 700*time.Millisecond, func() { w.originErr = errUnreachable })
		after(w, 5*time.Minute, func() { w.originErr = nil })
		began := time.Now()
		requireWhole(t, m, runAll(t.Context(), nodes), nodes)
		require.Greater(t, time.Since(began), 5*time.Minute)
		require.Less(t, time.Since(began), 7*time.Minute)
	})
}

// after edits the network when the time has passed.
func after(w *network, d time.Duration, edit func()) {
	time.AfterFunc(d, func() { w.change(edit) })
}

func TestRegionCutInMidTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, m, nodes := fleet(t)
		cut := func(a, b string) bool { return a != b }
		after(w, 1500*time.Millisecond, func() { w.cut = cut })
		after(w, 3*time.Minute, func() { w.cut = func(string, string) bool { return false } })
		// The origin stands in riga, so liepaja has lost it as well.
		for _, n := range nodes {
			n.origin = func() error {
				if w.cut(n.self.Region(), "riga") {
					return errUnreachable
				}
				return w.originErr
			}
		}
		began := time.Now()
		requireWhole(t, m, runAll(t.Context(), nodes), nodes)
		require.Greater(t, time.Since(began), 3*time.Minute)
		require.Less(t, time.Since(began), 5*time.Minute)
	})
}

func TestAllSeedersKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, m, nodes := fleet(t)
		// Holders of the first chunks are the seeders; one node comes later.
		late := nodes[nodeCount-1]
		after(w, 900*time.Millisecond, func() {
			for _, n := range nodes[:nodeCount-1] {
				if len(n.staged) > 0 {
					n.dead = true
					n.kill()
				}
			}
		})
		errs := runAll(t.Context(), nodes[:nodeCount-1])
		var survivors []*node
		killed := 0
		for _, n := range nodes[:nodeCount-1] {
			if n.dead {
				killed++
				continue
			}
			survivors = append(survivors, n)
		}
		require.Positive(t, killed)
		errs[late.self.Name()] = runAll(t.Context(), []*node{late})[late.self.Name()]
		requireWhole(t, m, errs, append(survivors, late))
	})
}

func TestVersionChangedInMidTransferKeepsSharedChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, first, nodes := fleet(t)
		after(w, 1500*time.Millisecond, func() {
			for _, n := range nodes {
				n.kill()
			}
		})
		runAll(t.Context(), nodes)

		second := changeHalf(t, w, first)
		var next []*node
		var missing, staged int64
		for i, n := range nodes {
			staged += int64(len(n.staged))
			replacement := w.add(i, n.self.Region(), second, swarm.WithOriginRegion("riga"))
			replacement.staged = n.staged
			next = append(next, replacement)
			for c := range second.Chunks() {
				if !n.staged[second.Chunk(c).Digest()] {
					missing += second.Chunk(c).Size()
				}
			}
		}
		require.Positive(t, staged)
		w.members = w.members[nodeCount:]
		for _, err := range runAll(t.Context(), next) {
			require.NoError(t, err)
		}
		var received int64
		for _, n := range next {
			c := n.exchange.Counters()
			received += c.BytesOrigin + c.BytesPeers
		}
		require.LessOrEqual(t, float64(received), 1.1*float64(missing))
	})
}

// changeHalf returns a version that shares the even chunks with m.
func changeHalf(t *testing.T, w *network, m *model.Manifest) *model.Manifest {
	other, data := weights(t, "2", m.Chunks(), 5)
	var chunks []model.Chunk
	for i := range m.Chunks() {
		c := m.Chunk(i)
		if i%2 == 1 {
			c = other.Chunk(i)
			w.data[c.Digest()] = data[c.Digest()]
		}
		chunks = append(chunks, c)
	}
	second, err := model.New(m.Name(), "2", chunks, digest.Of([]byte("whole of version 2")))
	require.NoError(t, err)
	return second
}

func TestAgentRestartedWithNothingKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, m, nodes := fleet(t)
		requireWhole(t, m, runAll(t.Context(), nodes), nodes)
		reborn := w.add(0, nodes[0].self.Region(), m, swarm.WithOriginRegion("riga"))
		errs := runAll(t.Context(), []*node{reborn})
		requireWhole(t, m, errs, []*node{reborn})
		require.Zero(t, reborn.exchange.Counters().BytesOrigin, "the region holds every chunk")
	})
}
