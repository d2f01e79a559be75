package front

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/inforce"
	"github.com/pomelospool/pomelospool/version/route"
)

// Guards against an idle timeout of the configuration that isn't applied.
func TestIdleTimeoutIsThatOfTheConfiguration(t *testing.T) {
	const limit = 15 * time.Second
	cfg := route.New(1, nil, nil, route.Limits{IdleTimeout: limit}, nil)
	d := &Daemon{config: inforce.New(func(port.KeyedRecord) (*route.Config, bool, error) { return cfg, true, nil })}
	if got := d.idleTimeout(); got != 0 {
		t.Errorf("before there is one: %v", got)
	}
	d.config.Apply([]port.KeyedRecord{{}})
	if got := d.idleTimeout(); got != limit {
		t.Errorf("%v", got)
	}
}
