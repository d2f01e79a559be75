package daemon

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin/engine"
)

// Guards against an order from a holder that lost its lease while it was
// paused, to an engine that ignores fencing tokens. The lease must be checked
// at the write, on the connection that the daemon really uses, and not one byte
// may reach the engine.
func TestOrderChecksLeaseAtWrite(t *testing.T) {
	e := engine.New(engine.Options{Name: "e"})
	if err := e.Run("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	held := true
	api := connectEngine(e.Addr(), func() error {
		if held {
			return nil
		}
		return code.New(code.LeaseLost, "taken over")
	}, time.Second)
	order := func(id string) error {
		return api.Order(t.Context(), port.Order{ID: id, Fence: 1, Spec: port.EngineSpec{Role: port.RoleMixed, Model: "m", Version: "1"}})
	}
	if err := order("first"); err != nil {
		t.Fatal(err)
	}
	held = false
	if err := order("late"); code.Of(err) != code.LeaseLost {
		t.Errorf("an order without the lease: %v", err)
	}
	if n := len(e.Record().Orders); n != 1 {
		t.Errorf("the engine got %d orders", n)
	}
}
