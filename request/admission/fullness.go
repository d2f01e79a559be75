package admission

import (
	"time"

	"github.com/pomelospool/pomelospool/request/routing"
)

const (
	// slackUsed is the part of a request's time to spare that waiting may use.
	// Estimates are means: planning with all of it, half the answers are late.
	slackUsed = 0.5
	// maxOthers bounds how much more than this process others are taken to send.
	maxOthers = 16
)

// Where fair shares begin to be enforced. It leaves room for the fluctuation
// of those who stay below their share, and costs no throughput: the targets
// are busy at this point.
const (
	placesContention = 0.75 // of the places
	waitContention   = 0.20 // of the time that waiting may use
)

// fullness is how full the targets are.
type fullness struct {
	// share is the greater of the shares of the places that are taken, and of
	// the time for waiting that would be used up.
	share float64
	// cautious is share with the others taken to have sent half as much more
	// as this process did.
	cautious float64
	// excess is the usage in flight over that at which fair shares begin to be
	// enforced: from 1 on there is contention.
	excess float64
}

// fullness weighs places and time. Engines serve high priority first, so the
// queue's length says little about its wait: places only.
func (s *service) fullness(a Ask) fullness {
	f := s.placesTaken(a.Targets)
	if a.Priority > 0 {
		return f
	}
	wait := waiting(a)
	return fullness{
		share:    max(f.share, wait.share),
		cautious: max(f.cautious, wait.share),
		excess:   max(f.excess, wait.excess),
	}
}

// occupancy sums what is known of the live targets.
type occupancy struct {
	places   int
	reported int // requests there by the newest reports, of all processes
	inFlight int // of this process
	sent     int // by this process since the reports, still in flight
	age      time.Duration
}

func occupied(targets []routing.Target) occupancy {
	var o occupancy
	live := 0
	for _, t := range targets {
		if !t.Live || t.Limit <= 0 {
			continue
		}
		live++
		o.places += t.Limit
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

// placesTaken is the share of places that are taken now.
//
// Reports lag, and all processes see the same free places at the same moment:
// each fills them for itself, and the targets get several times as many. So
// the change since the reports is worked out: what this process sent, less
// what it gets back on average. The cautious estimate takes the others, by
// their part in what the reports show, to have sent as much more; it is noisy
// and decides only who has to stand back for others. Where all traffic comes
// through this process both are the same.
func (s *service) placesTaken(targets []routing.Target) fullness {
	o := occupied(targets)
	if o.places == 0 {
		return fullness{}
	}
	before := max(o.inFlight-o.sent, 0)
	others := min(float64(o.reported+1)/float64(before+1), maxOthers)
	change := float64(o.sent) - s.rate*o.age.Seconds()
	share := func(factor float64) float64 {
		taken := float64(o.reported) + change*factor
		return max(taken, float64(o.inFlight)) / float64(o.places)
	}
	likely := share(1)
	return fullness{
		share:    likely,
		cautious: max(likely, share((1+others)/2)),
		excess:   max(likely, share(others)) / placesContention,
	}
}

// waiting is the fullness in time. A request whose work alone takes most of
// its time says nothing about others, so the time on an idle target is taken
// off; where the result can't reach contention the second estimate is saved.
func waiting(a Ask) fullness {
	if a.Decision.TimeToCompletion < time.Duration(waitContention*slackUsed*float64(a.Left)) {
		return fullness{}
	}
	idle, ok := a.Idle()
	if !ok || idle >= a.Left {
		return fullness{}
	}
	longest := float64(a.Left-idle) * slackUsed
	wait := float64(a.Decision.TimeToCompletion - idle)
	calm := float64(idle) + waitContention*longest
	return fullness{share: wait / longest, excess: float64(a.Decision.TimeToCompletion) / calm}
}

// room counts the places of the live targets.
func room(targets []routing.Target) int { return occupied(targets).places }
