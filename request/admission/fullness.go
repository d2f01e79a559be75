package admission

import (
	"time"

	"github.com/pomelospool/pomelospool/request/routing"
)

const (
	// usableSlack is the fraction of a request's spare time that waiting
	// may use. Estimates are means: if all of the spare time were planned
	// for, half of the answers would be late.
	usableSlack = 0.5
	// maxOthersRatio bounds the assumed ratio of other processes' requests
	// to those of this process.
	maxOthersRatio = 16
)

// Thresholds from which on fair shares are enforced. They leave a margin for
// fluctuations of organisations below their share. They cost no throughput,
// since the targets are busy at this point.
const (
	slotContention = 0.75 // of the slots
	waitContention = 0.20 // of the time that waiting may use
)

// fullness states how full the targets are.
type fullness struct {
	// share is the fraction of the slots in use or of the usable waiting time,
	// whichever is greater.
	share float64
	// cautious is share with the change since the reports scaled up halfway to
	// that of all processes, by their part in the reported load.
	cautious float64
	// excess is the ratio of the usage in flight to that from which on fair
	// shares are enforced. From 1 on there is contention.
	excess float64
}

// fullness combines the use of slots and of time. Engines serve high
// priority first, so the length of the queue says little about the wait of
// such requests: for them only slots count.
func (s *service) fullness(a Request) fullness {
	f := s.slotFullness(a.Targets)
	if a.Priority > 0 {
		return f
	}
	wait := waitFullness(a)
	return fullness{
		share:    max(f.share, wait.share),
		cautious: max(f.cautious, wait.share),
		excess:   max(f.excess, wait.excess),
	}
}

// occupancy sums the load of the live targets.
type occupancy struct {
	slots    int
	reported int // requests of all processes, by the newest reports
	inFlight int // requests of this process
	sent     int // requests sent by this process since the reports and still in flight
	age      time.Duration
}

func sumOccupancy(targets []routing.Target) occupancy {
	var o occupancy
	live := 0
	for _, t := range targets {
		if !t.Live || t.Limit <= 0 {
			continue
		}
		live++
		o.slots += t.Limit
		o.reported += t.Load.Running + t.Load.Waiting
		o.inFlight += t.InFlight
		o.sent += min(t.SentCount, t.InFlight)
		o.age += t.LoadAge
	}
	if live > 0 {
		o.age /= time.Duration(live)
	}
	return o
}

// slotFullness estimates the fraction of slots that are in use now.
//
// Reports lag, and all processes see the same free slots at the same moment.
// If each filled them for itself, the targets would get several times as
// many requests. The change since the reports is therefore estimated: the
// requests that this process sent, less the average number of its
// completions. The cautious estimate assumes that other processes sent
// requests too, in proportion to their part of the reported load. It is
// noisy, and only decides which requests yield to others. If all traffic
// passes through this process, both estimates are equal.
func (s *service) slotFullness(targets []routing.Target) fullness {
	o := sumOccupancy(targets)
	if o.slots == 0 {
		return fullness{}
	}
	before := max(o.inFlight-o.sent, 0)
	others := min(float64(o.reported+1)/float64(before+1), maxOthersRatio)
	change := float64(o.sent) - s.completionRate*o.age.Seconds()
	share := func(factor float64) float64 {
		taken := float64(o.reported) + change*factor
		return max(taken, float64(o.inFlight)) / float64(o.slots)
	}
	likely := share(1)
	return fullness{
		share:    likely,
		cautious: max(likely, share((1+others)/2)),
		excess:   max(likely, share(others)) / slotContention,
	}
}

// waitFullness returns the fullness in terms of time. The time on an idle
// target is subtracted, because a request whose work alone takes most of its
// time says nothing about the load. The estimate for an idle target is
// skipped if the result can't reach contention.
func waitFullness(a Request) fullness {
	if a.Decision.TimeToCompletion < time.Duration(waitContention*usableSlack*float64(a.TimeLeft)) {
		return fullness{}
	}
	idle, ok := a.IdleFinish()
	if !ok || idle >= a.TimeLeft {
		return fullness{}
	}
	longest := float64(a.TimeLeft-idle) * usableSlack
	wait := float64(a.Decision.TimeToCompletion - idle)
	threshold := float64(idle) + waitContention*longest
	return fullness{share: wait / longest, excess: float64(a.Decision.TimeToCompletion) / threshold}
}

// slotCount returns the number of slots of the live targets.
func slotCount(targets []routing.Target) int { return sumOccupancy(targets).slots }
