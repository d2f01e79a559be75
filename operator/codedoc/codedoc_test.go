package codedoc

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/pomelospool/pomelospool/code"
)

// docs/CODES.md must match the table and hold every code exactly once.
func TestPageMatchesTheTable(t *testing.T) {
	page := Markdown()
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "CODES", page)
	for _, i := range code.All() {
		if n := strings.Count(string(page), " | "+i.Name+" | "); n != 1 {
			t.Errorf("%s appears %d times", i.Name, n)
		}
	}
}
