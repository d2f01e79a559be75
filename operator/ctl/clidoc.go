package ctl

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/pomelospool/pomelospool/code"
)

// examples holds the example command lines of each command, which the help and
// docs/CLI.md show.
var examples = map[string][]string{
	"publish": {
		"pomelosctl publish --log http://10.1.1.2:9000 --daemons 10.1.1.5:7002,10.1.2.5:7002 --wait halen-language.yaml",
		"pomelosctl publish --log http://10.1.1.2:9000 --remove halen-language.yaml",
	},
	"check":      {"pomelosctl check halen-language.yaml pomelospoold.yaml"},
	"status":     {"pomelosctl status --daemons 10.1.1.5:7002,10.1.2.5:7002 --targets"},
	"address":    {"pomelosctl address --callers 10.1.1.5:7000 --zone hall-a"},
	"call":       {"pomelosctl call --callers 10.1.1.5:7000 --model halen-briefings --max-tokens 32 Draft a letter", "pomelosctl call --callers 10.1.1.5:7000 --service halen-application --path /holds --data seat=7 --key family-7"},
	"load":       {"pomelosctl load --callers 10.1.1.5:7000,10.1.2.5:7000 --model halen-briefings --rate 20 --duration 1m --plot load.svg"},
	"burn":       {"pomelosctl burn --daemons 10.1.1.5:7002,10.1.2.5:7002 --html burn.html"},
	"explain":    {"pomelosctl explain 5001"},
	"trace":      {"pomelosctl trace 6be891a605324f4d"},
	"completion": {"pomelosctl completion bash"},
	"version":    {"pomelosctl version --json"},
}

// withExamples appends the examples of a command to its help.
func withExamples(command, help string) string {
	title := "\n\nExample:\n  "
	if len(examples[command]) > 1 {
		title = "\n\nExamples:\n  "
	}
	return help + title + strings.Join(examples[command], "\n  ")
}

const cliIntro = `# The command line

Made from the program; don't edit it here. To make it anew:
` + "`go test ./operator/ctl -run TestCommandLinePage -update`" + `.

Every command takes the common options. Results go to stdout, all else to
stderr. With ` + "`--json`" + ` stdout holds one JSON value, also when the command
failed before it had a result: ` + "`{\"exit\":…,\"code\":…,\"name\":…,\"error\":…}`" + `
(` + "`--help`" + ` and an unknown command or option excepted).
`

// Markdown returns the contents of docs/CLI.md.
func Markdown() []byte {
	var b strings.Builder
	parser := newParser(&app{})
	b.WriteString(cliIntro)
	b.WriteString("\n## Exit codes\n\n")
	writeExitCodes(&b)
	b.WriteString("\n## Common options\n\n")
	for _, g := range parser.Groups() {
		writeOptions(&b, g.Options())
	}
	for _, c := range parser.Commands() {
		writeCommand(&b, c)
	}
	return []byte(b.String())
}

var exitMeanings = []struct {
	exit    int
	meaning string
}{
	{ExitOK, "done"},
	{ExitFailed, "failed, or the file has problems"},
	{ExitUsage, "wrong usage"},
	{ExitRefused, "refused, and nothing was run or changed"},
	{ExitUnknown, "the outcome is unknown, it may have run"},
	{ExitUnreachable, "the log or a daemon can't be reached"},
}

func writeExitCodes(b *strings.Builder) {
	b.WriteString("| exit code | meaning | numbered codes |\n|---|---|---|\n")
	for _, e := range exitMeanings {
		var codes []string
		for _, i := range code.All() {
			if exitOfCode(i.Code) == e.exit {
				codes = append(codes, fmt.Sprint(int(i.Code)))
			}
		}
		fmt.Fprintf(b, "| %d | %s | %s |\n", e.exit, e.meaning, strings.Join(codes, " "))
	}
}

func writeCommand(b *strings.Builder, c *flags.Command) {
	fmt.Fprintf(b, "\n## %s\n\n%s.\n\n```text\n%s\n```\n", c.Name, c.ShortDescription, c.LongDescription)
	for _, a := range c.Args() {
		fmt.Fprintf(b, "\n`%s`: %s.\n", a.Name, a.Description)
	}
	if len(c.Options()) > 0 {
		b.WriteString("\n")
		writeOptions(b, c.Options())
	}
}

func writeOptions(b *strings.Builder, options []*flags.Option) {
	b.WriteString("| option | default | meaning |\n|---|---|---|\n")
	for _, o := range options {
		meaning := o.Description
		if o.EnvDefaultKey != "" {
			meaning += "; also by `" + o.EnvDefaultKey + "`"
		}
		fmt.Fprintf(b, "| `--%s` | %s | %s |\n", o.LongName+valueName(o), defaultOf(o), meaning)
	}
}

// valueName returns the placeholder of an option's value, which is empty for a
// switch.
func valueName(o *flags.Option) string {
	switch {
	case o.Field().Type.Kind() == reflect.Bool:
		return ""
	case o.ValueName != "":
		return "=" + o.ValueName
	case len(o.Choices) > 0:
		return "=" + strings.Join(o.Choices, "\\|")
	}
	return "=" + strings.ToUpper(o.LongName)
}

func defaultOf(o *flags.Option) string {
	if o.DefaultMask != "" {
		return o.DefaultMask
	}
	return strings.Join(o.Default, ", ")
}
