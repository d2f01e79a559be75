package front

import (
	"testing"

	"github.com/pomelospool/pomelospool/process/settings"
)

// Guards against choices that change where the settings don't ask for it.
func TestReportsDependOnTheSetting(t *testing.T) {
	d := &Daemon{s: settings.Default()}
	if d.reports() != nil {
		t.Error("choices account for the age of reports without the setting")
	}
	d.s.Scheduling.SpreadLoad = true
	if d.reports() == nil {
		t.Error("the setting has no effect")
	}
}
