package once

import (
	"context"
	"encoding/json"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/record"
)

// outcome converts a decision to the reply to the proposer. The result of a
// closed key is read back from the log, which keeps it longer than the window;
// the memory per key is therefore independent of the size of the answers. A
// CLOSED outcome without a result means that the result cannot be read at the
// moment.
func (s *shard) outcome(ctx context.Context, d decision) *peerpb.Outcome {
	o := &peerpb.Outcome{Kind: d.kind, Attempt: d.attempt, Writer: d.writer}
	if d.kind != peerpb.Outcome_CLOSED {
		return o
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	recs, _, err := s.log.Read(ctx, s.stream, d.offset, 1, 0)
	if err != nil || len(recs) == 0 {
		return o
	}
	o.Result = findResult(recs[0], d.attempt)
	return o
}

// findResult returns the result of an attempt from a batch.
func findResult(r port.Record, attempt string) []byte {
	var b record.Batch
	if json.Unmarshal(r.Data, &b) != nil {
		return nil
	}
	var found []byte
	for _, env := range b.Records {
		it, err := parse(env)
		if err != nil || it.result == nil || it.result.Attempt != attempt || it.result.Code.Info().NotRun {
			continue
		}
		if found == nil || it.result.Code == code.OK {
			found = env.Body
		}
	}
	return found
}
