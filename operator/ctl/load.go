package ctl

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/operator/caller"
	"github.com/pomelospool/pomelospool/operator/load"
	"github.com/pomelospool/pomelospool/request/prefix"
	"github.com/pomelospool/pomelospool/standin/token"
)

const loadHelp = `Sends streamed prompts to a model at arrival times that are fixed beforehand by
the seed, whether or not earlier ones are answered, and measures from the
intended arrival. The mix is a list of NAME:SHARE:PROMPT:OUTPUT, with the mean
tokens of prompt and answer; the default is
` + load.DefaultMix + `.
Exit code 1 if an answer was lost, cut for good or faulty, or a request wasn't
sent.`

type loadCommand struct {
	app         *app
	Model       string         `long:"model" required:"true" description:"Model to call"`
	Rate        float64        `long:"rate" default:"10" description:"Requests a second"`
	Duration    time.Duration  `long:"duration" default:"10s" description:"How long requests arrive"`
	Seed        uint64         `long:"seed" default:"1" description:"Seed of arrivals, lengths and texts"`
	Mix         string         `long:"mix" default-mask:"questions, threads and drafts" value-name:"MIX" description:"Kinds of requests"`
	Orgs        int            `long:"orgs" default:"10" description:"Organisations to spread them over"`
	Deadline    time.Duration  `long:"deadline" default:"30s" description:"Deadline of each request"`
	MaxInFlight int            `long:"max-in-flight" default:"4096" description:"Most open requests"`
	Verify      bool           `long:"verify" description:"Check every token, which only the stand-in engine allows"`
	Direct      bool           `long:"direct" description:"Call the addresses of --callers themselves, as those of an engine, to compare"`
	Plot        flags.Filename `long:"plot" value-name:"FILE" description:"Write the times over their quantiles as SVG"`
}

// Execute sends the load and reports the result.
func (c *loadCommand) Execute([]string) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	var p load.Progress
	var s *load.Summary
	describe := func() string { return fmt.Sprintf("load: %d sent, %d done", p.Sent.Load(), p.Done.Load()) }
	_ = c.app.progress(describe, func() error {
		s = load.Run(c.app.ctx, client, o, &p)
		return nil
	})
	if err := c.show(s); err != nil {
		return err
	}
	if !s.Passed() {
		return printedError{code.New(code.Internal, "%d of %d requests failed", s.Failed, s.Sent)}
	}
	return nil
}

func (c *loadCommand) client() (*caller.Client, error) {
	return c.app.callerClient(caller.Options{Seed: c.Seed, SkipDiscovery: c.Direct})
}

func (c *loadCommand) options() (load.Options, error) {
	mix := c.Mix
	if mix == "" {
		mix = load.DefaultMix
	}
	kinds, err := load.ParseMix(mix)
	if err != nil {
		return load.Options{}, usageError(err.Error())
	}
	if !(c.Rate > 0) || c.Duration <= 0 || c.MaxInFlight < 1 {
		return load.Options{}, usageError("rate, duration and max-in-flight must be above 0")
	}
	o := load.Options{
		Model:       c.Model,
		Rate:        c.Rate,
		Duration:    c.Duration,
		Seed:        c.Seed,
		Mix:         kinds,
		Orgs:        c.Orgs,
		Deadline:    c.Deadline,
		MaxInFlight: c.MaxInFlight,
	}
	if c.Verify {
		o.Verify = verifyStandin
	}
	return o, nil
}

// verifyStandin returns a function that checks the tokens of the stand-in
// engine's answer to a chat with a single user message.
func verifyStandin(content string) func(i int, text string) bool {
	hash := token.Hash(prefix.Prompt([]prefix.Message{{Role: "user", Content: content}}))
	return func(i int, text string) bool { return text == token.At(hash, i) }
}

func (c *loadCommand) show(s *load.Summary) error {
	if c.Plot != "" {
		svg, err := s.Plot()
		if err != nil {
			return err
		}
		if err := os.WriteFile(string(c.Plot), svg, 0o644); err != nil {
			return err
		}
	}
	if c.app.JSON {
		return c.app.printJSON(s)
	}
	return s.Table(c.app.out)
}
