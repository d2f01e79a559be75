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

// Limits of a shard.
const (
	maxBatchRecords         = 2000
	maxBatchBytes           = 1 << 20
	maxPending              = 4096 // proposals waiting for a batch
	maxReadRecords          = 256  // records per read
	appendTimeout           = time.Second
	readTimeout             = time.Second
	failedAppendReadTimeout = 300 * time.Millisecond // reads after a failed append
	maxStateAge             = 100 * time.Millisecond // after which a non-final decision needs a new read
	minAppendBackoff        = 50 * time.Millisecond
	maxAppendBackoff        = time.Second
	maxAppendFailures       = 2
	shardIdleTimeout        = 2 * time.Minute // time without proposals after which the state is dropped
)

// errNotAppended means that a proposal was not passed to any append.
var errNotAppended = errors.New("once: not appended")

// proposal is a record submitted to a shard.
type proposal struct {
	item
	size     int
	ctx      context.Context
	appended bool // an append that contains it was tried
	out      chan outcome
}

type outcome struct {
	o   *peerpb.Outcome
	err error
}

func (p *proposal) answer(o *peerpb.Outcome, err error) { p.out <- outcome{o, err} }

// giveUp answers a proposal that the log did not decide in time.
func (p *proposal) giveUp() {
	if !p.appended {
		p.answer(nil, errNotAppended)
		return
	}
	p.answer(&peerpb.Outcome{Kind: peerpb.Outcome_UNKNOWN}, nil)
}

// shard appends the proposals of one shard in batches and answers each from the
// state that the stream yields. Any number of processes may do so for the same
// shard at the same time, because each answers only from the log. One goroutine
// owns the state.
type shard struct {
	stream string
	log    port.Log
	limit  *rate.Limiter
	health *health
	in     chan *proposal

	// Owned by the goroutine of run.
	state          *StateMachine // nil until the stream has been read
	pending        []*proposal
	backoff        time.Duration
	lastRead       time.Time // when the end of the stream was last reached
	appendFailures int       // consecutive failed appends without effect
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

// submit queues a proposal. It returns errNotAppended if the queue is full or
// the log is marked unavailable, even while the goroutine of the shard is
// blocked on the log.
func (s *shard) submit(p *proposal) error {
	if !s.health.available() {
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

// run processes proposals until the tomb is dying. It drops the state after
// shardIdleTimeout without proposals.
func (s *shard) run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	idle := time.NewTimer(shardIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-t.Dying():
			s.giveUpAll()
			return nil
		case <-idle.C:
			s.state = nil
		case p := <-s.in:
			s.accept(p)
			s.appendPending(ctx, t)
			idle.Reset(shardIdleTimeout)
		}
	}
}

func (s *shard) giveUpAll() {
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

// accept answers a proposal from the current state, or keeps it as pending if
// the state contains no decision.
func (s *shard) accept(p *proposal) {
	if d, ok := s.decideFromState(p); ok {
		counts.Add("answered_without_append", 1)
		p.answer(s.outcome(p.ctx, d), nil)
		return
	}
	s.pending = append(s.pending, p)
}

// decideFromState returns a decision from the records already read. An answered
// key is final. Any other decision may have changed through another batcher, and
// a stale one could report a key as busy forever, so the stream is read first
// unless the state is recent.
func (s *shard) decideFromState(p *proposal) (decision, bool) {
	if s.state == nil {
		return decision{}, false
	}
	d, ok := s.state.decide(&p.item)
	if !ok || d.final || time.Since(s.lastRead) < maxStateAge {
		return d, ok
	}
	if s.catchUp(p.ctx, 0) != nil || s.state == nil {
		return decision{}, false
	}
	return s.state.decide(&p.item)
}

// appendPending appends batches until no proposal is pending.
func (s *shard) appendPending(ctx context.Context, t *tomb.Tomb) {
	for len(s.pending) > 0 && ctx.Err() == nil {
		if !s.health.available() {
			s.giveUpAll()
			return
		}
		if !s.loadState(ctx) {
			continue
		}
		s.answerDecided()
		s.collectUntilAppend(t)
		s.dropExpired()
		if len(s.pending) > 0 {
			s.appendBatch(ctx)
		}
	}
}

// collectUntilAppend waits for the rate limit and the backoff, and accepts
// proposals in the meantime.
func (s *shard) collectUntilAppend(t *tomb.Tomb) {
	timer := time.NewTimer(s.limit.Reserve().Delay() + s.backoff)
	defer timer.Stop()
	for {
		select {
		case p := <-s.in:
			s.accept(p)
			continue
		default:
		}
		select {
		case p := <-s.in:
			s.accept(p)
		case <-timer.C:
			return
		case <-t.Dying():
			return
		}
	}
}

// dropExpired gives up the proposals whose callers no longer wait.
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

// appendBatch appends the pending proposals, reads the stream back and answers
// them.
//
// It guards against a lost reply, where the append took effect but the log
// reported an error. After a failure the stream is read before anything is
// appended again, and proposals found there are answered from it. A duplicate
// that arrives later from the log's own queue does not change the state.
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
		cctx, cancel = context.WithTimeout(ctx, failedAppendReadTimeout)
		defer cancel()
		counts.Add("append_errors", 1)
		offset = 0
		s.backoff = min(max(2*s.backoff, minAppendBackoff), maxAppendBackoff)
	}
	if cerr := s.catchUp(cctx, offset); cerr != nil {
		s.failPending(errors.Join(err, cerr))
		return
	}
	s.answerDecided()
	if err == nil {
		s.backoff = 0
		s.appendFailures = 0
		s.health.markUp()
		return
	}
	s.appendFailed(err)
}

// appendFailed gives up after maxAppendFailures when the log can be read but
// accepts no appends.
func (s *shard) appendFailed(err error) {
	if len(s.pending) == 0 {
		return
	}
	s.appendFailures++
	if s.appendFailures >= maxAppendFailures {
		s.appendFailures = 0
		s.failPending(err)
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

// answerDecided answers the pending proposals that the state decides.
func (s *shard) answerDecided() {
	kept := s.pending[:0]
	for _, p := range s.pending {
		d, ok := s.state.decide(&p.item)
		if !ok {
			kept = append(kept, p)
			continue
		}
		p.answer(s.outcome(p.ctx, d), nil)
	}
	clear(s.pending[len(kept):])
	s.pending = kept
}

// failPending marks the log unavailable and gives up all proposals, so that no
// caller waits for the end of an outage.
func (s *shard) failPending(err error) {
	if s.health.markDown() {
		log.WithField("stream", s.stream).WithError(err).Warn("once: log is unavailable")
	}
	s.giveUpAll()
}
