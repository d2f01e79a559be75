package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// maxTestBytes is the size of a save.
const maxTestBytes = 100_000

// loseAll replaces all processes at once, after each has saved its state. The first new
// one restores what was saved the given time ago.
func (f *tolerantFleet) loseAll(age time.Duration) {
	f.t.Helper()
	var records [][]byte
	for i, tr := range f.trackers {
		data, err := tr.Unsaved(true, maxTestBytes)
		if err != nil {
			f.t.Fatal(err)
		}
		records = append(records, data)
		f.restart(i)
	}
	for _, data := range records {
		if _, err := f.trackers[0].Restore(data, age, true); err != nil {
			f.t.Fatal(err)
		}
	}
	f.exchange(2 * time.Second)
}

// verdicts returns the number of processes that refuse the content.
func (f *tolerantFleet) refusing(fp Fingerprint) (n int) {
	for _, tr := range f.trackers {
		if v, _ := tr.Check(fp); v == Convicted {
			n++
		}
	}
	return n
}

// Guards against content that crashes as many targets again after each loss of all
// processes, once it is convicted and before.
func TestCrashesOutliveAllProcesses(t *testing.T) {
	fp := contentNumber(1)
	cases := []struct {
		name                string
		before, after       int // crashes
		evidence            Evidence
		age                 time.Duration
		refused, thenRefuse int
	}{
		{"convicted", 3, 0, Certain, time.Second, 3, 3},
		{"convicted, silent targets", 3, 0, Presumed, time.Second, 3, 3},
		{"counted", 2, 1, Certain, time.Second, 0, 3},
		{"counted once", 1, 2, Certain, time.Second, 0, 3},
		{"counted long ago", 2, 1, Certain, 5 * time.Minute, 0, 3},
		{"expired conviction", 3, 0, Certain, 2 * time.Hour, 0, 0},
		{"expired crashes", 2, 1, Certain, 2 * time.Hour, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withTolerantFleet(t, 3, func(t *testing.T, f *tolerantFleet) {
				n := 0
				crash := func(count int) {
					for range count {
						f.crashWith(n%3, fmt.Sprint("target-", n), tc.evidence, fp)
						f.exchange(time.Second)
						n++
					}
				}
				crash(tc.before)
				f.loseAll(tc.age)
				if got := f.refusing(fp); got != tc.refused {
					t.Errorf("%d processes refuse the content after the loss, want %d", got, tc.refused)
				}
				crash(tc.after)
				if got := f.refusing(fp); got != tc.thenRefuse {
					t.Errorf("%d processes refuse the content at the end, want %d", got, tc.thenRefuse)
				}
			})
		})
	}
}

// crashWith lets a process see the crash of a target that accepted and ran the content.
func (f *tolerantFleet) crashWith(i int, target string, e Evidence, fp Fingerprint) {
	run := f.trackers[i].BeginRun(Content{Service: "s", Request: fp}, target)
	run.Accepted()
	run.Broken()
	if confirm := f.trackers[i].Hold(target); confirm != nil {
		confirm(e)
	}
}

// Guards against parts of prompts that crash targets again after the loss of all
// processes.
func TestConvictedPartsOutliveAllProcesses(t *testing.T) {
	withTolerantFleet(t, 3, func(t *testing.T, f *tolerantFleet) {
		part := contentNumber(50)
		for n := range 6 {
			for i, tr := range f.trackers { // other prompts are answered meanwhile
				control := tr.BeginRun(Content{Service: "s", Request: contentNumber(uint64(1000 + 10*n + i)), Parts: []Fingerprint{contentNumber(uint64(2000 + 10*n + i))}}, "alive")
				control.Accepted()
				control.Wrote()
				control.End()
			}
			tr, target := f.trackers[n%3], fmt.Sprint("target-", n)
			run := tr.BeginRun(Content{Service: "s", Request: contentNumber(uint64(100 + n)), Parts: []Fingerprint{part}}, target)
			run.Accepted()
			run.Broken()
			if confirm := tr.Hold(target); confirm != nil {
				confirm(Certain)
			}
			f.exchange(time.Second)
		}
		request := Content{Service: "s", Request: contentNumber(999), Parts: []Fingerprint{part}}
		for _, when := range []string{"before", "after"} {
			for i, tr := range f.trackers {
				if r := tr.CheckContent(request); r.Verdict != Convicted || r.Part != 1 {
					t.Errorf("process %d %s the loss: %+v", i, when, r)
				}
			}
			f.loseAll(time.Second)
		}
	})
}

// Guards against harmless content that is refused for records of crashes: it was
// answered after them, or they are old and lie with several processes.
func TestOldRecordsDontConvict(t *testing.T) {
	fp := contentNumber(1)
	t.Run("answered", func(t *testing.T) {
		withTolerantFleet(t, 3, func(t *testing.T, f *tolerantFleet) {
			for n := range 3 {
				f.crash(n, fmt.Sprint("target-", n), fp)
			}
			f.answer(1, fp)
			f.exchange(time.Second)
			f.loseAll(time.Second)
			if n := f.refusing(fp); n != 0 {
				t.Errorf("%d processes refuse it", n)
			}
		})
	})
	t.Run("old", func(t *testing.T) {
		withTolerantFleet(t, 3, func(t *testing.T, f *tolerantFleet) {
			f.cut = map[int]bool{0: true, 1: true, 2: true}
			for n := range 3 {
				f.crash(n, fmt.Sprint("target-", n), fp)
				<-time.After(time.Second)
			}
			f.cut = nil
			f.loseAll(5 * time.Minute)
			if n := f.refusing(fp); n != 0 {
				t.Errorf("%d processes refuse it", n)
			}
		})
	})
	t.Run("cleared while others live", func(t *testing.T) {
		withTolerantFleet(t, 3, func(t *testing.T, f *tolerantFleet) {
			for n := range 3 {
				f.crash(n, fmt.Sprint("target-", n), fp)
				f.exchange(time.Second)
			}
			stale, err := f.trackers[0].Unsaved(true, maxTestBytes)
			if err != nil || f.refusing(fp) != 3 {
				t.Fatalf("%v, %d processes refuse it", err, f.refusing(fp))
			}
			f.restart(0)
			f.answer(1, fp)
			f.exchange(time.Second)
			if adopted, err := f.trackers[1].Restore(stale, time.Second, false); !adopted || err != nil {
				t.Errorf("adopted %v, %v", adopted, err)
			}
			f.exchange(time.Second)
			if n := f.refusing(fp); n != 0 {
				t.Errorf("%d processes refuse it", n)
			}
		})
	})
}

// Guards against a write for each report of a crash, and for requests that crash nothing.
func TestCrashesCostFewSaves(t *testing.T) {
	withTolerantFleet(t, 3, func(t *testing.T, f *tolerantFleet) {
		saves := make([]int, 3)
		save := func() {
			for i, tr := range f.trackers {
				if data, err := tr.Unsaved(false, maxTestBytes); err != nil || data != nil {
					saves[i]++
				}
			}
		}
		for n := range uint64(100) {
			f.answer(int(n)%3, contentNumber(n))
			save()
		}
		if fmt.Sprint(saves) != "[0 0 0]" {
			t.Errorf("%v saves without a crash", saves)
		}
		f.crash(0, "target-1", contentNumber(1), contentNumber(2), contentNumber(3))
		for range 20 {
			f.exchange(time.Second)
			save()
		}
		if fmt.Sprint(saves) != "[1 0 0]" {
			t.Errorf("%v saves for a crash that one process saw", saves)
		}
	})
}

// Guards against a caller that fills the store with bodies that crash targets, and so
// has the conviction of other content forgotten.
func TestSavedCrashesAreBounded(t *testing.T) {
	withTolerantFleet(t, 1, func(t *testing.T, f *tolerantFleet) {
		convicted := contentNumber(1)
		for n := range 3 {
			f.crash(0, fmt.Sprint("target-", n), convicted)
			<-time.After(time.Second)
		}
		for n := range uint64(3000) {
			f.crash(0, fmt.Sprint("other-", n), contentNumber(100+n))
		}
		const maxBytes = 20_000
		data, err := f.trackers[0].Unsaved(false, maxBytes)
		if err != nil || len(data) > maxBytes || len(data) < maxBytes/2 {
			t.Fatalf("%d bytes, %v", len(data), err)
		}
		f.restart(0)
		if _, err := f.trackers[0].Restore(data, time.Second, true); err != nil || f.refusing(convicted) != 1 {
			t.Errorf("%v, %d processes refuse the convicted content", err, f.refusing(convicted))
		}
	})
}

// Guards against the loss of what a dead process has saved, when the process that leads
// removes its record while others know the content.
func TestAdoptedContentIsSaved(t *testing.T) {
	withTolerantFleet(t, 2, func(t *testing.T, f *tolerantFleet) {
		fp := contentNumber(1)
		for n := range 3 {
			f.crash(0, fmt.Sprint("target-", n), fp)
			f.exchange(time.Second)
		}
		record, err := f.trackers[0].Unsaved(false, maxTestBytes)
		if err != nil {
			t.Fatal(err)
		}
		if own, _ := f.trackers[1].Unsaved(false, maxTestBytes); own != nil {
			t.Error("a process saves what it only heard of")
		}
		if _, err := f.trackers[1].Restore(record, time.Second, false); err != nil {
			t.Fatal(err)
		}
		f.loseAll(time.Second)
		if n := f.refusing(fp); n != 2 {
			t.Errorf("%d processes refuse it", n)
		}
	})
}

// Guards against a record of another writer that ends the process.
func TestRecordThatCannotBeDecoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New(Options{ToleratedCrashes: 2})
		if _, err := tr.Restore([]byte("nonsense"), time.Second, true); err == nil || tr.Expired([]byte("nonsense"), time.Hour) {
			t.Errorf("%v", err)
		}
	})
}

// Guards against a conviction that is saved for good though its content was cleared, and
// against one that lasts longer after a restore.
func TestSavedStateFollowsTheContents(t *testing.T) {
	withTolerantFleet(t, 1, func(t *testing.T, f *tolerantFleet) {
		fp := contentNumber(1)
		for n := range 3 {
			f.crash(0, fmt.Sprint("target-", n), fp)
			f.exchange(time.Second)
		}
		convictions := f.trackers[0].contents[fp].convictions
		_, before := f.trackers[0].Check(fp)
		f.loseAll(0)
		c := f.trackers[0].contents[fp]
		if _, after := f.trackers[0].Check(fp); c == nil || c.convictions != convictions || after > before {
			t.Errorf("refused for %v, was %v; %+v", after, before, c)
		}
		f.answer(0, fp)
		data, err := f.trackers[0].Unsaved(false, maxTestBytes)
		if err != nil || data == nil || !f.trackers[0].Expired(data, 0) {
			t.Errorf("%d bytes are saved of cleared content, %v", len(data), err)
		}
	})
}

// Guards against content that runs as if it had crashed no target after the loss of all
// processes, and against harmless content that is suspect then, where suspect content
// runs alone.
func TestCrashesOfContentThatRunsAloneOutliveAllProcesses(t *testing.T) {
	fp := contentNumber(1)
	const (
		second = time.Second
		after  = defaultConviction + time.Minute // the end of the first conviction
	)
	cases := []struct {
		name          string
		before        int // crashes
		cleared       bool
		age           time.Duration
		want, wantOne Verdict // after the loss, and after one more crash
	}{
		{"one crash", 1, false, second, Suspect, Convicted},
		{"two crashes", 2, false, second, Convicted, Convicted},
		{"two crashes, conviction expired", 2, false, after, Suspect, Convicted},
		{"two crashes, expired", 2, false, time.Hour, Clear, Suspect},
		{"one crash, answered since", 1, true, second, Clear, Suspect},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := 0
				crash := func(tr *CrashTracker) {
					n++
					target := fmt.Sprint("target-", n)
					tr.Begin(fp, target)
					tr.Crashed(target)
					time.Sleep(time.Minute)
				}
				lost := New(Options{Self: "lost"})
				for range tc.before {
					crash(lost)
				}
				if tc.cleared {
					if data, err := lost.Unsaved(false, maxTestBytes); err != nil || data == nil {
						t.Fatalf("%d bytes to save, %v", len(data), err)
					}
					release, ok := lost.Claim(t.Context(), fp)
					if !ok {
						t.Fatal("the content may not run alone")
					}
					release(true)
					time.Sleep(2 * settleTime)
					lost.Check(fp)
				}
				data, err := lost.Unsaved(false, maxTestBytes)
				if err != nil || data == nil {
					t.Fatalf("%d bytes to save, %v", len(data), err)
				}
				tr := New(Options{Self: "new"})
				if _, err := tr.Restore(data, tc.age, true); err != nil {
					t.Fatal(err)
				}
				if got, _ := tr.Check(fp); got != tc.want {
					t.Errorf("verdict %v after the loss, want %v", got, tc.want)
				}
				crash(tr)
				if got, _ := tr.Check(fp); got != tc.wantOne {
					t.Errorf("verdict %v after another crash, want %v", got, tc.wantOne)
				}
			})
		})
	}
}
