package document

import (
	"fmt"

	"github.com/pomelospool/pomelospool/internal/yamlcheck"
)

// Accepted reads a document that has been accepted. It doesn't check it: the
// verdict stands for good, also when this binary has stricter rules than the
// one that gave it. Without this an upgrade would take back a version in
// force. Keys that this binary doesn't know are passed over. It fails only
// when the data is no YAML or names no service.
func Accepted(data []byte) (*Document, error) {
	d := withDefaults()
	f := yamlcheck.Decode("accepted", data, len(data), d)
	if d.Service == "" {
		return nil, fmt.Errorf("accepted document: %w", yamlcheck.AsError(f.Problems()))
	}
	fillDefaults(f, d)
	return d, nil
}
