package attempt

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/request/routing"
)

// tokenReceiver counts bytes of an answer as tokens, each of which its caller gets.
type tokenReceiver struct {
	tokens int
	from   []string // targets of the tokens
}

func (r *tokenReceiver) Progress() int   { return r.tokens }
func (r *tokenReceiver) Committed() bool { return false }
func (r *tokenReceiver) Receive(a Answer) error {
	var b [1]byte
	for {
		if _, err := io.ReadFull(a.Body, b[:]); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		r.tokens++
		r.from = append(r.from, a.Target)
	}
}

// versionTrial runs a streamed request at engines with these model versions, in the
// order in which they are tried. The first one cuts its stream.
func versionTrial(t *testing.T, q *Request, versions ...string) (recv *tokenReceiver, err error) {
	synctest.Test(t, func(t *testing.T) {
		net := &pipenet.Net{}
		var targets staticTargets
		for i, version := range versions {
			name := string(rune('a' + i))
			net.Serve(name, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderID, r.Header.Get(HeaderID))
				_, _ = io.WriteString(w, "to")
				_ = http.NewResponseController(w).Flush()
				if i == 0 {
					panic(http.ErrAbortHandler)
				}
			}))
			targets = append(targets, routing.Target{Name: name, Addr: name, Live: true, Version: version})
		}
		p := pool.New(pool.Options{Dial: net.Dial})
		recv = &tokenReceiver{}
		_, err = NewRunner(Options{Pool: p, Router: firstAvailable{}, Targets: targets}).Run(t.Context(), q, nil, recv)
		net.Close()
		p.Close()
	})
	return recv, err
}

// Guards against an answer with tokens of two model versions: one engine's stream is
// cut, and an engine of another version goes on with it.
func TestStreamGoesOnAtItsModelVersion(t *testing.T) {
	recv, err := versionTrial(t, request(true), "1", "2", "1")
	if err != nil || recv.tokens != 4 || recv.from[3] != "c" {
		t.Errorf("tokens from %v, %v", recv.from, err)
	}
	if recv, err := versionTrial(t, request(true), "1", "2"); err == nil || slices.Contains(recv.from, "b") {
		t.Errorf("without another engine of the version: tokens from %v, %v", recv.from, err)
	}
}

// Guards against a request that goes on with an earlier answer at another model
// version than that answer's, which the request doesn't state.
func TestResumedRequestNeedsOneModelVersion(t *testing.T) {
	for _, versions := range [][]string{{"2", "1"}, {"1", "1"}} {
		q := request(true)
		q.Resumes = true
		recv, err := versionTrial(t, q, versions...)
		want := code.Code(0)
		if versions[0] != versions[1] {
			want = code.OriginUnknown
		}
		if code.Of(err) != want || (want != 0) != (recv.tokens == 0) {
			t.Errorf("versions %v: tokens from %v, %v", versions, recv.from, err)
		}
	}
}

// Guards against a request that goes on with an earlier answer at another model version
// after the engines of the answer's version have left: the request states the version.
func TestStatedModelVersionIsKept(t *testing.T) {
	stated := "1"
	for _, c := range []struct {
		versions []string
		want     code.Code
		from     []string
	}{
		{[]string{"2", "2"}, code.OriginGone, nil},
		{[]string{"2", "1"}, 0, []string{"b", "b"}},
	} {
		q := request(true)
		q.Resumes, q.ResumedVersion = true, &stated
		recv, err := versionTrial(t, q, c.versions...)
		if code.Of(err) != c.want || !slices.Equal(recv.from, c.from) {
			t.Errorf("versions %v: tokens from %v, %v", c.versions, recv.from, err)
		}
	}
}
