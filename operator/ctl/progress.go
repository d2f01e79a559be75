package ctl

import (
	"fmt"
	"time"

	"gopkg.in/tomb.v2"
)

// progressEvery is the time between lines of progress, and until the first.
const progressEvery = 2 * time.Second

// progress runs work and writes a line to stderr every two seconds until it
// ends. say returns what is being waited for.
func (a *app) progress(say func() string, work func() error) error {
	var t tomb.Tomb
	start := time.Now()
	t.Go(func() error {
		tick := time.NewTicker(progressEvery)
		defer tick.Stop()
		for {
			select {
			case <-t.Dying():
				return nil
			case <-tick.C:
				fmt.Fprintf(a.err, "%s, %s\n", say(), time.Since(start).Round(time.Second))
			}
		}
	})
	err := work()
	t.Kill(nil)
	_ = t.Wait()
	return err
}

// saying returns a constant text for progress.
func saying(text string) func() string { return func() string { return text } }
