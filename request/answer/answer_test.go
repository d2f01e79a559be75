package answer

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// Guards against three faults: an answer says "not run" for a request that ran,
// so that the caller sends it again; an answer lacks Retry-After, so that the
// caller gives up; or an answer quotes content of another caller from a wrapped
// error.
func TestWrite(t *testing.T) {
	secret := errors.New("prompt of somebody else")
	cases := []struct {
		name          string
		err           error
		notRun, retry string
	}{
		{"refused", code.New(code.Overloaded, "full").WithRetryAfter(1100 * time.Millisecond), "true", "2"},
		{"may have run", code.Wrap(code.TargetFailed, secret, "after 1 sends"), "", ""},
		{"no coded error", secret, "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			e := Error(tc.err)
			Write(w, e, nil)
			h := w.Result().Header
			if w.Code != e.Code.Info().Status || h.Get(HeaderNotRun) != tc.notRun || h.Get(HeaderRetry) != tc.retry {
				t.Errorf("status %d, header %v", w.Code, h)
			}
			if strings.Contains(w.Body.String(), secret.Error()) {
				t.Errorf("the body quotes what the error wraps: %s", w.Body)
			}
		})
	}
}
