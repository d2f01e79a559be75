package planner

import "github.com/pomelospool/pomelospool/port"

// fleet is the number of engines of each role.
type fleet struct{ prefill, mixed, decode float64 }

// with adds n engines of a role.
func (f fleet) with(role port.Role, n float64) fleet {
	switch role {
	case port.RolePrefill:
		f.prefill += n
	case port.RoleDecode:
		f.decode += n
	default:
		f.mixed += n
	}
	return f
}

// fits reports whether the fleet can serve the mix. Prompts beyond the capacity of
// the prefill engines go to mixed engines and, a few of them, to decode engines,
// where they take time from the streams.
func (r *Rates) fits(f fleet, m Mix) bool {
	rest := max(m.Prefill-f.prefill*r.Prefill, 0)
	usable := r.usableStepShare()
	capacity := f.mixed*usable*r.Prefill + f.decode*spillTokens/r.limit
	if rest > capacity {
		return false
	}
	if m.Decode > (f.decode+f.mixed)*r.decodeRate(m) {
		return false
	}
	used := rest/r.Prefill + m.Decode*r.PerStream
	return used <= (f.mixed+f.decode)*usable
}

// Bounds of the search for the largest mix that fits, and the share of late work.
const (
	maxHeadroom     = 4
	minHeadroom     = 0.01
	bisections      = 18
	easyUtilization = 0.75 // utilization below which all requests are on time
	lateWhenFull    = 0.08 // share of late work at a utilization of 1
)

// headroom returns the largest factor by which the mix can grow and still fit.
func (r *Rates) headroom(f fleet, m Mix) float64 {
	if m.Prefill+m.Decode <= 0 {
		return maxHeadroom
	}
	lo, hi := 0.0, float64(maxHeadroom)
	for range bisections {
		mid := (lo + hi) / 2
		if r.fits(f, m.scaled(mid)) {
			lo = mid
		} else {
			hi = mid
		}
	}
	return lo
}

func (m Mix) scaled(f float64) Mix {
	return Mix{m.Requests * f, m.Prefill * f, m.Decode * f}
}

// onTime returns the work that the fleet finishes on time, in engines. This is all of
// the mix at a low utilization, somewhat less towards full utilization, and at most
// the work that fits beyond that.
func (r *Rates) onTime(f fleet, m Mix) float64 {
	work := m.Prefill/r.Prefill + m.Decode/r.decodeRate(m)
	utilization := 1 / max(r.headroom(f, m), 1/float64(100))
	return work * onTimeShare(utilization)
}

// onTimeShare returns the share of the work that is on time at a utilization.
func onTimeShare(utilization float64) float64 {
	if utilization <= easyUtilization {
		return 1
	}
	if utilization <= 1 {
		x := (utilization - easyUtilization) / (1 - easyUtilization)
		return 1 - lateWhenFull*x*x
	}
	return (1 - lateWhenFull) / utilization
}
