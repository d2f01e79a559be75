package policy

// applyEvent applies an event of the trace. A crashChanging event hits an engine
// that changes its role if there is one.
func (r *run) applyEvent(ev event) {
	e := r.engines[ev.engine]
	switch ev.kind {
	case withdraw:
		e.withdrawn = true
	case restore:
		e.withdrawn = false
	case crashChanging:
		for _, c := range r.engines {
			if c.nextRole != "" {
				e = c
			}
		}
		r.crash(e)
	default:
		r.crash(e)
	}
}

func (r *run) crash(e *engine) {
	lost := e.crash()
	for _, j := range lost {
		t := &r.views[j.router].targets[r.index[e.name]]
		t.InFlight--
		if j.decodeAt != e {
			j.decodeAt.expectedStreams--
			r.views[j.router].targets[r.index[j.decodeAt.name]].InFlight--
		}
		r.reroute(j)
	}
}

// reroute routes a job that lost its engine. The output that was streamed already
// becomes part of the prompt.
func (r *run) reroute(j *job) {
	generated := j.output - j.remaining
	j.prompt = j.arrival.prompt + generated
	if !r.route(j) {
		r.unplaced = append(r.unplaced, j)
	}
}

// retryUnplaced routes again the jobs that lost their engine and have no other yet.
// An accepted request is answered even if late. It counts as lost only if its
// deadline has passed.
func (r *run) retryUnplaced() {
	jobs := r.unplaced
	r.unplaced = nil
	for _, j := range jobs {
		if r.now-j.at > Deadline.Seconds() {
			r.res.Lost++
			continue
		}
		if !r.route(j) {
			r.unplaced = append(r.unplaced, j)
		}
	}
}
