package daemon

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/record"
	"github.com/pomelospool/pomelospool/process/saved"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/standin/logsvc"
)

// countConvictions counts the contents that a tracker refuses.
func countConvictions(t *quarantine.CrashTracker) (n int) {
	for _, u := range t.Outgoing() {
		if !u.Suspect {
			n++
		}
	}
	return n
}

func (f *fleet) countConvicted(i int) int { return countConvictions(f.daemons[i].crashes.CrashTracker) }

// countSaved counts the contents that are refused by what all daemons have saved.
func (f *fleet) countSaved(stream string) int {
	all := quarantine.New(quarantine.Options{})
	saved.New(saved.Options{
		Records: saved.InStream(f.log, stream, "reader"), State: all, Key: "reader",
		MayLead: func() bool { return true }, Live: func() map[string]time.Time { return nil },
	}).Update(f.t.Context())
	return countConvictions(all)
}

// Guards against a prompt that crashes engines again after the loss of all daemons, also
// if the log is away as they end.
func TestConvictionsOutliveAllDaemons(t *testing.T) {
	const daemons = 2
	f := newFleet(t, daemons, settings.TLS{})
	all := f.startCrashingEngines(6)
	f.waitForMembership()
	ask := func(i int) code.Code { return f.ask(i, "the "+marker+" again").Code }
	eventually(t, "the prompt is refused", func() bool { return ask(0) == code.CrashConvicted })
	lost := countUnreachable(all)
	eventually(t, "the conviction is saved", func() bool { return f.countSaved(record.RequestCrashes) > 0 })
	f.log.SetOutage(logsvc.Refuse)
	f.kill()
	f.log.SetOutage(logsvc.Up)
	for i := range daemons {
		f.start(i)
	}
	for i := range daemons {
		eventually(t, "the prompt is refused again", func() bool { return f.countConvicted(i) > 0 })
		if got := ask(i); got != code.CrashConvicted {
			t.Errorf("daemon %d: the prompt is answered with code %d", i, got)
		}
	}
	if n := countUnreachable(all); n != lost {
		t.Errorf("%d engines lost, %d before all daemons were", n, lost)
	}
}
