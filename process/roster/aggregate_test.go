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

// withLarge runs a test on a fleet of n daemons in zones, all started at once.
func withLarge(t *testing.T, n, zones int, test func(t *testing.T, d *daemons)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons()
		d.zones = zones
		for i := range n {
			d.add(i+1, 1)
		}
		defer d.stop()
		rest(6 * time.Second)
		test(t, d)
	})
}

func (d *daemons) stop() {
	for _, r := range d.all {
		_ = r.Stop()
	}
	synctest.Wait()
}

func rest(d time.Duration) { _ = pause.For(context.Background(), d) }

// expect checks that every daemon but those that are left out names so many
// addresses.
func (d *daemons) expect(t *testing.T, want int, what string, but map[int]bool) {
	t.Helper()
	for i, r := range d.all {
		if n := addrs(r); !but[i+1] && n != want {
			t.Errorf("%s: daemon %d names %d addresses, want %d", what, i+1, n, want)
			return
		}
	}
}

// cut silences daemons.
func (d *daemons) cut(vms map[int]bool, on bool) {
	for vm := range vms {
		d.w.SetCut(peerAddr(vm), on)
	}
}

// dieAndReturn silences daemons, and lets them be heard again: all others must
// name neither too many nor too few within these times.
func (d *daemons) dieAndReturn(t *testing.T, out map[int]bool, dead, back time.Duration) {
	t.Helper()
	d.cut(out, true)
	rest(dead)
	d.expect(t, len(d.all)-len(out), "dead", out)
	d.cut(out, false)
	rest(back)
	d.expect(t, len(d.all), "back", nil)
}

// A VM with a fifth of a core takes the datagrams of 294 others, and has no
// time left for requests: each told all others what it does.
func TestWhatADaemonTakesDoesNotGrowWithTheFleet(t *testing.T) {
	perSecond := map[int]int{}
	for _, n := range []int{60, 300} {
		withLarge(t, n, 5, func(t *testing.T, d *daemons) {
			d.expect(t, n, fmt.Sprint("fleet of ", n), nil)
			before := d.w.Sent()
			rest(10 * time.Second)
			perSecond[n] = (d.w.Sent() - before) / 10 / n
		})
	}
	if perSecond[300] > 2*perSecond[60] || perSecond[300] > 60 {
		t.Errorf("datagrams that a daemon takes in a second, by fleet: %v", perSecond)
	}
}

// Callers are sent to a daemon of a large fleet that was killed, for nine
// seconds: that many datagrams make their pause long, and four of them had to
// be missing.
func TestSilentDaemonOfALargeFleetIsOutSoon(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		out := map[int]bool{40: true}
		d.cut(out, true)
		rest(2500 * time.Millisecond)
		d.expect(t, 59, "silent", out)
		d.cut(out, false)
		rest(2 * time.Second)
		d.expect(t, 60, "back", out)
		rest(3 * time.Second)
		d.expect(t, 60, "and knows the others", nil)
	})
}

// A zone's aggregators die together, and the zone's daemons hear nothing
// of any other: the next ones by name take it over.
func TestAggregatorsThatDieTogetherAreReplaced(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		out := map[int]bool{3: true, 6: true} // the first of the third zone
		d.dieAndReturn(t, out, 6*time.Second, 6*time.Second)
	})
}

// Callers are sent to a daemon that has been off for nine seconds. Its last words
// reached other zones and not the aggregator of its own, whose word that it is
// silent is older then and isn't taken. It is forgotten by its silence, until its
// row is sent again by turns, with a newer heartbeat than the zone's daemons know,
// who only hear that it lives: they took it for news of its life.
func TestRowsOfADeadDaemonAreNoNewsOfItsLife(t *testing.T) {
	now := time.Now()
	member := Member{VM: "x", PeerAddr: "10.0.0.1:7000", Incarnation: 1, State: Ready}
	roster := func(heard time.Time) (*Roster, *peer) {
		p := &peer{member: member, known: true, seq: 40, lastSeen: heard}
		return &Roster{peers: map[string]*peer{member.PeerAddr: p}, tokens: map[uint32]string{}}, p
	}
	r, p := roster(now.Add(-9 * time.Second))
	r.mergeRow(&row{Member: member, Seq: 50, AgeMs: 9000}, now)
	if p.alive(now, relayedDeadAfter) {
		t.Error("a row that is nine seconds old brings it back")
	}
	r.mergeRow(&row{Member: member, Seq: 51, AgeMs: 200}, now)
	if !p.alive(now, relayedDeadAfter) {
		t.Error("a row of now doesn't bring it back")
	}
	for heard, want := range map[time.Duration]bool{0: false, 2 * time.Second: true} {
		r, p := roster(now.Add(-heard))
		r.mergeRow(&row{Member: member, Seq: 39, Dead: true}, now)
		if p.dead != want {
			t.Errorf("heard %v ago, and said to be silent since an earlier beat: gone %v", heard, p.dead)
		}
	}
	_, p = roster(now.Add(-9 * time.Second))
	s := &round{}
	for rotate := range rowRounds {
		r := &Roster{agg: aggregation{rotate: rotate}}
		r.describe(s, p, false, now, true)
	}
	if len(s.memberRows) != 0 {
		t.Errorf("rows told of it by turns: %+v", s.memberRows)
	}
}

// More than half of all daemons lose power at the same moment.
func TestHerdThatDies(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		out := map[int]bool{}
		for vm := 1; vm <= 33; vm++ {
			out[vm] = true
		}
		d.dieAndReturn(t, out, 10*time.Second, 8*time.Second)
	})
}

// Callers open connections to a daemon that is stopping, and lose them.
func TestLeavingDaemonOfALargeFleetIsOutAtOnce(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		for _, vm := range []int{3, 50} {
			d.all[vm-1].SetState(Leaving)
			synctest.Wait()
		}
		d.expect(t, 58, "leaving", nil)
	})
}

// A daemon that says it leaves must not be brought back by aggregates made before.
func TestLeavingDaemonStaysOutUnderLoss(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		d.w.SetLoss(0.1)
		d.all[49].SetState(Leaving)
		rest(3 * time.Second)
		for range 20 {
			rest(100 * time.Millisecond)
			d.expect(t, 59, "leaving", nil)
		}
	})
}

// Links lose datagrams: daemons that live must not be taken for dead.
func TestLossDoesNotTakeDaemonsOut(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		d.w.SetLoss(0.05)
		for range 100 {
			rest(100 * time.Millisecond)
			d.expect(t, 60, "one datagram in twenty is lost", nil)
		}
	})
}

// A daemon that comes later, or again, is known to all and knows all.
func TestDaemonsThatComeLater(t *testing.T) {
	withLarge(t, 40, 3, func(t *testing.T, d *daemons) {
		_ = d.all[2].Stop()
		d.all = append(d.all[:2], d.all[3:]...)
		rest(time.Second)
		d.add(3, 2)
		d.add(41, 1)
		rest(2 * time.Second)
		d.expect(t, 41, "later", nil)
	})
}

// A daemon counts the prompts that it sent twice, as its own and as a part of
// the sum: the engine that it uses looks busier to it than to all others.
func TestSumsLeaveOutWhatTheReceiverTold(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		parts := []port.PromptPart{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 50}}
		for _, vm := range []int{10, 20, 33, 3} { // of several zones, one aggregates up
			defer d.books[vm-1].Prefill("e", 10_000, parts, 0, 100*time.Millisecond)()
			defer d.books[vm-1].Decode("f", 10_000, parts, 0)()
		}
		rest(3 * time.Second)
		for i, b := range d.books {
			if n := b.Load("f", nil).Streams; n != 4 {
				t.Errorf("daemon %d counts %d streams, want 4", i+1, n)
			}
			if b.Load("e", parts).Cached < 500 {
				t.Errorf("daemon %d doesn't know what was read", i+1)
			}
		}
		d.books[19].SetRoleChange("g", port.RoleDecode)
		d.books[20].MarkDown("h", time.Now().Add(time.Minute))
		d.books[21].MarkDown("h", time.Now().Add(time.Minute))
		rest(2 * time.Second)
		for i, b := range d.books {
			if b.Load("g", nil).Becomes != port.RoleDecode || !b.Load("h", nil).Unreachable() {
				t.Errorf("daemon %d: %+v, %+v", i+1, b.Load("g", nil), b.Load("h", nil))
			}
		}
	})
}

// A daemon that nobody hears finds all others silent, and says so to those
// that hear it.
func TestCutOffAggregatorTakesNobodyOut(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		out := map[int]bool{3: true}
		d.cut(out, true)
		rest(5 * time.Second)
		d.expect(t, 59, "cut off", out)
		d.cut(out, false)
		for range 30 {
			rest(100 * time.Millisecond)
			for i, r := range d.all {
				if n := addrs(r); n < 59 && i != 2 {
					t.Fatalf("daemon %d names %d addresses after the return of one", i+1, n)
				}
			}
		}
	})
}

// Callers of other zones lose five daemons that live. An aggregator is cut off;
// the heartbeats of its zone stop at slightly different times, and those that stopped
// first are silent while the others still count as telling. It says so once it
// is back, of heartbeats that are newer than those which other zones know.
func TestAggregatorThatHearsNobodyFindsNobodySilent(t *testing.T) {
	now := time.Now()
	zone := func(heardAny time.Duration) *Roster {
		r := &Roster{self: Member{Zone: "z"}, peers: map[string]*peer{}}
		r.agg.on, r.agg.since, r.agg.lastContact = true, now.Add(-time.Minute), now.Add(-heardAny)
		for i := range 19 {
			last := unresponsiveAfter - 100*time.Millisecond
			if i < 5 {
				last = unresponsiveAfter + 100*time.Millisecond
			}
			addr := peerAddr(i + 1)
			r.peers[addr] = &peer{member: Member{PeerAddr: addr, Zone: "z"}, known: true, heartbeat: now.Add(-last), lastSeen: now.Add(-last)}
		}
		r.detectUnresponsive(now)
		return r
	}
	for heardAny, want := range map[time.Duration]int{unresponsiveAfter - 100*time.Millisecond: 0, heartbeatInterval: 5} {
		dead := 0
		for _, p := range zone(heardAny).peers {
			if p.dead {
				dead++
			}
		}
		if dead != want {
			t.Errorf("%v after the last datagram of any daemon %d are found silent, want %d", heardAny, dead, want)
		}
	}
}

// A zone's daemons read from two others. While a fleet starts their answers
// come late, and all read the store themselves for seconds: the two aggregators
// read the store, too, and tell the zone so much that their links are full.
func TestAggregatorsReadForNobody(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		direct, from := 0, map[string]int{}
		for _, r := range d.all {
			readers := r.Upstream().Peers
			if len(readers) == 0 {
				direct++
				continue
			}
			from[readers[0]]++
			if len(readers) != 2 || readers[0] == readers[1] {
				t.Errorf("it asks %v", readers)
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

// All daemons start again at the same moment, and each lists and reads the store
// for itself, since it has heard of no other yet. Those that the store names are
// asked at once, and not for long if they don't live.
func TestStartingDaemonsReadFromThoseThatAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons()
		d.zones = 3
		for vm := 2; vm <= 60; vm++ {
			value := fmt.Sprintf(`{"addr":%q,"zone":%q}`, peerAddr(vm), d.zone(vm))
			if _, err := d.store.Put(t.Context(), port.TopicDaemons, fmt.Sprintf("vm%03d", vm), []byte(value)); err != nil {
				t.Fatal(err)
			}
		}
		r := d.add(1, 1)
		defer d.stop()
		<-r.Listed()
		if got := r.Upstream().Peers; len(got) != 2 {
			t.Errorf("it asks %v", got)
		}
		rest(startFor + 100*time.Millisecond)
		if got := r.Upstream().Peers; len(got) != 0 {
			t.Errorf("it asks %v, of which it has heard nothing", got)
		}
	})
}

// Prompts are read again whose parts an engine keeps: of more reads than fit into
// a digest the first ones were told, most of them of a few hundred tokens, and
// both of a zone's aggregators told the same ones.
func TestWeightyReadsAreTold(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		const prompts, small, large = 400, 300, 13_000
		part := func(i int) []port.PromptPart {
			tokens := small
			if i%4 == 3 {
				tokens = large
			}
			return []port.PromptPart{{ID: uint64(i + 1), Tokens: tokens}, {ID: uint64(i+1) << 32, Tokens: 50}}
		}
		for i := range prompts {
			defer d.books[i%60].Prefill(fmt.Sprint("e", i%20), 1_000_000, part(i), 0, 0)()
		}
		rest(3 * time.Second)
		for vm, b := range d.books {
			missing := 0
			for i := range prompts {
				if parts := part(i); parts[0].Tokens == large && b.Load(fmt.Sprint("e", i%20), parts).Cached < large {
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

// Hundreds of daemons choose by news that is half a second old: all choose the
// engine that was idle then, and prompts wait behind each other though other
// engines are idle.
func TestKeepersKnowQueuesAtOnce(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		ids := []string{"e", "f", "g"}
		ask := func(vm int, want ...time.Duration) {
			t.Helper()
			got := d.all[vm-1].Queues(context.Background(), ids)
			for i := range want {
				if got[i] != want[i] {
					t.Errorf("daemon %d: waits %v, want %v", vm, got, want)
					return
				}
			}
		}
		one := d.books[6].Prefill("e", 10_000, nil, 0, 300*time.Millisecond)
		two := d.books[41].Prefill("e", 10_000, nil, 0, 300*time.Millisecond)
		defer d.books[33].Prefill("f", 10_000, nil, 0, 100*time.Millisecond)()
		synctest.Wait()
		for vm := 1; vm <= 60; vm++ {
			ask(vm, 600*time.Millisecond, 100*time.Millisecond, 0)
		}
		one()
		synctest.Wait()
		ask(20, 300*time.Millisecond, 100*time.Millisecond, 0)
		// Work that lasts is sent again, also to an owner that is new.
		rest(5 * time.Second)
		ask(20, 0, 0, 0) // as long as predicted, and more
		defer d.books[10].Prefill("e", 10_000, nil, 0, 300*time.Millisecond)()
		synctest.Wait()
		ask(20, 300*time.Millisecond)
		two()
	})
}

// The owner of an engine dies, and with it what it knew: what still holds is
// sentHeartbeat to the next one, and nobody waits for the dead one's answer.
func TestKeepersThatDie(t *testing.T) {
	withLarge(t, 60, 3, func(t *testing.T, d *daemons) {
		defer d.books[6].Prefill("e", 10_000, nil, 0, time.Hour)()
		synctest.Wait()
		r := d.all[19]
		r.mu.Lock()
		to := r.owner(engines.Hash("e"), time.Now())
		r.mu.Unlock()
		if to == nil {
			t.Fatal("the daemon that is asked keeps the engine")
		}
		d.w.SetCut(to.String(), true)
		begun := time.Now()
		if got := r.Queues(context.Background(), []string{"e"}); got[0] != -1 || time.Since(begun) > queryTimeout {
			t.Errorf("a dead keeper's answer: %v after %v", got, time.Since(begun))
		}
		rest(4 * time.Second)
		if got := r.Queues(context.Background(), []string{"e"}); got[0] <= 0 {
			t.Errorf("the next keeper's answer: %v", got)
		}
	})
}

// Notes overtake each other: an engine looks busy with a prompt that has long
// been read.
func TestNotesThatAreOvertakenAreLeftOut(t *testing.T) {
	r := &Roster{ownership: newOwnership()}
	now := time.Now()
	busy := engines.Work{Target: 7, Prompts: 1, Reading: 500_000}
	r.handleWorkReport(&workReport{Seq: 2, Work: engines.Work{Target: 7}}, "a", now)
	r.handleWorkReport(&workReport{Seq: 1, Work: busy}, "a", now)
	if w := r.ownership.book.LoadOf(7, nil).Wait; w != 0 {
		t.Errorf("wait %v", w)
	}
	r.handleWorkReport(&workReport{Seq: 1, Work: busy}, "a", now.Add(2*deadAfter)) // started again
	if w := r.ownership.book.LoadOf(7, nil).Wait; w == 0 {
		t.Error("a daemon that was started again isn't believed")
	}
}

// TestDaemonsBehindWideLinksAggregate guards against a daemon whose own reads
// starve behind the digests that it sends over a narrow link.
func TestDaemonsBehindWideLinksAggregate(t *testing.T) {
	const narrow, wide = 20, 200
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons()
		defer d.stop()
		for vm := 1; vm <= 30; vm++ {
			link := uint32(narrow)
			if vm >= 20 {
				link = wide
			}
			d.addBehind(vm, 1, link)
		}
		rest(6 * time.Second)
		for i, r := range d.all {
			r.mu.Lock()
			on := r.agg.on
			r.mu.Unlock()
			if want := i+1 == 20 || i+1 == 21; on != want {
				t.Errorf("daemon %d aggregates: %v", i+1, on)
			}
		}
		d.expect(t, len(d.all), "fleet with two kinds of links", nil)
	})
}
