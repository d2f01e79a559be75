package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/process/record"
)

const (
	tryTimeout = 1500 * time.Millisecond // one peer's answer to a proposal
	avoidFor   = 2 * time.Second         // a peer that didn't answer
)

var errStopped = errors.New("once: stopped")

// avoidList remembers the peers that failed to answer lately, so that not
// each request waits for the same time-out.
type avoidList struct {
	now   func() time.Time
	mu    sync.Mutex
	until map[string]time.Time
}

func (a *avoidList) add(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[addr] = a.now().Add(avoidFor)
}

func (a *avoidList) has(addr string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.until[addr]
	if ok && a.now().After(t) {
		delete(a.until, addr)
		return false
	}
	return ok
}

// propose asks for an attempt's place in the log order.
func (l *Log) propose(ctx context.Context, a *attempt) (*peerpb.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	body, _ := json.Marshal(record.Intent{
		Service: a.call.Service,
		Key:     a.call.Key,
		Attempt: a.id,
		Digest:  a.call.Digest,
		At:      l.o.Now().UnixMilli(),
		Window:  a.window.Milliseconds(),
	})
	env := record.Envelope{ID: a.id, Kind: record.KindIntent, Writer: l.o.Self, Body: body}
	outcomes, err := l.proposeAll(ctx, a.shard(l.o.Shards), []record.Envelope{env})
	if err != nil {
		return nil, err
	}
	return outcomes[0], nil
}

// proposeAll sends records of one shard to its batcher, and if that doesn't
// answer to the next one, and at last batches them here. Which daemon batches
// is a matter of cost only: all of them answer by the log. The error is
// errNotAppended only if no daemon can have appended anything.
func (l *Log) proposeAll(ctx context.Context, shard int, envs []record.Envelope) ([]*peerpb.Outcome, error) {
	maybe := false
	for _, addr := range l.batchers(shard) {
		outcomes, err := l.proposeTo(ctx, addr, shard, envs)
		if err == nil {
			return outcomes, nil
		}
		if !errors.Is(err, errNotAppended) {
			maybe = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	if maybe {
		return nil, fmt.Errorf("once: shard %d: no batcher answered", shard)
	}
	return nil, errNotAppended
}

func (l *Log) proposeTo(ctx context.Context, addr string, shard int, envs []record.Envelope) ([]*peerpb.Outcome, error) {
	if addr == "" {
		return l.submit(ctx, shard, envs)
	}
	return l.proposeRemote(ctx, addr, shard, envs)
}

// batchers returns up to two addresses, and at last this process: the order of
// rendezvous hashing over the live members. Empty stands for this process.
func (l *Log) batchers(shard int) []string {
	type place struct {
		addr  string
		score uint64
	}
	first := place{"", score(shard, l.o.Self)}
	second := place{}
	for _, m := range l.o.Members() {
		if !m.Live || m.Leaving || m.Incarnation == l.o.Self || l.o.Client == nil || l.avoid.has(m.Addr) {
			continue
		}
		p := place{m.Addr, score(shard, m.Incarnation)}
		if p.score > first.score {
			first, second = p, first
		} else if p.score > second.score {
			second = p
		}
	}
	if first.addr == "" {
		return []string{""}
	}
	if second.addr == "" {
		return []string{first.addr, ""}
	}
	return []string{first.addr, second.addr, ""}
}

func score(shard int, incarnation string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d/%s", shard, incarnation))
}

func (l *Log) proposeRemote(ctx context.Context, addr string, shard int, envs []record.Envelope) ([]*peerpb.Outcome, error) {
	c, err := l.o.Client(addr)
	if err != nil {
		return nil, errNotAppended
	}
	req := &peerpb.ProposeRequest{Shard: int32(shard)}
	for _, e := range envs {
		data, _ := json.Marshal(e)
		req.Records = append(req.Records, data)
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	reply, err := c.Propose(ctx, req)
	if err != nil {
		counts.Add("batcher_failed", 1)
		l.avoid.add(addr)
		return nil, fmt.Errorf("once: batcher %s: %w", addr, err)
	}
	if len(reply.Outcomes) != len(envs) {
		return nil, errNotAppended
	}
	return reply.Outcomes, nil
}

// submit batches records in this process.
func (l *Log) submit(ctx context.Context, shard int, envs []record.Envelope) ([]*peerpb.Outcome, error) {
	s := l.shard(shard)
	if s == nil {
		return nil, errNotAppended
	}
	out := make([]*proposal, len(envs))
	for i, e := range envs {
		it, err := parse(e)
		if err != nil {
			return nil, err
		}
		p := &proposal{item: it, size: len(e.Body) + 128, ctx: ctx, out: make(chan outcome, 1)}
		if err := s.submit(p); err != nil {
			p.answer(nil, err)
		}
		out[i] = p
	}
	return l.collect(ctx, out)
}

// collect waits for all answers. It gives errNotAppended when none of the
// records reached an append.
func (l *Log) collect(ctx context.Context, ps []*proposal) ([]*peerpb.Outcome, error) {
	refused := 0
	outcomes := make([]*peerpb.Outcome, len(ps))
	for i, p := range ps {
		select {
		case r := <-p.out:
			outcomes[i] = r.o
			if r.err != nil {
				refused++
				outcomes[i] = &peerpb.Outcome{Kind: peerpb.Outcome_UNKNOWN}
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-l.tomb.Dying():
			return nil, errStopped
		}
	}
	if refused == len(ps) {
		return nil, errNotAppended
	}
	return outcomes, nil
}
