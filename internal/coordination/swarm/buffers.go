package swarm

import "github.com/primrosetally/primrosetally/internal/state/model"

// maxPartials bounds the chunks kept half received, and so the memory for them.
const maxPartials = 4

type buffer struct {
	data []byte
}

// buffers hands out buffers of the size of the largest chunk and takes them back.
// There are as many as transfers and partial chunks at a time, whatever the size
// of the model. Only the goroutine that owns the picker uses it.
type buffers struct {
	size int64
	free []*buffer
}

func newBuffers(m *model.Manifest) buffers {
	var b buffers
	for i := range m.Chunks() {
		b.size = max(b.size, m.Chunk(i).Size())
	}
	return b
}

func (b *buffers) get() *buffer {
	if last := len(b.free) - 1; last >= 0 {
		buf := b.free[last]
		b.free = b.free[:last]
		return buf
	}
	return &buffer{data: make([]byte, b.size)}
}

func (b *buffers) put(buf *buffer) { b.free = append(b.free, buf) }
