package once

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// recover reads the whole stream when this process has no state of it.
func (s *shard) recover(ctx context.Context) bool {
	if s.fold != nil {
		return true
	}
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	from, err := s.log.Earliest(rctx, s.stream)
	cancel()
	if err != nil {
		s.down(err)
		return false
	}
	s.fold = NewFold(from)
	if err := s.catchUp(ctx, 0); err != nil {
		s.fold = nil
		s.down(err)
		return false
	}
	return true
}

// catchUp folds up to the newest record, and at least up to want.
//
// A process that was paused for longer than the log keeps records has a gap
// that it can't see in its state: a key could look free. The log's
// ErrExpired tells of the gap; the state is dropped and read anew.
func (s *shard) catchUp(ctx context.Context, want int64) error {
	for {
		newest, err := s.readPage(ctx)
		if errors.Is(err, port.ErrExpired) {
			s.fold = nil
			return fmt.Errorf("once: %s: %w", s.stream, err)
		}
		if err != nil {
			return err
		}
		if s.fold.Next() > newest {
			if s.fold.Next() <= want {
				return fmt.Errorf("once: %s ends at %d before append %d", s.stream, newest, want)
			}
			s.read = time.Now()
			s.health.canRead()
			return nil
		}
	}
}

func (s *shard) readPage(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	recs, newest, err := s.log.Read(ctx, s.stream, s.fold.Next(), readMax, 0)
	if err != nil {
		return 0, err
	}
	for _, r := range recs {
		s.fold.Apply(r)
	}
	return newest, nil
}
