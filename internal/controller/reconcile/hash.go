package reconcile

import (
	"encoding/binary"
	"hash/fnv"
)

// random returns a number in [0, 1) that depends only on the seed and the counter.
func random(seed string, counter uint64) float64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte(seed), counter))
	x := h.Sum64() // FNV hardly spreads the last bytes to the upper half, so the bits are mixed again
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// checksum returns a hash of a value.
func checksum(value []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(value)
	return h.Sum64()
}
