package policy

// happen makes an event of the trace come about.
func (r *run) happen(ev event) {
	e := r.engines[ev.engine]
	switch ev.kind {
	case withdraw:
		e.leaving = true
	case giveBack:
		e.leaving = false
	case crashChanging:
		for _, c := range r.engines {
			if c.to != "" {
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
		t := &r.views[j.decider].targets[r.index[e.name]]
		t.InFlight--
		if j.decodeAt != e {
			j.decodeAt.expected--
			r.views[j.decider].targets[r.index[j.decodeAt.name]].InFlight--
		}
		r.again(j)
	}
}

// again routes a job that lost its engine. What was streamed is a part of the prompt now.
func (r *run) again(j *job) {
	made := j.out - j.left
	j.prompt = j.arrival.prompt + made
	if !r.route(j) {
		r.homeless = append(r.homeless, j)
	}
}

// rehome tries again to place what lost its engine. What was accepted is
// answered, late if need be; it counts as lost only past its deadline.
func (r *run) rehome() {
	jobs := r.homeless
	r.homeless = nil
	for _, j := range jobs {
		if r.now-j.at > Deadline.Seconds() {
			r.res.Lost++
			continue
		}
		if !r.route(j) {
			r.homeless = append(r.homeless, j)
		}
	}
}
