package engines

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Own returns what this process has at its engines, and what it had them read
// since the last call.
func (b *Book) Own() ([]Work, []Read) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	reads := b.reads
	b.reads = nil
	return b.work(now), AsOf(reads, now)
}

// AsOf are reads as they are reported at that time.
func AsOf(reads []Read, now time.Time) []Read {
	for i := range reads {
		reads[i] = reads[i].At(now)
	}
	return reads
}

// work is what this process has at its engines. Callers hold b.mu.
func (b *Book) work(now time.Time) []Work {
	var out []Work
	for _, e := range b.engines {
		if w := e.report(now); !w.Idle() {
			out = append(out, w)
		}
	}
	return out
}

// Merge takes the report of another daemon, or of several in sum, in place of the
// last one under that name. It returns the reads that were not known.
func (b *Book) Merge(peer string, work []Work, reads []Read) []Read {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var old []Work
	if p := b.peers[peer]; p != nil {
		old = p.work
	}
	b.peers[peer] = &peerWork{at: now, work: work}
	for i := range old {
		e := b.engine(old[i].Target, 0)
		e.others.take(&old[i])
		e.before = old[i].Prompts
	}
	for i := range work {
		e := b.engine(work[i].Target, 0)
		e.others.put(&work[i])
		begins := e.before == 0 && work[i].Prompts > 0 && e.own.Prompts+e.others.Prompts == work[i].Prompts
		if work[i].Prompts < e.before || begins {
			e.since = now
		}
		e.before = 0
	}
	for i := range old {
		// The daemon named prompts there before, and now names none.
		if e := b.engine(old[i].Target, 0); e.before > 0 {
			e.since, e.before = now, 0
		}
	}
	return b.kept(reads)
}

// MergeReads takes reads of other daemons, and returns those that were not known.
func (b *Book) MergeReads(reads []Read) []Read {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept(reads)
}

// kept does it. Callers hold b.mu.
func (b *Book) kept(reads []Read) (fresh []Read) {
	for _, r := range reads {
		e := b.engine(r.Target, 0)
		r.ready = b.now().Add(time.Duration(r.LeftMs) * time.Millisecond)
		if !e.keeps.has(shared(r.Parts)) {
			fresh = append(fresh, r)
		}
		b.keep(r.Target, e, r.Parts, r.ready)
	}
	return fresh
}

// shared are the parts that other prompts may begin with too: all but the
// last, which is mostly the request's own. A prompt of one part is taken whole.
func shared(parts []port.PromptPart) []port.PromptPart {
	return parts[:max(len(parts)-1, min(len(parts), 1))]
}

// Shared is the read of the parts that other prompts may begin with too.
func (r Read) Shared() Read {
	r.Parts = shared(r.Parts)
	return r
}

// Forget takes out what all other daemons said.
func (b *Book) Forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.peers {
		b.forget(name)
	}
}

// forget takes out a daemon's report. Callers hold b.mu.
func (b *Book) forget(name string) {
	for i := range b.peers[name].work {
		w := &b.peers[name].work[i]
		b.engine(w.Target, 0).others.take(w)
	}
	delete(b.peers, name)
}

// expire takes out the reports of unresponsive daemons.
// Callers hold b.mu.
func (b *Book) expire(now time.Time) {
	if now.Sub(b.oldest) <= reportTTL {
		return
	}
	b.oldest = now
	for name, p := range b.peers {
		if now.Sub(p.at) <= reportTTL {
			b.oldest = minTime(b.oldest, p.at)
			continue
		}
		b.forget(name)
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
