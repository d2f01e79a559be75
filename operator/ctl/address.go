package ctl

import (
	"time"

	"github.com/pomelospool/pomelospool/operator/caller"
)

const addressHelp = `Asks one of the daemons named by --callers which addresses callers may use,
and for how long.`

type addressCommand struct{ app *app }

// addressReport is the JSON output of the address command.
type addressReport struct {
	caller.Addresses
	From string `json:"from"` // address of the daemon that answered
}

// Execute queries one daemon for addresses and prints them.
func (c *addressCommand) Execute([]string) error {
	client, err := c.app.callerClient(caller.Options{})
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	var r addressReport
	err = c.app.progress(fixedText("address: asking the daemons"), func() error {
		r.Addresses, r.From, err = client.Addresses(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(r)
	}
	for _, a := range r.Addresses.Addresses {
		c.app.printf("%s\t%s\n", a.Addr, a.Zone)
	}
	c.app.printf("may be kept for %s (from %s)\n", time.Duration(r.TTLMs)*time.Millisecond, r.From)
	return nil
}

// callerClient returns a client for the daemons named by --callers, with the
// addresses and TLS of the command line in place of those of o.
func (a *app) callerClient(o caller.Options) (*caller.Client, error) {
	daemons, err := a.callers()
	if err != nil {
		return nil, err
	}
	conf, err := a.tls()
	if err != nil {
		return nil, err
	}
	o.Daemons, o.Zone, o.TLS = daemons, a.Zone, conf
	return caller.New(o), nil
}
