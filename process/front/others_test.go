package front

import "testing"

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
