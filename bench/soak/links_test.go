package soak

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/internal/linkfault"
)

// A process can't cut its own links without privileges. So the daemons are built
// to connect to targets over links that follow the mode in a file.

// linksEnv names the environment variable with the path of that file.
const linksEnv = "SOAK_LINKS"

// linksEdit makes daemons connect over these links.
var linksEdit = edit{"process/front/front.go", "return newDaemon(s, nil)", "return newDaemon(s, soakLinks.Dial)"}

const linksReader = `package front

import (
	"os"
	"time"

	"github.com/pomelospool/pomelospool/internal/linkfault"
)

var soakLinks linkfault.Links

func init() {
	mode := linkfault.Pass
	read := func() {
		text, err := os.ReadFile(os.Getenv("` + linksEnv + `"))
		if m := linkfault.ParseMode(string(text)); err == nil && m != mode {
			mode = m
			soakLinks.Set(m)
		}
	}
	read()
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			read()
		}
	}()
}
`

// cutLinks cuts the links of a daemon to all targets while the event lasts.
func (env *environment) cutLinks(e Event, waitEnd func()) {
	p := env.daemons[e.On]
	from := time.Now()
	p.setLinks(cutModes[e.How])
	waitEnd()
	env.judge.RecordCut(e.On, from, time.Now())
	p.setLinks(linkfault.Pass)
}

// setLinks sets the state of the daemon's links, also for the next process.
func (p *process) setLinks(m linkfault.Mode) {
	if err := replaceFile(p.linksPath, m.String()); err != nil {
		p.judge.ReportFault("daemon %d: can't set its links: %v", p.index, err)
	}
}

// TestCallersOfDaemonsWithoutLinks guards against daemons that have lost their
// links to all targets and fail their callers, or those of the others.
func TestCallersOfDaemonsWithoutLinks(t *testing.T) {
	t.Parallel()
	const length = 8 * time.Second
	program := sharedDaemon(t)
	for name, on := range map[string][]int{"one daemon": {1}, "two daemons": {0, 3}, "three of four": {0, 1, 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var plan []Event
			for i, daemon := range on {
				plan = append(plan, Event{At: 500 * time.Millisecond, For: 7 * time.Second, Kind: CutLinks, On: daemon, How: i % len(cutModes)})
			}
			faults, totals := runTrial(t, trial{
				seed: 1, program: program, daemons: defaultDaemons, plan: plan,
				length: length, recoveryLimit: recoveryLimit, grace: callerGrace,
			})
			t.Logf("%+v", totals)
			for _, f := range faults {
				t.Error(f)
			}
		})
	}
}
