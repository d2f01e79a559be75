package once

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/record"
)

// history is a random interleaving of proposers, batchers and a log that loses
// answers and lets appends take effect late. The proposers obey the rules of
// Begin and of the tickets; batchers read any prefix.
type history struct {
	t       *rapid.T
	stream  []port.Record
	late    [][]record.Envelope // appends on their way
	readers []*Fold
	tries   []*try
	runs    map[string]int
	at      time.Time
}

// try is one attempt of one process.
type try struct {
	it     item
	gaveUp bool
	ran    bool
	over   bool
}

func result(it item, c code.Code) record.Envelope {
	r := record.Result{Service: it.intent.Service, Key: it.intent.Key, Attempt: it.intent.Attempt, Code: c, Digest: it.intent.Digest, Window: time.Hour.Milliseconds()}
	body, _ := json.Marshal(r)
	return record.Envelope{Kind: record.KindResult, Writer: writerOf(r.Attempt), Body: body}
}

func (h *history) begin() {
	n := len(h.tries)
	in := record.Intent{
		Service: "app",
		Key:     fmt.Sprint("k", rapid.IntRange(0, 1).Draw(h.t, "key")),
		Attempt: attemptID(fmt.Sprint("p", n%3), uint64(n)),
		Window:  time.Hour.Milliseconds(),
	}
	body, _ := json.Marshal(in)
	it, err := parse(record.Envelope{Kind: record.KindIntent, Writer: writerOf(in.Attempt), Body: body})
	if err != nil {
		h.t.Fatal(err)
	}
	h.tries = append(h.tries, &try{it: it})
	h.send(it.env)
}

// send appends now, late, or both, once or twice.
func (h *history) send(env record.Envelope) {
	switch rapid.IntRange(0, 3).Draw(h.t, "append") {
	case 0:
		h.late = append(h.late, []record.Envelope{env})
	case 1:
		h.late = append(h.late, []record.Envelope{env})
		h.append(env)
	default:
		h.append(env)
	}
}

func (h *history) append(envs ...record.Envelope) {
	h.at = h.at.Add(time.Second)
	data, _ := json.Marshal(record.Batch{Records: envs})
	h.stream = append(h.stream, port.Record{Offset: int64(len(h.stream) + 1), Time: h.at, Data: data})
}

func (h *history) arrive() {
	if len(h.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.late)-1).Draw(h.t, "late")
	h.append(h.late[i]...)
	h.late = append(h.late[:i], h.late[i+1:]...)
}

func (h *history) reader() *Fold {
	return h.readers[rapid.IntRange(0, len(h.readers)-1).Draw(h.t, "reader")]
}

// read lets one batcher read on, a part or all.
func (h *history) read() {
	f := h.reader()
	for n := rapid.IntRange(1, 4).Draw(h.t, "n"); n > 0 && int(f.Next()) <= len(h.stream); n-- {
		f.Apply(h.stream[f.Next()-1])
	}
}

func (h *history) some() *try {
	if len(h.tries) == 0 {
		return nil
	}
	return h.tries[rapid.IntRange(0, len(h.tries)-1).Draw(h.t, "try")]
}

// learn asks a batcher, and dispatches on WON.
func (h *history) learn() {
	t := h.some()
	if t == nil || t.gaveUp || t.ran {
		return
	}
	d, ok := h.reader().decide(&t.it)
	if !ok {
		return
	}
	if d.kind != peerpb.Outcome_WON {
		t.gaveUp = true
		return
	}
	t.ran = true
	h.runs[t.it.intent.Key]++
}

// giveUp ends a try whose answer is late, and says that it never runs.
func (h *history) giveUp() {
	if t := h.some(); t != nil && !t.ran {
		t.gaveUp = true
		h.send(result(t.it, code.OnceUnavailable))
	}
}

func (h *history) finish() {
	if t := h.some(); t != nil && t.ran && !t.over {
		t.over = true
		h.send(result(t.it, rapid.SampledFrom([]code.Code{code.OK, code.OutcomeUnknown}).Draw(h.t, "code")))
	}
}

// declare closes the key of an attempt that a batcher sees as the holder, as
// is done when its process is held for dead.
func (h *history) declare() {
	t := h.some()
	if t == nil {
		return
	}
	d, ok := h.reader().decide(&t.it)
	if ok && d.kind == peerpb.Outcome_WON {
		env := result(t.it, code.OutcomeUnknown)
		env.Writer = "another"
		h.send(env)
	}
}

// restart loses a batcher's state, and reads the stream anew.
func (h *history) restart() {
	h.readers[rapid.IntRange(0, len(h.readers)-1).Draw(h.t, "restart")] = NewFold(1)
}

// TestHistories: whatever the order in which copies of records reach the log
// and batchers read it, no key runs twice, and all who have read the whole
// stream agree.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{t: rt, runs: map[string]int{}, readers: []*Fold{NewFold(1), NewFold(1)}, at: time.Unix(1e9, 0)}
		steps := []func(){h.begin, h.begin, h.read, h.read, h.learn, h.learn, h.learn, h.giveUp, h.finish, h.arrive, h.declare, h.restart}
		for range rapid.IntRange(10, 60).Draw(rt, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]()
			for key, n := range h.runs {
				if n > 1 {
					rt.Fatalf("%s ran %d times", key, n)
				}
			}
		}
		h.agree()
	})
}

func (h *history) agree() {
	for _, f := range h.readers {
		for int(f.Next()) <= len(h.stream) {
			f.Apply(h.stream[f.Next()-1])
		}
	}
	for id, a := range h.readers[0].keys {
		b := h.readers[1].keys[id]
		if b == nil || a.state != b.state || a.attempt != b.attempt {
			h.t.Fatalf("%+v here, %+v there", a, b)
		}
	}
}

// TestUntrueResults: only the process of an attempt may say that it never ran,
// and an answered key stays so whatever another daemon holds for unknown.
func TestUntrueResults(t *testing.T) {
	cases := []struct {
		name  string
		codes []code.Code // the last one is another process's word
		want  state
	}{
		{"not run, by another", []code.Code{code.TargetUnreachable}, open},
		{"unknown, after the answer", []code.Code{code.OK, code.OutcomeUnknown}, done},
		{"not run, after unknown", []code.Code{code.OutcomeUnknown, code.TargetUnreachable}, unknown},
	}
	for _, tc := range cases {
		h := &history{at: time.Unix(1e9, 0)}
		in := record.Intent{Service: "app", Key: "k", Attempt: "p#1", Window: time.Hour.Milliseconds()}
		body, _ := json.Marshal(in)
		it, _ := parse(record.Envelope{Kind: record.KindIntent, Writer: "p", Body: body})
		envs := []record.Envelope{it.env}
		for _, c := range tc.codes {
			envs = append(envs, result(it, c))
		}
		envs[len(envs)-1].Writer = "another"
		h.append(envs...)
		f := NewFold(1)
		f.Apply(h.stream[0])
		if got := f.keys[it.id].state; got != tc.want {
			t.Errorf("%s: state %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestWindow: a key is forgotten once its window has passed by the log's
// clock, and its memory is freed.
func TestWindow(t *testing.T) {
	h := &history{at: time.Unix(1e9, 0)}
	for i := range 2 {
		in := record.Intent{Service: "app", Key: "k", Attempt: attemptID("p", uint64(i)), Window: time.Hour.Milliseconds()}
		body, _ := json.Marshal(in)
		it, _ := parse(record.Envelope{Kind: record.KindIntent, Writer: "p", Body: body})
		h.append(it.env, result(it, code.OK))
		h.at = h.at.Add(time.Hour)
	}
	f := NewFold(1)
	for i, r := range h.stream {
		f.Apply(r)
		if id := newKeyID("app", "k"); f.keys[id].attempt != attemptID("p", uint64(i)) {
			t.Errorf("after record %d attempt %s stands", i, f.keys[id].attempt)
		}
	}
	h.append()
	f.Apply(h.stream[2])
	if f.Len() != 0 {
		t.Errorf("%d keys held", f.Len())
	}
}
