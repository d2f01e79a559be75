// Package yamlcheck decodes YAML strictly into structs. It reports each
// unknown key, wrong type and duplicate with its line and column, and keeps
// the position of every key, so that later checks of ranges and consistency
// can name the place too.
package yamlcheck

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/pomelospool/pomelospool/code"
)

// Problem is one fault of a file.
type Problem struct {
	File   string    `json:"file"`
	Line   int       `json:"line"`   // from 1
	Column int       `json:"column"` // from 1
	Key    string    `json:"key"`    // path as targets[2].addr, empty for the file as a whole
	What   string    `json:"what"`   // what is wrong
	Right  string    `json:"right"`  // what would be right
	Code   code.Code `json:"code"`   // 4001 to 4008
}

// Error gives the problem in one line: FILE:LINE:COL: KEY: what; right (code N).
func (p *Problem) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Key != "" {
		b.WriteString(strings.Map(visible, p.Key) + ": ")
	}
	fmt.Fprintf(&b, "%s; %s (code %d)", p.What, p.Right, int(p.Code))
	return b.String()
}

// visible replaces what would break the one line of a problem.
func visible(r rune) rune {
	if unicode.IsPrint(r) {
		return r
	}
	return unicode.ReplacementChar
}

// Problems are all faults of a file as one error. code.Of gives the code of
// the first one.
type Problems []*Problem

// Error gives one line for each problem.
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

// AsError returns nil for no problems, and Problems otherwise.
func AsError(ps []*Problem) error {
	if len(ps) == 0 {
		return nil
	}
	return Problems(ps)
}
