package swarm

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// rendezvousHash returns a hash of the parts that is the same in every process.
func rendezvousHash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return fmix64(h.Sum64())
}

// fmix64 is the 64-bit finalizer of MurmurHash3. FNV alone gives names that differ
// only in their last character hashes that are close together; the finalizer spreads
// the last bytes over all bits.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// rankByHash returns the names ordered by descending rendezvous hash for key.
func rankByHash(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(rendezvousHash(key, b), rendezvousHash(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// owner returns the index of the name that ranks first for a chunk. It takes the
// hash of the chunk and the hashes of the names, and returns -1 without names.
func owner(chunkHash uint64, hashes []uint64) int {
	best := -1
	var highest uint64
	for i, h := range hashes {
		if w := fmix64(chunkHash ^ h); best < 0 || w > highest {
			best, highest = i, w
		}
	}
	return best
}
