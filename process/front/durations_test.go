package front

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/request/duration"
)

// Guards against a daemon that refuses each request of a route in its stop, although the
// others know that the route's answers are short.
func TestDaemonKnowsTheDurationsOfOthers(t *testing.T) {
	p := newTestPlatform(t)
	a := p.start()
	b := p.startWith(replaceVM(settingsText, "vm-2"))
	call := func() duration.Call {
		return duration.Call{Route: "r", Arrived: time.Now(), Timeout: time.Minute}
	}
	const answers = 200
	for range answers {
		a.durations.Begin(call())(true)
	}
	p.waitFor(func() bool {
		c := call()
		return !b.durations.Outlasts(c, c.Arrived.Add(time.Second))
	})
}

// Guards against callers that are sent to the other daemons although all are being stopped.
func TestStoppingDaemonKnowsWhetherOthersServe(t *testing.T) {
	p := newTestPlatform(t)
	a := p.start()
	b := p.startWith(replaceVM(settingsText, "vm-2"))
	p.waitFor(a.othersServe)
	stopped := make(chan error, 1)
	go func() { stopped <- b.Shutdown() }()
	p.waitFor(func() bool { return len(a.roster.Members()) == 2 && !a.othersServe() })
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
