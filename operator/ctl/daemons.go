package ctl

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/status"
)

// askTimeout bounds one question to one daemon.
const askTimeout = 2 * time.Second

// daemons returns the operators' ports, or a usage error.
func (a *app) daemons() ([]string, error) {
	list := split(a.Daemons)
	if len(list) == 0 {
		return nil, usageError("name the daemons' operators' ports by --daemons or POMELOS_DAEMONS")
	}
	return list, nil
}

// operators returns a client for the operators' ports.
func (a *app) operators() (*status.Client, error) {
	conf, err := a.tls()
	if err != nil {
		return nil, err
	}
	token := ""
	if a.Token != "" {
		data, err := os.ReadFile(a.Token)
		if err != nil {
			return nil, fmt.Errorf("read token: %w", err)
		}
		token = strings.TrimSpace(string(data))
	}
	return status.NewClient(conf, token), nil
}

// fleet returns the operators' ports and a client for them, which the caller
// closes.
func (a *app) fleet() ([]string, *status.Client, error) {
	addrs, err := a.daemons()
	if err != nil {
		return nil, nil, err
	}
	client, err := a.operators()
	return addrs, client, err
}

// askDaemons runs ask, with progress in the name of the command.
func (a *app) askDaemons(command string, ask func(context.Context, *status.Client, []string)) error {
	addrs, client, err := a.fleet()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := a.withTimeout()
	defer cancel()
	return a.progress(saying(command+": asking the daemons"), func() error {
		ask(ctx, client, addrs)
		return nil
	})
}

// missing is the error of a command that printed what the others answered.
func missing(n, asked int) error {
	if n == 0 {
		return nil
	}
	return reported{code.New(code.DaemonUnreachable, "%d of %d daemons didn't answer", n, asked)}
}
