// Package ctl implements pomelosctl, the command line tool of operators and
// callers.
package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/yamlcheck"
)

// globals holds the options common to all commands.
type globals struct {
	Log     string        `long:"log" env:"POMELOS_LOG" value-name:"URL" description:"Base URL of the log service"`
	Daemons []string      `long:"daemons" env:"POMELOS_DAEMONS" env-delim:"," value-name:"HOST:PORT" description:"Operators' ports of all daemons; repeat it or separate by commas"`
	Callers []string      `long:"callers" env:"POMELOS_CALLERS" env-delim:"," value-name:"HOST:PORT" description:"Callers' ports of some daemons; repeat it or separate by commas"`
	Zone    string        `long:"zone" env:"POMELOS_ZONE" description:"The caller's availability zone, whose daemons are preferred"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"Longest wait of the whole command"`
	JSON    bool          `long:"json" description:"Write the result as JSON"`
	CA      string        `long:"ca" value-name:"FILE" description:"CA of the daemons' certificates; plain TCP without it"`
	Token   string        `long:"token" value-name:"FILE" description:"File with the operators' token"`
}

// app holds the common options, the streams and the context of a command.
type app struct {
	globals
	ctx context.Context
	in  io.Reader
	out io.Writer
	err io.Writer

	printedJSON bool
}

// Main runs the command line and returns one of the Exit codes.
func Main(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{ctx: ctx, in: in, out: out, err: errOut}
	parser := newParser(a)
	_, err := parser.ParseArgs(args)
	return a.exit(err)
}

// newParser returns the parser of the command line with all commands.
func newParser(a *app) *flags.Parser {
	parser := flags.NewNamedParser("pomelosctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Operators' and callers' tool of pomelospool.\n\n" + exitHelp
	mustAdd(parser.AddGroup("Common options", "", &a.globals))
	add := func(name, short, long string, data any) {
		mustAdd(parser.AddCommand(name, short, withExamples(name, long), data))
	}
	add("publish", "Bring a service document into force", publishHelp, &publishCommand{app: a})
	add("check", "Check documents and settings offline", checkHelp, &checkCommand{app: a})
	add("status", "Say what is in force on which daemons", statusHelp, &statusCommand{app: a})
	add("address", "Ask for the addresses that callers may use", addressHelp, &addressCommand{app: a})
	add("call", "Send one request as a caller", callHelp, &callCommand{app: a})
	add("load", "Send load and measure the answers", loadHelp, &loadCommand{app: a})
	add("burn", "Say how fast the services spend their error budgets", burnHelp, &burnCommand{app: a})
	add("explain", "Explain a numbered code", explainHelp, &explainCommand{app: a})
	add("trace", "Print what the log says of a request", traceHelp, &traceCommand{app: a})
	add("completion", "Print the shell's completion script", completionHelp, &completionCommand{app: a})
	add("version", "Print the version", "Prints the version of this build.", &versionCommand{app: a})
	return parser
}

// mustAdd panics if a command's struct tags are malformed, which is a bug in this
// package.
func mustAdd[T any](_ T, err error) {
	if err != nil {
		panic(err)
	}
}

// exit prints err and returns the exit code.
func (a *app) exit(err error) int {
	if err == nil {
		return ExitOK
	}
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Fprintln(a.out, f.Message)
		return ExitOK
	}
	var printed printedError
	if !errors.As(err, &printed) {
		fmt.Fprintln(a.err, "pomelosctl: "+err.Error())
		a.printAction(err)
	}
	exit := exitOf(err)
	if a.JSON && !a.printedJSON {
		_ = a.printJSON(newFailure(err, exit))
	}
	return exit
}

// failure is the JSON output of a command that failed before it had a result.
type failure struct {
	Exit  int       `json:"exit"`
	Code  code.Code `json:"code,omitempty"` // omitted for usage errors
	Name  string    `json:"name,omitempty"`
	Error string    `json:"error"`
}

func newFailure(err error, exit int) failure {
	f := failure{Exit: exit, Error: err.Error()}
	if exit != ExitUsage {
		f.Code = code.Of(err)
		f.Name = f.Code.Info().Name
	}
	return f
}

// printAction prints what to do about an error with a code. Problems of a file
// get no advice, because each of them says what would be right.
func (a *app) printAction(err error) {
	var coded *code.Error
	var problems yamlcheck.Problems
	if errors.As(err, &coded) && !errors.As(err, &problems) {
		fmt.Fprintln(a.err, "what to do: "+coded.Code.Info().Action)
	}
}

// usageError is a fault of the command line.
type usageError string

func (u usageError) Error() string { return string(u) }

// printedError is an error whose details the command has already printed.
type printedError struct{ error }

func (e printedError) Unwrap() error { return e.error }

// withTimeout returns a context bounded by --timeout.
func (a *app) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.Timeout)
}

// printJSON writes v as indented JSON to stdout.
func (a *app) printJSON(v any) error {
	a.printedJSON = true
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.out, format, args...) }

// callers returns the callers' ports named by --callers, or a usage error.
func (a *app) callers() ([]string, error) {
	list := split(a.Callers)
	if len(list) == 0 {
		return nil, usageError("name callers' ports of some daemons by --callers or POMELOS_CALLERS")
	}
	return list, nil
}

// split splits each item at commas and spaces.
func split(list []string) []string {
	return strings.FieldsFunc(strings.Join(list, ","), func(r rune) bool { return r == ',' || r == ' ' })
}

// tls returns the TLS configuration of clients, or nil without --ca.
func (a *app) tls() (*tls.Config, error) {
	if a.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, fmt.Errorf("read CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("no certificate in %s", a.CA)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
