package soak

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

func TestBudgetCheck(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	many := func(n int, from float64) (out []time.Time) {
		for i := range n {
			out = append(out, at(from+float64(i)/1000))
		}
		return out
	}
	arrivals := func(id string, prefill bool, times ...time.Time) (out []standin.Arrival) {
		for _, at := range times {
			out = append(out, standin.Arrival{At: at, ID: id, Prefill: prefill})
		}
		return out
	}
	b := Budget{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
	cases := []struct {
		name     string
		requests []time.Time
		arrivals []standin.Arrival
		broken   bool
	}{
		{"the first arrival isn't extra", many(0, 0), arrivals("a", false, many(6, 0)...), false},
		{"one more than the slack", many(0, 0), arrivals("a", false, many(7, 0)...), true},
		{"a share of the requests", many(10, 0), arrivals("a", false, many(8, 0)...), false},
		{"requests of the window before", many(10, -9), arrivals("a", false, many(8, 0)...), false},
		{"older requests", many(10, -11), arrivals("a", false, many(8, 0)...), true},
		{"two windows", many(0, 0), arrivals("a", false, append(many(6, 0), many(5, 10.1)...)...), false},
		{"one window across a second", many(0, 0), arrivals("a", false, append(many(6, 0), many(5, 9.9)...)...), true},
		{"the first prefill isn't counted", many(0, 0), append(arrivals("a", true, at(0)), arrivals("a", false, many(6, 1)...)...), false},
		{"a second prefill is", many(0, 0), append(arrivals("a", true, at(0), at(0.5)), arrivals("a", false, many(6, 1)...)...), true},
	}
	for _, tc := range cases {
		if got := b.Busiest(tc.requests, tc.arrivals); got.Exceeded() != tc.broken {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}
