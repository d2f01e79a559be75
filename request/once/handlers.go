package once

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/process/record"
)

// lookupWait is how long a lookup waits for a running attempt. It is short so
// that the requester soon notices when the process it queries has exited.
const lookupWait = time.Second

// HandlePropose handles the Propose call of a peer. A reply without outcomes
// means that nothing was appended.
func (l *LogDeduplicator) HandlePropose(ctx context.Context, r *peerpb.ProposeRequest) (*peerpb.ProposeReply, error) {
	if r.Shard < 0 || int(r.Shard) >= l.o.Shards || len(r.Records) == 0 {
		return &peerpb.ProposeReply{}, nil
	}
	envs := make([]record.Envelope, len(r.Records))
	for i, data := range r.Records {
		if err := json.Unmarshal(data, &envs[i]); err != nil {
			return &peerpb.ProposeReply{}, nil
		}
	}
	outcomes, err := l.submit(ctx, int(r.Shard), envs)
	if errors.Is(err, errNotAppended) {
		return &peerpb.ProposeReply{}, nil
	}
	if err != nil {
		return nil, err
	}
	return &peerpb.ProposeReply{Outcomes: outcomes}, nil
}

// HandleLookup handles the Lookup call of a peer and returns the status of an
// attempt of this process. It waits up to lookupWait for a running attempt.
func (l *LogDeduplicator) HandleLookup(ctx context.Context, r *peerpb.LookupRequest) (*peerpb.LookupReply, error) {
	status := l.attempts.find(r.Attempt)
	if status.running != nil {
		status = l.waitForAttempt(ctx, status, r.Attempt)
	}
	switch {
	case status.running != nil:
		return &peerpb.LookupReply{Known: true, Running: true}, nil
	case status.result != nil:
		return &peerpb.LookupReply{Known: true, Result: marshalResult(status.result)}, nil
	case status.neverRan:
		return l.replyNeverRan(r), nil
	}
	return &peerpb.LookupReply{}, nil
}

func (l *LogDeduplicator) waitForAttempt(ctx context.Context, status attemptStatus, attempt string) attemptStatus {
	t := time.NewTimer(lookupWait)
	defer t.Stop()
	select {
	case <-status.running.finished:
	case <-t.C:
	case <-ctx.Done():
	}
	return l.attempts.find(attempt)
}

// replyNeverRan reports that an attempt received no ticket, and queues a result
// that says so. A late copy of its abandoned intent can still win in the log;
// without a result the key would stay held by a call that never ran.
func (l *LogDeduplicator) replyNeverRan(r *peerpb.LookupRequest) *peerpb.LookupReply {
	result := &record.Result{
		Service: r.Service,
		Key:     r.Key,
		Attempt: r.Attempt,
		Code:    code.OnceUnavailable,
		Window:  l.o.Window(r.Service).Milliseconds(),
	}
	id := newKeyID(r.Service, r.Key)
	l.resultWriters[id.shardOf(l.o.Shards)].enqueue(result)
	return &peerpb.LookupReply{Known: true, Result: marshalResult(result)}
}
