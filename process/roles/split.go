package roles

import (
	"math"

	"github.com/pomelospool/pomelospool/connection/demand"
)

const (
	// fullReading and fullDecoding are the shares of the engines' time and of
	// their places that can be used: engines are never busy all alike.
	fullReading  = 0.9
	fullDecoding = 0.85
	// halfLife is the age at which what was asked counts half, in looks at the
	// demand, once over 2 s and once over 15 s. The short one follows a mix that
	// stays, the long one keeps what mixes that turn within seconds will ask
	// again.
	shortHalfLife = 2 * looksPerSecond
	longHalfLife  = 15 * looksPerSecond
	// turnWeight is the weight of a mix that turns against the mix that was
	// seen. The store may be away as it turns, and roles can't change then: with
	// two decoding engines of twelve left by a load of prompts the worth of a
	// day on which that happens was 0.449, with four kept 0.605.
	turnWeight = 0.25
	// turnReading and turnDecoding are what such a mix asks, as shares of all
	// engines.
	turnReading  = 0.65
	turnDecoding = 0.2
	// startReading and startDecoding are what is assumed before anything is
	// asked. Nothing is kept then, and streams are still to come.
	startReading  = 0.65
	startDecoding = 0.18
	// leastNotes is the number of looks that a plan needs: 3 s.
	leastNotes = 3 * looksPerSecond
	// changeCost is what a change of all engines' roles must gain, in squared
	// shares of what is asked: a change takes an engine away for some seconds.
	// Over nine loads of a model with 12 engines (turning mixes both ways,
	// steps, steady ones) 0.001 to 0.02 for one engine were tried: 0.008 loses
	// least, 0.033 of what is asked, with half the orders of 0.002.
	changeCost = 0.1
	// evenness weighs how full both sides are: it decides where nothing else does.
	evenness = 0.01
	// lateFrom is the share of what can be used from which on
	// prompts wait for each other, since they come in crowds.
	lateFrom = 0.5
	// lateWeight weighs that against what is refused, for a prompt whose reading
	// takes all of its objective: waits are as long as what is waited for.
	lateWeight = 2.5
	// fullMoving is the share of the links' time that can be used without long
	// waits: moves come in crowds, too.
	fullMoving = 0.6
	// turnFactor bounds what a mix that turns asks for, against the most that was
	// asked for in the last seconds. Mixes turn by up to 3.4 times their mean on the loads known.
	// Without the bound 17 of 60 engines decode for 55 streams all day, and the
	// prompts that the others read are late; and of 9,675 engines 5,800 change
	// their role for prompts that 100 can read.
	turnFactor = 2
)

// Demand is what was asked of the engines lately, the newest last; empty:
// nothing is known.
type Demand []demand.Load

// best is the number of decoding engines, of live ones with that many places
// each, that would have served the demand best, or now where another number
// isn't enough better for the changes that it takes.
//
// The load that it answers: long prompts and long answers by turns, each at
// twice its mean for some seconds. A plan by the streams that ran gave engines
// away that refusals had left idle, asked for them one at a time as the streams
// came, and took them back as the prompts came: 21 orders on a quiet day, up to
// nine in ten requests refused at the turns.
func (d Demand) best(live, slots, now int) int {
	low, high := floors(live)
	at := min(max(now, low), high)
	lowest := d.cost(live, slots, at)
	best := at
	for n := low; n <= high; n++ {
		c := d.cost(live, slots, n)
		if len(d) > 0 {
			c += changeCost * math.Abs(float64(n-at)) / float64(live)
		}
		if c < lowest {
			best, lowest = n, c
		}
	}
	return best
}

// floors are the fewest and the most decoding engines: whatever is asked, a
// quarter of the engines reads, and two decode, so that one that dies leaves
// another.
func floors(live int) (low, high int) {
	high = max(live-max(live/4, 1), 1)
	return min(leastDecoders, high), high
}

// cost is the weighted mean of what of the demand would have been refused or
// late.
func (d Demand) cost(live, slots, decoders int) float64 {
	if len(d) == 0 {
		return loss(share(live, slots, startReading, startDecoding), live, slots, decoders)
	}
	seen := (d.faded(live, slots, decoders, shortHalfLife) + d.faded(live, slots, decoders, longHalfLife)) / 2
	return (1-turnWeight)*seen + turnWeight*loss(d.turned(live, slots), live, slots, decoders)
}

// share is the demand of shares of all engines.
func share(live, slots int, reading, decoding float64) demand.Load {
	return demand.Load{Reading: reading * float64(live), Streams: decoding * float64(live*slots)}
}

// turned is the demand of a mix that turns: shares of all engines, but no more than
// some times the most seen.
func (d Demand) turned(live, slots int) demand.Load {
	l := share(live, slots, turnReading, turnDecoding)
	var most, mostReading, reading, weighty float64
	for _, one := range d {
		most = max(most, one.Streams)
		mostReading = max(mostReading, one.Reading)
		reading += one.Reading
		weighty += one.Weighty
	}
	l.Streams = min(l.Streams, turnFactor*most)
	l.Reading = min(l.Reading, turnFactor*(mostReading+most/float64(slots)))
	if reading > 0 {
		l.Weighty = l.Reading * weighty / reading
	}
	return l
}

// loss is what of a demand is refused or late.
func loss(l demand.Load, live, slots, decoders int) float64 {
	slow := 0.0
	if l.Reading > 0 {
		slow = min(l.Weighty/l.Reading, 1)
	}
	places, links := float64(slots*decoders), fullMoving*float64(decoders)
	return lost(l.Reading, float64(live-decoders), fullReading, slow) +
		lost(l.Streams, places, fullDecoding, slow) + lost(l.Moving, links, 1, slow)
}

func (d Demand) faded(live, slots, decoders int, halfLife float64) float64 {
	var sum, weights float64
	weight := 1.0
	fade := math.Exp2(-1.0 / halfLife)
	for i := len(d) - 1; i >= 0; i-- {
		sum += weight * loss(d[i], live, slots, decoders)
		weights += weight
		weight *= fade
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// lost is the squared share of what is asked that is over what can be used of
// what there is, what of the rest is late, and a little for how full that is.
//
// The load that it answers: prompts that take a fifth of their objective to be
// read are late long before any is refused. With refusals alone in the sum,
// readers that were 0.8 busy were as good as idle ones, and engines that
// decoded for nobody stayed.
func lost(asked, there, usable, slow float64) float64 {
	if asked <= 0 {
		return 0
	}
	there = max(usable*there, math.SmallestNonzeroFloat64)
	over := max(asked-there, 0) / asked
	full := min(asked/there, 1)
	late := max(full-lateFrom, 0)
	return over*over + lateWeight*slow*late*late + evenness*full*full
}
