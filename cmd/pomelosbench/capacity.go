package main

import (
	"fmt"
	"os"

	"github.com/pomelospool/pomelospool/bench/capacity"
)

const capacityHelp = `Measures how state, messages, processor time and memory of each role grow, and
works them out at the size of the target. Takes about six minutes. With --write
the tables of the page are written anew.`

type capacityCommand struct {
	Write string `long:"write" value-name:"FILE" description:"Page whose generated blocks are replaced"`
}

// Execute measures and prints or writes the tables.
func (c *capacityCommand) Execute([]string) error {
	say := func(what string) { fmt.Fprintln(os.Stderr, "capacity:", what) }
	r, err := capacity.Run(say)
	if err != nil {
		return err
	}
	if c.Write != "" {
		return r.WritePage(c.Write)
	}
	for _, name := range []string{"slopes", "roles", "appends", "traffic", "settled"} {
		fmt.Printf("%s\n\n%s\n", name, r.Blocks()[name])
	}
	return nil
}
