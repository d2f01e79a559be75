// Package pause waits for a period or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns the error of ctx if ctx ends first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
