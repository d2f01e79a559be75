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
// replies and delays appends. The proposers follow the rules of Begin and of
// tickets. Each batcher may have read any prefix of the stream.
type history struct {
	t        *rapid.T
	stream   []port.Record
	delayed  [][]record.Envelope // appends that have not taken effect yet
	batchers []*StateMachine
	attempts []*simulatedAttempt
	runs     map[string]int
	at       time.Time
}

// simulatedAttempt is one attempt of one process.
type simulatedAttempt struct {
	it       item
	gaveUp   bool
	ran      bool
	finished bool
}

func result(it item, c code.Code) record.Envelope {
	r := record.Result{Service: it.intent.Service, Key: it.intent.Key, Attempt: it.intent.Attempt, Code: c, Digest: it.intent.Digest, Window: time.Hour.Milliseconds()}
	body, _ := json.Marshal(r)
	return record.Envelope{Kind: record.KindResult, Writer: writerOf(r.Attempt), Body: body}
}

func (h *history) begin() {
	n := len(h.attempts)
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
	h.attempts = append(h.attempts, &simulatedAttempt{it: it})
	h.send(it.env)
}

// send appends a record immediately, later, or both.
func (h *history) send(env record.Envelope) {
	switch rapid.IntRange(0, 3).Draw(h.t, "append") {
	case 0:
		h.delayed = append(h.delayed, []record.Envelope{env})
	case 1:
		h.delayed = append(h.delayed, []record.Envelope{env})
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

func (h *history) deliverDelayed() {
	if len(h.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.delayed)-1).Draw(h.t, "late")
	h.append(h.delayed[i]...)
	h.delayed = append(h.delayed[:i], h.delayed[i+1:]...)
}

func (h *history) anyBatcher() *StateMachine {
	return h.batchers[rapid.IntRange(0, len(h.batchers)-1).Draw(h.t, "reader")]
}

// read lets one batcher read up to four more records.
func (h *history) read() {
	m := h.anyBatcher()
	for n := rapid.IntRange(1, 4).Draw(h.t, "n"); n > 0 && int(m.Next()) <= len(h.stream); n-- {
		m.Apply(h.stream[m.Next()-1])
	}
}

func (h *history) anyAttempt() *simulatedAttempt {
	if len(h.attempts) == 0 {
		return nil
	}
	return h.attempts[rapid.IntRange(0, len(h.attempts)-1).Draw(h.t, "try")]
}

// applyDecision asks a batcher for the outcome of an attempt and runs the call
// if it has won.
func (h *history) applyDecision() {
	a := h.anyAttempt()
	if a == nil || a.gaveUp || a.ran {
		return
	}
	d, ok := h.anyBatcher().decide(&a.it)
	if !ok {
		return
	}
	if d.kind != peerpb.Outcome_WON {
		a.gaveUp = true
		return
	}
	a.ran = true
	h.runs[a.it.intent.Key]++
}

// giveUp abandons an attempt without a decision and writes that it never runs.
func (h *history) giveUp() {
	if a := h.anyAttempt(); a != nil && !a.ran {
		a.gaveUp = true
		h.send(result(a.it, code.OnceUnavailable))
	}
}

func (h *history) finish() {
	if a := h.anyAttempt(); a != nil && a.ran && !a.finished {
		a.finished = true
		h.send(result(a.it, rapid.SampledFrom([]code.Code{code.OK, code.OutcomeUnknown}).Draw(h.t, "code")))
	}
}

// declareUnknown closes the key of an attempt that a batcher sees as the holder,
// as a daemon does when it considers the process of the attempt dead.
func (h *history) declareUnknown() {
	a := h.anyAttempt()
	if a == nil {
		return
	}
	d, ok := h.anyBatcher().decide(&a.it)
	if ok && d.kind == peerpb.Outcome_WON {
		env := result(a.it, code.OutcomeUnknown)
		env.Writer = "another"
		h.send(env)
	}
}

// restart drops the state of a batcher, which then reads the stream from the
// start.
func (h *history) restart() {
	h.batchers[rapid.IntRange(0, len(h.batchers)-1).Draw(h.t, "restart")] = NewStateMachine(1)
}

// TestRandomHistories checks that no key runs twice in whatever order copies of
// records reach the log and batchers read it, and that all batchers that have
// read the whole stream agree.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{t: rt, runs: map[string]int{}, batchers: []*StateMachine{NewStateMachine(1), NewStateMachine(1)}, at: time.Unix(1e9, 0)}
		steps := []func(){h.begin, h.begin, h.read, h.read, h.applyDecision, h.applyDecision, h.applyDecision, h.giveUp, h.finish, h.deliverDelayed, h.declareUnknown, h.restart}
		for range rapid.IntRange(10, 60).Draw(rt, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]()
			for key, n := range h.runs {
				if n > 1 {
					rt.Fatalf("%s ran %d times", key, n)
				}
			}
		}
		h.checkAgreement()
	})
}

func (h *history) checkAgreement() {
	for _, m := range h.batchers {
		for int(m.Next()) <= len(h.stream) {
			m.Apply(h.stream[m.Next()-1])
		}
	}
	for id, a := range h.batchers[0].keys {
		b := h.batchers[1].keys[id]
		if b == nil || a.state != b.state || a.attempt != b.attempt {
			h.t.Fatalf("the first batcher has %+v, the second one %+v", a, b)
		}
	}
}

// TestConflictingResults checks that only the process of an attempt may write
// that it never ran, and that an answered key stays answered when another daemon
// declares its outcome unknown.
func TestConflictingResults(t *testing.T) {
	cases := []struct {
		name  string
		codes []code.Code // the last one is written by another process
		want  keyState
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
		m := NewStateMachine(1)
		m.Apply(h.stream[0])
		if got := m.keys[it.id].state; got != tc.want {
			t.Errorf("%s: state %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestKeyExpiresAfterWindow checks that a key is removed and its memory freed
// once its window has passed by the log's clock.
func TestKeyExpiresAfterWindow(t *testing.T) {
	h := &history{at: time.Unix(1e9, 0)}
	for i := range 2 {
		in := record.Intent{Service: "app", Key: "k", Attempt: attemptID("p", uint64(i)), Window: time.Hour.Milliseconds()}
		body, _ := json.Marshal(in)
		it, _ := parse(record.Envelope{Kind: record.KindIntent, Writer: "p", Body: body})
		h.append(it.env, result(it, code.OK))
		h.at = h.at.Add(time.Hour)
	}
	m := NewStateMachine(1)
	for i, r := range h.stream {
		m.Apply(r)
		if id := newKeyID("app", "k"); m.keys[id].attempt != attemptID("p", uint64(i)) {
			t.Errorf("after record %d the key is held by attempt %s", i, m.keys[id].attempt)
		}
	}
	h.append()
	m.Apply(h.stream[2])
	if m.Len() != 0 {
		t.Errorf("%d keys held", m.Len())
	}
}
