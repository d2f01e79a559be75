package front

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/internal/shutdown"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/discovery"
	"github.com/pomelospool/pomelospool/process/roster"
	"github.com/pomelospool/pomelospool/process/topic"
)

// stuckStore is a store whose calls return only once released is closed, whatever
// their contexts say.
type stuckStore struct {
	port.Store
	called, released chan struct{}
}

// Newest implements port.Store.
func (s *stuckStore) Newest(context.Context, port.Topic, string) (port.KeyedPage, error) {
	close(s.called)
	<-s.released
	return port.KeyedPage{}, port.ErrUnavailable
}

// Guards against a daemon that is killed at the end of its grace time, since a part
// that it waits for at its stop doesn't end.
func TestStopEndsThoughAPartDoesNot(t *testing.T) {
	s := newTestPlatform(t)
	d := s.start()
	stuck := &stuckStore{called: make(chan struct{}), released: make(chan struct{})}
	f := topic.New(topic.Options{
		Store: stuck, Topic: port.TopicTargets, Name: "stuck", Sink: discovery.New(discovery.Options{}),
		ReadInterval: func() time.Duration { return 0 }, Wait: func() time.Duration { return 0 },
	})
	f.Start()
	<-stuck.called
	d.followers = append(d.followers, f)
	err := d.Shutdown()
	close(stuck.released)
	if !errors.Is(err, shutdown.ErrDeadline) {
		t.Errorf("the stop: %v", err)
	}
}

// Guards against a daemon that is published to callers while it stops, since it became
// ready after the signal.
func TestDaemonThatBecomesReadyInItsStopStaysLeaving(t *testing.T) {
	p := newTestPlatform(t)
	d := p.create(settingsText, nil)
	d.Start()
	stopped := make(chan error, 1)
	go func() { stopped <- d.Shutdown() }()
	p.waitFor(d.ready.Load)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if s := d.roster.Members()[0].State; s != roster.Leaving {
		t.Errorf("state %v at the end of the stop", s)
	}
}
