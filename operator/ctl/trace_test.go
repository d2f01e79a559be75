package ctl

import (
	"bytes"
	"strings"
	"testing"
)

const traceLog = `17.2 front-1 {"fields":{"request":"b","code":0},"timestamp":"2026-08-24T23:16:20.2Z","message":"ingress: request ended"}
not a log line
17.1 front-1 {"fields":{"request":"a","code":2003,"status":502},"timestamp":"2026-08-24T23:16:20.1597Z","message":"ingress: request ended"}
17.1 front-1 {"fields":{"request":"a","class":"broken"},"timestamp":"2026-08-24T23:16:20.1595Z","message":"dispatch: send failed"}
{"fields":{"request":"ab"},"message":"another"}
{"fields":{"target":"a"},"message":"about a target"}
`

// TestTrace checks that trace finds a request's lines in the mixed logs of several
// daemons and prints them in order of time.
func TestTrace(t *testing.T) {
	var out, errOut bytes.Buffer
	if exit := Main(t.Context(), []string{"trace", "a"}, strings.NewReader(traceLog), &out, &errOut); exit != ExitOK {
		t.Fatalf("exit %d: %s", exit, errOut.String())
	}
	want := "2026-08-24T23:16:20.1595Z 17.1 front-1 dispatch: send failed class=broken\n" +
		"2026-08-24T23:16:20.1597Z 17.1 front-1 ingress: request ended code=2003 status=502\n"
	if out.String() != want {
		t.Errorf("printed\n%s", out.String())
	}
	if exit := Main(t.Context(), []string{"trace", "nobody"}, strings.NewReader(traceLog), &out, &errOut); exit == ExitOK {
		t.Error("trace of an unknown request returned no error")
	}
}
