package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signals receives the process's signals. Each kind has a channel of its own: a signal
// is dropped while its channel is full, and signals to reload must not take the place
// of one to stop.
type signals struct {
	stop, reload chan os.Signal
}

// watchSignals starts to receive signals. SIGPIPE is ignored from then on.
func watchSignals() *signals {
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	// Otherwise a log line ends the process once nobody reads its output any more.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// close stops receiving signals.
func (s *signals) close() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}
