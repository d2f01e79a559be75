package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/saved"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

// crash lets a daemon see the crash of a target that ran the content.
func (d *Daemon) crash(target string, fp quarantine.Fingerprint) {
	run := d.crashes.BeginRun(quarantine.Content{Service: "llm", Request: fp}, target)
	run.Accepted()
	run.Broken()
	if confirm := d.crashes.Hold(target); confirm != nil {
		confirm(quarantine.Certain)
	}
}

func (d *Daemon) refuses(fp quarantine.Fingerprint) bool {
	v, _ := d.crashes.Check(fp)
	return v == quarantine.Convicted
}

// readSaved restores what all daemons have saved into a state.
func (p *testPlatform) readSaved(topic port.Topic, state saved.State) {
	saved.New(saved.Options{
		Records: saved.InTopic(platform.NewStore(p.addr), topic), State: state, Key: "reader",
		MayLead: func() bool { return true }, Live: func() map[string]time.Time { return nil },
	}).Update(p.t.Context())
}

// Guards against content that crashes targets again after the loss of all daemons, also
// if the store is away as they end.
func TestCrashesOutliveAllDaemons(t *testing.T) {
	p := newTestPlatform(t)
	convicted, counted := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}
	first := p.start()
	second := p.startWith(replaceVM(settingsText, "vm-2"))
	p.waitFor(func() bool { return len(first.roster.Members()) == 2 && len(second.roster.Members()) == 2 })
	first.crash("target-0", counted)
	second.crash("target-1", counted)
	for n := range 3 {
		second.crash(fmt.Sprint("target-", 2+n), convicted)
		<-time.After(time.Second / 4)
	}
	p.waitFor(func() bool { return first.refuses(convicted) && second.refuses(convicted) })
	p.waitFor(func() bool {
		all := quarantine.New(quarantine.Options{ToleratedCrashes: toleratedCrashes})
		p.readSaved(port.TopicCrashes, all)
		v, _ := all.Check(convicted)
		return v == quarantine.Convicted
	})
	p.store.SetMode(standin.Unavailable)
	first.close()
	second.close()
	p.store.SetMode(standin.Up)
	third := p.startWith(replaceVM(settingsText, "vm-3"))
	p.waitFor(func() bool { return third.refuses(convicted) })
	if third.refuses(counted) {
		t.Error("content with two crashes is refused")
	}
	third.crash("target-9", counted)
	if !third.refuses(counted) {
		t.Error("content with three crashes runs again")
	}
}
