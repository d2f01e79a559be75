package once

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/process/record"
)

const lookupPause = 100 * time.Millisecond // between two lookups of the winning attempt

// resolve answers a call whose key is held or closed by another attempt. retry
// is true if the key may be free now and the call may be attempted again.
func (l *LogDeduplicator) resolve(ctx context.Context, a *attempt, o *peerpb.Outcome) (answer *Answer, retry bool, err error) {
	switch o.Kind {
	case peerpb.Outcome_REUSED:
		return nil, false, code.New(code.KeyReused, "")
	case peerpb.Outcome_CLOSED:
		answer, err := l.closedAnswer(ctx, a, o)
		return answer, false, err
	case peerpb.Outcome_BUSY:
		return l.await(ctx, a, o)
	}
	return nil, false, code.New(code.Internal, "outcome %v", o.Kind)
}

// closedAnswer returns the first answer of a key that has a result. An answer
// that is too large for the log is kept by the process that ran the call. If
// that process may be alive but is not reachable, for example because it is
// paused or because this process has just started, the error is KeyBusy and the
// caller may retry; AnswerNotKept would be wrong and final.
func (l *LogDeduplicator) closedAnswer(ctx context.Context, a *attempt, o *peerpb.Outcome) (*Answer, error) {
	var r record.Result
	if json.Unmarshal(o.Result, &r) != nil {
		return nil, code.New(code.KeyBusy, "its result can't be read now").WithRetryAfter(retryAfter)
	}
	if r.Code != code.OK {
		return nil, code.New(code.OutcomeUnknown, "")
	}
	if !r.Kept {
		reply, reached := l.lookup(ctx, a.call, o)
		if !reached && l.mayBeAlive(o.Writer) {
			return nil, busy()
		}
		if !reached || reply.Result == nil || json.Unmarshal(reply.Result, &r) != nil || !r.Kept {
			return nil, code.New(code.AnswerNotKept, "status %d", r.Status)
		}
	}
	counts.Add("answered_again", 1)
	return &Answer{Status: r.Status, Type: r.Type, Body: r.Body}, nil
}

// await waits for the attempt that holds the key while its process is alive and
// the caller waits. A caller that sends a request again wants the first answer
// and would only retry after a refusal.
func (l *LogDeduplicator) await(ctx context.Context, a *attempt, o *peerpb.Outcome) (*Answer, bool, error) {
	for ctx.Err() == nil {
		if !l.mayBeAlive(o.Writer) {
			return l.declareUnknown(ctx, a, o)
		}
		reply, reached := l.lookup(ctx, a.call, o)
		switch {
		case reached && !reply.Known:
			return l.declareUnknown(ctx, a, o)
		case reached && !reply.Running:
			return l.finishedAnswer(ctx, a, o, reply)
		}
		_ = pause.For(ctx, lookupPause)
	}
	return nil, false, busy()
}

func busy() error { return code.New(code.KeyBusy, "").WithRetryAfter(retryAfter) }

// finishedAnswer handles the result that the process of the winning attempt
// returned.
func (l *LogDeduplicator) finishedAnswer(ctx context.Context, a *attempt, o *peerpb.Outcome, reply *peerpb.LookupReply) (*Answer, bool, error) {
	var r record.Result
	if json.Unmarshal(reply.Result, &r) != nil {
		return nil, false, busy()
	}
	if r.Code.Info().NotRun {
		_ = pause.For(ctx, lookupPause)
		return nil, ctx.Err() == nil, busy()
	}
	answer, err := l.closedAnswer(ctx, a, &peerpb.Outcome{Attempt: o.Attempt, Writer: o.Writer, Result: reply.Result})
	return answer, false, err
}

// mayBeAlive reports whether the process of an incarnation may still be running.
// An incarnation that is missing from the member list has ended, except shortly
// after the start, when the list is incomplete.
func (l *LogDeduplicator) mayBeAlive(incarnation string) bool {
	if incarnation == l.o.Self {
		return true
	}
	for _, m := range l.o.Members() {
		if m.Incarnation == incarnation {
			return m.Live
		}
	}
	return l.o.Now().Sub(l.started) < membershipSettleTime
}

// declareUnknown closes a key as unknown because the outcome of the winning
// attempt can no longer be determined. This is final only once it is recorded in
// the log; another outcome may be recorded first.
func (l *LogDeduplicator) declareUnknown(ctx context.Context, a *attempt, o *peerpb.Outcome) (*Answer, bool, error) {
	r := a.result(code.OutcomeUnknown)
	r.Attempt = o.Attempt
	body, _ := json.Marshal(r)
	env := record.Envelope{ID: o.Attempt + "/u", Kind: record.KindResult, Writer: l.o.Self, Body: body}
	outcomes, err := l.proposeAll(ctx, a.shard(l.o.Shards), []record.Envelope{env})
	if err != nil || outcomes[0].Kind != peerpb.Outcome_RECORDED {
		return nil, false, busy()
	}
	counts.Add("declared_unknown", 1)
	return nil, true, nil
}

// lookup queries the process of the winning attempt. reached is false if that
// process did not reply.
func (l *LogDeduplicator) lookup(ctx context.Context, c Call, o *peerpb.Outcome) (reply *peerpb.LookupReply, reached bool) {
	req := &peerpb.LookupRequest{Service: c.Service, Key: c.Key, Attempt: o.Attempt}
	if o.Writer == l.o.Self {
		reply, err := l.HandleLookup(ctx, req)
		return reply, err == nil
	}
	addr := l.addrOf(o.Writer)
	if addr == "" || l.o.Client == nil {
		return nil, false
	}
	client, err := l.o.Client(addr)
	if err != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, lookupWait+peerTimeout)
	defer cancel()
	reply, err = client.Lookup(ctx, req)
	return reply, err == nil
}

func (l *LogDeduplicator) addrOf(incarnation string) string {
	for _, m := range l.o.Members() {
		if m.Incarnation == incarnation && m.Live {
			return m.Addr
		}
	}
	return ""
}
