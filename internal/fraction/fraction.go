// Package fraction turns hashes into numbers between 0 and 1.
package fraction

// bits is the number of a hash's bits that a float64 holds.
const bits = 53

// Of maps a hash to [0,1) by its upper bits.
func Of(hash uint64) float64 { return float64(hash>>(64-bits)) / (1 << bits) }
