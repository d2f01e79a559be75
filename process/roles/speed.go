package roles

import (
	"cmp"

	"github.com/pomelospool/pomelospool/connection/speed"
)

// speedClass returns 1 for a slow engine, -1 for a fast one, and 0 for others and those
// of unknown speed. Smaller differences are within the error of the estimates, and would
// decide over streams and waits.
func (e Engine) speedClass() int {
	switch {
	case e.Speed >= speed.Margin:
		return 1
	case e.Speed > 0 && e.Speed <= 1/speed.Margin:
		return -1
	}
	return 0
}

// compareForDecoding compares two engines by their speed as the next one that decodes,
// the slower one first. A decoding engine prefills nothing.
func compareForDecoding(a, b Engine) int { return cmp.Compare(b.speedClass(), a.speedClass()) }
