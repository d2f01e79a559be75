package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/sebdah/goldie/v2"
)

// actAsTool is the environment variable that makes the test binary run Main.
const actAsTool = "POMELOSCTL_TEST_ACTS_AS_TOOL"

func TestMain(m *testing.M) {
	if os.Getenv(actAsTool) != "" {
		os.Exit(Main(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	m.Run()
}

// TestCompletion loads the printed script into bash and checks what it completes.
func TestCompletion(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	const script = `eval "$("$0" completion bash)"
COMP_WORDS=("$0" "$@"); COMP_CWORD=$#
_pomelosctl; echo "${COMPREPLY[@]}"`
	cases := []struct{ words, want string }{
		{"", "address burn call check completion explain load publish status trace version"},
		{"st", "status"},
		{"burn --h", "--help --html"},
		{"explain 500", "5001 5002 5003 5004 5005 5006 5007"},
		{"explain base", "BASE_CONFLICT"},
		{"check cli_", "cli_test.go"},
	}
	for _, tc := range cases {
		words := append([]string{"-c", script, self}, strings.Split(tc.words, " ")...)
		cmd := exec.CommandContext(t.Context(), "bash", words...)
		cmd.Env = append(os.Environ(), actAsTool+"=1")
		out, err := cmd.CombinedOutput()
		if got := strings.TrimSpace(string(out)); err != nil || got != tc.want {
			t.Errorf("%q: got %q, want %q (%v)", tc.words, got, tc.want, err)
		}
	}
}

// TestJSON checks that every command prints exactly one JSON value with --json,
// also when it fails, so that scripts can parse the output.
func TestJSON(t *testing.T) {
	server := newTestSite(t)
	dead := httptest.NewServer(nil)
	dead.Close()
	live, deadAddr := server.Listener.Addr().String(), dead.Listener.Addr().String()
	doc := "../../examples/halen-application.yaml"
	bad := "../../process/settings/testdata/bad/missing.yaml"
	lines := map[string]int{
		"publish " + doc + " --log " + server.URL:                      ExitOK,
		"publish " + doc + " --timeout 300ms --log http://" + deadAddr: ExitUnreachable,
		"publish " + bad + " --log " + server.URL:                      ExitFailed,
		"publish " + doc:               ExitUsage,
		"publish":                      ExitUsage,
		"check " + doc:                 ExitOK,
		"check " + bad:                 ExitFailed,
		"check none.yaml":              ExitFailed,
		"status --daemons " + live:     ExitOK,
		"status --daemons " + deadAddr: ExitUnreachable,
		"status":                       ExitUsage,
		"address --callers " + live:    ExitOK,
		"address --timeout 300ms --callers " + deadAddr:                    ExitUnreachable,
		"call --callers " + live + " --model m hello":                      ExitOK,
		"call --callers " + live + " --service none":                       ExitRefused,
		"call --callers " + live:                                           ExitUsage,
		"load --callers " + live + " --model m --rate 20 --duration 100ms": ExitOK,
		"load --callers " + live + " --model m --rate 0":                   ExitUsage,
		"burn --daemons " + deadAddr:                                       ExitUnreachable,
		"explain 5001":                                                     ExitOK,
		"explain 77":                                                       ExitUsage,
		"trace nobody":                                                     ExitUsage,
		"completion bash":                                                  ExitOK,
		"completion other":                                                 ExitUsage,
		"version":                                                          ExitOK,
	}
	tried := map[string]bool{}
	for line, want := range lines {
		var out, errOut strings.Builder
		args := append([]string{"--json"}, strings.Fields(line)...)
		exit := Main(t.Context(), args, strings.NewReader(""), &out, &errOut)
		dec := json.NewDecoder(strings.NewReader(out.String()))
		var v any
		err := dec.Decode(&v)
		if exit != want || err != nil || dec.Decode(&v) != io.EOF {
			t.Errorf("%s: exit %d, want %d, %v, stdout %q, stderr %q", line, exit, want, err, out.String(), errOut.String())
		}
		tried[args[1]] = true
	}
	for _, c := range newParser(&app{}).Commands() {
		if !tried[c.Name] {
			t.Errorf("%s wasn't tried", c.Name)
		}
	}
}

// TestCommandLinePage checks that docs/CLI.md matches the commands, and that the
// parser accepts each example on it.
func TestCommandLinePage(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "CLI", Markdown())
	for _, c := range newParser(&app{}).Commands() {
		if len(examples[c.Name]) == 0 {
			t.Errorf("%s has no example", c.Name)
		}
		for _, line := range examples[c.Name] {
			parser := newParser(&app{})
			parser.CommandHandler = func(flags.Commander, []string) error { return nil }
			rest, err := parser.ParseArgs(strings.Fields(line)[1:])
			if err != nil || len(rest) > 0 || parser.Active.Name != c.Name {
				t.Errorf("%s: %v, left over %q", line, err, rest)
			}
		}
	}
	for i, e := range exitMeanings {
		if e.exit != i || !strings.Contains(strings.ReplaceAll(exitHelp, "\n", " "), e.meaning) {
			t.Errorf("exit code %d: the help lacks %q", i, e.meaning)
		}
	}
}
