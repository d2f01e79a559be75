package main

import (
	"testing"

	"github.com/pomelospool/pomelospool/port"
)

func TestParseVM(t *testing.T) {
	cases := []struct {
		arg  string
		want port.VM
		ok   bool
	}{
		{"vm1=127.0.0.1@zg-dubrava", port.VM{ID: "vm1", Addr: "127.0.0.1", Zone: "zg-dubrava"}, true},
		{"vm1=127.0.0.1", port.VM{}, false},
		{"127.0.0.1@z", port.VM{}, false},
		{"=a@z", port.VM{}, false},
		{"a=@z", port.VM{}, false},
		{"a=b@", port.VM{}, false},
	}
	for _, c := range cases {
		got, err := parseVM(c.arg)
		if got != c.want || (err == nil) != c.ok {
			t.Errorf("%q: %+v, %v", c.arg, got, err)
		}
	}
}
