package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/yamlcheck"
)

// Each invalid sample must produce exactly the lines of its golden file and no
// settings.
func TestBadSamplesGiveExactMessages(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no samples: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			s, err := Load(file)
			if s != nil || err == nil {
				t.Fatal("invalid settings were accepted")
			}
			var problems yamlcheck.Problems
			if !errors.As(err, &problems) || code.Of(err) != problems[0].Code {
				t.Errorf("code %d of %v", code.Of(err), err)
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/bad")).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// The example file states every default, so loading it must give the defaults
// apart from the required keys.
func TestExampleStatesTheDefaults(t *testing.T) {
	s, err := Load("../../examples/pomelospoold.yaml")
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.VM, want.Zone, want.Listen, want.Platform = s.VM, s.Zone, s.Listen, s.Platform
	if *s != *want {
		t.Errorf("got  %+v\nwant %+v", *s, *want)
	}
}

func TestLoadNamesTheMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.yaml"))
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v", err)
	}
}
