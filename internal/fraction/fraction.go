// Package fraction maps hashes to numbers in [0,1).
package fraction

// bits is the number of bits of a hash that a float64 represents exactly.
const bits = 53

// Of maps a hash to a number in [0,1) based on its upper bits.
func Of(hash uint64) float64 { return float64(hash>>(64-bits)) / (1 << bits) }
