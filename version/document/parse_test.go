package document

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Each bad sample must give exactly the lines of its golden file and no
// document.
func TestBadSamplesGiveExactMessages(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no samples: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			d, problems := Parse(name+".yaml", data)
			if d != nil {
				t.Error("a bad document was returned")
			}
			if c, detail := Validate(string(data)); c != problems[0].Code || strings.Count(detail, "\n") != len(problems)-1 {
				t.Errorf("Validate gives %d, %s", c, detail)
			}
			var out strings.Builder
			for _, p := range problems {
				fmt.Fprintln(&out, p)
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/bad")).Assert(t, name, []byte(out.String()))
		})
	}
}

func TestDefaults(t *testing.T) {
	d, problems := Parse("min.yaml", []byte(`
service: lm
kind: model
owner: Language team
models: [{name: m, version: "1", max_tokens: 512}]
targets: [{name: e1, addr: "10.0.0.1:80", zone: a}]
objectives: {answer: 2s}
roles: {goodput_weight: 0}
`))
	if problems != nil {
		t.Fatal(problems)
	}
	got, err := Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "defaults", got)
}

func TestTooLarge(t *testing.T) {
	d, problems := Parse("big.yaml", make([]byte, MaxBytes+1))
	if d != nil || len(problems) != 1 {
		t.Fatalf("got %v, %v", d, problems)
	}
	want := "big.yaml:1:1: the file has 262145 bytes; at most 262144 (code 4008)"
	if got := problems[0].Error(); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// FuzzParse checks that no input panics, that each gives either a document or
// problems, and that a document is unchanged after Marshal and Parse.
func FuzzParse(f *testing.F) {
	seeds, _ := filepath.Glob("testdata/bad/*.yaml")
	examples, _ := filepath.Glob("../../examples/*.yaml")
	for _, file := range append(seeds, examples...) {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, problems := Parse("fuzz.yaml", data)
		if (d == nil) == (len(problems) == 0) {
			t.Fatalf("document %v with problems %v", d, problems)
		}
		for _, p := range problems {
			if strings.ContainsAny(p.Error(), "\n\r") {
				t.Fatalf("not one line: %q", p.Error())
			}
		}
		if d == nil {
			return
		}
		again, err := Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		d2, problems := Parse("again.yaml", again)
		if problems != nil {
			t.Fatalf("%v in\n%s", problems, again)
		}
		if !reflect.DeepEqual(d, d2) {
			t.Fatalf("got  %+v\nwant %+v", d2, d)
		}
	})
}
