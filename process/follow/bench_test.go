package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/internal/logtest"
	"github.com/pomelospool/pomelospool/process/record"
)

// fillLog writes n records like those of a year of operation: documents of
// 4 KB with their verdicts for 50 services, and a checkpoint after each every
// records.
func fillLog(b *testing.B, n, every int) *logtest.Log {
	l := &logtest.Log{}
	f := New(Options{Log: l, Clock: &clock.Manual{}})
	f.state, _ = Recover(context.Background(), l)
	write := func(kind record.Kind, body any) {
		e, err := NewEnvelope(fmt.Sprint("r", f.state.Applied), kind, "w", body)
		if err != nil {
			b.Fatal(err)
		}
		data, _ := json.Marshal(e)
		offset, _ := l.Append(context.Background(), record.Control, data)
		if err := f.apply([]port.Record{{Offset: offset, Data: data}}); err != nil {
			b.Fatal(err)
		}
	}
	yaml := strings.Repeat("x", 4096)
	for i := 0; f.state.Applied < int64(n); i++ {
		service := fmt.Sprint("s", i%50)
		write(record.KindDocument, record.Document{Service: service, Base: f.state.Services[service].Version, YAML: yaml})
		write(record.KindVerdict, record.Verdict{Service: service, Version: f.state.Applied, Accept: true})
		if every > 0 && f.state.Applied-f.state.Checkpoint.Covers >= int64(every) {
			data, _ := f.state.Encode()
			write(record.KindCheckpoint, record.Checkpoint{Covers: f.state.Applied, State: data})
		}
	}
	return l
}

// BenchmarkRecovery measures the time from an empty state to the tail.
func BenchmarkRecovery(b *testing.B) {
	for _, every := range []int{0, 500} {
		for _, n := range []int{1000, 10000, 100000} {
			b.Run(fmt.Sprintf("checkpoint=%d/records=%d", every, n), func(b *testing.B) {
				l := fillLog(b, n, every)
				_, before := l.Counts()
				for b.Loop() {
					f := New(Options{Log: l, Clock: &clock.Manual{}, IdlePollWait: 1})
					for !f.tailRead {
						if err := f.step(context.Background()); err != nil {
							b.Fatal(err)
						}
					}
				}
				_, reads := l.Counts()
				b.ReportMetric(float64(reads-before)/float64(b.N), "reads/op")
			})
		}
	}
}
