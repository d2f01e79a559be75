// Command pomelosctl is the command line tool for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pomelospool/pomelospool/operator/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
