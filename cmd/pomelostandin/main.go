// Command pomelostandin runs a small stand-in for an external system of
// pomelospool: a log service, VM list, weight store, model engine or plain
// service. It is for tests and the demo.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// exitCrash is the exit status of a stand-in that crashes on a fault command.
const exitCrash = 3

// options has one field for each sub-command.
type options struct {
	Log     logCmd     `command:"log" description:"append-only log service"`
	VMs     vmsCmd     `command:"vms" description:"list of VMs"`
	Weights weightsCmd `command:"weights" description:"weight store"`
	Engine  engineCmd  `command:"engine" description:"model engine"`
	Plain   plainCmd   `command:"plain" description:"plain service"`
}

func main() {
	parser := flags.NewParser(&options{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Each stand-in takes faults at POST /_standin/fault and tells what it saw at GET /_standin/record."
	_, err := parser.Parse()
	var flagsErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, "pomelostandin:", err)
		os.Exit(1)
	}
}

// server is implemented by every stand-in.
type server interface {
	Run(addr string) error
	Addr() string
	Close() error
}

// listen holds the options that all sub-commands share.
type listen struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"host and port to listen on"`
}

// serve runs s until SIGTERM or SIGINT.
func (l listen) serve(s server) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	if err := s.Run(l.Listen); err != nil {
		return err
	}
	fmt.Println("listening on", s.Addr())
	<-stop
	return s.Close()
}

func crash() { os.Exit(exitCrash) }
