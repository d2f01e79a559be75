package balance

import "math"

// Share is the part of all requests that a process handles, as an interval of
// [0,1]. The intervals of all processes, in an order that they all know, cover
// [0,1] without overlap. The zero value is an unknown share.
type Share struct {
	From, To float64
}

// preferredFactor is the ratio of the capacity of a process's preferred
// candidates to its share of the requests. With 70 processes, 140 candidates
// and reports 200 ms old, the 99th percentile of the wait was 154, 136, 193
// and 247 ms for 1.5, 2, 3 and 4 times the share.
const preferredFactor = 2

// Preferred returns the positions, among n candidates in an order that all
// processes know, of those that the process prefers: neighbours around the
// middle of its share. It returns none for an unknown share, and where several
// processes would share each preferred candidate: they would choose it by the
// same old report.
func (s Share) Preferred(n int) []int {
	width := min(preferredFactor*(s.To-s.From)*float64(n), float64(n))
	if width < 1 {
		return nil
	}
	middle := (s.From + s.To) / 2 * float64(n)
	first, end := nearest(middle-width/2), nearest(middle+width/2)
	out := make([]int, 0, n)
	for i := first; i < min(end, first+n); i++ {
		out = append(out, (i%n+n)%n)
	}
	return out
}

// nearest returns the integer nearest to x. Halves are rounded up, also where they have
// rounding errors or are negative. Otherwise, some of 70 equal processes would prefer 3
// and some 1 of 70 candidates.
func nearest(x float64) int { return int(math.Floor(x + 0.5 + 1e-9)) }
