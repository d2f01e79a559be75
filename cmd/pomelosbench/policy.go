package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pomelospool/pomelospool/bench/policy"
)

const policyHelp = `Drives the real routing and role planner over traces of requests with virtual
time, beside baselines and a bound in hindsight. Goodput is work finished
within all objectives, in engines' worth; docs/ENGINE-MODEL.md explains the
model and its figures. The same trace and seed give the same result.`

type policyCommand struct {
	Trace      string  `long:"trace" default:"all" description:"day, swings, steps, noise, oscillation, churn or all"`
	Seed       string  `long:"seed" default:"1" description:"a seed, or a range as 1-5; counts are summed, rates averaged"`
	Deployment string  `long:"deployment" default:"jadranski" description:"jadranski or halen"`
	Length     float64 `long:"length" description:"seconds of virtual time; 0 for the trace's own"`
	Overlap    float64 `long:"overlap" description:"share of a prompt's compute time hidden behind decode steps, 0 to 1"`
	Parallel   int     `long:"parallel" default:"2" description:"seeds run at once"`
	JSON       bool    `long:"json" description:"print JSON instead of tables"`
	Plot       string  `long:"plot" description:"write goodput over time, first seed, to FILE.svg or FILE.png; with several traces the name is put in"`
}

// traceReport is the JSON form of one trace.
type traceReport struct {
	Deployment string           `json:"deployment"`
	Trace      string           `json:"trace"`
	Systems    []policy.Summary `json:"systems"`
	Shortfalls []string         `json:"shortfalls"`
	Remarks    []string         `json:"remarks"`
}

// Execute runs the command.
func (c *policyCommand) Execute([]string) error {
	seeds, err := parseSeeds(c.Seed)
	if err != nil {
		return err
	}
	d, err := policy.NewDeployment(c.Deployment)
	if err != nil {
		return err
	}
	m := policy.DefaultModel()
	m.Overlap = c.Overlap
	names := []string{c.Trace}
	if c.Trace == "all" {
		names = policy.Traces
	}
	var reports []traceReport
	for _, name := range names {
		sums, each, err := policy.RunSeeds(name, seeds, d, &m, c.Length, c.Parallel)
		if err != nil {
			return err
		}
		reports = append(reports, traceReport{c.Deployment, name, sums, policy.Shortfalls(c.Deployment, sums), policy.Remarks(sums)})
		if err := c.plot(name, len(names), each[0]); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(reports)
	}
	return printTable(os.Stdout, reports)
}

// plot writes the plot of a trace if --plot is given.
func (c *policyCommand) plot(name string, traces int, results []policy.Result) error {
	if c.Plot == "" {
		return nil
	}
	file := c.Plot
	if dot := strings.LastIndexByte(file, '.'); traces > 1 && dot >= 0 {
		file = file[:dot] + "-" + name + file[dot:]
	}
	return writePlot(file, c.Deployment+", "+name, results)
}

// parseSeeds parses a seed, such as "7", or a range of seeds, such as "1-5".
func parseSeeds(s string) ([]uint64, error) {
	from, to, ranged := strings.Cut(s, "-")
	if !ranged {
		to = from
	}
	a, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("seed %q: %w", s, err)
	}
	b, err := strconv.ParseUint(to, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("seed %q: %w", s, err)
	}
	if b < a || b-a >= maxSeeds {
		return nil, fmt.Errorf("seeds %q: not a range of at most %d", s, maxSeeds)
	}
	var seeds []uint64
	for n := a; n <= b; n++ {
		seeds = append(seeds, n)
	}
	return seeds, nil
}

const maxSeeds = 100

func printTable(out io.Writer, reports []traceReport) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "deployment\ttrace\tsystem\tgoodput\tof bound\ttokens/s\trequests\trefused\tlate first\tlate between\tlost\tchanges\tlost/change")
	for _, r := range reports {
		for _, s := range r.Systems {
			pct := func(n int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(s.Offered, 1))) }
			fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.1f%%\t%.0f\t%d\t%s\t%s\t%s\t%d\t%d\t%.1f\n",
				r.Deployment, r.Trace, s.System, s.Goodput, 100*s.Share, s.Tokens, s.Offered,
				pct(s.Refused), pct(s.LateFirstToken), pct(s.LateBetweenTokens), s.Lost, s.Changes, s.LostPerChange)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		verdict := "all goals met"
		if len(r.Shortfalls) > 0 {
			verdict = "falls short: " + strings.Join(r.Shortfalls, "; ")
		}
		fmt.Fprintf(out, "%s, %s: %s\n", r.Deployment, r.Trace, verdict)
		for _, remark := range r.Remarks {
			fmt.Fprintf(out, "  but %s\n", remark)
		}
	}
	return nil
}
