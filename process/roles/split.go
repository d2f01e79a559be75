package roles

import (
	"math"

	"github.com/pomelospool/pomelospool/connection/demand"
)

const (
	// usablePrefillShare and usableSlotShare are the usable shares of the prefill
	// engines' time and of the decoding slots. Load is never spread evenly over
	// engines, so that the rest can't be used.
	usablePrefillShare = 0.9
	usableSlotShare    = 0.85
	// shortHalfLife and longHalfLife are the half-lives of a demand sample's
	// weight, in samples: 2 s and 15 s. The short one follows a lasting change of
	// the workload. The long one retains both phases of a workload that alternates
	// within seconds.
	shortHalfLife = 2 * samplesPerSecond
	longHalfLife  = 15 * samplesPerSecond
	// shiftWeight is the weight of an assumed workload shift against the observed
	// demand. Roles can't change while the store is unavailable, and the workload
	// may shift during such an outage. With 12 engines, a prompt-heavy load that
	// left two decoding engines before the outage scored 0.449 for the day; four
	// decoding engines scored 0.605.
	shiftWeight = 0.25
	// shiftPrefillShare and shiftSlotShare are the demand after such a shift, as
	// shares of all engines' time and of all slots.
	shiftPrefillShare = 0.65
	shiftSlotShare    = 0.2
	// initialPrefillShare and initialSlotShare are the demand that is assumed
	// before the first samples. No prefixes are cached and no streams run then.
	initialPrefillShare = 0.65
	initialSlotShare    = 0.18
	// minSamples is the number of demand samples that a plan needs: 3 s.
	minSamples = 3 * samplesPerSecond
	// changeCost is the reduction of the cost, in squared shares of the demand, that a
	// change of all engines' roles must bring; a change of fewer engines needs its
	// share of it. An engine serves nothing for some seconds while it changes its
	// role. In simulations of nine
	// workloads (alternating, stepped and steady) on 12 engines, a cost per engine
	// of 0.008 lost the least of the range from 0.001 to 0.02: 0.033 of the demand,
	// with half the orders of 0.002.
	changeCost = 0.1
	// utilizationWeight is the weight of the utilization. It is small, so that it
	// only decides between splits that are otherwise equal.
	utilizationWeight = 0.01
	// queueingThreshold is the utilization above which prompts queue, since they
	// arrive in bursts.
	queueingThreshold = 0.5
	// queueingWeight is the weight of queueing against refusals, for a prompt whose
	// prefill takes all of its objective. Prompts that take long to prefill also
	// wait long for each other.
	queueingWeight = 2.5
	// usableLinkShare is the share of the network links' time that can be used
	// without long waits: transfers of KV cache arrive in bursts, too.
	usableLinkShare = 0.6
	// maxShiftFactor bounds the assumed demand after a shift to a multiple of the
	// highest recent demand. In known workloads demand rises up to 3.4 times its
	// mean. Without the bound, 17 of 60 engines decode all day for 55 streams while
	// the prompts on the others are late; and 5,800 of 9,675 engines change their
	// role for prompts that 100 engines could prefill.
	maxShiftFactor = 2
)

// Demand holds the recent demand samples, the newest last. It is empty while the
// demand is unknown.
type Demand []demand.Load

// bestDecoders returns the number of decoding engines that would have served the
// demand at the lowest cost, given the number of live engines and the slots of
// each. It returns the current number if no other is better by more than the
// cost of the changes.
//
// The cost is computed from demand, not from running streams, because of workloads
// that alternate between long prompts and long answers, each at twice its mean for
// some seconds. A plan based on running streams released engines that were idle
// because of refusals, requested them back one by one as streams arrived, and
// released them again as prompts arrived: 21 orders on a quiet day, and up to nine
// in ten requests refused at the shifts.
func (d Demand) bestDecoders(live, slots, current int) int {
	low, high := decoderBounds(live)
	start := min(max(current, low), high)
	lowest := d.cost(live, slots, start)
	best := start
	for n := low; n <= high; n++ {
		c := d.cost(live, slots, n)
		if len(d) > 0 {
			c += changeCost * math.Abs(float64(n-start)) / float64(live)
		}
		if c < lowest {
			best, lowest = n, c
		}
	}
	return best
}

// decoderBounds returns the lowest and the highest number of decoding engines.
// Whatever the demand, a quarter of the engines does prefill, and two decode, so
// that one is left when the other fails.
func decoderBounds(live int) (low, high int) {
	high = max(live-max(live/4, 1), 1)
	return min(minDecoders, high), high
}

// cost returns the weighted mean loss with the given number of decoding engines,
// over the recent demand and an assumed shift of the workload.
func (d Demand) cost(live, slots, decoders int) float64 {
	if len(d) == 0 {
		return loss(loadOfShares(live, slots, initialPrefillShare, initialSlotShare), live, slots, decoders)
	}
	observed := (d.decayedLoss(live, slots, decoders, shortHalfLife) + d.decayedLoss(live, slots, decoders, longHalfLife)) / 2
	return (1-shiftWeight)*observed + shiftWeight*loss(d.shiftedLoad(live, slots), live, slots, decoders)
}

// loadOfShares returns the load that takes the given shares of all engines' time
// and of all slots.
func loadOfShares(live, slots int, prefill, decode float64) demand.Load {
	return demand.Load{Prefill: prefill * float64(live), Streams: decode * float64(live*slots)}
}

// shiftedLoad returns the assumed load after a shift of the workload: fixed shares
// of all engines, bounded by a multiple of the highest recent load.
func (d Demand) shiftedLoad(live, slots int) demand.Load {
	l := loadOfShares(live, slots, shiftPrefillShare, shiftSlotShare)
	var maxStreams, maxPrefill, prefill, weighted float64
	for _, s := range d {
		maxStreams = max(maxStreams, s.Streams)
		maxPrefill = max(maxPrefill, s.Prefill)
		prefill += s.Prefill
		weighted += s.WeightedPrefill
	}
	l.Streams = min(l.Streams, maxShiftFactor*maxStreams)
	l.Prefill = min(l.Prefill, maxShiftFactor*(maxPrefill+maxStreams/float64(slots)))
	if prefill > 0 {
		l.WeightedPrefill = l.Prefill * weighted / prefill
	}
	return l
}

// loss estimates how much of a load would be refused or late with the given number
// of decoding engines.
func loss(l demand.Load, live, slots, decoders int) float64 {
	// objectiveShare is the mean share of its objective that a prompt's prefill takes.
	objectiveShare := 0.0
	if l.Prefill > 0 {
		objectiveShare = min(l.WeightedPrefill/l.Prefill, 1)
	}
	decodeSlots, links := float64(slots*decoders), usableLinkShare*float64(decoders)
	return resourceLoss(l.Prefill, float64(live-decoders), usablePrefillShare, objectiveShare) +
		resourceLoss(l.Streams, decodeSlots, usableSlotShare, objectiveShare) + resourceLoss(l.Transfer, links, 1, objectiveShare)
}

// decayedLoss returns the mean loss over the samples, with exponentially decaying
// weights.
func (d Demand) decayedLoss(live, slots, decoders int, halfLife float64) float64 {
	var sum, weights float64
	weight := 1.0
	decay := math.Exp2(-1.0 / halfLife)
	for i := len(d) - 1; i >= 0; i-- {
		sum += weight * loss(d[i], live, slots, decoders)
		weights += weight
		weight *= decay
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// resourceLoss returns the loss at one resource. It is the sum of the squared share
// of the demand that exceeds the usable capacity, of a term for queueing, and of a
// small term for utilization.
//
// The queueing term is needed because prompts whose prefill takes a fifth of their
// objective are late long before any is refused. With refusals alone, prefill
// engines at a utilization of 0.8 were rated as high as idle ones, and idle decoding
// engines kept their role.
func resourceLoss(demanded, capacity, usable, objectiveShare float64) float64 {
	if demanded <= 0 {
		return 0
	}
	capacity = max(usable*capacity, math.SmallestNonzeroFloat64)
	excess := max(demanded-capacity, 0) / demanded
	utilization := min(demanded/capacity, 1)
	queueing := max(utilization-queueingThreshold, 0)
	return excess*excess + queueingWeight*objectiveShare*queueing*queueing + utilizationWeight*utilization*utilization
}
