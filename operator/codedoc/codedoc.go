// Package codedoc generates docs/CODES.md from the table in package code.
package codedoc

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/pomelospool/pomelospool/code"
)

// group is a range of a thousand codes.
type group struct {
	thousand      code.Code
	title         string
	about         string
	aboutRequests bool // callers receive its codes as results of their requests
}

var groups = []group{
	{0, "Answered", "", true},
	{1, "1xxx: admission", "Refusals before any target was chosen.", true},
	{2, "2xxx: attempts", "What became of the attempts at targets.", true},
	{3, "3xxx: at most once", "Calls that may not be repeated, by their `Idempotency-Key`.", true},
	{4, "4xxx: documents and settings", "Each problem is one line: `FILE:LINE:COLUMN: KEY: what is wrong; what would be right (code N)`. A file with a problem has no effect at all.", false},
	{5, "5xxx: agreement", "Publishing, leases and orders.", false},
	{6, "6xxx: daemons and operators", "Calls between daemons, and operators' calls.", false},
}

const intro = `# Numbered codes

Made from the table in package ` + "`code`" + `; don't edit it here. To make it anew:
` + "`go test ./operator/codedoc -update`" + `. ` + "`pomelosctl explain CODE`" + ` prints one.

A refusal travels as the HTTP status given here, with ` + "`X-Result-Code`" + `, with
` + "`X-Not-Run: true`" + ` if nothing was run, and with ` + "`Retry-After`" + ` where that helps.
"Was it run" says whether the request reached a target: "no" is a promise, and
such a request may be sent again; "maybe" is not, and a call that must not be
repeated has to be checked first.
`

// Ran returns whether a request that ended with the code was run: "yes", "no" or
// "maybe", or "-" for codes that aren't about requests.
func Ran(i code.Info) string {
	g := groupOf(i.Code)
	switch {
	case i.Code == code.OK:
		return "yes"
	case i.NotRun:
		return "no"
	case g.aboutRequests, i.Code == code.Internal:
		return "maybe"
	}
	return "-"
}

// Markdown returns the contents of docs/CODES.md.
func Markdown() []byte {
	var b strings.Builder
	b.WriteString(intro)
	for _, g := range groups {
		fmt.Fprintf(&b, "\n## %s\n\n", g.title)
		if g.about != "" {
			fmt.Fprintf(&b, "%s\n\n", g.about)
		}
		b.WriteString("| code | name | HTTP status | was it run | meaning | what to do |\n|---|---|---|---|---|---|\n")
		for _, i := range code.All() {
			if i.Code/1000 == g.thousand {
				writeRow(&b, i)
			}
		}
	}
	return []byte(b.String())
}

func writeRow(b *strings.Builder, i code.Info) {
	status := fmt.Sprint(i.Status)
	if text := http.StatusText(i.Status); text != "" {
		status += " " + text
	}
	fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %s |\n", int(i.Code), i.Name, status, Ran(i), i.Meaning, i.Action)
}

func groupOf(c code.Code) group {
	for _, g := range groups {
		if c/1000 == g.thousand {
			return g
		}
	}
	return group{}
}
