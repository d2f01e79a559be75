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
	peerTimeout   = 1500 * time.Millisecond // limit on the reply of one peer
	avoidDuration = 2 * time.Second         // how long a peer that did not answer is skipped
)

var errStopped = errors.New("once: stopped")

// avoidList holds the peers that recently failed to answer, so that requests do
// not each wait for the same timeout.
type avoidList struct {
	now   func() time.Time
	mu    sync.Mutex
	until map[string]time.Time
}

func (a *avoidList) add(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[addr] = a.now().Add(avoidDuration)
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

// propose sends the intent of an attempt to the log and returns its outcome.
func (l *LogDeduplicator) propose(ctx context.Context, a *attempt) (*peerpb.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
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

// proposeAll sends records of one shard to its batcher, then to the next one if
// that fails, and finally batches them in this process. The choice of batcher
// affects only the cost, because every daemon answers from the log. The error is
// errNotAppended only if no daemon can have appended any of the records.
func (l *LogDeduplicator) proposeAll(ctx context.Context, shard int, envs []record.Envelope) ([]*peerpb.Outcome, error) {
	maybeAppended := false
	for _, addr := range l.batchers(shard) {
		outcomes, err := l.proposeTo(ctx, addr, shard, envs)
		if err == nil {
			return outcomes, nil
		}
		if !errors.Is(err, errNotAppended) {
			maybeAppended = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	if maybeAppended {
		return nil, fmt.Errorf("once: shard %d: no batcher answered", shard)
	}
	return nil, errNotAppended
}

func (l *LogDeduplicator) proposeTo(ctx context.Context, addr string, shard int, envs []record.Envelope) ([]*peerpb.Outcome, error) {
	if addr == "" {
		return l.submit(ctx, shard, envs)
	}
	return l.proposeRemote(ctx, addr, shard, envs)
}

// batchers returns the addresses to try, ordered by rendezvous hashing over the
// live members: at most two peers, then this process. The empty address means
// this process.
func (l *LogDeduplicator) batchers(shard int) []string {
	type candidate struct {
		addr  string
		score uint64
	}
	first := candidate{"", score(shard, l.o.Self)}
	second := candidate{}
	for _, m := range l.o.Members() {
		if !m.Live || m.Leaving || m.Incarnation == l.o.Self || l.o.Client == nil || l.avoid.has(m.Addr) {
			continue
		}
		p := candidate{m.Addr, score(shard, m.Incarnation)}
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

func (l *LogDeduplicator) proposeRemote(ctx context.Context, addr string, shard int, envs []record.Envelope) ([]*peerpb.Outcome, error) {
	c, err := l.o.Client(addr)
	if err != nil {
		return nil, errNotAppended
	}
	req := &peerpb.ProposeRequest{Shard: int32(shard)}
	for _, e := range envs {
		data, _ := json.Marshal(e)
		req.Records = append(req.Records, data)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
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
func (l *LogDeduplicator) submit(ctx context.Context, shard int, envs []record.Envelope) ([]*peerpb.Outcome, error) {
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

// collect waits for all outcomes. It returns errNotAppended if none of the
// records was passed to an append.
func (l *LogDeduplicator) collect(ctx context.Context, ps []*proposal) ([]*peerpb.Outcome, error) {
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
