package forward

import "time"

const (
	// answerPatience is the time without an answer after which a daemon that owes
	// one is asked last. A daemon that has stopped accepts connections for as long
	// as its kernel does, and counts as alive until its heartbeats are missed.
	answerPatience = 300 * time.Millisecond
	// unansweredTTL is the time for which a daemon that left a request without an
	// answer is asked last.
	unansweredTTL = 2 * time.Second
)

// contact is what is known of a daemon that requests are forwarded to.
type contact struct {
	waiting    int       // requests without an answer
	since      time.Time // of the last answer, or from which on there have been such requests
	unanswered time.Time // when a request was last given up; zero if none was
}

// unresponsive reports whether others should be asked first.
func (c *contact) unresponsive() bool {
	return c.waiting > 0 && time.Since(c.since) >= answerPatience ||
		!c.unanswered.IsZero() && time.Since(c.unanswered) < unansweredTTL
}

func (f *Forwarder) beginWait(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.contacts[vm]
	if c == nil {
		c = &contact{}
		f.contacts[vm] = c
	}
	if c.waiting++; c.waiting == 1 {
		c.since = time.Now()
	}
}

func (f *Forwarder) endWait(vm string, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.contacts[vm]
	c.waiting--
	if answered {
		c.since, c.unanswered = time.Now(), time.Time{}
	} else {
		c.unanswered = time.Now()
	}
}

// responsiveFirst moves daemons that owe an answer to the end.
func (f *Forwarder) responsiveFirst(peers []Peer) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Peer, 0, len(peers))
	var last []Peer
	for _, p := range peers {
		if c := f.contacts[p.VM]; c != nil && c.unresponsive() {
			last = append(last, p)
		} else {
			out = append(out, p)
		}
	}
	return append(out, last...)
}
