package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/operator/caller"
)

const callHelp = `Gets an address from any daemon named by --callers, connects there and sends
one request: a prompt to a model (--model, tokens are streamed to stdout), or a
call of a plain service (--service, --path, --data). The prompt "-" is read
from stdin.

A call is sent again, to another address, only if it was not run. A prompt
whose stream is cut is sent again too, since it may run twice; the answer then
begins anew on a new line. A call with --key is sent again with the same key.`

type callCommand struct {
	app            *app
	Model          string        `long:"model" description:"Model that answers the prompt"`
	MaxTokens      int           `long:"max-tokens" default:"64" description:"Most tokens of the answer"`
	UseCompletions bool          `long:"completion" description:"Use /v1/completions in place of chat"`
	Service        string        `long:"service" description:"Plain service to call"`
	Path           string        `long:"path" default:"/" description:"Path within the plain service"`
	Method         string        `long:"method" default:"POST" description:"HTTP method of a plain call"`
	Data           string        `long:"data" description:"Body of a plain call; - reads stdin"`
	Type           string        `long:"type" default:"application/json" description:"Content type of a plain call"`
	ID             string        `long:"id" description:"Request id; made when left out"`
	Deadline       time.Duration `long:"deadline" default:"30s" description:"Time until the whole answer"`
	Priority       int           `long:"priority" choice:"-1" choice:"0" choice:"1" default:"0" description:"Priority"`
	Org            string        `long:"org" description:"Organisation that the call counts for"`
	Key            string        `long:"key" description:"Idempotency-Key of a call that may run at most once"`
	NoRestart      bool          `long:"no-restart" description:"Don't send a prompt again whose stream was cut"`
	Args           struct {
		Prompt []string `positional-arg-name:"PROMPT" description:"Words of the prompt"`
	} `positional-args:"yes"`
}

// callReport is the JSON output of the call command.
type callReport struct {
	*caller.Answer
	Text  string `json:"text"`
	Error string `json:"error,omitempty"`
}

// Execute sends one request.
func (c *callCommand) Execute([]string) error {
	req, err := c.request()
	if err != nil {
		return err
	}
	client, err := c.app.callerClient(caller.Options{Seed: rand.Uint64()})
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(c.app.ctx, c.Deadline+queryTimeout)
	defer cancel()
	printer := &tokenPrinter{c: c}
	if req.Stream {
		req.OnToken = printer.token
	}
	var a *caller.Answer
	err = c.app.progress(fixedText("call: waiting for the answer"), func() error {
		a, err = client.Do(ctx, req)
		return err
	})
	return c.report(a, printer, err)
}

func (c *callCommand) request() (caller.Request, error) {
	var r caller.Request
	switch {
	case (c.Model == "") == (c.Service == ""):
		return r, usageError("give either --model and a prompt, or --service")
	case c.Model != "":
		prompt, err := c.readArgument(strings.Join(c.Args.Prompt, " "))
		if err != nil {
			return r, err
		}
		if prompt == "" {
			return r, usageError("give a prompt, or - to read it from stdin")
		}
		r = caller.Chat(c.Model, prompt, c.MaxTokens)
		if c.UseCompletions {
			r = caller.Completion(c.Model, prompt, c.MaxTokens)
		}
		r.Idempotent = !c.NoRestart
	default:
		data, err := c.readArgument(c.Data)
		if err != nil {
			return r, err
		}
		r = caller.Request{
			Method: c.Method,
			Path:   "/s/" + c.Service + "/" + strings.TrimPrefix(c.Path, "/"),
			Body:   []byte(data),
			Type:   c.Type,
		}
	}
	r.ID, r.Deadline, r.Priority, r.Org, r.Key = c.ID, c.Deadline, c.Priority, c.Org, c.Key
	return r, nil
}

// readArgument returns v, or the contents of stdin if v is "-".
func (c *callCommand) readArgument(v string) (string, error) {
	if v != "-" {
		return v, nil
	}
	data, err := io.ReadAll(c.app.in)
	if err != nil {
		return "", fmt.Errorf("read stdin: %w", err)
	}
	return string(data), nil
}

// tokenPrinter prints tokens as they arrive and collects the text for the JSON.
type tokenPrinter struct {
	c    *callCommand
	text strings.Builder
}

func (p *tokenPrinter) token(t caller.Token) {
	if t.Index == 0 && p.text.Len() > 0 {
		p.text.Reset()
		p.end()
		fmt.Fprintln(p.c.app.err, "call: the stream was cut, the answer begins anew")
	}
	p.text.WriteString(t.Text)
	if !p.c.app.JSON {
		p.c.app.printf("%s", t.Text)
	}
}

func (p *tokenPrinter) end() {
	if !p.c.app.JSON {
		p.c.app.printf("\n")
	}
}

func (c *callCommand) report(a *caller.Answer, p *tokenPrinter, err error) error {
	if c.app.JSON {
		r := callReport{Answer: a, Text: p.text.String()}
		if r.Text == "" {
			r.Text = string(a.Body)
		}
		if err != nil {
			r.Error = err.Error()
		}
		return errors.Join(c.app.printJSON(r), err)
	}
	if p.text.Len() > 0 {
		p.end()
	}
	if err != nil {
		fmt.Fprintf(c.app.err, "call: request %s, %d attempts, last at %s, not run: %t\n", a.ID, a.Attempts, a.Addr, a.NotRun)
		return err
	}
	if len(a.Body) > 0 {
		c.app.printf("%s\n", strings.TrimRight(string(a.Body), "\n"))
	}
	if a.Status >= errorStatus {
		return code.New(code.TargetRefused, "the target answered with status %d", a.Status)
	}
	return nil
}

// errorStatus is the lowest HTTP status that denotes an error.
const errorStatus = 400
