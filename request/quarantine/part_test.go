package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// partFleet is two processes that exchange all updates at once.
type partFleet struct {
	t        *testing.T
	trackers [2]*CrashTracker
	runs     int
}

func withPartFleet(t *testing.T, test func(f *partFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &partFleet{t: t}
		for i := range f.trackers {
			f.trackers[i] = New(Options{Self: fmt.Sprint(i), ToleratedCrashes: 2})
		}
		test(f)
	})
}

func (f *partFleet) exchange() {
	for i, tr := range f.trackers {
		if updates := tr.Pending(); len(updates) > 0 {
			f.trackers[1-i].Incoming(updates)
		}
	}
}

// content returns a request that nobody else sends, with parts.
func (f *partFleet) content(parts ...Fingerprint) Content {
	f.runs++
	return Content{Service: "llm", Request: contentNumber(uint64(1000 + f.runs)), Parts: parts}
}

// crash has requests with the parts end a target that process i sent them to.
func (f *partFleet) crash(i int, e Evidence, parts ...Fingerprint) {
	c := f.content(parts...)
	target := fmt.Sprint("target ", f.runs)
	r := f.trackers[i].BeginRun(c, target)
	r.Accepted()
	time.Sleep(50 * time.Millisecond)
	confirm := f.trackers[i].Hold(target)
	r.Broken()
	confirm(e)
	f.exchange()
	time.Sleep(150 * time.Millisecond)
}

func (f *partFleet) answer(i int, parts ...Fingerprint) {
	r := f.trackers[i].BeginRun(f.content(parts...), "sound target")
	time.Sleep(10 * time.Millisecond)
	r.Wrote()
	r.End()
	f.exchange()
}

// refuses reports whether both processes refuse requests with these parts.
func (f *partFleet) refuses(parts ...Fingerprint) bool {
	n := 0
	for _, tr := range f.trackers {
		tr.CheckContent(f.content(parts...)) // begins to wait for an answer
	}
	time.Sleep(2 * answerDelay)
	for _, tr := range f.trackers {
		if tr.CheckContent(f.content(parts...)).Verdict == Convicted {
			n++
		}
		f.exchange()
	}
	if n == 1 {
		f.t.Error("one of two processes refuses a part")
	}
	return n > 0
}

var headPart, badPart, otherPart = contentNumber(1), contentNumber(2), contentNumber(3)

// Guards against parts that are blamed for the crashes of others, and against the
// cause that isn't found among them.
func TestPartThatExplainsTheCrashes(t *testing.T) {
	cases := []struct {
		name  string
		crash [][]Fingerprint // parts of the requests that crash targets, at alternate processes
		sound [][]Fingerprint // parts of the requests that are answered between them
		want  Fingerprint     // the only part that is refused
	}{
		{"second part", [][]Fingerprint{{headPart, badPart}, {headPart, badPart}, {headPart, badPart}}, [][]Fingerprint{{headPart}, {headPart, otherPart}}, badPart},
		{"third part", [][]Fingerprint{{headPart, contentNumber(11), badPart}, {headPart, contentNumber(12), badPart}, {headPart, contentNumber(13), badPart}}, [][]Fingerprint{{headPart}, {headPart, otherPart}}, badPart},
		{"first part", [][]Fingerprint{{badPart, otherPart}, {badPart, contentNumber(11)}, {badPart, otherPart}}, [][]Fingerprint{{headPart, otherPart}, {headPart}}, badPart},
		{"no answers meanwhile", [][]Fingerprint{{headPart, badPart}, {headPart, badPart}, {headPart, badPart}, {headPart, badPart}, {headPart, badPart}}, nil, badPart},
		{"two crashes", [][]Fingerprint{{headPart, badPart}, {headPart, badPart}}, [][]Fingerprint{{headPart}, {headPart, otherPart}}, Fingerprint{}},
		{"a rare part", [][]Fingerprint{{headPart, otherPart}, {headPart, contentNumber(11)}, {headPart, contentNumber(12)}}, [][]Fingerprint{{headPart}, {headPart}}, Fingerprint{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withPartFleet(t, func(f *partFleet) {
				for i, parts := range tc.crash {
					f.crash(i%2, Certain, parts...)
					for _, sound := range tc.sound {
						f.answer((i+1)%2, sound...)
					}
				}
				for _, part := range []Fingerprint{headPart, badPart, otherPart, contentNumber(11)} {
					if got := f.refuses(part); got != (part == tc.want && part != Fingerprint{}) {
						t.Errorf("part %s refused: %v", part, got)
					}
				}
			})
		})
	}
}

// Guards against parts of targets that end together, however many and of whatever
// daemons.
func TestEndOfManyTargetsConvictsNoPart(t *testing.T) {
	withPartFleet(t, func(f *partFleet) {
		var confirms []func(Evidence)
		for n := range 12 {
			tr, target := f.trackers[n%2], fmt.Sprint("t", n)
			tr.BeginRun(f.content(headPart, badPart), target).Accepted()
			time.Sleep(10 * time.Millisecond)
			confirms = append(confirms, tr.Hold(target))
		}
		for n, confirm := range confirms {
			time.Sleep(100 * time.Millisecond) // some are noticed later
			confirm(Evidence(n % 3))
			f.exchange()
		}
		if f.refuses(headPart) || f.refuses(badPart) {
			t.Error("a part is refused")
		}
	})
}

// Guards against a first event that clears the part which crashes the target right
// after it.
func TestFirstEventBeforeTheCrashClearsNothing(t *testing.T) {
	withPartFleet(t, func(f *partFleet) {
		for n := range 6 {
			target := fmt.Sprint("t", n)
			r := f.trackers[0].BeginRun(f.content(badPart), target)
			r.Accepted()
			r.Wrote()
			time.Sleep(40 * time.Millisecond)
			confirm := f.trackers[0].Hold(target)
			r.Broken()
			confirm(Certain)
			f.exchange()
			time.Sleep(200 * time.Millisecond)
		}
		if !f.refuses(badPart) {
			t.Error("the part isn't refused")
		}
	})
}

// Guards against a part that stays refused after the targets' software is repaired, and
// against one that costs a target each time its conviction ends.
func TestReleasedPart(t *testing.T) {
	for _, repaired := range []bool{false, true} {
		withPartFleet(t, func(f *partFleet) {
			for range 5 {
				f.crash(0, Certain, badPart)
			}
			if !f.refuses(badPart) {
				t.Fatal("the part isn't refused")
			}
			tries := 0
			for range 48 {
				time.Sleep(5 * time.Minute)
				if f.trackers[0].CheckContent(f.content(badPart)).Verdict == Convicted {
					continue
				}
				if tries++; repaired {
					f.answer(0, badPart)
					continue
				}
				f.crash(0, Certain, badPart)
			}
			if !repaired && (tries > maxPartTries || !f.refuses(badPart)) {
				t.Errorf("%d tries", tries)
			}
			if repaired && f.refuses(badPart) {
				t.Error("the part is still refused")
			}
		})
	}
}

// Guards against a part that stays clear because the part that seemed to explain its
// crashes was found to be answered only after the last of them was reported.
func TestAnswerAfterTheLastCrash(t *testing.T) {
	withPartFleet(t, func(f *partFleet) {
		head, part := headPart, badPart
		observer, late := f.trackers[0], New(Options{Self: "late", ToleratedCrashes: 2})
		for range uncontrolledCrashes {
			f.crash(0, Certain, head, part)
		}
		about := func(fp Fingerprint) (out []*peerpb.Conviction) {
			for _, u := range observer.Outgoing() {
				if parseFingerprint(u.Fingerprint) == fp {
					out = append(out, u)
				}
			}
			return out
		}
		late.Incoming(about(head))
		late.Incoming(about(part))
		f.answer(0, head)
		late.Incoming(about(head))
		time.Sleep(answerDelay)
		if r := late.CheckContent(f.content(head, part)); r.Verdict != Convicted || r.Fingerprint != part {
			t.Errorf("the verdict is %v on %v", r.Verdict, r.Fingerprint)
		}
		if r := late.CheckContent(f.content(head)); r.Verdict == Convicted {
			t.Errorf("the answered part is convicted")
		}
	})
}

// Guards against an organisation that has another one's parts refused, and against
// parts that are taken for requests.
func TestPartFingerprint(t *testing.T) {
	a, b, c := Part{Caller: "a", Service: "s", ID: 1}, Part{Caller: "b", Service: "s", ID: 1}, Part{Caller: "a", Service: "t", ID: 1}
	if a.Fingerprint() == b.Fingerprint() || a.Fingerprint() == c.Fingerprint() {
		t.Error("parts of otherPart organisations or services are the same")
	}
}

// Guards against updates of peers that state impossible values.
func TestPartUpdatesAreBounded(t *testing.T) {
	tr := New(Options{ToleratedCrashes: 2})
	tr.Incoming([]*peerpb.Conviction{{Fingerprint: badPart[:], Suspect: true, Crashes: 1, TtlMs: 1 << 62, RunMs: -5, Part: 1 << 31, Target: "t"}})
	if c := tr.contents[badPart]; c == nil || c.part > maxPart || c.crashes[0].began.After(c.crashes[0].at) {
		t.Errorf("content %+v", c)
	}
}
