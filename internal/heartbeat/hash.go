package heartbeat

import "hash/fnv"

// Hash maps names to a number. Names that differ little are spread well, so the numbers serve as places on a hash
// ring and as scores for rendezvous hashing. All nodes must agree on it, also those of other versions.
func Hash(names ...string) uint64 {
	h := fnv.New64a()
	for i, name := range names {
		if i > 0 {
			_, _ = h.Write([]byte{0}) // so that ("ab", "c") and ("a", "bc") differ
		}
		_, _ = h.Write([]byte(name))
	}
	// The finalizer of MurmurHash3, without its second multiplication: FNV alone spreads the last bytes badly.
	n := h.Sum64()
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	return n ^ n>>33
}
