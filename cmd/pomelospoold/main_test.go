package main

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// Guards against a stop signal that is lost since the process still handles reloads,
// and is then killed with its open requests.
func TestStopSignalIsKeptBesideReloads(t *testing.T) {
	received := notifySignals()
	defer signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	seen := make(chan os.Signal, 4)
	signal.Notify(seen, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
		<-seen
	}
	if sig := <-received.stop; sig != syscall.SIGTERM {
		t.Errorf("%v", sig)
	}
	if sig := <-received.reload; sig != syscall.SIGHUP {
		t.Errorf("%v", sig)
	}
}
