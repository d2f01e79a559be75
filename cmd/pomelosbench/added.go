package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/operator/caller"
)

const addedHelp = `Sends the same short stream in turn to an engine itself and through a daemon,
one at a time, and prints both times and what the path adds.`

type addedCommand struct {
	Daemon string `long:"daemon" required:"true" description:"Callers' port of a daemon"`
	Engine string `long:"engine" required:"true" description:"An engine that serves the model"`
	Model  string `long:"model" default:"timetable-8b" description:"Model"`
	N      int    `long:"pairs" default:"300" description:"Pairs of requests"`
}

// Execute measures.
func (c *addedCommand) Execute([]string) error {
	direct, through := c.client(c.Engine), c.client(c.Daemon)
	defer direct.Close()
	defer through.Close()
	var d, t times
	for i := range c.N {
		prompt := fmt.Sprintf("pair %d", i)
		if err := d.add(direct, caller.Chat(c.Model, prompt, 1)); err != nil {
			return fmt.Errorf("direct: %w", err)
		}
		if err := t.add(through, caller.Chat(c.Model, prompt, 1)); err != nil {
			return fmt.Errorf("through the daemon: %w", err)
		}
	}
	fmt.Printf("added latency over %d pairs: p50 %v (%v for %v direct), p99 %v (%v for %v direct)\n", c.N,
		t.at(median)-d.at(median), t.at(median), d.at(median), t.at(high)-d.at(high), t.at(high), d.at(high))
	return nil
}

func (c *addedCommand) client(addr string) *caller.Client {
	return caller.New(caller.Options{Daemons: []string{addr}, Fixed: true, Attempts: 1})
}

const (
	median = 0.5
	high   = 0.99
)

// times are those of whole answers.
type times []time.Duration

func (t *times) add(c *caller.Client, r caller.Request) error {
	a, err := c.Do(context.Background(), r)
	if err == nil {
		*t = append(*t, a.Total)
	}
	return err
}

// at returns the time at or below which a share q lies.
func (t times) at(q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(t))
	return sorted[int(q*float64(len(sorted)-1))].Round(10 * time.Microsecond)
}
