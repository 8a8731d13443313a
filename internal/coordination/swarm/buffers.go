package swarm

import "github.com/primrosetally/primrosetally/internal/state/model"

// maxPartialChunks is the maximum number of partially received chunks that are kept,
// which limits the memory they use.
const maxPartialChunks = 4

type chunkBuffer struct {
	data []byte
}

// bufferPool is a free list of buffers of the size of the largest chunk. The number of
// buffers equals the peak number of transfers and partial chunks, independent of the
// size of the model. Only the goroutine that owns the picker may use it.
type bufferPool struct {
	size int64
	free []*chunkBuffer
}

func newBufferPool(m *model.Manifest) bufferPool {
	var b bufferPool
	for i := range m.Chunks() {
		b.size = max(b.size, m.Chunk(i).Size())
	}
	return b
}

func (b *bufferPool) get() *chunkBuffer {
	if last := len(b.free) - 1; last >= 0 {
		buf := b.free[last]
		b.free = b.free[:last]
		return buf
	}
	return &chunkBuffer{data: make([]byte, b.size)}
}

func (b *bufferPool) put(buf *chunkBuffer) { b.free = append(b.free, buf) }
