package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/yamlcheck"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/status"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/publish"
)

const publishHelp = `Checks the document, appends it to the log and waits for the verdict.

Without --base the version in force now is the base, so that nothing is
published that is in force already. Give --base with the version that you
changed: should another operator have been faster, you get code 5001 with the
winner. The same file on the same base counts once, so it is safe to publish
it again after code 5002. --wait also waits until every daemon named by
--daemons has the version in force. --remove ends the service that the
document names.`

// statusPollInterval is the time between two queries of all daemons.
const statusPollInterval = 200 * time.Millisecond

type publishCommand struct {
	app    *app
	Base   int64 `long:"base" default:"-1" default-mask:"the version in force" value-name:"VERSION" description:"Version that this file replaces, 0 for a new service"`
	Wait   bool  `long:"wait" description:"Wait until the version is in force on every daemon"`
	Remove bool  `long:"remove" description:"End the document's service instead"`
	Args   struct {
		File flags.Filename `positional-arg-name:"FILE" description:"Service document"`
	} `positional-args:"yes" required:"yes"`
}

// publishReport is the JSON output of the publish command.
type publishReport struct {
	publish.Result
	Code           code.Code `json:"code"`
	Error          string    `json:"error,omitempty"`
	AlreadyInForce bool      `json:"in_force_already,omitempty"`
	InForceOn      int       `json:"on,omitempty"` // with --wait: daemons that have the version in force
	Queried        int       `json:"of,omitempty"`
}

// Execute publishes or removes one document.
func (c *publishCommand) Execute([]string) error {
	data, err := os.ReadFile(string(c.Args.File))
	if err != nil {
		return err
	}
	doc, problems := document.Parse(string(c.Args.File), data)
	if err := yamlcheck.AsError(problems); err != nil {
		return err
	}
	log, err := c.app.log()
	if err != nil {
		return err
	}
	defer log.Close()
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	var report publishReport
	err = c.app.progress(fixedText("publish: waiting for the log's verdict on "+doc.Service), func() error {
		report, err = c.publish(ctx, log, doc.Service, data)
		return err
	})
	if err == nil && c.Wait {
		err = c.waitForAll(ctx, &report)
	}
	return c.report(report, err)
}

func (c *publishCommand) publish(ctx context.Context, log port.Log, service string, data []byte) (publishReport, error) {
	p := &publish.Publisher{Log: log, Writer: "pomelosctl-" + uuid.NewString()}
	base := c.Base
	if base < 0 {
		now, err := p.Current(ctx, service)
		if err != nil {
			return publishReport{}, err
		}
		base = now.Version
		if now.YAML == c.newText(data) {
			r := publish.Result{Service: service, Base: base, Version: base, Newest: base, Duplicate: true}
			return publishReport{Result: r, AlreadyInForce: true}, nil
		}
	}
	if c.Remove {
		r, err := p.Remove(ctx, service, base)
		return publishReport{Result: r}, err
	}
	r, err := p.Publish(ctx, service, base, data)
	return publishReport{Result: r}, err
}

// newText returns the text to bring into force, which is empty for a removal.
func (c *publishCommand) newText(data []byte) string {
	if c.Remove {
		return ""
	}
	return string(data)
}

// waitForAll polls the daemons until all of them have the version in force.
func (c *publishCommand) waitForAll(ctx context.Context, report *publishReport) error {
	addrs, client, err := c.app.daemonsAndClient()
	if err != nil {
		return err
	}
	defer client.Close()
	describe := func() string { return fmt.Sprintf("publish: waiting for all of %d daemons", len(addrs)) }
	return c.app.progress(describe, func() error {
		tick := time.NewTicker(statusPollInterval)
		defer tick.Stop()
		for {
			report.InForceOn, report.Queried = 0, len(addrs)
			for _, d := range client.Fetch(ctx, addrs, queryTimeout).Daemons {
				if d.Status != nil && c.applied(d.Status, report.Result) {
					report.InForceOn++
				}
			}
			if report.InForceOn == report.Queried {
				return nil
			}
			select {
			case <-ctx.Done():
				return code.New(code.DaemonUnreachable, "version %d of %s is in force on %d of %d daemons", report.Version, report.Service, report.InForceOn, report.Queried)
			case <-tick.C:
			}
		}
	})
}

// applied reports whether the daemon of s has r or a later version in force.
func (c *publishCommand) applied(s *status.Status, r publish.Result) bool {
	if c.Remove {
		return s.VersionOf(r.Service) == 0
	}
	return s.VersionOf(r.Service) >= r.Version
}

func (c *publishCommand) report(r publishReport, err error) error {
	if c.app.JSON {
		r.Code = code.Of(err)
		if err != nil {
			r.Error = err.Error()
		}
		return errors.Join(c.app.printJSON(r), err)
	}
	if err != nil {
		return err
	}
	switch {
	case r.AlreadyInForce && c.Remove:
		c.app.printf("%s: isn't in force\n", r.Service)
	case c.Remove:
		c.app.printf("%s: ended by version %d on base %d\n", r.Service, r.Version, r.Base)
	case r.AlreadyInForce:
		c.app.printf("%s: this file is in force already, version %d\n", r.Service, r.Version)
	case r.Newest > r.Version:
		c.app.printf("%s: version %d was accepted before; version %d is in force now\n", r.Service, r.Version, r.Newest)
	default:
		c.app.printf("%s: version %d accepted on base %d\n", r.Service, r.Version, r.Base)
	}
	if r.Queried > 0 {
		c.app.printf("%s: version %d in force on %d of %d daemons\n", r.Service, r.Version, r.InForceOn, r.Queried)
	}
	return nil
}
