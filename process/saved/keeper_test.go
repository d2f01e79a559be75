package saved

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/port"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// memoryStore is a store with one topic.
type memoryStore struct {
	port.Store
	values        map[string][]byte
	fails         bool
	reads, writes int
}

func newStore() *memoryStore { return &memoryStore{values: make(map[string][]byte)} }

func (s *memoryStore) Newest(context.Context, port.Topic, string) (page port.KeyedPage, err error) {
	if s.fails {
		return page, errors.New("store is away")
	}
	s.reads++
	for key, value := range s.values {
		page.Records = append(page.Records, port.KeyedRecord{Key: key, Value: value})
	}
	return page, nil
}

func (s *memoryStore) Put(_ context.Context, _ port.Topic, key string, value []byte) (int64, error) {
	if s.fails {
		return 0, errors.New("store is away")
	}
	s.writes++
	if s.values[key] = value; value == nil {
		delete(s.values, key)
	}
	return 0, nil
}

// streamDaemon is a Keeper of the origins of a daemon's streams.
type streamDaemon struct {
	*Keeper
	origins *origin.Tracker
	leads   bool
}

// newStreamDaemon returns a daemon that knows that targets of these versions serve.
func newStreamDaemon(s port.Store, key string, software ...string) *streamDaemon {
	return newStreamDaemonWith(InTopic(s, port.TopicStreams), key, 0, software...)
}

func newStreamDaemonWith(records Records, key string, refresh time.Duration, software ...string) *streamDaemon {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	d := &streamDaemon{leads: true, origins: origin.New(origin.Options{Now: now, History: origin.NewHistory(origin.HistoryOptions{Now: now, MaxAge: time.Second})})}
	d.origins.Observe(map[string][]string{"llm": software})
	d.Keeper = New(Options{
		Records: records, State: d.origins, Key: key, Refresh: refresh, MayLead: func() bool { return d.leads },
		Live: func() map[string]time.Time { return map[string]time.Time{key: start} },
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
		time.Sleep(Interval(3, 400))
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
				s := newStore()
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
		s := newStore()
		d := newStreamDaemon(s, "vm-1/1", "v1", "v2")
		for n := range 500 {
			d.begin(n, "v1")
			if n >= 100 {
				d.origins.Complete(origin.Stream{Service: "llm", Request: fmt.Sprint(n)})
			}
		}
		d.run(30 * time.Second)
		if s.writes != 1 || s.reads > 3 {
			t.Errorf("%d writes and %d reads", s.writes, s.reads)
		}
		if perSecond := 985 / Interval(985, 400).Seconds(); perSecond > writeShare*400 {
			t.Errorf("985 daemons may write %.0f times a second", perSecond)
		}
	})
}

// Guards against records that stay in the store for good, and against a store whose
// other records can't be decoded.
func TestExpiredStreamsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
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

// Guards against a failed save that isn't repeated.
func TestFailedSaveIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
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
