package swarm

import "math/bits"

// Bitmap tells which chunks of a manifest an instance holds. Bit i, least
// significant first, stands for chunk i.
type Bitmap struct {
	bits  []byte
	size  int
	count int
}

// NewBitmap returns an empty bitmap of size chunks.
func NewBitmap(size int) Bitmap {
	return Bitmap{bits: make([]byte, (size+7)/8), size: size}
}

// BitmapFromBytes reads the form that Bytes returns. Missing bytes count as
// zeros and bits beyond size are dropped, so a malformed map of a peer can claim
// no chunk that the manifest does not have.
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

// Bytes returns a copy of the bits for the wire.
func (b Bitmap) Bytes() []byte {
	return append([]byte(nil), b.bits...)
}

// union adds the bits of o. The count of b is left as it is.
func (b *Bitmap) union(o Bitmap) {
	for i, octet := range o.bits {
		b.bits[i] |= octet
	}
}

// intersect keeps the bits that o has too. The count of b is left as it is.
func (b *Bitmap) intersect(o Bitmap) {
	for i := range b.bits {
		b.bits[i] &= o.bits[i]
	}
}
