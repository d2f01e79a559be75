package once

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/record"
)

// Bounds of a shard.
const (
	maxBatchRecords = 2000
	maxBatchBytes   = 1 << 20
	maxPending      = 4096 // proposals that wait for a batch
	readMax         = 256  // records a read
	appendTimeout   = time.Second
	readTimeout     = time.Second
	findTimeout     = 300 * time.Millisecond // a read after a failed append
	freshFor        = 100 * time.Millisecond // the state after a read
	retryFirst      = 50 * time.Millisecond
	retryMost       = time.Second
	maxFails        = 2
	shardIdle       = 2 * time.Minute // without proposals until the state is dropped
)

// errNotAppended means that a proposal certainly reached no append.
var errNotAppended = errors.New("once: not appended")

// proposal is one record on its way into the log.
type proposal struct {
	item
	size     int
	ctx      context.Context
	appended bool // some append that carried it was tried
	out      chan outcome
}

type outcome struct {
	o   *peerpb.Outcome
	err error
}

func (p *proposal) answer(o *peerpb.Outcome, err error) { p.out <- outcome{o, err} }

// giveUp answers a proposal of which the log decided nothing in time.
func (p *proposal) giveUp() {
	if !p.appended {
		p.answer(nil, errNotAppended)
		return
	}
	p.answer(&peerpb.Outcome{Kind: peerpb.Outcome_UNKNOWN}, nil)
}

// shard appends the proposals of one shard in batches and answers each by the
// fold of the stream. Any number of processes may do that for the same shard
// at once: each answers by the log alone. One goroutine owns the state.
type shard struct {
	stream string
	log    port.Log
	limit  *rate.Limiter
	health *health
	in     chan *proposal

	// Owned by the loop goroutine.
	fold    *Fold // nil before the stream was read
	pending []*proposal
	backoff time.Duration
	read    time.Time // when the newest record was read last
	fails   int       // appends in a row that had no effect
}

func newShard(n int, l port.Log, limit *rate.Limiter, h *health) *shard {
	return &shard{
		stream: record.OnceStream(n),
		log:    l,
		limit:  limit,
		health: h,
		in:     make(chan *proposal, maxPending),
	}
}

// submit hands a proposal in. A full shard refuses it, and so does one whose
// log failed a moment ago, even while its goroutine waits for the log.
func (s *shard) submit(p *proposal) error {
	if !s.health.ok() {
		return errNotAppended
	}
	select {
	case s.in <- p:
		return nil
	default:
		counts.Add("shard_full", 1)
		return errNotAppended
	}
}

// run works until it is told to end, or no proposal came for shardIdle.
func (s *shard) run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	idle := time.NewTimer(shardIdle)
	defer idle.Stop()
	for {
		select {
		case <-t.Dying():
			s.refuseAll()
			return nil
		case <-idle.C:
			s.fold = nil
		case p := <-s.in:
			s.take(p)
			s.work(ctx, t)
			idle.Reset(shardIdle)
		}
	}
}

func (s *shard) refuseAll() {
	for {
		select {
		case p := <-s.in:
			s.pending = append(s.pending, p)
			continue
		default:
		}
		break
	}
	for _, p := range s.pending {
		p.giveUp()
	}
	s.pending = nil
}

// take keeps a proposal that the fold doesn't answer by itself.
func (s *shard) take(p *proposal) {
	if d, ok := s.known(p); ok {
		counts.Add("answered_without_append", 1)
		p.answer(s.outcome(p.ctx, d), nil)
		return
	}
	s.pending = append(s.pending, p)
}

// known decides by what was read already. An answered key stays so; anything
// else may have changed through another batcher, so that a caller would be
// told "busy" for good: then the stream is read on first.
func (s *shard) known(p *proposal) (decision, bool) {
	if s.fold == nil {
		return decision{}, false
	}
	d, ok := s.fold.decide(&p.item)
	if !ok || d.final || time.Since(s.read) < freshFor {
		return d, ok
	}
	if s.catchUp(p.ctx, 0) != nil || s.fold == nil {
		return decision{}, false
	}
	return s.fold.decide(&p.item)
}

// work appends until nothing is pending.
func (s *shard) work(ctx context.Context, t *tomb.Tomb) {
	for len(s.pending) > 0 && ctx.Err() == nil {
		if !s.health.ok() {
			s.refuseAll()
			return
		}
		if !s.recover(ctx) {
			continue
		}
		s.settle()
		s.gather(t)
		s.dropExpired()
		if len(s.pending) > 0 {
			s.appendBatch(ctx)
		}
	}
}

// gather waits for the right to append and takes what comes meanwhile.
func (s *shard) gather(t *tomb.Tomb) {
	timer := time.NewTimer(s.limit.Reserve().Delay() + s.backoff)
	defer timer.Stop()
	for {
		select {
		case p := <-s.in:
			s.take(p)
			continue
		default:
		}
		select {
		case p := <-s.in:
			s.take(p)
		case <-timer.C:
			return
		case <-t.Dying():
			return
		}
	}
}

// dropExpired answers the proposals whose callers no longer wait.
func (s *shard) dropExpired() {
	kept := s.pending[:0]
	for _, p := range s.pending {
		if p.ctx.Err() != nil {
			p.giveUp()
			continue
		}
		kept = append(kept, p)
	}
	clear(s.pending[len(kept):])
	s.pending = kept
}

// appendBatch appends what is pending, reads the stream back and answers.
//
// The guard is against a lost answer: the append took effect and the log said
// that it failed. So after a failure the stream is read before anything is
// appended again, and what stands there is answered from there. A copy that
// comes in later, from the log's own queue, changes nothing in the fold.
func (s *shard) appendBatch(ctx context.Context) {
	batch, data := s.batch()
	for _, p := range batch {
		p.appended = true
	}
	actx, cancel := context.WithTimeout(ctx, appendTimeout)
	offset, err := s.log.Append(actx, s.stream, data)
	cancel()
	counts.Add("appends", 1)
	counts.Add("appended_records", int64(len(batch)))
	cctx := ctx
	if err != nil {
		cctx, cancel = context.WithTimeout(ctx, findTimeout)
		defer cancel()
		counts.Add("append_errors", 1)
		offset = 0
		s.backoff = min(max(2*s.backoff, retryFirst), retryMost)
	}
	if cerr := s.catchUp(cctx, offset); cerr != nil {
		s.down(errors.Join(err, cerr))
		return
	}
	s.settle()
	if err == nil {
		s.backoff = 0
		s.fails = 0
		s.health.up()
		return
	}
	s.appendFailed(err)
}

// appendFailed ends the tries when the log can be read but takes no append.
func (s *shard) appendFailed(err error) {
	if len(s.pending) == 0 {
		return
	}
	s.fails++
	if s.fails >= maxFails {
		s.fails = 0
		s.down(err)
	}
}

// batch encodes the oldest pending proposals.
func (s *shard) batch() ([]*proposal, []byte) {
	var b record.Batch
	n, size := 0, 0
	for _, p := range s.pending {
		if n == maxBatchRecords || n > 0 && size+p.size > maxBatchBytes {
			break
		}
		b.Records = append(b.Records, p.env)
		size += p.size
		n++
	}
	data, _ := json.Marshal(b)
	return s.pending[:n], data
}

// settle answers what the fold decides.
func (s *shard) settle() {
	kept := s.pending[:0]
	for _, p := range s.pending {
		d, ok := s.fold.decide(&p.item)
		if !ok {
			kept = append(kept, p)
			continue
		}
		p.answer(s.outcome(p.ctx, d), nil)
	}
	clear(s.pending[len(kept):])
	s.pending = kept
}

// down gives all proposals up at once: a caller is not held back by an outage.
func (s *shard) down(err error) {
	if s.health.down() {
		log.WithField("stream", s.stream).WithError(err).Warn("once: log is down")
	}
	s.refuseAll()
}
