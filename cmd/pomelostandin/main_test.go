package main

import (
	"testing"

	"github.com/pomelospool/pomelospool/platform"
)

func TestParseVM(t *testing.T) {
	cases := []struct {
		arg  string
		want platform.VM
		ok   bool
	}{
		{"vm1=127.0.0.1@zg-dubrava", platform.VM{ID: "vm1", Addr: "127.0.0.1", Zone: "zg-dubrava"}, true},
		{"vm1=127.0.0.1", platform.VM{}, false},
		{"127.0.0.1@z", platform.VM{}, false},
		{"=a@z", platform.VM{}, false},
		{"a=@z", platform.VM{}, false},
		{"a=b@", platform.VM{}, false},
	}
	for _, c := range cases {
		got, err := parseVM(c.arg)
		if got != c.want || (err == nil) != c.ok {
			t.Errorf("%q: %+v, %v", c.arg, got, err)
		}
	}
}
