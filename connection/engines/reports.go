package engines

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// LocalReport returns this process's work at its engines, and the reads since the
// last call.
func (t *Tracker) LocalReport() ([]Work, []Read) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	reads := t.pendingReads
	t.pendingReads = nil
	return t.localWork(now), AsOf(reads, now)
}

// AsOf updates LeftMs of all reads as of now, and returns reads.
func AsOf(reads []Read, now time.Time) []Read {
	for i := range reads {
		reads[i] = reads[i].At(now)
	}
	return reads
}

// localWork returns this process's work at its engines. Callers hold t.mu.
func (t *Tracker) localWork(now time.Time) []Work {
	var out []Work
	for _, e := range t.engines {
		if w := e.localWork(now); !w.Idle() {
			out = append(out, w)
		}
	}
	return out
}

// Merge stores the report of another daemon, or the sum of several daemons'
// reports, and replaces the previous report with the same name. It returns the
// reads that were not known.
func (t *Tracker) Merge(peer string, work []Work, reads []Read) []Read {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var old []Work
	if p := t.peers[peer]; p != nil {
		old = p.work
	}
	t.peers[peer] = &peerWork{receivedAt: now, work: work}
	for i := range old {
		e := t.engine(old[i].Target, 0)
		e.peers.exclude(&old[i])
		e.oldPrompts = old[i].Prompts
	}
	for i := range work {
		e := t.engine(work[i].Target, 0)
		e.peers.include(&work[i])
		begins := e.oldPrompts == 0 && work[i].Prompts > 0 && e.own.Prompts+e.peers.Prompts == work[i].Prompts
		if work[i].Prompts < e.oldPrompts || begins {
			e.prefillSince = now
		}
		e.oldPrompts = 0
	}
	for _, list := range [][]Work{old, work} {
		for i := range list {
			t.engine(list[i].Target, 0).updateReportedDown(now)
		}
	}
	for i := range old {
		// The previous report had prompts at this engine, the new one doesn't.
		if e := t.engine(old[i].Target, 0); e.oldPrompts > 0 {
			e.prefillSince, e.oldPrompts = now, 0
		}
	}
	return t.mergeReads(reads)
}

// MergeReads records reads of other daemons, and returns those that were not
// known.
func (t *Tracker) MergeReads(reads []Read) []Read {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mergeReads(reads)
}

// mergeReads implements MergeReads. Callers hold t.mu.
func (t *Tracker) mergeReads(reads []Read) (fresh []Read) {
	for _, r := range reads {
		e := t.engine(r.Target, 0)
		r.ready = t.now().Add(time.Duration(r.LeftMs) * time.Millisecond)
		if !e.cache.containsAll(shared(r.Parts)) {
			fresh = append(fresh, r)
		}
		t.addToCache(r.Target, e, r.Parts, r.ready)
	}
	return fresh
}

// shared returns the parts that other prompts may start with as well: all but the
// last one, which is usually specific to the request. If there is only one part,
// it is returned.
func shared(parts []port.PromptPart) []port.PromptPart {
	return parts[:max(len(parts)-1, min(len(parts), 1))]
}

// Shared returns the read with only the parts that other prompts may start with
// as well.
func (r Read) Shared() Read {
	r.Parts = shared(r.Parts)
	return r
}

// RemovePeers removes the reports of all other daemons.
func (t *Tracker) RemovePeers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.peers {
		t.removePeer(name)
	}
}

// removePeer removes a daemon's report. Callers hold t.mu.
func (t *Tracker) removePeer(name string) {
	for i := range t.peers[name].work {
		w := &t.peers[name].work[i]
		e := t.engine(w.Target, 0)
		e.peers.exclude(w)
		e.updateReportedDown(t.now())
	}
	delete(t.peers, name)
}

// expire removes the reports that are older than reportTTL. Callers hold t.mu.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.oldestReport) <= reportTTL {
		return
	}
	t.oldestReport = now
	for name, p := range t.peers {
		if now.Sub(p.receivedAt) <= reportTTL {
			t.oldestReport = minTime(t.oldestReport, p.receivedAt)
			continue
		}
		t.removePeer(name)
	}
}

// ReportAge returns the mean time since the known reports of other daemons were
// received. Without any report it is the time after which reports expire.
func (t *Tracker) ReportAge() time.Duration {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if len(t.peers) == 0 {
		return reportTTL
	}
	var sum time.Duration
	for _, p := range t.peers {
		sum += max(now.Sub(p.receivedAt), 0)
	}
	return sum / time.Duration(len(t.peers))
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
