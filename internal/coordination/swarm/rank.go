package swarm

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// rendezvous returns the weight of the parts, equal in every process.
func rendezvous(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix spreads the last bytes hashed over all bits; FNV alone leaves names that
// differ in their last character close together.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// rank orders the names by their rendezvous weight under key, first one first.
func rank(key string, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		if c := cmp.Compare(rendezvous(key, b), rendezvous(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ordered
}

// owner returns the index of the name that ranks first for the chunk, whose
// hash is given.
func owner(chunk uint64, hashes []uint64) int {
	best := -1
	var weight uint64
	for i, h := range hashes {
		if w := mix(chunk ^ h); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	return best
}
