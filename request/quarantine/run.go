package quarantine

import "time"

// Content is what may crash a target: a request as a whole, or one of the parts of
// its prompt that other requests share.
type Content struct {
	Service string
	Request Fingerprint
	Parts   []Fingerprint // in order
}

// Run is a run of a request at a target. Exactly one of End, Broken and NotReceived
// is called for it.
type Run struct {
	t        *CrashTracker
	content  Content
	target   string
	began    time.Time
	wroteAt  time.Time // first event; zero for none
	accepted bool      // the target has sent the status line
	harmless bool      // the parts have survived the first event
	ended    bool
}

// suspect is content that may have crashed a target.
type suspect struct {
	fp       Fingerprint
	service  string // empty if it isn't known
	part     int
	began    time.Time // of its oldest run there
	accepted bool      // the target has sent the status line of some run
}

// mayHaveCrashed reports whether the evidence of a crash suffices for the content. It
// suffices for a part if the target had accepted the run, and thus lived after its
// begin.
func (s *suspect) mayHaveCrashed(e Evidence) bool {
	switch e {
	case Certain:
		return true
	case Presumed:
		return s.part == 0 || s.accepted
	}
	return s.part > 0 && s.accepted
}

// inFlightRun is a run of a content at a target.
type inFlightRun struct {
	run   *Run // nil for one that was recorded by Begin
	part  int
	began time.Time
}

// writeSettleTime is the time after its first event from which on a run shows that
// the parts of its prompt don't crash the target. A crash may follow the event.
const writeSettleTime = 300 * time.Millisecond

// BeginRun records that a request was sent to a target.
func (t *CrashTracker) BeginRun(content Content, target string) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Run{t: t, content: content, target: target, began: t.tick()}
	if content.Request != (Fingerprint{}) {
		t.begin(content.Request, target, inFlightRun{began: r.began})
	}
	for i, fp := range content.Parts {
		t.begin(fp, target, inFlightRun{run: r, part: i + 1, began: r.began})
	}
	return r
}

// Accepted records that the target has sent the status line of the answer.
func (r *Run) Accepted() {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	r.accepted = true
}

// Wrote records that the first event of the answer arrived, or the answer itself.
func (r *Run) Wrote() {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	if r.wroteAt.IsZero() && len(r.content.Parts) > 0 {
		r.wroteAt = r.t.tick()
		r.t.writing = append(r.t.writing, r)
	}
}

// End ends the run with an answer.
func (r *Run) End() {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	now := r.t.tick()
	if !r.wroteAt.IsZero() {
		r.clearParts()
	}
	r.leave(now, false)
	if r.content.Request != (Fingerprint{}) {
		r.t.ended.markCompleted(r.content.Request, r.began)
		r.t.clearCompleted(r.content.Request, r.began)
	}
}

// Broken ends the run. The content wasn't answered, which is no sign that it is
// harmless.
func (r *Run) Broken() {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	r.leave(r.t.tick(), true)
}

// NotReceived ends the run. The target hasn't received the request, so the content
// isn't suspected of its crash.
func (r *Run) NotReceived() {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	r.leave(r.t.tick(), false)
}

// leave removes the run from those in flight. A crash of the target that is noticed
// soon afterwards still counts for a run that was broken off.
func (r *Run) leave(now time.Time, broken bool) {
	r.ended = true
	r.leaveOne(r.content.Request, 0, now, broken)
	if r.harmless {
		return
	}
	for i, fp := range r.content.Parts {
		r.leaveOne(fp, i+1, now, broken)
	}
}

func (r *Run) leaveOne(fp Fingerprint, part int, now time.Time, broken bool) {
	if r.t.remove(fp, r.target, r.began) && broken {
		r.t.ended.add(endedRun{suspect: suspect{fp: fp, service: r.content.Service, part: part, began: r.began, accepted: r.accepted}, target: r.target, at: now})
	}
}

// clearParts records that the parts were answered.
func (r *Run) clearParts() {
	if r.harmless {
		return
	}
	r.harmless = true
	r.t.addControl(r)
	for _, fp := range r.content.Parts {
		r.t.remove(fp, r.target, r.began)
		r.t.ended.markCompleted(fp, r.began)
		r.t.clearCompleted(fp, r.began)
	}
}

// settleWriting clears the parts of the runs that go on writeSettleTime after their
// first event.
func (t *CrashTracker) settleWriting(now time.Time) {
	for len(t.writing) > 0 && now.Sub(t.writing[0].wroteAt) >= writeSettleTime {
		if r := t.writing[0]; !r.ended {
			r.clearParts()
		}
		t.writing = t.writing[1:]
	}
}

// begin adds a run of a content to those in flight.
func (t *CrashTracker) begin(fp Fingerprint, target string, r inFlightRun) {
	m := t.targets[target]
	if m == nil {
		m = make(map[Fingerprint][]inFlightRun)
		t.targets[target] = m
	}
	if len(m) < maxAtTarget || len(m[fp]) > 0 {
		m[fp] = append(m[fp], r)
	}
}

// remove removes the run of a content that began at that time, and reports whether
// there was one.
func (t *CrashTracker) remove(fp Fingerprint, target string, began time.Time) bool {
	m := t.targets[target]
	runs := m[fp]
	for i, r := range runs {
		if !r.began.Equal(began) {
			continue
		}
		if len(runs) == 1 {
			delete(m, fp)
		} else {
			m[fp] = append(runs[:i:i], runs[i+1:]...)
		}
		if len(m) == 0 && len(t.targets) > maxIdleTargets {
			delete(t.targets, target)
		}
		return true
	}
	return false
}

// inFlight returns the contents that may have crashed the target: those in
// flight there and those whose runs there have ended recently.
func (t *CrashTracker) inFlight(target string) []suspect {
	seen := make(map[Fingerprint]bool)
	var out []suspect
	add := func(s suspect) {
		if !seen[s.fp] && len(out) < maxSuspects {
			seen[s.fp] = true
			out = append(out, s)
		}
	}
	for _, s := range t.ended.removeRecent(target) {
		add(s)
	}
	for fp, runs := range t.targets[target] {
		s := suspect{fp: fp, part: runs[0].part, began: runs[0].began}
		for _, r := range runs {
			if r.run != nil {
				s.service, s.accepted = r.run.content.Service, s.accepted || r.run.accepted
			}
		}
		add(s)
	}
	return out
}

// Ruling is the verdict on a request.
type Ruling struct {
	Verdict Verdict
	Left    time.Duration // until the verdict ends
	// Fingerprint and Part name the content that was convicted; Part is its
	// position in the prompt, from 1, and 0 for the request as a whole.
	Fingerprint Fingerprint
	Part        int
}

// CheckContent returns the verdict on a request and the parts of its prompt. It is
// used with Options.ToleratedCrashes.
func (t *CrashTracker) CheckContent(request Content) Ruling {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	if len(t.contents) == 0 {
		return Ruling{}
	}
	var released []*content
	for part, fp := range append([]Fingerprint{request.Request}, request.Parts...) {
		c := t.contents[fp]
		if c == nil {
			continue
		}
		left, try := t.refusal(c, now)
		if left > 0 {
			return Ruling{Verdict: Convicted, Left: left, Fingerprint: fp, Part: part}
		}
		if try {
			released = append(released, c)
		}
	}
	for _, c := range released {
		c.tryUntil = now.Add(tryTime)
	}
	return Ruling{}
}
