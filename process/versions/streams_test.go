package versions

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/port"
)

// keyedStore removes keys that are written without a value.
type keyedStore struct{ memoryStore }

func (s *keyedStore) Put(ctx context.Context, t port.Topic, key string, value []byte) (int64, error) {
	offset, err := s.memoryStore.Put(ctx, t, key, value)
	if err == nil && len(value) == 0 {
		delete(s.values, key)
	}
	return offset, err
}

func newKeyedStore() *keyedStore {
	return &keyedStore{memoryStore{values: make(map[string][]byte)}}
}

// streamDaemon is a StreamKeeper with its tracker.
type streamDaemon struct {
	*StreamKeeper
	origins *origin.Tracker
	leads   bool
}

// newStreamDaemon returns a daemon that knows that targets of these versions serve.
func newStreamDaemon(s port.Store, key string, software ...string) *streamDaemon {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	d := &streamDaemon{leads: true, origins: origin.New(origin.Options{Now: now, History: origin.NewHistory(origin.HistoryOptions{Now: now, MaxAge: time.Second})})}
	d.origins.Observe(map[string][]string{"llm": software})
	d.StreamKeeper = NewStreamKeeper(StreamOptions{
		Store: s, Origins: d.origins, Key: key, MayLead: func() bool { return d.leads }, Daemons: func() int { return 3 }, WritesPerSecond: 400,
	})
	return d
}

func (d *streamDaemon) begin(n int, software string) {
	d.origins.Begin(origin.Stream{Service: "llm", Request: fmt.Sprint(n)}, software)
}

func (d *streamDaemon) find(n int) string {
	software, _ := d.origins.Find(context.Background(), origin.Stream{Service: "llm", Request: fmt.Sprint(n)})
	return software
}

// run lets time pass.
func (d *streamDaemon) run(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(d.Interval())
		d.Update(context.Background())
	}
}

// Guards against streams that can't go on after the loss of all daemons: while targets of
// two versions serve, if the second version appears only then, or if the store is away
// while daemons start.
func TestStreamsOutliveTheLossOfAllDaemons(t *testing.T) {
	cases := []struct {
		name   string
		before []string // versions that serve before the loss
		away   bool
	}{
		{"two versions", []string{"v1", "v2"}, false},
		{"a second version afterwards", []string{"v1"}, false},
		{"two versions, store away", []string{"v1", "v2"}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newKeyedStore()
				last := tc.before[len(tc.before)-1]
				lost := []*streamDaemon{newStreamDaemon(s, "vm-1/1", tc.before...), newStreamDaemon(s, "vm-2/1", tc.before...)}
				lost[0].begin(1, "v1")
				lost[1].begin(2, last)
				for _, d := range lost {
					d.run(time.Second)
				}
				s.fails = tc.away
				d := newStreamDaemon(s, "vm-1/2", "v1", "v2")
				d.run(5 * time.Second)
				if got := d.find(1); tc.away && got != "" {
					t.Errorf("%s while the store is away", got)
				}
				s.fails = false
				d.run(time.Second)
				if d.find(1) != "v1" || d.find(2) != last || d.find(3) != "" {
					t.Errorf("%q, %q and %q", d.find(1), d.find(2), d.find(3))
				}
			})
		})
	}
}

// Guards against a write for each stream, and against writes while nothing changes.
func TestStreamsCostFewWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKeyedStore()
		d := newStreamDaemon(s, "vm-1/1", "v1", "v2")
		for n := range 500 {
			d.begin(n, "v1")
			if n >= 100 {
				d.origins.Complete(origin.Stream{Service: "llm", Request: fmt.Sprint(n)})
			}
		}
		d.run(30 * time.Second)
		if s.writes != 1 || s.reads != 1 {
			t.Errorf("%d writes and %d reads", s.writes, s.reads)
		}
		large := newStreamDaemon(s, "vm-1/2", "v1", "v2")
		large.o.Daemons = func() int { return 985 }
		if perSecond := 985 / large.Interval().Seconds(); perSecond > saveShare*400 {
			t.Errorf("985 daemons may write %.0f times a second", perSecond)
		}
	})
}

// Guards against records that stay in the store for good, and against a store whose
// other records can't be decoded.
func TestExpiredStreamsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKeyedStore()
		s.values["odd"] = []byte("nonsense")
		lost := newStreamDaemon(s, "vm-1/1", "v1", "v2")
		lost.begin(1, "v1")
		lost.run(time.Second)
		d := newStreamDaemon(s, "vm-1/2", "v1", "v2")
		d.run(time.Second)
		if _, kept := s.values["vm-1/1"]; !kept || d.find(1) != "v1" {
			t.Errorf("kept %v, found %q", kept, d.find(1))
		}
		d.run(2 * origin.Lifetime(0))
		if _, kept := s.values["vm-1/1"]; kept {
			t.Error("an expired record is kept")
		}
	})
}

// Guards against a value that the store refuses for its size.
func TestSavedStreamsFitIntoARecord(t *testing.T) {
	records := make([]origin.Record, 2048)
	for i := range records {
		records[i].Software = strings.Repeat("x", 500)
	}
	value, err := encodeStreams(slices.Clone(records), time.Now())
	if err != nil || len(value) > maxSavedBytes || len(value) < maxSavedBytes/4 {
		t.Errorf("%d bytes, %v", len(value), err)
	}
}

// Guards against a failed save that isn't repeated.
func TestFailedSaveIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKeyedStore()
		d := newStreamDaemon(s, "vm-1/1", "v1", "v2")
		d.begin(1, "v1")
		s.fails = true
		d.run(2 * time.Second)
		s.fails = false
		d.run(time.Second)
		if len(s.values) != 1 || s.writes != 1 {
			t.Errorf("%d records, %d writes", len(s.values), s.writes)
		}
	})
}
