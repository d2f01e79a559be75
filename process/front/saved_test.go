package front

import (
	"time"

	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/saved"
)

// readSaved restores what all daemons have saved into a state.
func (p *testPlatform) readSaved(topic port.Topic, state saved.State) {
	saved.New(saved.Options{
		Store: platform.NewStore(p.addr), Topic: topic, State: state, Key: "reader",
		MayLead: func() bool { return true }, Live: func() map[string]time.Time { return nil },
	}).Update(p.t.Context())
}
