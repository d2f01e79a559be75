package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/pomelospool/pomelospool/operator/burnview"
	"github.com/pomelospool/pomelospool/process/status"
)

const burnHelp = `Merges the burn of all daemons named by --daemons: for each service and
objective how many times faster than allowed the budget is spent, over 5m, 1h,
6h and 3d, how much of the budget the last three days spent and by which codes.
A daemon that doesn't answer is named, and makes the exit code 5.`

type burnCommand struct {
	app  *app
	Orgs bool           `long:"orgs" description:"Show the organisations"`
	HTML flags.Filename `long:"html" value-name:"FILE" description:"Write one HTML page with plots, which opens without a network"`
}

// Execute queries all daemons and shows the merged burn.
func (c *burnCommand) Execute([]string) error {
	var view burnview.View
	err := c.app.queryDaemons("burn", func(ctx context.Context, client *status.Client, addrs []string) {
		view = burnview.Fetch(ctx, client, addrs, queryTimeout)
	})
	if err == nil {
		err = c.show(view)
	}
	if err == nil {
		err = unansweredError(len(view.Missing), view.Asked)
	}
	return err
}

func (c *burnCommand) show(view burnview.View) error {
	if c.HTML != "" {
		if err := c.writePage(view); err != nil {
			return err
		}
	}
	if c.app.JSON {
		return c.app.printJSON(view)
	}
	return view.Table(c.app.out, c.Orgs)
}

func (c *burnCommand) writePage(view burnview.View) error {
	file, err := os.Create(string(c.HTML))
	if err != nil {
		return err
	}
	if err := view.HTML(file); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	fmt.Fprintf(c.app.err, "burn: wrote %s\n", c.HTML)
	return nil
}
