package dispatch

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// A probe opens one connection, from which each state of a target shows.
func TestProbeOpensOneConnection(t *testing.T) {
	cases := map[string]struct {
		set  func(h *harness, target *standin.Target)
		want targetState
	}{
		"alive":   {func(*harness, *standin.Target) {}, alive},
		"rejects": {func(_ *harness, target *standin.Target) { target.Set(func(b *standin.Behaviour) { b.Refuse = true }) }, alive},
		"silent":  {func(_ *harness, target *standin.Target) { target.Set(func(b *standin.Behaviour) { b.NoAnswer = true }) }, silent},
		"refuses": {func(h *harness, _ *standin.Target) { h.net.Stop("app0") }, refusing},
		"another": {func(h *harness, _ *standin.Target) { h.entries["app"][0].ID = "earlier" }, replaced},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 0, func(t *testing.T, h *harness) {
				tc.set(h, h.addTarget("app", port.Role("")))
				x := h.runner.newExecution(h.newCall(route.Safe, 1, time.Second))
				if got := x.probe(&h.entries["app"][0]); got != tc.want || h.net.DialCount("app0") > 1 {
					t.Errorf("state %d, want %d, after %d connections", got, tc.want, h.net.DialCount("app0"))
				}
			})
		})
	}
}
