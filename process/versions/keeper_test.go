package versions

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/port"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// memoryStore is a store that holds one topic.
type memoryStore struct {
	port.Store
	values map[string][]byte
	fails  bool
	reads  int
	writes int
}

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
	s.values[key] = value
	return 0, nil
}

const lifetime = time.Minute

// daemon is a Keeper with its history.
type daemon struct {
	*Keeper
	history *origin.History
	leads   bool
}

func newDaemon(s *memoryStore, now *time.Duration, complete bool, software ...string) *daemon {
	d := &daemon{leads: true, history: origin.NewHistory(origin.HistoryOptions{Now: func() time.Duration { return *now }, MaxAge: time.Second, Complete: complete})}
	d.Keeper = New(Options{Store: s, History: d.history, Lifetime: func(string) time.Duration { return lifetime }, MayLead: func() bool { return d.leads }})
	d.history.Observe(map[string][]string{"llm": software})
	return d
}

func (d *daemon) sole() string {
	software, ok := d.history.Sole("llm", lifetime)
	if !ok {
		return "unknown"
	}
	return software
}

// Guards against streams that can't go on after the loss of all daemons though there
// was only one version, and against ones that go on at a wrong one.
func TestVersionsOutliveAllDaemons(t *testing.T) {
	cases := []struct {
		name          string
		before, after []string
		want          string
	}{
		{"one version", []string{"v1"}, []string{"v1"}, "v1"},
		{"two versions, of which one is left", []string{"v1", "v2"}, []string{"v2"}, "unknown"},
		{"another version", []string{"v1"}, []string{"v2"}, "unknown"},
		{"a new version", []string{"v1"}, []string{"v1", "v2"}, "unknown"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Hour
			s := &memoryStore{values: make(map[string][]byte)}
			newDaemon(s, &now, true, tc.before...).Update(t.Context())
			d := newDaemon(s, &now, false, tc.after...)
			d.Update(t.Context())
			if got := d.sole(); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
}

// Guards against a call of each daemon, or a call a second, while nothing changes.
func TestFewCalls(t *testing.T) {
	now := time.Hour
	s := &memoryStore{values: make(map[string][]byte)}
	d, other := newDaemon(s, &now, true, "v1"), newDaemon(s, &now, true, "v1")
	other.leads = false
	for range 100 {
		now += time.Second
		for _, k := range []*daemon{d, other} {
			k.history.Tick()
			k.Update(t.Context())
		}
	}
	if s.reads != 1 || s.writes != 1 {
		t.Errorf("%d reads and %d writes", s.reads, s.writes)
	}
}

// Guards against a daemon that has just begun to lead and removes a version that it
// hasn't seen, and against versions that stay stored for good.
func TestVersionsAreRemovedOnceTheirStreamsHaveEnded(t *testing.T) {
	now := time.Hour
	s := &memoryStore{values: map[string][]byte{"llm": []byte(`["v1"]`)}}
	d := newDaemon(s, &now, false, "v2")
	d.Update(t.Context())
	if got := string(s.values["llm"]); got != `["v1","v2"]` {
		t.Errorf("stored %s", got)
	}
	for range int(lifetime/time.Second) + 1 {
		now += time.Second
		d.history.Tick()
		d.Update(t.Context())
	}
	if got := string(s.values["llm"]); got != `["v2"]` {
		t.Errorf("stored %s after the streams' lifetime", got)
	}
}

func TestFailedCallIsRepeated(t *testing.T) {
	now := time.Hour
	s := &memoryStore{values: map[string][]byte{"llm": []byte(`["v1"]`)}, fails: true}
	d := newDaemon(s, &now, false, "v1")
	d.Update(t.Context())
	if got := d.sole(); got != "unknown" {
		t.Errorf("%s without the store", got)
	}
	s.fails = false
	d.Update(t.Context())
	if got := d.sole(); got != "v1" {
		t.Errorf("%s once the store is back", got)
	}
}
