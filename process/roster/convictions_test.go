package roster

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

// crashContent makes three daemons see one crash each of the same content.
func (f *testFleet) crashContent(content quarantine.Fingerprint, vms [3]int) {
	for i, vm := range vms {
		target := fmt.Sprintf("target %x %d", content[:2], i)
		f.crashes[vm].Begin(content, target)
		f.crashes[vm].Hold(target)(quarantine.Certain)
	}
}

// refusing returns the number of daemons that refuse the content.
func (f *testFleet) refusing(content quarantine.Fingerprint) (n int) {
	for _, tracker := range f.crashes {
		if v, _ := tracker.Check(content); v == quarantine.Convicted {
			n++
		}
	}
	return n
}

// stableWindow is the time within which all daemons have to refuse content.
const stableWindow = 3 * time.Second

// Guards against daemons that go on sending content that crashed targets of
// others, in a fleet of any size and with lost datagrams.
func TestAllDaemonsLearnOfCrashes(t *testing.T) {
	for _, size := range []int{2, 8, 60, 295} {
		for _, loss := range []float64{0, 0.05} {
			withLargeFleet(t, size, 3, func(t *testing.T, f *testFleet) {
				f.net.SetLossRate(loss)
				content := quarantine.Fingerprint{1}
				f.crashContent(content, [3]int{0, size / 2, size - 1})
				sleep(stableWindow)
				if n := f.refusing(content); n != size {
					t.Errorf("%d daemons, loss %v: %d refuse the content after %v", size, loss, n, stableWindow)
				}
			})
		}
	}
}

// Guards against daemons that have just started, or were cut off, and send content
// that the others refuse.
func TestDaemonsThatComeLaterLearnOfCrashes(t *testing.T) {
	for _, size := range []int{6, 60} {
		withLargeFleet(t, size, 3, func(t *testing.T, f *testFleet) {
			content := quarantine.Fingerprint{1}
			cut := map[int]bool{4: true, 5: true}
			f.setCut(cut, true)
			f.crashContent(content, [3]int{0, 1, 2})
			sleep(20 * time.Second)
			f.setCut(cut, false)
			f.add(size+1, 1)
			sleep(stableWindow)
			if n := f.refusing(content); n != size+1 {
				t.Errorf("%d of %d daemons refuse the content", n, size+1)
			}
		})
	}
}

// Guards against a daemon that learns of many convictions too slowly after its
// start.
func TestStartingDaemonLearnsOfManyConvictions(t *testing.T) {
	const contents = 200
	for _, size := range []int{3, 40} {
		withLargeFleet(t, size, 3, func(t *testing.T, f *testFleet) {
			for i := range contents {
				f.crashContent(quarantine.Fingerprint{1, byte(i)}, [3]int{0, 1, 2})
			}
			sleep(time.Minute)
			f.add(size+1, 1)
			sleep(stableWindow)
			known := 0
			for i := range contents {
				if v, _ := f.crashes[size].Check(quarantine.Fingerprint{1, byte(i)}); v == quarantine.Convicted {
					known++
				}
			}
			if known != contents {
				t.Errorf("%d daemons: a new one refuses %d of %d contents", size, known, contents)
			}
		})
	}
}

// Guards against datagrams that are fragmented, or that grow with the number of
// suspicions when an availability zone fails.
func TestConvictionsFitIntoDatagrams(t *testing.T) {
	var updates []*peerpb.Conviction
	for i := range 500 {
		updates = append(updates, &peerpb.Conviction{Fingerprint: make([]byte, 16), Crashes: 1, TtlMs: 600_000, Suspect: true, Target: fmt.Sprintf("i-%032d", i)})
	}
	total := 0
	for _, part := range splitConvictions(updates) {
		total += len(part.Convictions)
		if n := 1 + proto.Size(part); n > maxDatagramSize {
			t.Errorf("a datagram has %d bytes", n)
		}
	}
	if total != len(updates) {
		t.Errorf("%d of %d updates are sent", total, len(updates))
	}
}

// Guards against traffic that grows with the square of the fleet when an
// availability zone fails and each daemon has suspicions of its own.
func TestFailureOfAZoneCostsLittleTraffic(t *testing.T) {
	testFailureOfAZone(t, func(tracker *quarantine.CrashTracker, vm, i int, target string) {
		tracker.Begin(quarantine.Fingerprint{byte(vm), byte(i), 1}, target)
	})
}

// testFailureOfAZone measures what a daemon receives while all of them see 40 crashes
// each. begin begins the ith run at a daemon.
func testFailureOfAZone(t *testing.T, begin func(tracker *quarantine.CrashTracker, vm, i int, target string)) {
	const (
		size       = 150
		span       = 5 * time.Second
		narrowLink = 20e6 / 8 // bytes a second
		maxShare   = 0.05
	)
	withLargeFleet(t, size, 3, func(t *testing.T, f *testFleet) {
		before := f.received()
		for vm, tracker := range f.crashes {
			for i := range 40 {
				target := fmt.Sprint("target", (vm+i)%100)
				begin(tracker, vm, i, target)
				tracker.Hold(target)(quarantine.Certain)
			}
		}
		sleep(span)
		most := 0
		for vm, n := range f.received() {
			most = max(most, (n-before[vm])/int(span/time.Second))
		}
		t.Logf("at most %d bytes a second", most)
		if float64(most) > maxShare*narrowLink {
			t.Errorf("a daemon receives %d bytes a second", most)
		}
	})
}

// Guards against daemons that go on sending a part of a prompt that crashed targets of
// others, in requests that are all different, in a fleet of any size and with lost
// datagrams. A part that all these requests share with sound ones stays clear.
func TestAllDaemonsLearnOfCrashingParts(t *testing.T) {
	const crashes = 5
	for _, size := range []int{2, 8, 60, 295} {
		for _, loss := range []float64{0, 0.05} {
			withLargeFleet(t, size, 3, func(t *testing.T, f *testFleet) {
				f.net.SetLossRate(loss)
				head, part := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}
				for i := range crashes {
					vm := i * (size - 1) / (crashes - 1)
					f.answer(head, (vm+1)%size, i)
					target := fmt.Sprint("target ", i)
					content := quarantine.Content{Service: "llm", Request: quarantine.Fingerprint{3, byte(i)}, Parts: []quarantine.Fingerprint{head, part}}
					run := f.crashes[vm].BeginRun(content, target)
					sleep(100 * time.Millisecond)
					confirm := f.crashes[vm].Hold(target)
					run.Broken()
					confirm(quarantine.Certain)
					sleep(50 * time.Millisecond)
				}
				f.answer(head, 0, crashes)
				sleep(stableWindow)
				convicted, sound := 0, 0
				for i, tracker := range f.crashes {
					next := quarantine.Content{Request: quarantine.Fingerprint{4, byte(i)}, Parts: []quarantine.Fingerprint{head, part}}
					if r := tracker.CheckContent(next); r.Verdict == quarantine.Convicted && r.Fingerprint == part {
						convicted++
					}
					next.Parts = next.Parts[:1]
					if tracker.CheckContent(next).Verdict != quarantine.Convicted {
						sound++
					}
				}
				if convicted != size || sound != size {
					t.Errorf("%d daemons, loss %v: %d refuse the part after %v, %d send sound requests", size, loss, convicted, stableWindow, sound)
				}
			})
		}
	}
}

// answer has a sound request with a part answered at a daemon.
func (f *testFleet) answer(part quarantine.Fingerprint, vm, n int) {
	content := quarantine.Content{Service: "llm", Request: quarantine.Fingerprint{5, byte(vm), byte(n)}, Parts: []quarantine.Fingerprint{part}}
	run := f.crashes[vm].BeginRun(content, "another target")
	run.Wrote()
	run.End()
}

// Guards against traffic that grows with the parts of prompts when an availability
// zone fails, with 40 streams of each daemon.
func TestFailureOfAZoneWithPartsCostsLittleTraffic(t *testing.T) {
	testFailureOfAZone(t, func(tracker *quarantine.CrashTracker, vm, i int, target string) {
		content := quarantine.Content{Service: "llm", Request: quarantine.Fingerprint{byte(vm), byte(i), 1}}
		for part := range 4 {
			content.Parts = append(content.Parts, quarantine.Fingerprint{byte(i >> part), byte(part), 2})
		}
		tracker.BeginRun(content, target)
	})
}
