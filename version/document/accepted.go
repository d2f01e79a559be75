package document

import (
	"fmt"

	"github.com/pomelospool/pomelospool/internal/yamlcheck"
)

// Accepted decodes a document that has been accepted, without checking it. The
// verdict is final even if this binary has stricter rules than the one that
// accepted the document; otherwise an upgrade would revoke a version in force.
// Unknown keys are ignored. It fails only if the data is not YAML or names no
// service.
func Accepted(data []byte) (*Document, error) {
	d := withDefaults()
	f := yamlcheck.Decode("accepted", data, len(data), d)
	if d.Service == "" {
		return nil, fmt.Errorf("accepted document: %w", yamlcheck.AsError(f.Problems()))
	}
	fillDefaults(f, d)
	return d, nil
}
