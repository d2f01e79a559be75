package document

import (
	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/yamlcheck"
)

// Validate judges a document as a daemon does before its verdict: code.OK, or
// the code of the first problem with all problems, one a line.
func Validate(yaml string) (code.Code, string) {
	_, problems := Parse("document", []byte(yaml))
	if err := yamlcheck.AsError(problems); err != nil {
		return problems[0].Code, err.Error()
	}
	return code.OK, ""
}
