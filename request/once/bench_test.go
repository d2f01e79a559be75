package once

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/record"
	"github.com/pomelospool/pomelospool/standin/logsvc"
)

const (
	fleetAppends = 300.0 // per second, for the whole log
	benchDaemons = 8
	benchTime    = 10 * time.Second
)

// BenchmarkThroughput runs new keys on 8 daemons over one log limited to 300
// appends per second. Each caller waits for its answer before it sends the next
// call. It uses real time; one iteration takes 10 s.
func BenchmarkThroughput(b *testing.B) {
	for _, callers := range []int{64, 512, 4096} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for range b.N {
				measureThroughput(b, callers)
			}
		})
	}
}

func measureThroughput(b *testing.B, callers int) {
	f := &fleet{t: b, log: logsvc.New(logsvc.Options{Latency: time.Millisecond, Rate: fleetAppends}), runs: map[string]int{}}
	f.opts.Rate = fleetAppends / benchDaemons
	for range benchDaemons {
		f.start()
	}
	var mu sync.Mutex
	var latencies []time.Duration
	failed := 0
	end := time.Now().Add(benchTime)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			d := f.daemons[c%benchDaemons]
			for i := 0; time.Now().Before(end); i++ {
				began := time.Now()
				got := d.send(call(fmt.Sprint(c, "-", i)))
				latency := time.Since(began)
				mu.Lock()
				latencies = append(latencies, latency)
				if got[0] != 'h' {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	counters := f.log.Counters()
	f.stop()
	slices.Sort(latencies)
	n := float64(len(latencies))
	b.ReportMetric(n/benchTime.Seconds(), "requests/s")
	b.ReportMetric(float64(counters.Appends)/n, "appends/request")
	b.ReportMetric(float64(counters.Appends)/benchTime.Seconds(), "appends/s")
	b.ReportMetric(float64(counters.Bytes)/n, "logbytes/request")
	b.ReportMetric(latencies[len(latencies)/2].Seconds()*1e3, "p50-ms")
	b.ReportMetric(latencies[len(latencies)*99/100].Seconds()*1e3, "p99-ms")
	b.ReportMetric(float64(failed), "refused")
	for key, runs := range f.runs {
		if runs > 1 {
			b.Errorf("%s ran %d times", key, runs)
		}
	}
}

// BenchmarkRecovery reads a stream from the start, as a daemon does when it
// becomes the batcher of a shard, and reports the memory used per key.
func BenchmarkRecovery(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			l := filledLog(keys)
			for b.Loop() {
				recoverOnce(b, l, keys)
			}
		})
	}
}

// filledLog returns a log with answered keys, 20 per batch.
func filledLog(keys int) *logsvc.Log {
	const perBatch = 20
	l := logsvc.New(logsvc.Options{})
	var batch record.Batch
	for i := range keys {
		in := record.Intent{Service: "app", Key: fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i), Attempt: attemptID("vm-1/17a3c9", uint64(i)), Digest: uint64(i) << 32, Window: time.Hour.Milliseconds()}
		body, _ := json.Marshal(in)
		it, _ := parse(record.Envelope{ID: in.Attempt, Kind: record.KindIntent, Writer: "vm-1/17a3c9", Body: body})
		batch.Records = append(batch.Records, it.env, result(it, code.OK))
		if len(batch.Records) >= 2*perBatch || i == keys-1 {
			data, _ := json.Marshal(batch)
			_, _ = l.Append(context.Background(), record.OnceStream(0), data)
			batch.Records = nil
		}
	}
	return l
}

func recoverOnce(b *testing.B, l *logsvc.Log, keys int) {
	before := heap()
	s := newShard(0, l, nil, &health{})
	if !s.loadState(b.Context()) || s.state.Len() != keys {
		b.Fatalf("recovered %d keys", s.state.Len())
	}
	b.ReportMetric(float64(heap()-before)/float64(keys), "bytes/key")
	runtime.KeepAlive(s)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
