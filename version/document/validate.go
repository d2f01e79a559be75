package document

import (
	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/yamlcheck"
)

// Validate checks a document as a daemon does before its verdict. It returns
// code.OK, or the code of the first problem and all problems, one per line.
func Validate(yaml string) (code.Code, string) {
	_, problems := Parse("document", []byte(yaml))
	if err := yamlcheck.AsError(problems); err != nil {
		return problems[0].Code, err.Error()
	}
	return code.OK, ""
}
