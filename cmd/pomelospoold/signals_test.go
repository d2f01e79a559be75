package main

import (
	"os/signal"
	"runtime"
	"syscall"
	"testing"
)

// Guards against a process that is killed at the end of its grace time, since its stop
// signal came while signals to reload were waiting and was dropped.
func TestReloadsDoNotDisplaceTheStop(t *testing.T) {
	s := watchSignals()
	defer s.close()
	send := func(sig syscall.Signal) {
		if err := syscall.Kill(syscall.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
	}
	send(syscall.SIGHUP)
	for len(s.reload) == 0 {
		runtime.Gosched()
	}
	send(syscall.SIGHUP)
	send(syscall.SIGTERM)
	if got := <-s.stop; got != syscall.SIGTERM {
		t.Errorf("got %v", got)
	}
}

// Guards against a daemon that ends with all its requests when the reader of its
// standard output ends.
func TestClosedOutputDoesNotEndTheProcess(t *testing.T) {
	s := watchSignals()
	defer s.close()
	if !signal.Ignored(syscall.SIGPIPE) {
		t.Error("SIGPIPE isn't ignored")
	}
}
