package main

import (
	"os"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/process/front"
	"github.com/pomelospool/pomelospool/process/settings"
)

// runFront runs the daemon of a platform with a store until a stop signal.
func runFront(o options, s *settings.Settings, received signals) error {
	defer front.SetLog(s.Log, os.Stdout)()
	log.WithField("vm", s.VM).Info("front: signal handlers registered")
	d, err := front.New(s)
	if err != nil {
		return err
	}
	d.Start()
	for {
		select {
		case <-received.reload:
			reload(d, o.Settings)
		case sig := <-received.stop:
			log.WithField("signal", sig.String()).Info("front: received signal, stopping")
			return d.Shutdown()
		case <-d.Dying():
			return d.Wait()
		}
	}
}

// reload reads the settings again. If they are invalid, the old ones stay.
func reload(d *front.Daemon, path string) {
	s, err := settings.Load(path)
	if err != nil {
		log.WithError(err).Error("front: failed to reload settings")
		return
	}
	d.Reload(s)
}
