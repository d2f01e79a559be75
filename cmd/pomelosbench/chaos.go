package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/pomelospool/pomelospool/bench/audit"
	"github.com/pomelospool/pomelospool/bench/chaos"
)

const (
	chaosPlanHelp = `Prints the schedule of a run under faults, which scripts/chaos.sh carries out:
a line for each step, with milliseconds, verb, target and fault command.`
	chaosLoadHelp = `Sends streams, idempotent plain calls and calls that may run at most once, and
writes how each ended as a line of JSON.`
	judgeHelp = `Holds what callers got against what the targets recorded, and fails if a
request was lost, doubled, crossed or cut, a refusal was untrue, or an engine
got conflicting orders.`
)

// addChaos registers the sub-commands for runs under fault injection.
func addChaos(p *flags.Parser) {
	add(p, "chaos-plan", "Schedule of faults", chaosPlanHelp, &chaosPlanCommand{})
	add(p, "chaos-load", "Load that records each outcome", chaosLoadHelp, &chaosLoadCommand{})
	add(p, "judge", "Judge a run by what callers and targets recorded", judgeHelp, &judgeCommand{})
	add(p, "added-latency", "Time that the path adds to a direct call", addedLatencyHelp, &addedLatencyCommand{})
	add(p, "get", "Print what a URL answers", getHelp, &getCommand{})
	add(p, "fault", "Switch a fault of a stand-in", faultHelp, &faultCommand{})
}

var errFaultyRun = errors.New("not every request was answered exactly once and completely")

type chaosPlanCommand struct {
	Seed      uint64        `long:"seed" default:"1" description:"Seed of the schedule"`
	Duration  time.Duration `long:"duration" default:"60s" description:"Length of the load"`
	Daemons   int           `long:"daemons" default:"4" description:"Daemons to strike"`
	Engines   int           `long:"engines" default:"4" description:"Engines to strike"`
	Plain     int           `long:"plain" default:"2" description:"Plain services to strike"`
	Documents []string      `long:"document" description:"Service to publish anew"`
}

// Execute prints the schedule.
func (c *chaosPlanCommand) Execute([]string) error {
	fleet := chaos.Fleet{Daemons: c.Daemons, Engines: c.Engines, Plain: c.Plain, Documents: c.Documents}
	for _, e := range chaos.Plan(c.Seed, c.Duration, fleet) {
		fmt.Println(e)
	}
	return nil
}

type chaosLoadCommand struct {
	Callers  string        `long:"callers" required:"true" env:"POMELOS_CALLERS" description:"Daemons' callers ports, separated by commas"`
	Zones    string        `long:"zones" default:"zone-a,zone-b,zone-c" description:"Availability zones of the callers"`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the load"`
	Duration time.Duration `long:"duration" default:"60s" description:"How long requests arrive"`
	Deadline time.Duration `long:"deadline" default:"20s" description:"Of each request"`
	Streams  float64       `long:"streams" default:"15" description:"Streams a second"`
	FeedRate float64       `long:"feed-rate" default:"20" description:"Idempotent plain calls a second"`
	OnceRate float64       `long:"once-rate" default:"8" description:"Calls a second that may run at most once"`
	Model    string        `long:"model" default:"timetable-8b" description:"Model of the streams"`
	Feed     string        `long:"feed" default:"jadranski-feed/boards/split" description:"Service and path of the idempotent calls"`
	Once     string        `long:"once" default:"halen-application/confirmations" description:"Service and path of the calls that may run at most once"`
	Short    bool          `long:"short" description:"Streams of a few tokens, and some very long ones"`
	Resend   float64       `long:"resend" default:"0.1" description:"Share of calls sent again with the same key although they ended"`
	Out      string        `long:"out" required:"true" value-name:"FILE" description:"Where the outcomes go"`
}

// Execute sends the load.
func (c *chaosLoadCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	f, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	err = chaos.Load(ctx, chaos.LoadOptions{
		Daemons:      strings.Split(c.Callers, ","),
		Zones:        strings.Split(c.Zones, ","),
		Seed:         c.Seed,
		Duration:     c.Duration,
		Deadline:     c.Deadline,
		Rates:        chaos.Rates{Streams: c.Streams, Feed: c.FeedRate, Once: c.OnceRate},
		Model:        c.Model,
		FeedService:  c.Feed,
		OnceService:  c.Once,
		ShortStreams: c.Short,
		ResendShare:  c.Resend,
	}, f)
	return errors.Join(err, f.Close())
}

type judgeCommand struct {
	Outcomes string `long:"outcomes" required:"true" value-name:"FILE" description:"Outcomes of chaos-load"`
	Records  string `long:"records" required:"true" value-name:"DIR" description:"Records of the targets: plain-*.json, engine-*.json"`
	Planned  bool   `long:"planned" description:"Only planned changes were made: nothing may be cut, unknown or failed either"`
}

// Execute prints the verdict.
func (c *judgeCommand) Execute([]string) error {
	f, err := os.Open(c.Outcomes)
	if err != nil {
		return err
	}
	defer f.Close()
	outcomes, err := audit.ReadOutcomes(f)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Outcomes, err)
	}
	records, err := c.records()
	if err != nil {
		return err
	}
	rep := audit.Judge(outcomes, records)
	for _, line := range rep.Findings[:min(len(rep.Findings), maxReportedFaults)] {
		fmt.Println(line)
	}
	if err := rep.WriteTable(os.Stdout); err != nil {
		return err
	}
	if !rep.Passed() || c.Planned && !rep.Undisturbed() {
		return errFaultyRun
	}
	return nil
}

func (c *judgeCommand) records() (audit.Records, error) {
	var rec audit.Records
	plain, err := readAll[audit.PlainRecord](filepath.Join(c.Records, "plain-*.json"))
	if err != nil {
		return rec, err
	}
	engines, err := readAll[audit.EngineRecord](filepath.Join(c.Records, "engine-*.json"))
	rec.Plain, rec.Engines = plain, engines
	return rec, err
}

// maxReportedFaults bounds the faulty requests that are printed individually.
const maxReportedFaults = 30

var errNoRecords = errors.New("no records of targets to check the outcomes against")

func readAll[T any](pattern string) ([]T, error) {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: %w", pattern, errNoRecords)
	}
	var out []T
	for _, file := range files {
		var v T
		if err := readJSON(file, &v); err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}

func readJSON(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
