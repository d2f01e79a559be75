package once

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// loadState reads the whole stream if the shard has no state.
func (s *shard) loadState(ctx context.Context) bool {
	if s.state != nil {
		return true
	}
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	from, err := s.log.Earliest(rctx, s.stream)
	cancel()
	if err != nil {
		s.failPending(err)
		return false
	}
	s.state = NewStateMachine(from)
	if err := s.catchUp(ctx, 0); err != nil {
		s.state = nil
		s.failPending(err)
		return false
	}
	return true
}

// catchUp applies all records up to the newest one, and at least up to offset
// want.
//
// A process that was paused for longer than the log's retention misses records
// and cannot detect the gap in its own state, where a key could look free. The
// log reports the gap as ErrExpired; the state is then dropped and loaded again.
func (s *shard) catchUp(ctx context.Context, want int64) error {
	for {
		newest, err := s.readPage(ctx)
		if errors.Is(err, port.ErrExpired) {
			s.state = nil
			return fmt.Errorf("once: stream %s: %w", s.stream, err)
		}
		if err != nil {
			return err
		}
		if s.state.Next() > newest {
			if s.state.Next() <= want {
				return fmt.Errorf("once: stream %s ends at offset %d, before the appended offset %d", s.stream, newest, want)
			}
			s.lastRead = time.Now()
			s.health.markReadable()
			return nil
		}
	}
}

func (s *shard) readPage(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	recs, newest, err := s.log.Read(ctx, s.stream, s.state.Next(), maxReadRecords, 0)
	if err != nil {
		return 0, err
	}
	for _, r := range recs {
		s.state.Apply(r)
	}
	return newest, nil
}
