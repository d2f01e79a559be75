package document

import (
	"os"
	"strings"
	"testing"
)

// The daemons are upgraded to a binary whose stricter rules refuse a document
// in force. If Accepted applied those rules, the upgraded daemons would drop
// the service and its callers would get "unknown service".
func TestAcceptedIgnoresStricterRules(t *testing.T) {
	data, err := os.ReadFile("../../examples/jadranski-feed.yaml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(data), "owner:", "no_such_key: 1\nowner:", 1)
	if _, problems := Parse("doc", []byte(text)); len(problems) == 0 {
		t.Fatal("Parse accepts the document; the test needs one that it refuses")
	}
	d, err := Accepted([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want, _ := Parse("doc", data)
	if d.Service != want.Service || len(d.Targets) != len(want.Targets) || d.Limits != want.Limits {
		t.Errorf("got %+v, want %+v", d, want)
	}
	if _, err := Accepted([]byte("{")); err == nil {
		t.Error("invalid YAML was accepted")
	}
}
