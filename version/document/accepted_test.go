package document

import (
	"os"
	"strings"
	"testing"
)

// A team's document is in force. The daemons are upgraded to a binary whose
// rules the document breaks. Without care the upgraded daemons drop the
// service, and its callers get "unknown service" after a planned change.
func TestAcceptedDocumentOutlivesStricterRules(t *testing.T) {
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
		t.Errorf("read back as %+v, want %+v", d, want)
	}
	if _, err := Accepted([]byte("{")); err == nil {
		t.Error("no YAML at all was read")
	}
}
