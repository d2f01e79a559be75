package pause

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	cases := []struct {
		name    string
		d       time.Duration
		limit   time.Duration // of the context
		waited  time.Duration
		wantErr error
	}{
		{"the time passes", time.Second, time.Minute, time.Second, nil},
		{"the context ends", time.Minute, time.Second, time.Second, context.DeadlineExceeded},
		{"nothing to wait for", 0, time.Second, 0, nil},
		{"ended before", -1, 0, 0, context.DeadlineExceeded},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), tc.limit)
				defer cancel()
				err := For(ctx, tc.d)
				if waited := time.Since(begun); !errors.Is(err, tc.wantErr) || waited != tc.waited {
					t.Errorf("waited %v, error %v", waited, err)
				}
			})
		})
	}
}
