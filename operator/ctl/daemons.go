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

// queryTimeout bounds one query to one daemon.
const queryTimeout = 2 * time.Second

// daemons returns the operators' ports named by --daemons, or a usage error.
func (a *app) daemons() ([]string, error) {
	list := split(a.Daemons)
	if len(list) == 0 {
		return nil, usageError("name the daemons' operators' ports by --daemons or POMELOS_DAEMONS")
	}
	return list, nil
}

// statusClient returns a client for the operators' ports.
func (a *app) statusClient() (*status.Client, error) {
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

// daemonsAndClient returns the operators' ports and a client for them. The
// function's caller closes the client.
func (a *app) daemonsAndClient() ([]string, *status.Client, error) {
	addrs, err := a.daemons()
	if err != nil {
		return nil, nil, err
	}
	client, err := a.statusClient()
	return addrs, client, err
}

// queryDaemons calls query with a client and the operators' ports, and prints
// progress in the name of the command.
func (a *app) queryDaemons(command string, query func(context.Context, *status.Client, []string)) error {
	addrs, client, err := a.daemonsAndClient()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := a.withTimeout()
	defer cancel()
	return a.progress(fixedText(command+": asking the daemons"), func() error {
		query(ctx, client, addrs)
		return nil
	})
}

// unansweredError returns an error if n of the queried daemons didn't answer. The
// command has printed the answers of the others.
func unansweredError(n, queried int) error {
	if n == 0 {
		return nil
	}
	return printedError{code.New(code.DaemonUnreachable, "%d of %d daemons didn't answer", n, queried)}
}
