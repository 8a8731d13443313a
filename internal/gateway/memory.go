package gateway

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// memoryFraction is the part of the process's memory that bodies may take. Together with
	// what an entry needs otherwise, it stays below the limit of the Go runtime.
	memoryFraction = 0.35
	// statedFactor is how many times that the lengths may be that the bodies in progress state:
	// on average, half of a body has come.
	statedFactor = 2
	// freeBytes is what each request may hold without being counted, so that small requests
	// are served while large ones take all the memory for bodies.
	freeBytes = 16 << 10
	// firstBlock and maxBlock are the sizes in bytes of the first block of a body without a
	// length, and of the largest ones.
	firstBlock = 4 << 10
	maxBlock   = 64 << 10
)

// Reasons for which a body is not read to its end.
var (
	errNoMemory = eris.New("no memory for the body")
	errFull     = eris.New("body is larger than what is kept of it")
)

// memory bounds the bytes of all bodies that an entry holds: those of requests, and the starts
// of responses that another attempt may replace. It is safe for concurrent use.
type memory struct {
	limit  int64        // bytes, 0 for no limit
	used   atomic.Int64 // bytes that are held
	stated atomic.Int64 // bytes that the bodies of requests in progress have by their lengths
}

// add adds bytes to a sum unless that exceeds a limit, where 0 stands for none.
func add(sum *atomic.Int64, n, limit int64) bool {
	if sum.Add(n) > limit && limit > 0 && n > 0 {
		sum.Add(-n)
		return false
	}
	return true
}

// holding is the part of the memory that one request holds. It must be released when the
// request has ended.
type holding struct {
	memory *memory
	bytes  int64
	stated int64
}

// counted returns how much of a number of held bytes counts.
func counted(n int64) int64 { return max(n-freeBytes, 0) }

// state reports whether a body of the given length may come, -1 for an unknown one: what can't
// be held is refused before it is sent.
func (h *holding) state(length int64) bool {
	n := counted(length)
	if !add(&h.memory.stated, n, statedFactor*h.memory.limit) {
		return false
	}
	h.stated = n
	return true
}

// take adds bytes to the holding if they are free.
func (h *holding) take(n int64) bool {
	if !add(&h.memory.used, counted(h.bytes+n)-counted(h.bytes), h.memory.limit) {
		return false
	}
	h.bytes += n
	return true
}

// release gives back what is held.
func (h *holding) release() {
	h.memory.used.Add(-counted(h.bytes))
	h.memory.stated.Add(-h.stated)
	h.bytes, h.stated = 0, 0
}

// blocks is a body in the parts in which it was read, so that none of it is copied.
type blocks [][]byte

// size returns the length of the body in bytes.
func (b blocks) size() int64 {
	size := int64(0)
	for _, block := range b {
		size += int64(len(block))
	}
	return size
}

// read reads a body to its end, or until a number of bytes. Length is what the body states, -1
// if it states none. With an error, which is errNoMemory, errFull or that of the reader, the
// bytes that were read are returned too.
func (h *holding) read(from io.Reader, length, most int64) (blocks, error) {
	var body blocks
	for total := int64(0); total < most; {
		size := min(nextBlock(length, total), most-total)
		if !h.take(size) {
			return body, errNoMemory
		}
		block, err := fill(make([]byte, 0, size), from)
		if len(block) > 0 {
			body = append(body, block)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		total += size
	}
	return body, errFull
}

// nextBlock returns the size of the next block of a body of which a part was read. The block of
// a body with a length has room for one byte more, so that its end is read with it.
func nextBlock(length, total int64) int64 {
	switch {
	case length >= total:
		return min(length+1-total, maxBlock)
	case total == 0:
		return firstBlock
	}
	return min(total, maxBlock)
}

// fill reads until a block is full. The error is that of the reader.
func fill(block []byte, from io.Reader) ([]byte, error) {
	for len(block) < cap(block) {
		n, err := from.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		if err != nil {
			return block, err
		}
	}
	return block, nil
}
