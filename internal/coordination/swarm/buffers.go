package swarm

import (
	"sync"

	"github.com/primrosetally/primrosetally/internal/state/model"
)

// maxPartials bounds the chunks kept half received, and so the memory for them.
const maxPartials = 4

type buffer struct {
	data []byte
}

// buffers hands out buffers of the size of the largest chunk and takes them back.
type buffers struct {
	pool *sync.Pool
}

func newBuffers(m *model.Manifest) buffers {
	var largest int64
	for i := range m.Chunks() {
		largest = max(largest, m.Chunk(i).Size())
	}
	return buffers{pool: &sync.Pool{New: func() any {
		return &buffer{data: make([]byte, largest)}
	}}}
}

func (b buffers) get() *buffer { return b.pool.Get().(*buffer) }

func (b buffers) put(buf *buffer) { b.pool.Put(buf) }
