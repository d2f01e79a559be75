package attempt

import (
	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

// PartTracker is a quarantine.Tracker that tracks the parts of prompts, too.
type PartTracker interface {
	CheckParts(quarantine.Content) quarantine.Ruling
	BeginParts(c quarantine.Content, target string) *quarantine.Run
}

func (r *run) partContent() (quarantine.Content, PartTracker) {
	tracker, ok := r.opts.Quarantine.(PartTracker)
	if !ok || len(r.q.Parts) == 0 {
		return quarantine.Content{}, nil
	}
	return quarantine.Content{Service: r.q.Service.Doc.Service, Parts: r.q.Parts}, tracker
}

// checkParts refuses prompts with a part that crashes targets.
func (r *run) checkParts() error {
	content, tracker := r.partContent()
	if tracker == nil {
		return nil
	}
	if ruling := tracker.CheckParts(content); ruling.Verdict == quarantine.Convicted {
		return code.New(code.CrashConvicted, "part %d of the prompt", ruling.Part).WithRetryAfter(ruling.Left)
	}
	return nil
}

// partsRun is the run of a prompt's parts at a target. Its Run is nil if they aren't
// tracked.
type partsRun struct{ *quarantine.Run }

func (r *run) beginParts(target string) partsRun {
	content, tracker := r.partContent()
	if tracker == nil {
		return partsRun{}
	}
	return partsRun{tracker.BeginParts(content, target)}
}

// end ends the run. The answer has arrived in full if f is nil.
func (p partsRun) end(f *failure.Failure) {
	switch {
	case p.Run == nil:
	case f == nil:
		p.Wrote()
		p.End()
	case f.Unwritten || f.Class == failure.NotRun:
		p.NotReceived()
	default:
		p.Broken()
	}
}
