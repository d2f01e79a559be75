package route

import (
	"testing"
	"time"
)

func TestMatch(t *testing.T) {
	config := New(7, []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, Limits{}, nil)
	cases := []struct{ name, host, path, want string }{
		{"longest prefix", "a.example", "/x/y/z", "long"},
		{"shorter prefix", "a.example", "/x/z", "short"},
		{"host in capitals", "A.EXAMPLE", "/x/", "short"},
		{"host with a port", "b.example:8080", "/x/1", "other"},
		{"prefix needs its last slash", "a.example", "/x", ""},
		{"unknown path", "a.example", "/z/", ""},
		{"unknown host", "c.example", "/x/", ""},
		{"encoded slash is no slash", "a.example", "/x%2Fy/", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := ""
			if r := config.Match(tc.host, tc.path); r != nil {
				got = r.Name
			}
			if got != tc.want {
				t.Errorf("route %q, want %q", got, tc.want)
			}
		})
	}
}

func TestServiceByWeight(t *testing.T) {
	r := &Route{Split: []WeightedService{{"a", 90}, {"b", 10}, {"none", 0}}}
	got := map[string]int{}
	for seed := range uint64(1000) {
		got[r.Service(seed)]++
	}
	if got["a"] != 900 || got["b"] != 100 || got["none"] != 0 {
		t.Errorf("shares %v", got)
	}
	if s := (&Route{Split: []WeightedService{{"only", 0}}}).Service(3); s != "only" {
		t.Errorf("a split without weights gave %q", s)
	}
}

func TestIdempotent(t *testing.T) {
	cases := []struct {
		r    Route
		want bool
	}{
		{Route{Kind: Safe}, true},
		{Route{Kind: Unsafe}, false},
		{Route{Kind: Unsafe, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true, Timeout: time.Second}, true},
	}
	for _, tc := range cases {
		if got := tc.r.Idempotent(); got != tc.want {
			t.Errorf("%s, resumable %v: %v", tc.r.Kind, tc.r.Resumable, got)
		}
	}
}
