// Command pomelospoold is the daemon. Every VM runs the same one.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/jessevdk/go-flags"

	"github.com/pomelospool/pomelospool/process/daemon"
	"github.com/pomelospool/pomelospool/process/settings"
)

// options are the command line's options. All other settings are in the
// settings file.
type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"Settings of this daemon, in YAML"`
	Check    bool   `long:"check" description:"Check the settings and exit"`
}

// signals are the signals that the process has received. A signal is dropped if the
// channel of its kind holds one already, so each kind has a channel.
type signals struct {
	stop   <-chan os.Signal
	reload <-chan os.Signal
}

func notifySignals() signals {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return signals{stop, reload}
}

func main() {
	// Signals are registered first, because before that a stop signal kills the
	// process without a planned stop.
	received := notifySignals()
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.LongDescription = "Entry daemon of pomelospool. SIGTERM stops it in a planned way: no request is cut."
	if _, err := parser.Parse(); err != nil {
		os.Exit(usage(err))
	}
	if err := run(o, received); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

const exitUsage = 2

func usage(err error) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		return 0
	}
	return exitUsage
}

func run(o options, received signals) error {
	s, err := settings.Load(o.Settings)
	if err != nil {
		return err
	}
	if o.Check {
		return nil
	}
	if s.HasStore() {
		return runFront(o, s, received)
	}
	defer daemon.SetLog(s.Log, os.Stderr)()
	d, err := daemon.New(s)
	if err != nil {
		return err
	}
	d.Start()
	if !waitForStop(received, d.Dying()) {
		return d.Wait()
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Control.DrainLimit)
	defer cancel()
	return d.Shutdown(ctx)
}

// waitForStop waits for a signal to stop and returns true, or false if the
// daemon ends by itself. SIGHUP is ignored: a daemon without a store can't
// reload its settings.
func waitForStop(received signals, dying <-chan struct{}) bool {
	for {
		select {
		case sig := <-received.stop:
			log.WithField("signal", sig.String()).Info("daemon: received signal")
			return true
		case sig := <-received.reload:
			log.WithField("signal", sig.String()).Info("daemon: received signal")
		case <-dying:
			return false
		}
	}
}
