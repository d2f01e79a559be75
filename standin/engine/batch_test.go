package engine

import (
	"slices"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

var epoch = time.Unix(1e9, 0)

func testSeq(id string, prompt, max int) *seq {
	return &seq{id: id, promptTokens: prompt, maxTokens: max, progress: progress{wake: make(chan struct{}, 1)}}
}

// runAll runs steps until the batch is empty. It returns the ids of the sequences
// in the order in which they ended.
func runAll(b *batch, seqs ...*seq) []string {
	var ended []string
	for b.active() {
		b.step(epoch)
		for _, s := range seqs {
			if _, reason := s.progress.get(); reason == finishLength && !slices.Contains(ended, s.id) {
				ended = append(ended, s.id)
			}
		}
	}
	return ended
}

func TestBatchOrder(t *testing.T) {
	cases := []struct {
		name string
		opts Options
		seqs []*seq
		prio []int
		want []string
	}{
		{
			name: "short answers end first, they run together",
			seqs: []*seq{testSeq("a", 64, 9), testSeq("b", 64, 3)},
			prio: []int{0, 0},
			want: []string{"b", "a"},
		},
		{
			name: "a full batch keeps the order",
			opts: Options{MaxBatch: 1},
			seqs: []*seq{testSeq("a", 64, 9), testSeq("b", 64, 3)},
			prio: []int{0, 0},
			want: []string{"a", "b"},
		},
		{
			name: "priority overtakes in the queue",
			opts: Options{MaxBatch: 1},
			seqs: []*seq{testSeq("low", 64, 3), testSeq("mid", 64, 3), testSeq("high", 64, 3)},
			prio: []int{-1, 0, 1},
			want: []string{"high", "mid", "low"},
		},
		{
			name: "memory holds back what doesn't fit",
			opts: Options{KVCapacity: 100},
			seqs: []*seq{testSeq("a", 60, 20), testSeq("b", 60, 1)},
			prio: []int{0, 0},
			want: []string{"a", "b"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBatch(c.opts.withDefaults())
			for i, s := range c.seqs {
				s.priority = c.prio[i]
				b.add(s)
			}
			if got := runAll(b, c.seqs...); !slices.Equal(got, c.want) {
				t.Fatalf("ended in order %v, want %v", got, c.want)
			}
			if b.kvReserved != 0 {
				t.Fatalf("%d tokens of KV still reserved", b.kvReserved)
			}
		})
	}
}

func TestStepTime(t *testing.T) {
	o := Options{PrefillRate: 1000, StepBase: 10 * time.Millisecond, StepPerSequence: time.Millisecond}.withDefaults()
	b := newBatch(o)
	a := testSeq("a", 100, 5)
	b.add(a)
	if got := b.step(epoch); got != 100*time.Millisecond {
		t.Fatalf("prefill of 100 tokens took %v", got)
	}
	b.add(testSeq("b", 2000, 5))
	mixed := 1024*time.Millisecond + 11*time.Millisecond
	if got := b.step(epoch); got != mixed || a.generated != 1 {
		t.Fatalf("step with one chunk and one token took %v, generated %d", got, a.generated)
	}
	b.role = port.RoleDecode
	if got := b.step(epoch); got != 256*time.Millisecond+11*time.Millisecond {
		t.Fatalf("step of a decode engine took %v", got)
	}
	if l := b.load(); l.Running != 2 || l.QueuedPrefill != 2000-1024-256 || l.DecodeRemaining != 8 {
		t.Fatalf("load %+v", l)
	}
}

func TestResumeSkipsDeliveredTokens(t *testing.T) {
	b := newBatch(Options{}.withDefaults())
	s := testSeq("a", 64, 10)
	s.resumeAt = 7
	b.add(s)
	if s.prefillLeft != 71 {
		t.Fatalf("prefills %d tokens, want prompt and answer so far", s.prefillLeft)
	}
	runAll(b, s)
	if b.generated != 3 || s.generated != 10 {
		t.Fatalf("generated %d tokens up to %d", b.generated, s.generated)
	}
}

func TestPrefixCache(t *testing.T) {
	b := newBatch(Options{CacheBlocks: 3, Name: "e"}.withDefaults())
	run := func(blocks ...uint64) int {
		s := testSeq("s", 64*len(blocks)+10, 1)
		s.blocks = blocks
		b.add(s)
		runAll(b, s)
		return s.cached
	}
	steps := []struct {
		blocks []uint64
		cached int
	}{
		{[]uint64{1, 2}, 0},
		{[]uint64{1, 2, 3}, 128},
		{[]uint64{9}, 0}, // evicts block 1, the least recently used
		{[]uint64{1, 2, 3}, 0},
	}
	for i, s := range steps {
		if got := run(s.blocks...); got != s.cached {
			t.Fatalf("step %d found %d tokens, want %d", i, got, s.cached)
		}
	}
	events := b.cache.events.after(epoch, 2)
	if len(events) != 2 || !slices.Equal(events[0].Added, []uint64{9}) || len(events[0].Removed) != 1 {
		t.Fatalf("events %+v", events)
	}
}

func TestLoadReportLag(t *testing.T) {
	e := New(Options{LoadLag: time.Second})
	e.Close() // ends the loop, so that the test may access the state
	e.samples = nil
	e.sample(epoch)
	e.batch.add(testSeq("a", 64, 1))
	e.sample(epoch.Add(500 * time.Millisecond))
	if l := e.reportedLoad(epoch.Add(1400 * time.Millisecond)); l.Waiting != 0 {
		t.Fatalf("%d waiting before the lag was over", l.Waiting)
	}
	l := e.reportedLoad(epoch.Add(5 * time.Second))
	if l.Waiting != 1 || !l.At.Equal(epoch.Add(4*time.Second)) {
		t.Fatalf("report %+v of %v", l, l.At)
	}
}
