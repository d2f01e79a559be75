package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/operator/caller"
	"github.com/pomelospool/pomelospool/operator/load"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin"
	"github.com/pomelospool/pomelospool/standin/engine"
)

// The load goes directly to a stand-in engine in place of a daemon. The first run
// has no faults. In the second run the engine cuts two answers, and in the third
// it swaps two answers. The client must retry the cut answers and those that bear
// another request's id, and the summary must count them.
func TestLoadReportsCutAndCrossedAnswers(t *testing.T) {
	e := engine.New(engine.Options{Spec: port.EngineSpec{Model: "m", Version: "1"}})
	defer e.Close()
	next := e.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == caller.PathAddresses {
			writeJSON(w, caller.Addresses{Addresses: []caller.Address{{Addr: r.Host}}, TTLMs: 60000})
			return
		}
		next.ServeHTTP(w, r)
	}))
	defer server.Close()
	plot := filepath.Join(t.TempDir(), "times.svg")
	run := func() load.Summary {
		t.Helper()
		var out, errs strings.Builder
		args := []string{"--callers", server.Listener.Addr().String(), "--json", "load", "--model", "m", "--verify",
			"--rate", "200", "--duration", "300ms", "--mix", "a:1:50:8", "--plot", plot}
		exit := Main(t.Context(), args, strings.NewReader(""), &out, &errs)
		var s load.Summary
		if err := json.Unmarshal([]byte(out.String()), &s); err != nil {
			t.Fatalf("exit %d, %v: %s%s", exit, err, out.String(), errs.String())
		}
		if (exit == ExitOK) != s.Passed() {
			t.Errorf("exit %d with %+v", exit, s)
		}
		return s
	}
	s := run()
	if !s.Passed() || !s.Verified || s.Sent < 30 || s.Complete != s.Sent || s.Attempts != s.Sent {
		t.Errorf("without faults: %+v", s)
	}
	if svg, err := os.ReadFile(plot); err != nil || !strings.Contains(string(svg), "<svg") {
		t.Errorf("no plot: %v", err)
	}
	for _, f := range []standin.Fault{{Kind: "cut", Count: 2}, {Kind: "cross", Count: 2}} {
		if err := e.Apply(t.Context(), f); err != nil {
			t.Fatal(err)
		}
		s = run()
		if s.Complete != s.Sent || s.Attempts != s.Sent+2 {
			t.Errorf("%s: %d of %d complete in %d attempts", f.Kind, s.Complete, s.Sent, s.Attempts)
		}
		if s.CutAttempts+s.Faults.Crossed != 2 || (s.CutAttempts == 2) != (f.Kind == "cut") || s.Faults.Wrong+s.Faults.Duplicated+s.Faults.Lost > 0 {
			t.Errorf("%s: %d cut, %+v", f.Kind, s.CutAttempts, s.Faults)
		}
	}
}
