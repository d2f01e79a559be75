package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// addEngine starts one of the project's stand-ins of an engine and registers it in the
// store, with a heartbeat.
func (f *fleet) addEngine(service, stage string, slots int) (*standin.Target, error) {
	n := len(f.engines) + 1
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.3.%d:0", n))
	if err != nil {
		return nil, err
	}
	t := standin.NewTarget(fmt.Sprintf("i-%08x", 0x2d9e0000+n), stage)
	t.Software = "v1"
	srv := &http.Server{Handler: t, ConnContext: t.ConnContext, ReadHeaderTimeout: time.Minute}
	f.engines, f.targets = append(f.engines, srv), append(f.targets, t)
	go func() { _ = srv.Serve(l) }()
	announce := func(seq int) {
		f.put("keyed.servers", t.ID, map[string]any{
			"service": service, "address": l.Addr().String(), "zone": zone, "version": t.Software, "slots": slots, "state": "ready",
			"cold_remaining_ms": 0, "stage": t.Role(), "seq": seq,
		})
	}
	announce(0)
	f.wg.Go(func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for seq := 1; ; seq++ {
			select {
			case <-f.stop:
				return
			case <-tick.C:
				announce(seq)
			}
		}
	})
	return t, nil
}

// recordRuns records the requests that the engines ran.
func (f *fleet) recordRuns() {
	for _, t := range f.targets {
		ran := t.Ran()
		f.record.add("engine %s ran %d requests: %s", t.ID, len(ran), strings.Join(ran, " "))
	}
}
