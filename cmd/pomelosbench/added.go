package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/operator/caller"
)

const addedLatencyHelp = `Sends the same short stream in turn to an engine itself and through a daemon,
one at a time, and prints both times and what the path adds.`

type addedLatencyCommand struct {
	Daemon string `long:"daemon" required:"true" description:"Callers' port of a daemon"`
	Engine string `long:"engine" required:"true" description:"An engine that serves the model"`
	Model  string `long:"model" default:"timetable-8b" description:"Model"`
	N      int    `long:"pairs" default:"300" description:"Pairs of requests"`
}

// Execute runs the measurement.
func (c *addedLatencyCommand) Execute([]string) error {
	direct, viaDaemon := c.client(c.Engine), c.client(c.Daemon)
	defer direct.Close()
	defer viaDaemon.Close()
	var d, t latencies
	for i := range c.N {
		prompt := fmt.Sprintf("pair %d", i)
		if err := d.add(direct, caller.Chat(c.Model, prompt, 1)); err != nil {
			return fmt.Errorf("direct: %w", err)
		}
		if err := t.add(viaDaemon, caller.Chat(c.Model, prompt, 1)); err != nil {
			return fmt.Errorf("through the daemon: %w", err)
		}
	}
	fmt.Printf("added latency over %d pairs: p50 %v (%v for %v direct), p99 %v (%v for %v direct)\n", c.N,
		t.quantile(p50)-d.quantile(p50), t.quantile(p50), d.quantile(p50), t.quantile(p99)-d.quantile(p99), t.quantile(p99), d.quantile(p99))
	return nil
}

func (c *addedLatencyCommand) client(addr string) *caller.Client {
	return caller.New(caller.Options{Daemons: []string{addr}, SkipDiscovery: true, MaxAttempts: 1})
}

const (
	p50 = 0.5
	p99 = 0.99
)

// latencies are the durations of complete answers.
type latencies []time.Duration

func (l *latencies) add(c *caller.Client, r caller.Request) error {
	a, err := c.Do(context.Background(), r)
	if err == nil {
		*l = append(*l, a.Total)
	}
	return err
}

// quantile returns the latency at quantile q.
func (l latencies) quantile(q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(l))
	return sorted[int(q*float64(len(sorted)-1))].Round(10 * time.Microsecond)
}
