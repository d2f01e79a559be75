package fold

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/record"
)

// stateOfSize returns a state with n services of 4 KB, n leases or n open
// orders.
func stateOfSize(tb testing.TB, what string, n int) *State {
	s := New()
	next := func(e entry) { _ = s.Apply(s.Applied+1, encode(tb, e)) }
	for i := range n {
		name := fmt.Sprint(what, i)
		switch what {
		case "service":
			next(entry{name, record.Document{Service: name, YAML: strings.Repeat("x", 4096)}})
			next(entry{"v" + name, record.Verdict{Service: name, Version: s.Applied, Accept: true}})
		case "lease":
			next(entry{name, record.Claim{Group: name + "/zone/0", Holder: "vm-123-0123456789abcdef", Addr: "10.0.0.1:7001"}})
		case "order":
			if i == 0 {
				next(entry{name, record.Claim{Group: "g", Holder: "vm"}})
			}
			next(entry{"order-01234567-89ab-cdef-0123-" + name, record.Order{Group: "g", Claim: 1, Engine: fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256), Addr: "10.0.0.1:8000",
				Spec: port.EngineSpec{Role: port.RolePrefill, Model: "model-name", Version: "2026-07-01"}, Load: true, Reason: "engine differs"}})
		}
	}
	return s
}

// BenchmarkState measures the encoded size and the time of a clone at three
// sizes. docs/CAPACITY.md uses the cost per item.
func BenchmarkState(b *testing.B) {
	for _, what := range []string{"service", "lease", "order"} {
		for _, n := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%s/%d", what, n), func(b *testing.B) {
				s := stateOfSize(b, what, n)
				data, err := s.Encode()
				if err != nil {
					b.Fatal(err)
				}
				for b.Loop() {
					s.Clone()
				}
				b.ReportMetric(float64(len(data))/float64(n), "bytes/item")
			})
		}
	}
}

// BenchmarkApply measures the time to fold one record of each kind into a state
// of the target size: 50 services, 100 leases and 710 engines.
func BenchmarkApply(b *testing.B) {
	for _, e := range []entry{
		{"d", record.Document{Service: "service1", YAML: strings.Repeat("x", 4096)}},
		{"v", record.Verdict{Service: "service1", Version: 1}},
		{"c", record.Claim{Group: "lease1/zone/0", Holder: "vm"}},
		{"o", record.Order{Group: "g", Claim: 1, Engine: "10.0.0.1:8000"}},
		{"o", record.OrderDone{Engine: "10.0.0.1:8000", Order: "x"}},
	} {
		data := encode(b, e)
		var env record.Envelope
		_ = json.Unmarshal(data, &env)
		b.Run(string(env.Kind), func(b *testing.B) {
			s := stateOfSize(b, "order", 710)
			s.Services = stateOfSize(b, "service", 50).Services
			for b.Loop() {
				_ = s.Apply(s.Applied+1, data)
			}
		})
	}
}
