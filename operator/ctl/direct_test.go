package ctl

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin/engine"
)

// Guards against `load --direct` that takes a list of addresses for one, and that
// connects without TLS though a CA is named.
func TestDirectLoadUsesTheListAndTheCA(t *testing.T) {
	e := engine.New(engine.Options{Spec: port.EngineSpec{Model: "m", Version: "1"}})
	defer e.Close()
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	addr := server.Listener.Addr().String()
	load := func(args ...string) (int, string) {
		var out, errs strings.Builder
		exit := Main(t.Context(), append(args, "load", "--direct", "--model", "m", "--rate", "50", "--duration", "100ms", "--mix", "a:1:50:8"), strings.NewReader(""), &out, &errs)
		return exit, out.String() + errs.String()
	}
	if exit, text := load("--callers", addr+","+addr); exit != ExitOK {
		t.Errorf("two addresses: exit %d, %s", exit, text)
	}
	if exit, text := load("--callers", addr, "--ca", "/nonexistent"); exit == ExitOK || !strings.Contains(text, "CA") {
		t.Errorf("a CA that can't be read: exit %d, %s", exit, text)
	}
	if exit, text := load(); exit == ExitOK || !strings.Contains(text, "--callers") {
		t.Errorf("no address: exit %d, %s", exit, text)
	}
}
