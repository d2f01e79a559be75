package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/bench/policy"
)

func TestParseSeeds(t *testing.T) {
	for in, want := range map[string]int{"7": 1, "1-5": 5, "101-105": 5, "5-1": 0, "x": 0, "1-": 0, "1-1000": 0, "-1": 0} {
		seeds, err := parseSeeds(in)
		if len(seeds) != want || (err != nil) != (want == 0) {
			t.Errorf("%q: %v, %v", in, seeds, err)
		}
	}
}

func TestTableAndPlot(t *testing.T) {
	d, _ := policy.NewDeployment("halen")
	m := policy.DefaultModel()
	sums, each, err := policy.RunSeeds("steps", []uint64{1}, d, &m, 60, 1)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := printTable(&out, []traceReport{{"halen", "steps", sums, []string{"x"}, []string{"y"}}}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{policy.Pomelospool, policy.Threshold, "falls short: x", "but y"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	for _, suffix := range []string{".svg", ".png"} {
		file := filepath.Join(t.TempDir(), "p"+suffix)
		if err := writePlot(file, "t", each[0]); err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", file, err)
		}
	}
	if err := writePlot(filepath.Join(t.TempDir(), "p.nope"), "t", each[0]); err == nil {
		t.Error("unknown format accepted")
	}
}
