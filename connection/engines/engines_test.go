package engines

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

func parts(ids ...uint64) []port.PromptPart {
	var out []port.PromptPart
	for _, id := range ids {
		out = append(out, port.PromptPart{ID: id, Tokens: 100})
	}
	return out
}

// clock is a manual clock.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func newTestTracker() (*Tracker, *clock) {
	c := &clock{t: time.Unix(1000, 0)}
	return New(c.now, func(Work) {}), c
}

func TestCachedPartsMustBeLeading(t *testing.T) {
	tr, _ := newTestTracker()
	tr.Prefill("e", 10_000, parts(1, 2, 3), 0, time.Second)()
	for name, tc := range map[string]struct {
		parts []port.PromptPart
		want  int
	}{
		"all":               {parts(1, 2, 3), 300},
		"another last part": {parts(1, 2, 9), 200},
		"another first":     {parts(9, 2, 3), 0},
		"none":              {nil, 0},
	} {
		if got := tr.Load("e", tc.parts).Cached; got != tc.want {
			t.Errorf("%s: %d tokens cached, want %d", name, got, tc.want)
		}
	}
	if got := tr.Load("other", parts(1)).Cached; got != 0 {
		t.Errorf("an engine without prompts has %d tokens cached", got)
	}
}

func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	tr, _ := newTestTracker()
	tr.Prefill("e", 250, parts(1), 0, time.Second)()
	tr.Prefill("e", 250, parts(2), 0, time.Second)()
	tr.Prefill("e", 250, parts(1), 0, time.Second)()
	tr.Prefill("e", 250, parts(3), 0, time.Second)()
	if tr.Load("e", parts(2)).Cached != 0 || tr.Load("e", parts(1)).Cached != 100 || tr.Load("e", parts(3)).Cached != 100 {
		t.Error("a part other than the least recently used one was evicted")
	}
}

func TestLoadSumsAllDaemons(t *testing.T) {
	tr, c := newTestTracker()
	done := tr.Prefill("e", 1000, parts(1), 0, 40*time.Millisecond)
	end := tr.Decode("e", 1000, parts(1), 0)
	tr.Merge("peer", []Work{{Target: Hash("e"), Reading: 20_000, Prompts: 1, Streams: 2}}, []Read{{Target: Hash("e"), Parts: parts(7)}})
	l := tr.Load("e", parts(7))
	if l.Wait != 60*time.Millisecond || l.Streams != 3 || l.Cached != 100 {
		t.Errorf("load %+v", l)
	}
	done()
	done()
	end()
	if l := tr.Load("e", nil); l.Wait != 20*time.Millisecond || l.Streams != 2 {
		t.Errorf("load after the end %+v", l)
	}
	c.t = c.t.Add(reportTTL + time.Millisecond)
	if l := tr.Load("e", nil); l.Streams != 0 || l.Wait != 0 {
		t.Errorf("an expired report still counts: %+v", l)
	}
}

// TestWaitShrinksDuringPrefill checks that the wait of an engine shrinks as it
// processes a prompt. Otherwise the engine would look as busy at the end of a
// prefill as at its start, and prompts that it has cached would be sent to other
// engines, which have to prefill them completely.
func TestWaitShrinksDuringPrefill(t *testing.T) {
	tr, c := newTestTracker()
	tr.Prefill("e", 1000, parts(1), 0, 100*time.Millisecond)
	second := tr.Prefill("e", 1000, parts(2), 0, 300*time.Millisecond)
	step := func(d time.Duration, want time.Duration) {
		t.Helper()
		c.t = c.t.Add(d)
		if got := tr.Load("e", nil).Wait; got != want {
			t.Errorf("wait %v, want %v", got, want)
		}
	}
	step(0, 400*time.Millisecond)
	step(80*time.Millisecond, 320*time.Millisecond)
	// An engine that finishes no prompt makes no progress beyond one prompt.
	step(time.Second, 200*time.Millisecond)
	second()
	step(0, 100*time.Millisecond)
	step(30*time.Millisecond, 70*time.Millisecond)
}

// TestWaitShrinksForPeersPrompts checks the same for prompts that another daemon
// reports.
func TestWaitShrinksForPeersPrompts(t *testing.T) {
	tr, c := newTestTracker()
	report := func(prompts, reading uint32) {
		tr.Merge("peer", []Work{{Target: Hash("e"), Prompts: prompts, Reading: reading}}, nil)
	}
	report(2, 200_000)
	c.t = c.t.Add(60 * time.Millisecond)
	if got := tr.Load("e", nil).Wait; got != 140*time.Millisecond {
		t.Errorf("wait %v", got)
	}
	report(1, 100_000)
	if got := tr.Load("e", nil).Wait; got != 100*time.Millisecond {
		t.Errorf("wait %v after one was prefilled", got)
	}
	tr.Merge("peer", nil, nil)
	if got := tr.Load("e", nil).Wait; got != 0 {
		t.Errorf("wait %v after all were prefilled", got)
	}
}

func TestLocalReportReturnsReadsOnce(t *testing.T) {
	tr, _ := newTestTracker()
	end := tr.Decode("e", 1000, parts(1), 0)
	work, reads := tr.LocalReport()
	if len(work) != 1 || work[0].Streams != 1 || len(reads) != 1 {
		t.Errorf("work %+v, reads %+v", work, reads)
	}
	if _, reads := tr.LocalReport(); len(reads) != 0 {
		t.Errorf("reads reported twice: %+v", reads)
	}
	end()
	if work, _ := tr.LocalReport(); len(work) != 0 {
		t.Errorf("work that has ended: %+v", work)
	}
}

func TestRoleChangeIsReported(t *testing.T) {
	tr, _ := newTestTracker()
	tr.SetRoleChange("e", port.RoleDecode)
	work, _ := tr.LocalReport()
	other, _ := newTestTracker()
	other.Merge("peer", work, nil)
	if other.Load("e", nil).Becomes != port.RoleDecode {
		t.Error("the other daemon doesn't know of the role change")
	}
}

func TestRetainKeepsEnginesWithWork(t *testing.T) {
	tr, _ := newTestTracker()
	end := tr.Decode("busy", 1000, parts(1), 0)
	tr.Decode("idle", 1000, parts(1), 0)()
	tr.Retain(func(uint64) bool { return false })
	if tr.Load("idle", parts(1)).Cached != 0 || tr.Load("busy", parts(1)).Cached != 100 {
		t.Error("the wrong engine was deleted")
	}
	end()
}

// TestAddCachedParts checks that a report of an engine on its cache is used. Without
// it, a restarted daemon would assume that no engine has any prompt cached, and
// refuse requests that could use the caches.
func TestAddCachedParts(t *testing.T) {
	tr, _ := newTestTracker()
	tr.AddCached("e", 10_000, parts(1, 2))
	if got := tr.Load("e", parts(1, 2, 3)).Cached; got != 200 {
		t.Errorf("%d tokens cached, want 200", got)
	}
}

// TestPartsAreReadyAfterPrefill checks that a part counts as cached for later requests
// to the same engine as soon as its prefill is scheduled, but as ready for other
// engines only after it, on this daemon and on others. If it were fetched too
// early, the other engine would have to prefill it again.
func TestPartsAreReadyAfterPrefill(t *testing.T) {
	tr, c := newTestTracker()
	other, oc := newTestTracker()
	check := func(tr *Tracker, cached, ready int) {
		t.Helper()
		if l := tr.Load("e", parts(1, 2)); l.Cached != cached || l.Ready != ready {
			t.Errorf("%d tokens cached, %d ready, want %d and %d", l.Cached, l.Ready, cached, ready)
		}
	}
	done := tr.Prefill("e", 1000, parts(1, 2), 100*time.Millisecond, 200*time.Millisecond)
	check(tr, 200, 0)
	c.t = c.t.Add(50 * time.Millisecond)
	_, reads := tr.LocalReport()
	if len(reads) != 1 || reads[0].LeftMs != 250 {
		t.Errorf("reported %+v", reads)
	}
	fresh := other.Merge("peer", nil, reads)
	check(other, 200, 0)
	oc.t = oc.t.Add(100 * time.Millisecond)
	if updated := fresh[0].At(oc.t); updated.LeftMs != 150 {
		t.Errorf("forwarded with %d ms left", updated.LeftMs)
	}
	oc.t = oc.t.Add(150 * time.Millisecond)
	check(other, 200, 200)
	done()
	check(tr, 200, 200)
}

// Guards against reports that count as fresh although none was received, or whose age
// is that of the newest one.
func TestReportAgeIsTheMean(t *testing.T) {
	tr, c := newTestTracker()
	if got := tr.ReportAge(); got != reportTTL {
		t.Errorf("%v without reports, want %v", got, reportTTL)
	}
	tr.Merge("a", nil, nil)
	c.t = c.t.Add(300 * time.Millisecond)
	tr.Merge("b", nil, nil)
	c.t = c.t.Add(100 * time.Millisecond)
	if got := tr.ReportAge(); got != 250*time.Millisecond {
		t.Errorf("%v for reports of 100 and 400 ms", got)
	}
}
