package roster

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
)

// withLargeFleet runs a test on a fleet of n daemons in the given number of zones, all started
// at once.
func withLargeFleet(t *testing.T, n, zones int, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.zones = zones
		for i := range n {
			f.add(i+1, 1)
		}
		defer f.stop()
		sleep(6 * time.Second)
		test(t, f)
	})
}

func (f *testFleet) stop() {
	for _, r := range f.all {
		_ = r.Stop()
	}
	synctest.Wait()
}

func sleep(d time.Duration) { _ = pause.For(context.Background(), d) }

// expect checks that every daemon except the excluded ones returns the given number of
// addresses.
func (f *testFleet) expect(t *testing.T, want int, what string, except map[int]bool) {
	t.Helper()
	for i, r := range f.all {
		if n := addrs(r); !except[i+1] && n != want {
			t.Errorf("%s: daemon %d names %d addresses, want %d", what, i+1, n, want)
			return
		}
	}
}

// setCut cuts or restores the network of daemons.
func (f *testFleet) setCut(vms map[int]bool, on bool) {
	for vm := range vms {
		f.net.SetUnreachable(peerAddr(vm), on)
	}
}

// cutAndRestore cuts the network of daemons and restores it. After each step all other
// daemons must return the expected number of addresses within the given time.
func (f *testFleet) cutAndRestore(t *testing.T, out map[int]bool, dead, back time.Duration) {
	t.Helper()
	f.setCut(out, true)
	sleep(dead)
	f.expect(t, len(f.all)-len(out), "dead", out)
	f.setCut(out, false)
	sleep(back)
	f.expect(t, len(f.all), "back", nil)
}

// Guards against a datagram rate per daemon that grows with the fleet. When each daemon
// sent to all others, a VM with a fifth of a core that received the datagrams of 294
// others had no CPU time left for requests.
func TestDatagramRateDoesNotGrowWithFleet(t *testing.T) {
	perSecond := map[int]int{}
	for _, n := range []int{60, 300} {
		withLargeFleet(t, n, 5, func(t *testing.T, f *testFleet) {
			f.expect(t, n, fmt.Sprint("fleet of ", n), nil)
			before := f.net.Sent()
			sleep(10 * time.Second)
			perSecond[n] = (f.net.Sent() - before) / 10 / n
		})
	}
	if perSecond[300] > 2*perSecond[60] || perSecond[300] > 60 {
		t.Errorf("datagrams received by a daemon per second, by fleet size: %v", perSecond)
	}
}

// Guards against naming a killed daemon of a large fleet to callers for nine seconds. With
// direct heartbeats to all, the intervals between heartbeats were long, and four of them
// had to be missed.
func TestUnresponsiveDaemonOfLargeFleetIsRemoved(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		out := map[int]bool{40: true}
		f.setCut(out, true)
		sleep(2500 * time.Millisecond)
		f.expect(t, 59, "silent", out)
		f.setCut(out, false)
		sleep(2 * time.Second)
		f.expect(t, 60, "back", out)
		sleep(3 * time.Second)
		f.expect(t, 60, "and knows the others", nil)
	})
}

// If all aggregators of a zone die together, the zone's daemons receive nothing from other
// zones. The next daemons in the order must become aggregators.
func TestAggregatorsThatDieTogetherAreReplaced(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		out := map[int]bool{3: true, 6: true} // the first of the third zone
		f.cutAndRestore(t, out, 6*time.Second, 6*time.Second)
	})
}

// Guards against naming a dead daemon to callers for nine seconds. Its last heartbeats
// reached other zones but not its own zone's aggregator, whose older report of its death
// is then ignored. Later the periodic repetition of its row carries a newer heartbeat than
// the zone's daemons know, and they took it as a sign that the daemon is alive.
func TestStaleRowsDoNotReviveDeadDaemon(t *testing.T) {
	now := time.Now()
	member := Member{VM: "x", PeerAddr: "10.0.0.1:7000", Incarnation: 1, State: Ready}
	roster := func(lastSeen time.Time) (*Roster, *peer) {
		p := &peer{member: member, known: true, seq: 40, lastSeen: lastSeen}
		return &Roster{peers: map[string]*peer{member.PeerAddr: p}, tokens: map[uint32]string{}}, p
	}
	r, p := roster(now.Add(-9 * time.Second))
	r.mergeRow(&row{Member: member, Seq: 50, AgeMs: 9000}, now)
	if p.alive(now, relayedDeadAfter) {
		t.Error("a row that is nine seconds old revives the daemon")
	}
	r.mergeRow(&row{Member: member, Seq: 51, AgeMs: 200}, now)
	if !p.alive(now, relayedDeadAfter) {
		t.Error("a current row doesn't revive the daemon")
	}
	for age, want := range map[time.Duration]bool{0: false, 2 * time.Second: true} {
		r, p := roster(now.Add(-age))
		r.mergeRow(&row{Member: member, Seq: 39, Dead: true}, now)
		if p.dead != want {
			t.Errorf("seen %v ago and reported dead as of an earlier heartbeat: dead %v", age, p.dead)
		}
	}
	_, p = roster(now.Add(-9 * time.Second))
	s := &round{}
	for rotate := range digestsPerRowCycle {
		r := &Roster{agg: aggregation{digestCount: rotate}}
		r.addPeerState(s, p, false, now, true)
	}
	if len(s.memberRows) != 0 {
		t.Errorf("rows repeated for a dead daemon: %+v", s.memberRows)
	}
}

// More than half of all daemons lose power at the same moment.
func TestSimultaneousDeathOfMostDaemons(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		out := map[int]bool{}
		for vm := 1; vm <= 33; vm++ {
			out[vm] = true
		}
		f.cutAndRestore(t, out, 10*time.Second, 8*time.Second)
	})
}

// Guards against callers that open connections to a stopping daemon and lose them.
func TestLeavingDaemonOfLargeFleetIsRemovedAtOnce(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		for _, vm := range []int{3, 50} {
			f.all[vm-1].SetState(Leaving)
			synctest.Wait()
		}
		f.expect(t, 58, "leaving", nil)
	})
}

// Aggregates that were built earlier must not revive a daemon that has announced that it
// leaves.
func TestLeavingDaemonStaysOutUnderLoss(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		f.net.SetLossRate(0.1)
		f.all[49].SetState(Leaving)
		sleep(3 * time.Second)
		for range 20 {
			sleep(100 * time.Millisecond)
			f.expect(t, 59, "leaving", nil)
		}
	})
}

// Lost datagrams must not make live daemons count as dead.
func TestLossDoesNotRemoveDaemons(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		f.net.SetLossRate(0.05)
		for range 100 {
			sleep(100 * time.Millisecond)
			f.expect(t, 60, "one datagram in twenty is lost", nil)
		}
	})
}

// A daemon that joins later or restarts becomes known to all others, and learns of them.
func TestDaemonsThatJoinLater(t *testing.T) {
	withLargeFleet(t, 40, 3, func(t *testing.T, f *testFleet) {
		_ = f.all[2].Stop()
		f.all = append(f.all[:2], f.all[3:]...)
		sleep(time.Second)
		f.add(3, 2)
		f.add(41, 1)
		sleep(2 * time.Second)
		f.expect(t, 41, "later", nil)
	})
}

// Guards against counting a daemon's own prompts twice, once directly and once as part of
// the aggregates. The engines that it uses would look busier to it than to others.
func TestDigestsExcludeReceiversOwnWork(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		parts := []port.PromptPart{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 50}}
		for _, vm := range []int{10, 20, 33, 3} { // several zones; one of them is an aggregator
			defer f.trackers[vm-1].Prefill("e", 10_000, parts, 0, 100*time.Millisecond)()
			defer f.trackers[vm-1].Decode("f", 10_000, parts, 0)()
		}
		sleep(3 * time.Second)
		for i, tracker := range f.trackers {
			if n := tracker.Load("f", nil).Streams; n != 4 {
				t.Errorf("daemon %d counts %d streams, want 4", i+1, n)
			}
			if tracker.Load("e", parts).Cached < 500 {
				t.Errorf("daemon %d doesn't know the cached parts", i+1)
			}
		}
		f.trackers[19].SetRoleChange("g", port.RoleDecode)
		f.trackers[20].MarkDown("h", time.Now().Add(time.Minute))
		f.trackers[21].MarkDown("h", time.Now().Add(time.Minute))
		sleep(2 * time.Second)
		for i, tracker := range f.trackers {
			if tracker.Load("g", nil).Becomes != port.RoleDecode || !tracker.Load("h", nil).Unreachable() {
				t.Errorf("daemon %d: %+v, %+v", i+1, tracker.Load("g", nil), tracker.Load("h", nil))
			}
		}
	})
}

// An isolated aggregator finds all others unresponsive, and must not report that once it
// is reachable again.
func TestIsolatedAggregatorRemovesNoDaemons(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		out := map[int]bool{3: true}
		f.setCut(out, true)
		sleep(5 * time.Second)
		f.expect(t, 59, "cut off", out)
		f.setCut(out, false)
		for range 30 {
			sleep(100 * time.Millisecond)
			for i, r := range f.all {
				if n := addrs(r); n < 59 && i != 2 {
					t.Fatalf("daemon %d names %d addresses after the return of one", i+1, n)
				}
			}
		}
	})
}

// Guards against an isolated aggregator that removes live daemons from the addresses of
// other zones. The heartbeats of its zone stop at slightly different times, and those that
// stopped first look unresponsive while the others still count as responsive. Once
// reachable again it reported these as dead, as of heartbeats newer than those that other
// zones know.
func TestIsolatedAggregatorFindsNobodyUnresponsive(t *testing.T) {
	now := time.Now()
	zone := func(contactAge time.Duration) *Roster {
		r := &Roster{self: Member{Zone: "z"}, peers: map[string]*peer{}}
		r.agg.on, r.agg.since, r.agg.lastContact = true, now.Add(-time.Minute), now.Add(-contactAge)
		for i := range 19 {
			last := unresponsiveAfter - 100*time.Millisecond
			if i < 5 {
				last = unresponsiveAfter + 100*time.Millisecond
			}
			addr := peerAddr(i + 1)
			r.peers[addr] = &peer{member: Member{PeerAddr: addr, Zone: "z"}, known: true, lastHeartbeat: now.Add(-last), lastSeen: now.Add(-last)}
		}
		r.detectUnresponsive(now)
		return r
	}
	for contactAge, want := range map[time.Duration]int{unresponsiveAfter - 100*time.Millisecond: 0, heartbeatInterval: 5} {
		dead := 0
		for _, p := range zone(contactAge).peers {
			if p.dead {
				dead++
			}
		}
		if dead != want {
			t.Errorf("%v after the last datagram of any daemon %d are found unresponsive, want %d", contactAge, dead, want)
		}
	}
}

// Guards against aggregators that also relay the store's records. Their digests saturate
// their links; while a fleet starts their answers are late, and all daemons of the zone
// read the store themselves for seconds.
func TestAggregatorsDoNotRelayStore(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		direct, from := 0, map[string]int{}
		for _, r := range f.all {
			sources := r.Upstream().Peers
			if len(sources) == 0 {
				direct++
				continue
			}
			from[sources[0]]++
			if len(sources) != 2 || sources[0] == sources[1] {
				t.Errorf("reads from %v", sources)
			}
		}
		if direct != 6 || len(from) != 6 {
			t.Errorf("%d daemons read the store, the others from %v", direct, from)
		}
		for vm := 1; vm <= 6; vm++ {
			if from[peerAddr(vm)] != 0 {
				t.Errorf("%d daemons read from aggregator %d", from[peerAddr(vm)], vm)
			}
		}
	})
}

// Guards against daemons that all list and read the store themselves because they start at
// the same time and haven't received a heartbeat yet. They must use the daemons listed in
// the store at once, and stop using those that turn out not to be alive.
func TestStartingDaemonsReadFromThoseThatAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.zones = 3
		for vm := 2; vm <= 60; vm++ {
			value := fmt.Sprintf(`{"addr":%q,"zone":%q}`, peerAddr(vm), f.zone(vm))
			if _, err := f.store.Put(t.Context(), port.TopicDaemons, fmt.Sprintf("vm%03d", vm), []byte(value)); err != nil {
				t.Fatal(err)
			}
		}
		r := f.add(1, 1)
		defer f.stop()
		<-r.ContactsListed()
		if got := r.Upstream().Peers; len(got) != 2 {
			t.Errorf("reads from %v", got)
		}
		sleep(startupPeriod + 100*time.Millisecond)
		if got := r.Upstream().Peers; len(got) != 0 {
			t.Errorf("reads from %v, which never responded", got)
		}
	})
}

// Guards against prefilling prompts again whose parts an engine has cached. When there
// were more reads than fit into a digest, it held the first ones, most of them of a few
// hundred tokens, and both aggregators of a zone sent the same ones.
func TestLargestReadsAreReported(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		const prompts, small, large = 400, 300, 13_000
		part := func(i int) []port.PromptPart {
			tokens := small
			if i%4 == 3 {
				tokens = large
			}
			return []port.PromptPart{{ID: uint64(i + 1), Tokens: tokens}, {ID: uint64(i+1) << 32, Tokens: 50}}
		}
		for i := range prompts {
			defer f.trackers[i%60].Prefill(fmt.Sprint("e", i%20), 1_000_000, part(i), 0, 0)()
		}
		sleep(3 * time.Second)
		for vm, tracker := range f.trackers {
			missing := 0
			for i := range prompts {
				if parts := part(i); parts[0].Tokens == large && tracker.Load(fmt.Sprint("e", i%20), parts).Cached < large {
					missing++
				}
			}
			if missing > 0 {
				t.Errorf("daemon %d doesn't know of %d of %d large parts", vm+1, missing, prompts/4)
				return
			}
		}
	})
}

// Guards against hundreds of daemons that choose by data half a second old. All of them
// choose the engine that was idle then, and prompts queue there while other engines are
// idle.
func TestOwnersKnowQueuesAtOnce(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		ids := []string{"e", "f", "g"}
		ask := func(vm int, want ...time.Duration) {
			t.Helper()
			got := f.all[vm-1].Queues(context.Background(), ids)
			for i := range want {
				if got[i] != want[i] {
					t.Errorf("daemon %d: waits %v, want %v", vm, got, want)
					return
				}
			}
		}
		one := f.trackers[6].Prefill("e", 10_000, nil, 0, 300*time.Millisecond)
		two := f.trackers[41].Prefill("e", 10_000, nil, 0, 300*time.Millisecond)
		defer f.trackers[33].Prefill("f", 10_000, nil, 0, 100*time.Millisecond)()
		synctest.Wait()
		for vm := 1; vm <= 60; vm++ {
			ask(vm, 600*time.Millisecond, 100*time.Millisecond, 0)
		}
		one()
		synctest.Wait()
		ask(20, 300*time.Millisecond, 100*time.Millisecond, 0)
		// Unfinished work is reported again, also to a new owner.
		sleep(5 * time.Second)
		ask(20, 0, 0, 0) // the predicted time has passed
		defer f.trackers[10].Prefill("e", 10_000, nil, 0, 300*time.Millisecond)()
		synctest.Wait()
		ask(20, 300*time.Millisecond)
		two()
	})
}

// An engine's owner dies with its state. Current work must be reported to the next owner,
// and queries must not wait for the dead one beyond the time limit.
func TestOwnerFailover(t *testing.T) {
	withLargeFleet(t, 60, 3, func(t *testing.T, f *testFleet) {
		defer f.trackers[6].Prefill("e", 10_000, nil, 0, time.Hour)()
		synctest.Wait()
		r := f.all[19]
		r.mu.Lock()
		to := r.owner(engines.Hash("e"), time.Now())
		r.mu.Unlock()
		if to == nil {
			t.Fatal("the querying daemon owns the engine")
		}
		f.net.SetUnreachable(to.String(), true)
		begun := time.Now()
		if got := r.Queues(context.Background(), []string{"e"}); got[0] != -1 || time.Since(begun) > queryTimeout {
			t.Errorf("reply of a dead owner: %v after %v", got, time.Since(begun))
		}
		sleep(4 * time.Second)
		if got := r.Queues(context.Background(), []string{"e"}); got[0] <= 0 {
			t.Errorf("reply of the next owner: %v", got)
		}
	})
}

// Guards against work reports that arrive out of order: an engine would look busy with a
// prompt that was prefilled long ago.
func TestOutOfOrderWorkReportsAreIgnored(t *testing.T) {
	r := &Roster{ownership: newOwnership()}
	now := time.Now()
	busy := engines.Work{Target: 7, Prompts: 1, Reading: 500_000}
	r.handleWorkReport(&workReport{Seq: 2, Work: engines.Work{Target: 7}}, "a", now)
	r.handleWorkReport(&workReport{Seq: 1, Work: busy}, "a", now)
	if w := r.ownership.tracker.LoadOf(7, nil).Wait; w != 0 {
		t.Errorf("wait %v", w)
	}
	r.handleWorkReport(&workReport{Seq: 1, Work: busy}, "a", now.Add(2*deadAfter)) // restarted
	if w := r.ownership.tracker.LoadOf(7, nil).Wait; w == 0 {
		t.Error("the report of a restarted daemon is ignored")
	}
}

// Guards against an aggregator with a narrow link, whose own reads starve behind the
// digests that it sends.
func TestDaemonsBehindWideLinksAggregate(t *testing.T) {
	const narrow, wide = 20, 200
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		defer f.stop()
		for vm := 1; vm <= 30; vm++ {
			link := uint32(narrow)
			if vm >= 20 {
				link = wide
			}
			f.addBehind(vm, 1, link)
		}
		sleep(6 * time.Second)
		for i, r := range f.all {
			r.mu.Lock()
			on := r.agg.on
			r.mu.Unlock()
			if want := i+1 == 20 || i+1 == 21; on != want {
				t.Errorf("daemon %d aggregates: %v", i+1, on)
			}
		}
		f.expect(t, len(f.all), "fleet with two kinds of links", nil)
	})
}
