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

// lookupWait is how long a lookup waits for a running attempt. It is short, so
// that an asker notices soon when the process it asks has died.
const lookupWait = time.Second

// HandlePropose answers a peer's proposal; the grpc server calls it. A reply
// without outcomes says that nothing was appended.
func (l *Log) HandlePropose(ctx context.Context, r *peerpb.ProposeRequest) (*peerpb.ProposeReply, error) {
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

// HandleLookup tells what this process knows of an attempt of its own; the
// grpc server calls it. It waits a moment for one that is running.
func (l *Log) HandleLookup(ctx context.Context, r *peerpb.LookupRequest) (*peerpb.LookupReply, error) {
	f := l.attempts.find(r.Attempt)
	if f.running != nil {
		f = l.waitFor(ctx, f, r.Attempt)
	}
	switch {
	case f.running != nil:
		return &peerpb.LookupReply{Known: true, Running: true}, nil
	case f.result != nil:
		return &peerpb.LookupReply{Known: true, Result: marshalResult(f.result)}, nil
	case f.never:
		return l.neverRan(r), nil
	}
	return &peerpb.LookupReply{}, nil
}

func (l *Log) waitFor(ctx context.Context, f found, attempt string) found {
	t := time.NewTimer(lookupWait)
	defer t.Stop()
	select {
	case <-f.running.over:
	case <-t.C:
	case <-ctx.Done():
	}
	return l.attempts.find(attempt)
}

// neverRan tells that an attempt got no ticket. It wins all the same when a
// copy of its intent that was given up reaches the log late; without a result
// the key would stay closed to a call that never ran.
func (l *Log) neverRan(r *peerpb.LookupRequest) *peerpb.LookupReply {
	result := &record.Result{
		Service: r.Service,
		Key:     r.Key,
		Attempt: r.Attempt,
		Code:    code.OnceUnavailable,
		Window:  l.o.Window(r.Service).Milliseconds(),
	}
	id := newKeyID(r.Service, r.Key)
	l.closers[id.shardOf(l.o.Shards)].add(result)
	return &peerpb.LookupReply{Known: true, Result: marshalResult(result)}
}
