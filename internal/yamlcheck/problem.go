// Package yamlcheck decodes YAML strictly into structs. It reports unknown
// keys, wrong types and duplicates with their line and column. It keeps the
// position of every key, so that later checks of ranges and consistency can
// report positions too.
package yamlcheck

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/pomelospool/pomelospool/code"
)

// Problem is one error in a file.
type Problem struct {
	File     string    `json:"file"`
	Line     int       `json:"line"`   // from 1
	Column   int       `json:"column"` // from 1
	Key      string    `json:"key"`    // path such as targets[2].addr; empty for the whole file
	Message  string    `json:"what"`   // description of the error
	Expected string    `json:"right"`  // description of a correct value
	Code     code.Code `json:"code"`   // 4001 to 4008
}

// Error returns the problem in one line: FILE:LINE:COL: KEY: what; right (code
// N).
func (p *Problem) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Key != "" {
		b.WriteString(strings.Map(replaceUnprintable, p.Key) + ": ")
	}
	fmt.Fprintf(&b, "%s; %s (code %d)", p.Message, p.Expected, int(p.Code))
	return b.String()
}

// replaceUnprintable replaces runes that aren't printable, such as line breaks,
// to keep a problem on one line.
func replaceUnprintable(r rune) rune {
	if unicode.IsPrint(r) {
		return r
	}
	return unicode.ReplacementChar
}

// Problems combines all problems of a file in one error. code.Of returns the
// code of the first one.
type Problems []*Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the first problem as a *code.Error.
func (ps Problems) Unwrap() error {
	if len(ps) == 0 {
		return nil
	}
	return code.New(ps[0].Code, "%s", ps[0].Error())
}

// AsError returns nil if there are no problems, and Problems otherwise.
func AsError(ps []*Problem) error {
	if len(ps) == 0 {
		return nil
	}
	return Problems(ps)
}
