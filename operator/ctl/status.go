package ctl

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/pomelospool/pomelospool/process/status"
)

const statusHelp = `Asks every daemon named by --daemons. A daemon that doesn't answer is named
with its code, counts among those asked and makes the exit code 5. With
--service only that service and its targets are shown.`

type statusCommand struct {
	app     *app
	Service string `long:"service" description:"Show this service only"`
	Targets bool   `long:"targets" description:"Show the targets as each daemon sees them"`
	Members bool   `long:"members" description:"Show the members as each daemon sees them"`
}

// Execute queries all daemons and prints their status.
func (c *statusCommand) Execute([]string) error {
	var fleet status.Fleet
	err := c.app.queryDaemons("status", func(ctx context.Context, client *status.Client, addrs []string) {
		fleet = client.Fetch(ctx, addrs, queryTimeout)
	})
	if err != nil {
		return err
	}
	if c.app.JSON {
		err = c.app.printJSON(fleet)
	} else {
		c.print(fleet)
	}
	if err == nil {
		err = unansweredError(fleet.Queried-fleet.Answered, fleet.Queried)
	}
	return err
}

func (c *statusCommand) print(f status.Fleet) {
	for _, s := range f.Services {
		if c.Service == "" || c.Service == s.Name {
			c.app.printf("version %d of %s in force on %d of %d daemons\n", s.Version, s.Name, s.InForce, s.Queried)
		}
	}
	w := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DAEMON\tZONE\tADDRESS\tSTATE\tAPPLIED\tMEMBERS\tLEASES\tTARGETS")
	for _, d := range f.Daemons {
		if d.Status == nil {
			fmt.Fprintf(w, "?\t?\t%s\t%d %s\t\t\t\t\n", d.Addr, int(d.Code), d.Code.Info().Name)
			continue
		}
		s := d.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\n", s.Daemon, s.Zone, d.Addr, s.State, s.Applied, s.MemberCount(), len(s.Leases), s.TargetCount())
	}
	_ = w.Flush()
	c.printDetails(f)
	for _, d := range f.Daemons {
		if d.Status == nil {
			fmt.Fprintf(c.app.err, "%s: %s\n", d.Addr, d.Error)
		}
	}
}

func (c *statusCommand) printDetails(f status.Fleet) {
	w := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
	for _, d := range f.Daemons {
		if d.Status == nil {
			continue
		}
		if c.Members {
			c.printMembers(w, d.Status)
		}
		if c.Targets {
			c.printTargets(w, d.Status)
		}
	}
	_ = w.Flush()
}

func (c *statusCommand) printMembers(w *tabwriter.Writer, s *status.Status) {
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s sees\t%s\t%s\t%s\tapplied %d\n", s.Daemon, m.Daemon, m.Zone, m.State, m.Applied)
	}
}

func (c *statusCommand) printTargets(w *tabwriter.Writer, s *status.Status) {
	for _, t := range s.Targets {
		if c.Service != "" && c.Service != t.Service {
			continue
		}
		fmt.Fprintf(w, "%s sees\t%s/%s\t%s\t%s\t%s\t%d in flight\n", s.Daemon, t.Service, t.Name, t.Zone, t.Role, t.State, t.InFlight)
	}
}
