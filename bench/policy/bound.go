package policy

import (
	"math"

	"github.com/pomelospool/pomelospool/port"
)

// Bound returns an upper estimate of the goodput, in engines, that any plan of
// roles can reach on the trace. It finds the best plan by dynamic programming
// over slots of slotLength. The plan has advantages that no real policy has:
// the whole trace is known, load spreads evenly over the engines and moves
// freely within a slot, there is no queueing and no noise, engines change
// without draining, several at once, every shared prefix is cached from its
// second use on, and streams are as slow as the objective allows. Work isn't
// moved between slots. docs/ENGINE-MODEL.md discusses what this leaves out.
func Bound(t *Trace, d *Deployment, m *Model) float64 {
	b := newBound(t, d, m)
	return b.solve() / t.Length
}

const (
	slotLength     = 20.0
	shareSteps     = 10 // steps in which the served share of long requests is tried
	bisections     = 14 // bisections of the served share of short requests
	maxSlotChanges = 4  // role changes in one slot
)

// kindLoad is the work of one kind of request in a slot, per second.
type kindLoad struct{ prefill, decode, value float64 }

type slot struct {
	kinds [2]kindLoad // long prompts, short prompts
	down  int         // engines that are down
}

// roleCounts holds the number of engines by role: prefill, mixed and decode. The
// numbers may be fractional.
type roleCounts struct{ p, m, d float64 }

type bound struct {
	m      *Model
	n      int
	start  roleCounts
	slots  []slot
	states []roleCounts
}

func newBound(t *Trace, d *Deployment, m *Model) *bound {
	b := &bound{m: m, n: len(d.Roles)}
	for _, role := range d.Roles {
		b.start = b.start.with(role)
	}
	for p := 1; p < b.n; p++ {
		for q := 0; p+q < b.n; q++ {
			b.states = append(b.states, roleCounts{float64(p), float64(q), float64(b.n - p - q)})
		}
	}
	b.fill(t)
	return b
}

func (c roleCounts) with(role port.Role) roleCounts {
	switch role {
	case port.RolePrefill:
		c.p++
	case port.RoleDecode:
		c.d++
	default:
		c.m++
	}
	return c
}

// fill distributes the trace over the slots. The decoding of a request is spread
// over the time that the objective between tokens allows.
func (b *bound) fill(t *Trace) {
	b.slots = make([]slot, int(math.Ceil((t.Length+drainTime)/slotLength)))
	seenGroups := map[uint64]bool{}
	for i := range t.arrivals {
		a := &t.arrivals[i]
		kind := 1
		if a.prompt > a.output*4 {
			kind = 0
		}
		prompt := a.prompt
		if a.group != 0 && seenGroups[a.group] {
			prompt -= a.sharedPrefix
		}
		seenGroups[a.group] = true
		b.add(a, kind, float64(prompt))
	}
	b.addDown(t)
}

func (b *bound) add(a *arrival, kind int, prompt float64) {
	prefillTime := float64(a.prompt) / b.m.prefillRate()
	s := &b.slots[int(a.at/slotLength)].kinds[kind]
	s.prefill += prompt / slotLength
	s.value += prefillTime / slotLength
	decodeTime := float64(a.output) * BetweenTokens.Seconds()
	perSecond := float64(a.output) / decodeTime
	for at := a.at; at < a.at+decodeTime; {
		i := int(at/slotLength + 1e-9)
		if i >= len(b.slots) {
			return
		}
		end := min(float64(i+1)*slotLength, a.at+decodeTime)
		tokens := perSecond * (end - at)
		k := &b.slots[i].kinds[kind]
		k.decode += tokens / slotLength
		k.value += tokens / b.m.decodeRate() / slotLength
		at = end
	}
}

func (b *bound) addDown(t *Trace) {
	for _, ev := range t.events {
		downtime := b.m.RestartTime
		switch ev.kind {
		case restore:
			continue
		case withdraw:
			downtime = withdrawalTime
		}
		for i := int(math.Ceil(ev.at / slotLength)); float64(i+1)*slotLength <= ev.at+downtime && i < len(b.slots); i++ {
			b.slots[i].down++
		}
	}
}

// solve returns the maximum of the work that is done on time, in
// engine-seconds.
func (b *bound) solve() float64 {
	best := make([]float64, len(b.states))
	for i, s := range b.states {
		if changeCount(b.start, s) > 0 {
			best[i] = math.Inf(-1)
		}
	}
	for k := range b.slots {
		best = b.next(best, &b.slots[k])
	}
	top := math.Inf(-1)
	for _, v := range best {
		top = max(top, v)
	}
	return top
}

func (b *bound) next(best []float64, s *slot) []float64 {
	out := make([]float64, len(best))
	unchanged := make([]float64, len(best))
	for i, c := range b.states {
		unchanged[i] = b.value(c, s) * slotLength
	}
	upper := (s.kinds[0].value + s.kinds[1].value) * slotLength
	for i, to := range b.states {
		out[i] = best[i] + unchanged[i]
		for j, from := range b.states {
			n := changeCount(from, to)
			if n == 0 || n > maxSlotChanges || best[j]+upper <= out[i] {
				continue
			}
			v := best[j] + b.value(b.duringChange(from, to), s)*slotLength
			out[i] = max(out[i], v)
		}
	}
	return out
}

func changeCount(a, c roleCounts) float64 {
	return (math.Abs(a.p-c.p) + math.Abs(a.m-c.m) + math.Abs(a.d-c.d)) / 2
}

// duringChange returns the mean number of engines by role in a slot in which
// roles change. Engines that change work in the new role for the rest of the
// slot.
func (b *bound) duringChange(from, to roleCounts) roleCounts {
	rest := 1 - b.m.ChangeTime/slotLength
	blend := func(x, y float64) float64 { return min(x, y) + max(y-x, 0)*rest }
	return roleCounts{blend(from.p, to.p), blend(from.m, to.m), blend(from.d, to.d)}
}

// value returns the maximum of the work on time per second in a slot, over the
// served shares of the two kinds of request. The engines that are down are
// assumed to be those whose loss costs least.
func (b *bound) value(c roleCounts, s *slot) float64 {
	if s.down == 0 {
		return b.serve(c, s)
	}
	less := *s
	less.down--
	top := 0.0
	for _, without := range []roleCounts{{c.p - 1, c.m, c.d}, {c.p, c.m - 1, c.d}, {c.p, c.m, c.d - 1}} {
		if without.p >= 0 && without.m >= 0 && without.d >= 0 {
			top = max(top, b.value(without, &less))
		}
	}
	return top
}

func (b *bound) serve(c roleCounts, s *slot) float64 {
	long, short := s.kinds[0], s.kinds[1]
	if b.fits(c, long, short, 1, 1) {
		return long.value + short.value
	}
	top := 0.0
	for i := 0; i <= shareSteps; i++ {
		x := float64(i) / shareSteps
		if !b.fits(c, long, short, x, 0) {
			break
		}
		lo, hi := 0.0, 1.0
		for range bisections {
			mid := (lo + hi) / 2
			if b.fits(c, long, short, x, mid) {
				lo = mid
			} else {
				hi = mid
			}
		}
		top = max(top, x*long.value+hi*short.value)
	}
	return top
}

// fits reports whether the engines can serve the shares x of the long and y of
// the short requests.
func (b *bound) fits(c roleCounts, long, short kindLoad, x, y float64) bool {
	m := b.m
	prefill := x*long.prefill + y*short.prefill
	decode := x*long.decode + y*short.decode
	limit := BetweenTokens.Seconds()
	busy := 1 - m.StepBase/limit
	mixedRate := m.PrefillRate / max(1-m.Overlap, minCompute) // prompt tokens/s in steps that also decode
	rest := max(prefill-c.p*m.prefillRate(), 0)
	if rest > c.m*busy*mixedRate+c.d*float64(m.SpillChunk)/limit {
		return false
	}
	if decode > c.d*m.decodeRate()+c.m*b.mixedDecodeRate() {
		return false
	}
	return rest/mixedRate+decode*m.StepPerStream <= (c.m+c.d)*busy
}

// minCompute is the smallest share of the compute time that a prompt takes. With
// it, prompts take time even at a full overlap.
const minCompute = 0.01

func (b *bound) mixedDecodeRate() float64 {
	n := float64(b.m.Streams[port.RoleMixed])
	return n / (b.m.StepBase + n*b.m.StepPerStream)
}
