package policy

import (
	"math"

	"github.com/pomelospool/pomelospool/port"
)

// Bound is the goodput, in engines, of the best plan of roles in hindsight, by
// dynamic programming over slots of slotLength. It assumes what no policy has: the
// whole trace known, load spread evenly over engines and moved freely within a
// slot, no queue, no noise, no draining before a change, any number of
// changes at once, every shared prefix found cached from its second use on,
// and streams as slow as the objective allows. Work isn't moved between slots.
// docs/ENGINE-MODEL.md weighs what that leaves out.
func Bound(t *Trace, d *Deployment, m *Model) float64 {
	b := newBound(t, d, m)
	return b.solve() / t.Length
}

const (
	slotLength  = 20.0
	shareSteps  = 10 // of the share of long requests served
	boundSearch = 14 // bisections
	maxMoves    = 4  // role changes in one slot
)

// load is the work of one kind of request in a slot, per second.
type kindLoad struct{ prefill, decode, value float64 }

type slot struct {
	kinds [2]kindLoad // long prompts, short prompts
	down  int         // engines that are away
}

// counts is engines by role; they may be fractions of one.
type counts struct{ p, m, d float64 }

type bound struct {
	m      *Model
	n      int
	start  counts
	slots  []slot
	states []counts
}

func newBound(t *Trace, d *Deployment, m *Model) *bound {
	b := &bound{m: m, n: len(d.Roles)}
	for _, role := range d.Roles {
		b.start = b.start.plus(role)
	}
	for p := 1; p < b.n; p++ {
		for q := 0; p+q < b.n; q++ {
			b.states = append(b.states, counts{float64(p), float64(q), float64(b.n - p - q)})
		}
	}
	b.fill(t)
	return b
}

func (c counts) plus(role port.Role) counts {
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

// fill spreads the trace over the slots. Decoding is spread over the time that
// the objective between tokens allows.
func (b *bound) fill(t *Trace) {
	b.slots = make([]slot, int(math.Ceil((t.Length+runOut)/slotLength)))
	known := map[uint64]bool{}
	for i := range t.arrivals {
		a := &t.arrivals[i]
		kind := 1
		if a.prompt > a.out*4 {
			kind = 0
		}
		prompt := a.prompt
		if a.group != 0 && known[a.group] {
			prompt -= a.shared
		}
		known[a.group] = true
		b.add(a, kind, float64(prompt))
	}
	b.addDown(t)
}

func (b *bound) add(a *arrival, kind int, prompt float64) {
	full := float64(a.prompt) / b.m.prefillRate()
	s := &b.slots[int(a.at/slotLength)].kinds[kind]
	s.prefill += prompt / slotLength
	s.value += full / slotLength
	lasts := float64(a.out) * BetweenTokens.Seconds()
	perSecond := float64(a.out) / lasts
	for at := a.at; at < a.at+lasts; {
		i := int(at/slotLength + 1e-9)
		if i >= len(b.slots) {
			return
		}
		end := min(float64(i+1)*slotLength, a.at+lasts)
		tokens := perSecond * (end - at)
		k := &b.slots[i].kinds[kind]
		k.decode += tokens / slotLength
		k.value += tokens / b.m.decodeRate() / slotLength
		at = end
	}
}

func (b *bound) addDown(t *Trace) {
	for _, ev := range t.events {
		lasts := b.m.RestartTime
		switch ev.kind {
		case giveBack:
			continue
		case withdraw:
			lasts = withdrawnFor
		}
		for i := int(math.Ceil(ev.at / slotLength)); float64(i+1)*slotLength <= ev.at+lasts && i < len(b.slots); i++ {
			b.slots[i].down++
		}
	}
}

// solve returns the most work on time, in engine-seconds.
func (b *bound) solve() float64 {
	best := make([]float64, len(b.states))
	for i, s := range b.states {
		if moves(b.start, s) > 0 {
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
	stay := make([]float64, len(best))
	for i, c := range b.states {
		stay[i] = b.value(c, s) * slotLength
	}
	most := (s.kinds[0].value + s.kinds[1].value) * slotLength
	for i, to := range b.states {
		out[i] = best[i] + stay[i]
		for j, from := range b.states {
			n := moves(from, to)
			if n == 0 || n > maxMoves || best[j]+most <= out[i] {
				continue
			}
			v := best[j] + b.value(b.during(from, to), s)*slotLength
			out[i] = max(out[i], v)
		}
	}
	return out
}

func moves(a, c counts) float64 {
	return (math.Abs(a.p-c.p) + math.Abs(a.m-c.m) + math.Abs(a.d-c.d)) / 2
}

// during is the mean engines by role in a slot in which roles change: those that change
// work in the new role for the rest of the slot.
func (b *bound) during(from, to counts) counts {
	rest := 1 - b.m.ChangeTime/slotLength
	blend := func(x, y float64) float64 { return min(x, y) + max(y-x, 0)*rest }
	return counts{blend(from.p, to.p), blend(from.m, to.m), blend(from.d, to.d)}
}

// value is the most work on time per second in a slot: of the two kinds of
// request, the best shares to serve. Engines that are down are those that hurt least.
func (b *bound) value(c counts, s *slot) float64 {
	if s.down == 0 {
		return b.serve(c, s)
	}
	less := *s
	less.down--
	top := 0.0
	for _, without := range []counts{{c.p - 1, c.m, c.d}, {c.p, c.m - 1, c.d}, {c.p, c.m, c.d - 1}} {
		if without.p >= 0 && without.m >= 0 && without.d >= 0 {
			top = max(top, b.value(without, &less))
		}
	}
	return top
}

func (b *bound) serve(c counts, s *slot) float64 {
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
		for range boundSearch {
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

// fits reports whether the engines can serve the shares x and y of the two kinds.
func (b *bound) fits(c counts, long, short kindLoad, x, y float64) bool {
	m := b.m
	prefill := x*long.prefill + y*short.prefill
	decode := x*long.decode + y*short.decode
	limit := BetweenTokens.Seconds()
	busy := 1 - m.StepBase/limit
	beside := m.PrefillRate / max(1-m.Overlap, minCompute) // prompt tokens/s in steps with streams
	rest := max(prefill-c.p*m.prefillRate(), 0)
	if rest > c.m*busy*beside+c.d*float64(m.SpillChunk)/limit {
		return false
	}
	if decode > c.d*m.decodeRate()+c.m*b.mixedDecodeRate() {
		return false
	}
	return rest/beside+decode*m.StepPerStream <= (c.m+c.d)*busy
}

// minCompute keeps a full overlap from making prompts free of time.
const minCompute = 0.01

func (b *bound) mixedDecodeRate() float64 {
	n := float64(b.m.Streams[port.RoleMixed])
	return n / (b.m.StepBase + n*b.m.StepPerStream)
}
