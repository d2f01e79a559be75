package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/pomelospool/pomelospool/bench/audit"
)

const demoHelp = `Compares what the callers of the demo got with what the targets recorded, and
fails if a request was lost, doubled, crossed or cut.`

// keyPrefix is what the demo's keys begin with; the call's number follows.
const keyPrefix = "c-"

type demoCommand struct {
	Load   string `long:"load" required:"true" value-name:"FILE" description:"Summary of pomelosctl load --json"`
	Calls  string `long:"calls" required:"true" value-name:"FILE" description:"Outcomes of the calls that may not be repeated"`
	Record string `long:"record" required:"true" value-name:"FILE" description:"What the plain service recorded"`
}

var errFaulty = errors.New("not every request was answered once and whole")

// Execute prints the table.
func (c *demoCommand) Execute([]string) error {
	var l audit.Load
	if err := readJSON(c.Load, &l); err != nil {
		return err
	}
	var p audit.Plain
	if err := readJSON(c.Record, &p); err != nil {
		return err
	}
	f, err := os.Open(c.Calls)
	if err != nil {
		return err
	}
	defer f.Close()
	calls, err := audit.ReadCalls(f)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Calls, err)
	}
	streams, once := audit.Streams(l), audit.Once(calls, p, keyPrefix)
	audit.Table(os.Stdout, []string{"streams", "confirmations"}, []audit.Verdict{streams, once})
	if !streams.Good() || !once.Good() {
		return errFaulty
	}
	return nil
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
