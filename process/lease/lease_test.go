package lease

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pomelospool/pomelospool/process/fold"
)

// deadSet is a Membership in which the listed incarnations are dead.
type deadSet map[string]bool

func (d deadSet) Gone(i string) bool      { return d[i] }
func (d deadSet) Rank(string) (int, bool) { return 1, true }

func newTail(l fold.Lease, readStart time.Duration) Tail {
	s := fold.New()
	s.Leases["g"] = l
	return Tail{State: s, ReadStart: readStart, Loaded: true}
}

// Guards against two holders that both consider themselves authorized, when
// the first one is paused, partitioned, replaced or stopped.
func TestAuthority(t *testing.T) {
	const s = time.Second
	mine := fold.Lease{Claim: 7, Holder: "me"}
	for _, c := range []struct {
		name                       string
		lease                      fold.Lease
		observedAt, readStart, now time.Duration
		want                       bool
	}{
		{"first moment", mine, 10 * s, 13 * s, 14 * s, true},
		{"old holder may still act", mine, 10 * s, 13 * s, 14*s - 1, false},
		{"read too old", mine, 10 * s, 20 * s, 23 * s, false},
		{"read just young enough", mine, 10 * s, 20 * s, 23*s - 1, true},
		{"resumed after an hour", mine, 10 * s, 20 * s, time.Hour, false},
		{"after a release, bytes may be on the way", fold.Lease{Claim: 7, Holder: "me", PreviousReleased: true}, 10 * s, 10 * s, 11*s - 1, false},
		{"after a release", fold.Lease{Claim: 7, Holder: "me", PreviousReleased: true}, 10 * s, 10 * s, 11 * s, true},
		{"another's", fold.Lease{Claim: 7, Holder: "you"}, 10 * s, 20 * s, 21 * s, false},
		{"released", fold.Lease{Claim: 7, Holder: "me", Released: true}, 10 * s, 20 * s, 21 * s, false},
	} {
		tr := NewTracker(Rule{}.WithDefaults(), "me")
		tr.Observe(c.observedAt, newTail(c.lease, 0).State)
		a, ok := tr.Authority(c.now, newTail(c.lease, c.readStart), "g")
		if ok != c.want || (ok && a.Fence != 7) {
			t.Errorf("%s: %v %+v", c.name, ok, a)
		}
		tr.MarkReleased(7)
		if _, ok := tr.Authority(c.now, newTail(c.lease, c.readStart), "g"); ok {
			t.Errorf("%s: still authorized after MarkReleased", c.name)
		}
	}
}

// A group without a live holder is claimed once the candidate's delay has
// passed, and never while the log can't be read.
func TestDueClaims(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name  string
		lease fold.Lease
		dead  deadSet
		now   time.Duration
		want  int
	}{
		{"nobody yet", fold.Lease{}, nil, 2 * s, 1},
		{"before its turn", fold.Lease{}, nil, s / 2, 0},
		{"holder lives", fold.Lease{Claim: 3, Holder: "you"}, nil, 2 * s, 0},
		{"holder gone", fold.Lease{Claim: 3, Holder: "you"}, deadSet{"you": true}, 2 * s, 1},
		{"released", fold.Lease{Claim: 3, Holder: "you", Released: true}, nil, 2 * s, 1},
		{"own", fold.Lease{Claim: 3, Holder: "me"}, deadSet{"me": true}, 2 * s, 0},
		{"log down", fold.Lease{}, nil, time.Hour, 0},
	} {
		tr := NewTracker(Rule{}.WithDefaults(), "me")
		tail := newTail(c.lease, 0)
		tr.DueClaims(0, tail, []string{"g"}, c.dead)
		claims := tr.DueClaims(c.now, tail, []string{"g"}, c.dead)
		if len(claims) != c.want || (c.want > 0 && claims[0].Previous != c.lease.Claim) {
			t.Errorf("%s: %+v", c.name, claims)
		}
	}
}

// Candidates of a group's own zone rank first, and groups spread evenly over
// the daemons of a zone.
func TestRank(t *testing.T) {
	var live []Candidate
	for i := range 12 {
		live = append(live, Candidate{ID: fmt.Sprint(i), Zone: fmt.Sprint(i % 3)})
	}
	first, ranked := map[string]int{}, 0
	for g := range 600 {
		for _, c := range live {
			rank, ok := Rank(fmt.Sprint("g", g), "1", c.ID, live)
			if ok {
				ranked++
			}
			if ok && rank == 0 {
				first[c.ID]++
			}
			if rank == 0 && c.Zone != "1" {
				t.Errorf("group %d has its first candidate in zone %s", g, c.Zone)
			}
		}
	}
	for id, n := range first {
		if n < 100 || n > 200 {
			t.Errorf("daemon %s is first for %d of 600 groups", id, n)
		}
	}
	if ranked != 600*MaxCandidates {
		t.Errorf("%d candidates in total", ranked)
	}
}

// Guards against orders that leave after the lease expired: the second write
// of a connection after the lease expired between the two, and data that the
// kernel retransmits during a partition.
func TestConnChecksEachWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	lost := errors.New("lost")
	var now error
	dial := Dialer(func() error { return now }, 500*time.Millisecond)
	c, err := dial(context.Background(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_, first := c.Write([]byte("a"))
	now = lost
	_, second := c.Write([]byte("b"))
	if first != nil || second != lost {
		t.Errorf("writes returned %v and %v", first, second)
	}
	if got := userTimeout(t, c.(*Conn).Conn.(*net.TCPConn)); got != 500 {
		t.Errorf("TCP_USER_TIMEOUT is %d ms", got)
	}
	_ = c.Close()
	buf := make([]byte, 8)
	n, _ := peer.Read(buf)
	if string(buf[:n]) != "a" {
		t.Errorf("peer received %q", buf[:n])
	}
}

func userTimeout(t *testing.T, c syscall.Conn) int {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	ms := 0
	if err := raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	return ms
}

// BenchmarkCheckToWriteWindow measures the time from the check to the end of
// the write. A pause in this window goes undetected.
func BenchmarkCheckToWriteWindow(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		buf := make([]byte, 1<<16)
		for err == nil {
			_, err = c.Read(buf)
		}
	}()
	var checked time.Time
	c, err := Dialer(func() error { checked = time.Now(); return nil }, time.Second)(context.Background(), "tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	order := make([]byte, 400)
	var window time.Duration
	for b.Loop() {
		if _, err := c.Write(order); err != nil {
			b.Fatal(err)
		}
		window += time.Since(checked)
	}
	b.ReportMetric(float64(window.Nanoseconds())/float64(b.N), "ns/window")
}
