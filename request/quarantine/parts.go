package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// MaxParts bounds the parts of a prompt that are tracked. Callers choose how many
// there are.
const MaxParts = 16

// PartTracker tracks the parts of prompts beside the requests as a whole, for daemons
// that run suspect requests alone. Parts are shared by many requests, so they are
// tolerated until they are convicted.
type PartTracker struct {
	*CrashTracker               // of whole requests
	parts         *CrashTracker // tolerates crashes
}

var _ Claimer = (*PartTracker)(nil)

// NewPartTracker returns a PartTracker with the options for whole requests and the
// number of crashes of parts that is tolerated.
func NewPartTracker(requests Options, toleratedCrashes int) *PartTracker {
	return &PartTracker{
		CrashTracker: New(requests),
		parts:        New(Options{Self: requests.Self, Conviction: requests.Conviction, Now: requests.Now, ToleratedCrashes: toleratedCrashes}),
	}
}

// Parts returns the tracker of parts.
func (t *PartTracker) Parts() *CrashTracker { return t.parts }

// CheckParts returns the verdict on the parts of a prompt.
func (t *PartTracker) CheckParts(c Content) Ruling { return t.parts.CheckContent(c) }

// BeginParts records that a request with these parts was sent to a target.
func (t *PartTracker) BeginParts(c Content, target string) *Run { return t.parts.BeginRun(c, target) }

// Crashed implements Tracker.
func (t *PartTracker) Crashed(target string) {
	if confirm := t.parts.Hold(target); confirm != nil {
		confirm(Certain)
		t.CrashTracker.broadcast(t.parts.Outgoing())
	}
	t.CrashTracker.Crashed(target)
}

// Outgoing implements membership.Convictions.
func (t *PartTracker) Outgoing() []*peerpb.Conviction {
	return append(t.CrashTracker.Outgoing(), t.parts.Outgoing()...)
}

// Incoming implements membership.Convictions.
func (t *PartTracker) Incoming(updates []*peerpb.Conviction) {
	var requests, parts []*peerpb.Conviction
	for _, u := range updates {
		if u.Part > 0 {
			parts = append(parts, u)
		} else {
			requests = append(requests, u)
		}
	}
	t.CrashTracker.Incoming(requests)
	t.parts.Incoming(parts)
}

// PartsOf returns the fingerprints of the parts of a prompt, in order, at most as many
// as are tracked.
func PartsOf(caller, service string, parts []string) []Fingerprint {
	var out []Fingerprint
	for _, text := range parts[:min(len(parts), MaxParts)] {
		p := Part{Caller: caller, Service: service, ID: xxhash.Sum64String(text)}
		out = append(out, p.Fingerprint())
	}
	return out
}

// PrefixesOf returns the fingerprints of prefixes of a prompt, each twice as long as
// the one before, by the hashes of its blocks.
func PrefixesOf(caller, service string, blocks []uint64) []Fingerprint {
	var parts []string
	for n := 1; n <= len(blocks); n *= 2 {
		parts = append(parts, strconv.FormatUint(blocks[n-1], 16))
	}
	return PartsOf(caller, service, parts)
}
