// Package rendezvous has the hash by which processes rank members for a key
// without talking to each other. All processes compute the same values.
//
// # Usage
//
//	weight := rendezvous.Mix(rendezvous.Hash(name) ^ rendezvous.Hash(key))
package rendezvous

// The constants of 64-bit FNV-1a.
const (
	offset = 14695981039346656037
	prime  = 1099511628211
)

// Hash returns FNV-1a of the text, finished by Mix.
func Hash(text string) uint64 {
	h := uint64(offset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * prime
	}
	return Mix(h)
}

// Mix spreads every bit of x over the result, by the finalizer of SplitMix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
