// Command pomelosbench runs the project's benchmarks, one per sub-command.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() { os.Exit(run()) }

func run() int {
	parser := flags.NewParser(nil, flags.Default)
	parser.LongDescription = "Measures pomelospool. Each sub-command drives the real code."
	add(parser, "policy", "Goodput and role changes over traces", policyHelp, &policyCommand{})
	addChaos(parser)
	if _, err := parser.Parse(); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return 0
		}
		return 1
	}
	return 0
}

// add registers a sub-command. It panics on an error, which is a programming
// error.
func add(p *flags.Parser, name, short, long string, cmd flags.Commander) {
	if _, err := p.AddCommand(name, short, long, cmd); err != nil {
		panic(err)
	}
}
