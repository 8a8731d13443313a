package swarm

import "math/bits"

// Bitmap records which chunks of a manifest an instance holds. Bit i represents chunk
// i, with the least significant bit of each byte first.
type Bitmap struct {
	bits  []byte
	size  int
	count int
}

// NewBitmap returns a bitmap for size chunks with no bit set.
func NewBitmap(size int) Bitmap {
	return Bitmap{bits: make([]byte, (size+7)/8), size: size}
}

// BitmapFromBytes decodes the format returned by Bytes. Missing bytes are treated as
// zero and bits beyond size are ignored, so a malformed map from a peer cannot
// announce a chunk that is not in the manifest.
func BitmapFromBytes(size int, data []byte) Bitmap {
	b := NewBitmap(size)
	copy(b.bits, data)
	if tail := size % 8; tail != 0 {
		b.bits[len(b.bits)-1] &= 1<<tail - 1
	}
	for _, octet := range b.bits {
		b.count += bits.OnesCount8(octet)
	}
	return b
}

// Size returns the number of chunks.
func (b Bitmap) Size() int { return b.size }

// Count returns the number of bits set.
func (b Bitmap) Count() int { return b.count }

// Full reports whether every bit is set.
func (b Bitmap) Full() bool { return b.count == b.size }

// Has reports whether bit i is set.
func (b Bitmap) Has(i int) bool {
	return i/8 < len(b.bits) && b.bits[i/8]&(1<<(i%8)) != 0
}

// Set sets bit i.
func (b *Bitmap) Set(i int) {
	if !b.Has(i) {
		b.bits[i/8] |= 1 << (i % 8)
		b.count++
	}
}

// Clear clears bit i.
func (b *Bitmap) Clear(i int) {
	if b.Has(i) {
		b.bits[i/8] &^= 1 << (i % 8)
		b.count--
	}
}

// Bytes returns a copy of the bits in the format used on the wire.
func (b Bitmap) Bytes() []byte {
	return append([]byte(nil), b.bits...)
}

// union sets the bits that are set in o. It does not update the count of b.
func (b *Bitmap) union(o Bitmap) {
	for i, octet := range o.bits {
		b.bits[i] |= octet
	}
}

// intersect clears the bits that are not set in o. It does not update the count of b.
func (b *Bitmap) intersect(o Bitmap) {
	for i := range b.bits {
		b.bits[i] &= o.bits[i]
	}
}
