package burnview

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/burn"
	"github.com/pomelospool/pomelospool/process/status"
	"github.com/pomelospool/pomelospool/version/document"
)

// daemon starts a server with the burn report of a few samples and returns its
// address.
func daemon(t *testing.T, id string) string {
	now := time.Date(2026, 5, 4, 8, 10, 0, 0, time.UTC)
	goals := document.Objectives{FirstToken: time.Second, Answer: 10 * time.Second, Target: 0.95, Window: 720 * time.Hour}
	b := burn.New(burn.Options{
		Daemon:     id,
		Now:        func() time.Time { return now },
		Objectives: func(string) (document.Objectives, bool) { return goals, true },
	})
	for i := range 100 {
		s := burn.Sample{Service: "lm", Org: "school", TimeToFirstToken: 300 * time.Millisecond, Total: time.Duration(i+1) * 50 * time.Millisecond}
		if i%20 == 0 {
			s = burn.Sample{Service: "lm", Org: "<b>coach</b>", Code: code.StreamCut, Total: time.Second}
		}
		b.Observe(s)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(b.Report())
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// fetch queries two daemons, one of them under two addresses, and an address that
// refuses connections. It returns the view and that address.
func fetch(t *testing.T) (View, string) {
	dead := httptest.NewServer(nil)
	dead.Close()
	deadAddr := dead.Listener.Addr().String()
	a := daemon(t, "entry-1")
	client := status.NewClient(nil, "")
	t.Cleanup(client.Close)
	return Fetch(t.Context(), client, []string{a, daemon(t, "entry-2"), deadAddr, a}, 5*time.Second), deadAddr
}

// One daemon is queried under two addresses, and another is down. The table must
// name the one that is down and count no sample twice.
func TestTable(t *testing.T) {
	v, deadAddr := fetch(t)
	var out strings.Builder
	if err := v.Table(&out, true); err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(out.String(), deadAddr, "GONE")
	goldie.New(t).Assert(t, "table", []byte(text))
}

// The page must load nothing, embed its plots and escape names.
func TestPageIsSelfContained(t *testing.T) {
	v, deadAddr := fetch(t)
	var out strings.Builder
	if err := v.HTML(&out); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	if n := strings.Count(page, "<svg"); n != 4 {
		t.Errorf("%d plots, want 4", n)
	}
	if loads := regexp.MustCompile(`(src|href)=|@import|url\(`).FindString(page); loads != "" {
		t.Errorf("the page loads a resource: %s", loads)
	}
	// XML namespaces look like URLs, but browsers don't load them.
	local := regexp.MustCompile(`xmlns(:xlink)?="[^"]*"`).ReplaceAllString(page, "")
	if url := regexp.MustCompile(`(?i)[a-z]+://[^\s"<]*`).FindString(local); url != "" {
		t.Errorf("the page contains a URL: %s", url)
	}
	if strings.Contains(page, "<b>coach") || !strings.Contains(page, "&lt;b&gt;coach") {
		t.Error("a name is not escaped in the page")
	}
	if want := fmt.Sprintf("Not in this report: %s (6003 DAEMON_UNREACHABLE)", deadAddr); !strings.Contains(page, want) {
		t.Errorf("the page lacks %q", want)
	}
}
