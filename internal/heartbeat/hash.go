package heartbeat

import "hash/fnv"

// Hash maps names to a number. Similar names get very different numbers, so the numbers serve as positions on a hash
// ring and as scores for rendezvous hashing. The function must never change: nodes of all versions must agree on it.
func Hash(names ...string) uint64 {
	h := fnv.New64a()
	for i, name := range names {
		if i > 0 {
			_, _ = h.Write([]byte{0}) // so that ("ab", "c") and ("a", "bc") differ
		}
		_, _ = h.Write([]byte(name))
	}
	// The finalizer of MurmurHash3, without its second multiplication: FNV alone mixes the last bytes badly.
	n := h.Sum64()
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	return n ^ n>>33
}
