package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/operator/caller"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/follow"
	"github.com/pomelospool/pomelospool/process/status"
	"github.com/pomelospool/pomelospool/standin/logsvc"
	"github.com/pomelospool/pomelospool/version/document"
)

// testSite is a log service and a fake daemon on one loopback server. The daemon
// follows the log and answers every call.
type testSite struct {
	log      http.Handler
	follower *follow.Follower
}

func newTestSite(t *testing.T) *httptest.Server {
	log := logsvc.New(logsvc.Options{})
	f := follow.New(follow.Options{Log: log, Clock: clock.Boot{}, Self: "entry-1-a", Validate: document.Validate})
	f.Start()
	server := httptest.NewServer(&testSite{log.Handler(), f})
	t.Cleanup(func() {
		server.Close()
		_ = f.Stop()
		_ = log.Close()
	})
	return server
}

func (s *testSite) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/streams/"):
		s.log.ServeHTTP(w, r)
	case r.URL.Path == status.Path:
		st := status.Status{Daemon: "entry-1", Zone: "hall-a", State: "serving", Applied: 9}
		if svc := s.follower.State().Services["halen-application"]; svc.Version > 0 && !svc.Removed {
			st.Services = []status.Service{{Name: "halen-application", Kind: "plain", Version: svc.Version}}
		}
		writeJSON(w, st)
	case r.URL.Path == caller.PathAddresses:
		writeJSON(w, caller.Addresses{Addresses: []caller.Address{{Addr: r.Host, Zone: "hall-a"}}, TTLMs: 5000})
	case r.URL.Path == caller.PathChat:
		w.Header().Set("Content-Type", "text/event-stream")
		id := r.Header.Get(caller.HeaderRequestID)
		fmt.Fprintf(w, "data: {\"id\":%q,\"token_index\":0,\"choices\":[{\"delta\":{\"content\":\"mole\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
	case r.URL.Path == "/s/app/holds":
		fmt.Fprintf(w, "held %s by %s\n", r.Header.Get(caller.HeaderKey), r.Header.Get(caller.HeaderOrg))
	default:
		w.Header().Set(caller.HeaderNotRun, "true")
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprintf(w, `{"error":{"code":%d,"message":"no such service","not_run":true}}`, int(code.UnknownService))
	}
}

func writeJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

// TestCommands runs the command lines one after another on one site.
func TestCommands(t *testing.T) {
	server := newTestSite(t)
	dead := httptest.NewServer(nil)
	dead.Close()
	live, deadAddr := server.Listener.Addr().String(), dead.Listener.Addr().String()
	changed := filepath.Join(t.TempDir(), "changed.yaml")
	data, err := os.ReadFile("../../examples/halen-application.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(changed, append(data, "# changed\n"...), 0o600); err != nil {
		t.Fatal(err)
	}
	common := []string{"--log", server.URL, "--daemons", live, "--callers", live}
	tests := []struct {
		args string
		exit int
		want string // regular expression over stdout and stderr
	}{
		{"check ../../examples/halen-application.yaml ../../examples/pomelospoold.yaml", ExitOK, "valid document\n.*valid settings"},
		{"check ../../process/settings/testdata/bad/missing.yaml", ExitFailed, `missing.yaml:1:1: zone: is missing; add the key \(code 4005\)`},
		{"check ../../deploy/system.toml ../../deploy/settings.yaml.tmpl", ExitOK, "valid deploy file\n.*valid template"},
		{"check none.yaml", ExitFailed, "no such file"},
		{"publish ../../examples/halen-application.yaml --wait", ExitOK, "version 1 accepted on base 0\n.* in force on 1 of 1 daemons"},
		{"publish ../../examples/halen-application.yaml", ExitOK, "in force already, version 1"},
		{"publish " + changed + " --base 1 --wait --json", ExitOK, `"version": 3`},
		{"publish ../../examples/halen-application.yaml --base 1", ExitRefused, "5001 BASE_CONFLICT: version 3 .* in place of base 1\nwhat to do: Read the version"},
		{"publish ../../process/settings/testdata/bad/missing.yaml", ExitFailed, "code 4002"},
		{"publish ../../examples/halen-application.yaml --timeout 300ms --log http://" + deadAddr, ExitUnreachable, "5003 LOG_UNAVAILABLE"},
		{"status", ExitOK, "version 3 of halen-application in force on 1 of 1 daemons"},
		{"status --daemons " + deadAddr, ExitUnreachable, "version 3 of halen-application in force on 1 of 2 daemons(.|\n)*" + deadAddr + ": 6003"},
		{"status --json", ExitOK, `"answered": 1`},
		{"address", ExitOK, live + "\thall-a\nmay be kept for 5s"},
		{"call --model m hello there", ExitOK, "^mole\n$"},
		{"call --model m --json hello", ExitOK, `"text": "mole"`},
		{"call --service app --path /holds --key k7 --org school", ExitOK, "held k7 by school"},
		{"call --service none", ExitRefused, "1006 UNKNOWN_SERVICE: no such service"},
		{"call --model m", ExitUsage, "give a prompt"},
		{"call", ExitUsage, "give either --model"},
		{"explain base_conflict", ExitOK, "5001 BASE_CONFLICT .HTTP 409."},
		{"explain 77", ExitUsage, "no code 77"},
		{"completion bash", ExitOK, "GO_FLAGS_COMPLETION=1"},
		{"publish ../../examples/halen-application.yaml --remove --wait", ExitOK, "ended by version .* on base 3\n.* in force on 1 of 1 daemons"},
		{"publish ../../examples/halen-application.yaml --remove", ExitOK, "isn't in force"},
		{"version --json", ExitOK, `"version"`},
		{"nonsense", ExitUsage, "Unknown command"},
		{"publish --help", ExitOK, "--base=VERSION"},
	}
	for _, tt := range tests {
		var out strings.Builder
		args := append(append([]string(nil), common...), strings.Fields(tt.args)...)
		exit := Main(t.Context(), args, strings.NewReader(""), &out, &out)
		if exit != tt.exit || !regexp.MustCompile(tt.want).MatchString(out.String()) {
			t.Errorf("%s\nexit %d, want %d; output, which should match %q:\n%s", tt.args, exit, tt.exit, tt.want, out.String())
		}
	}
}

// TestExamplesAreValid checks every file of the folder examples.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.yaml")
	if err != nil || len(files) < 5 {
		t.Fatalf("%d examples, %v", len(files), err)
	}
	for _, file := range files {
		r, err := checkFile(file)
		if err != nil || len(r.Problems) > 0 {
			t.Errorf("%s: %v, %v", file, r.Problems, err)
		}
	}
}
