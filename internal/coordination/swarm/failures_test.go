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

// newTwoRegionNetwork returns a network of nodes in two regions with a latency of 100 ms.
func newTwoRegionNetwork(t *testing.T) (*network, *model.Manifest, []*node) {
	m, data := randomModel(t, "1", chunkCount, 3)
	w := newNetwork(data)
	w.latency = 100 * time.Millisecond
	var nodes []*node
	for i := range nodeCount {
		nodes = append(nodes, w.addNode(i, twoRegions[i%2], m, swarm.WithOriginRegion("riga"), swarm.WithMaxOriginCopies(1)))
	}
	return w, m, nodes
}

// requireComplete checks that the nodes finished without error, staged every chunk and
// uploaded at most two copies of the model.
func requireComplete(t *testing.T, m *model.Manifest, errs map[string]error, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		require.NoError(t, errs[n.self.Name()], n.self.Name())
		require.Len(t, n.staged, m.Chunks(), n.self.Name())
		require.LessOrEqual(t, n.uploads.BytesAdmitted(), 2*m.Size(), n.self.Name())
	}
}

func withFlippedBit(data []byte) io.Reader {
	corrupted := bytes.Clone(data)
	corrupted[len(corrupted)/2] ^= 1
	return bytes.NewReader(corrupted)
}

func totalCorrupt(nodes []*node) int64 {
	var total int64
	for _, n := range nodes {
		total += n.exchange.Counters().CorruptChunks
	}
	return total
}

func TestCorruptChunkOnEachPath(t *testing.T) {
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
				w, m, nodes := newTwoRegionNetwork(t)
				sent := 0
				w.tamper = func(sender, receiver string, data []byte) io.Reader {
					if tt.hop(w, sender, receiver) {
						sent++
					}
					if tt.hop(w, sender, receiver) && sent%3 == 1 {
						return withFlippedBit(data)
					}
					return bytes.NewReader(data)
				}
				requireComplete(t, m, runAll(t.Context(), nodes), nodes)
				require.Positive(t, totalCorrupt(nodes))
			})
		})
	}
}

func TestFaultyPeer(t *testing.T) {
	other, otherData := randomModel(t, "2", 1, 9)
	otherVersionChunk := otherData[other.Chunk(0).Digest()]
	tests := []struct {
		name   string
		sends  bool
		tamper func(data []byte) io.Reader
	}{
		{"announces chunks it does not hold", false, nil},
		{"sends corrupt bytes", true, withFlippedBit},
		{"sends a chunk of another version", true, func(data []byte) io.Reader { return bytes.NewReader(otherVersionChunk[:len(data)]) }},
		{"sends too few bytes", true, func(data []byte) io.Reader { return bytes.NewReader(data[:len(data)/2]) }},
		{"sends too many bytes", true, func(data []byte) io.Reader { return bytes.NewReader(append(bytes.Clone(data), 1)) }},
		{"sends half a chunk and stalls", true, func(data []byte) io.Reader {
			return &stallingReader{data: bytes.NewReader(data[:len(data)/2])}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, m, nodes := newTwoRegionNetwork(t)
				faulty := nodes[0]
				faulty.announcesAll = true
				faulty.servesAll = tt.sends
				w.tamper = func(sender, _ string, data []byte) io.Reader {
					if sender == faulty.self.Name() && tt.tamper != nil {
						return tt.tamper(data)
					}
					return bytes.NewReader(data)
				}
				correct := nodes[1:]
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				requireComplete(t, m, runAll(ctx, correct), correct)
			})
		})
	}
}

func TestStalledFetchResumesAtOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, m, nodes := newTwoRegionNetwork(t)
		w.tamper = func(sender, _ string, data []byte) io.Reader {
			if sender == "" && len(data) == model.MinChunkSize {
				return &stallingReader{data: bytes.NewReader(data[:len(data)/2])}
			}
			return bytes.NewReader(data)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Hour)
		defer cancel()
		requireComplete(t, m, runAll(ctx, nodes), nodes)
		var origin int64
		for _, n := range nodes {
			origin += n.exchange.Counters().BytesOrigin
		}
		require.LessOrEqual(t, float64(origin), 1.6*float64(m.Size()), "the first half of a chunk must not be fetched again")
	})
}

func TestOriginOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, m, nodes := newTwoRegionNetwork(t)
		updateAfter(w, 700*time.Millisecond, func() { w.originErr = errUnreachable })
		updateAfter(w, 5*time.Minute, func() { w.originErr = nil })
		started := time.Now()
		requireComplete(t, m, runAll(t.Context(), nodes), nodes)
		require.Greater(t, time.Since(started), 5*time.Minute)
		require.Less(t, time.Since(started), 7*time.Minute)
	})
}

// updateAfter modifies the network after d.
func updateAfter(w *network, d time.Duration, change func()) {
	time.AfterFunc(d, func() { w.update(change) })
}

func TestRegionPartitionDuringTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, m, nodes := newTwoRegionNetwork(t)
		differ := func(a, b string) bool { return a != b }
		updateAfter(w, 1500*time.Millisecond, func() { w.partitioned = differ })
		updateAfter(w, 3*time.Minute, func() { w.partitioned = func(string, string) bool { return false } })
		// The origin is in riga, so liepaja cannot reach it during the partition.
		for _, n := range nodes {
			n.origin = func() error {
				if w.partitioned(n.self.Region(), "riga") {
					return errUnreachable
				}
				return w.originErr
			}
		}
		started := time.Now()
		requireComplete(t, m, runAll(t.Context(), nodes), nodes)
		require.Greater(t, time.Since(started), 3*time.Minute)
		require.Less(t, time.Since(started), 5*time.Minute)
	})
}

func TestAllHoldersStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, m, nodes := newTwoRegionNetwork(t)
		// The nodes that hold the first chunks are stopped; the last node starts later.
		late := nodes[nodeCount-1]
		updateAfter(w, 900*time.Millisecond, func() {
			for _, n := range nodes[:nodeCount-1] {
				if len(n.staged) > 0 {
					n.stopped = true
					n.stop()
				}
			}
		})
		errs := runAll(t.Context(), nodes[:nodeCount-1])
		var survivors []*node
		stopped := 0
		for _, n := range nodes[:nodeCount-1] {
			if n.stopped {
				stopped++
				continue
			}
			survivors = append(survivors, n)
		}
		require.Positive(t, stopped)
		errs[late.self.Name()] = runAll(t.Context(), []*node{late})[late.self.Name()]
		requireComplete(t, m, errs, append(survivors, late))
	})
}

func TestVersionChangeDuringTransferKeepsSharedChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, first, nodes := newTwoRegionNetwork(t)
		updateAfter(w, 1500*time.Millisecond, func() {
			for _, n := range nodes {
				n.stop()
			}
		})
		runAll(t.Context(), nodes)

		second := replaceOddChunks(t, w, first)
		var next []*node
		var missing, staged int64
		for i, n := range nodes {
			staged += int64(len(n.staged))
			replacement := w.addNode(i, n.self.Region(), second, swarm.WithOriginRegion("riga"))
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

// replaceOddChunks returns a version of m that has the even chunks of m and new odd
// chunks.
func replaceOddChunks(t *testing.T, w *network, m *model.Manifest) *model.Manifest {
	other, data := randomModel(t, "2", m.Chunks(), 5)
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

func TestRestartWithEmptyStagingArea(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, m, nodes := newTwoRegionNetwork(t)
		requireComplete(t, m, runAll(t.Context(), nodes), nodes)
		restarted := w.addNode(0, nodes[0].self.Region(), m, swarm.WithOriginRegion("riga"))
		errs := runAll(t.Context(), []*node{restarted})
		requireComplete(t, m, errs, []*node{restarted})
		require.Zero(t, restarted.exchange.Counters().BytesOrigin, "the region already holds every chunk")
	})
}
