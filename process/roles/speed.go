package roles

import "cmp"

// speedMargin is the factor by which an engine's prefill time has to differ from that of
// its service to count as slow or fast in a plan. Smaller differences are within the
// error of the estimates, and would decide over streams and waits.
const speedMargin = 1.25

// speedClass returns 1 for a slow engine, -1 for a fast one, and 0 for others and those
// of unknown speed.
func (e Engine) speedClass() int {
	switch {
	case e.Speed >= speedMargin:
		return 1
	case e.Speed > 0 && e.Speed <= 1/speedMargin:
		return -1
	}
	return 0
}

// compareForDecoding compares two engines by their speed as the next one that decodes,
// the slower one first. A decoding engine prefills nothing.
func compareForDecoding(a, b Engine) int { return cmp.Compare(b.speedClass(), a.speedClass()) }
