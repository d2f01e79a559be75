package answer

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// A caller sends a confirmation again because the answer says "not run", while
// it ran; or it gives up for good because it isn't told when to come back; or
// it is shown what another caller sent, quoted by an error within.
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
