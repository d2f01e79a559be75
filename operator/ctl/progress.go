package ctl

import (
	"fmt"
	"time"

	"gopkg.in/tomb.v2"
)

// progressInterval is the time between progress lines, and before the first one.
const progressInterval = 2 * time.Second

// progress runs work and writes a line to stderr every progressInterval until
// work returns. describe returns what the command is waiting for.
func (a *app) progress(describe func() string, work func() error) error {
	var t tomb.Tomb
	start := time.Now()
	t.Go(func() error {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-t.Dying():
				return nil
			case <-tick.C:
				fmt.Fprintf(a.err, "%s, %s\n", describe(), time.Since(start).Round(time.Second))
			}
		}
	})
	err := work()
	t.Kill(nil)
	_ = t.Wait()
	return err
}

// fixedText returns a function for progress that always returns text.
func fixedText(text string) func() string { return func() string { return text } }
