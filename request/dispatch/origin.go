package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/connection/targets"
	"github.com/pomelospool/pomelospool/port"
)

// Origins tracks at which software version of a service's targets each stream began.
type Origins interface {
	Begin(s origin.Stream, software string)
	Complete(s origin.Stream)
	Find(ctx context.Context, s origin.Stream) (software string, from origin.Source)
	// Settled reports whether all daemons know of a version.
	Settled(service, software string) bool
}

// targets returns the targets of the call's service.
func (x *execution) targets() *targets.Set {
	return x.opts.Targets.Targets(x.call.Service.Name)
}

// findOrigin finds the software version of a stream that the call takes up. It
// rejects the call if that version isn't known, since the caller would get events
// of two versions.
func (x *execution) findOrigin(ctx context.Context) error {
	if !x.call.TakesUp() || x.origin != nil {
		return nil
	}
	software, from := x.opts.Origins.Find(ctx, x.stream(x.call.Meta.Resumes))
	x.trace.OriginSource = from
	counts.Add("taken_up", 1)
	if from == origin.Unknown {
		counts.Add("origin_unknown", 1)
		return code.New(code.OriginUnknown, "stream of request %.40q", x.call.Meta.Resumes).WithRetryAfter(minRetryDelay)
	}
	x.origin = &software
	return nil
}

// checkOriginServed returns an error if no target of the stream's software version
// takes requests.
func (x *execution) checkOriginServed(role port.Role) error {
	set := x.targets()
	if x.origin == nil || slices.ContainsFunc(set.ByRole(role, "").All(), func(e *port.TargetEntry) bool { return set.VersionOf(e) == *x.origin }) {
		return nil
	}
	counts.Add("origin_gone", 1)
	if x.lastFailure != nil {
		return x.finalError(x.lastFailure)
	}
	return code.New(code.OriginGone, "software version %.40q", *x.origin).WithRetryAfter(x.retryDelay(nil))
}

// sampleVersion is sampleTargets for a stream that has begun. Few calls need it, so
// it passes over all targets of the role.
func (x *execution) sampleVersion(set *targets.Set, role port.Role) *targetSample {
	var entries []*port.TargetEntry
	for _, e := range set.ByRole(role, "").All() {
		if set.VersionOf(e) == *x.origin {
			entries = append(entries, e)
		}
	}
	if n := len(entries); n > sampleThreshold {
		// The first ones of a random order.
		for i := range sampleThreshold {
			j := i + rand.IntN(n-i)
			entries[i], entries[j] = entries[j], entries[i]
		}
		entries = entries[:sampleThreshold]
	}
	return &targetSample{entries: entries, shared: len(entries)}
}

// preferSettled returns the targets of those versions that all daemons know, if
// there are any. A daemon that doesn't know a version may take a stream that began
// there for one of another version.
func (x *execution) preferSettled(list []loadedTarget) []loadedTarget {
	if !x.call.Route.Resumable || x.origin != nil {
		return list
	}
	set := x.targets()
	if !set.Mixed() {
		return list
	}
	settled := slices.DeleteFunc(slices.Clone(list), func(t loadedTarget) bool {
		return !x.opts.Origins.Settled(x.call.Service.Name, set.VersionOf(t.TargetEntry))
	})
	if len(settled) == 0 {
		return list
	}
	return settled
}

// recordOrigin binds the stream to the software version of its first event and
// records that version. It is called before the caller receives an event.
func (x *execution) recordOrigin() {
	if x.began {
		return
	}
	x.began = true
	if x.origin == nil {
		software := x.sendingTo
		x.origin = &software
	}
	if !x.call.Route.Resumable {
		return
	}
	for _, s := range x.streams() {
		x.opts.Origins.Begin(s, *x.origin)
	}
}

// recordComplete records that the caller has been sent the whole stream.
func (x *execution) recordComplete() {
	if x.began && x.call.Route.Resumable {
		for _, s := range x.streams() {
			x.opts.Origins.Complete(s)
		}
	}
}

// streams returns the stream by the names that its caller may take it up by: the
// request that brought the first event and, for callers that name the last one,
// this request.
func (x *execution) streams() []origin.Stream {
	out := []origin.Stream{x.stream(x.call.Meta.RequestID)}
	if x.call.TakesUp() && x.call.Meta.Resumes != "" {
		out = append(out, x.stream(x.call.Meta.Resumes))
	}
	return out
}

func (x *execution) stream(request string) origin.Stream {
	return origin.Stream{Service: x.call.Service.Name, Organisation: x.call.Organisation, Request: request}
}
