package load

import (
	"context"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/routing"
)

// TestConcurrentVerifyWaits checks that when one crash breaks two requests, the
// second call of Verify returns only after the first one has reported the crash.
// Otherwise the content of the second request, which is not yet known as suspect,
// would be sent to another engine.
func TestConcurrentVerifyWaits(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel() // the probe of the target gets no answer in time
	target := routing.Target{Name: "e", Addr: "e:1"}
	cases := []struct {
		name  string
		first func(w *Watcher, f *fakeEngine)
	}{
		{"refused", func(w *Watcher, _ *fakeEngine) { w.HandleDown("e:1", syscall.ECONNREFUSED) }},
		{"restarted", func(w *Watcher, f *fakeEngine) {
			f.set(func(f *fakeEngine) { f.load.Incarnation = "2" })
			w.Verify(ended, target)
		}},
	}
	for _, tc := range cases {
		f := &fakeEngine{load: port.Load{Incarnation: "1"}}
		watch(t, f, func(w *Watcher, _ *pool.Pool, get func() routing.Target, _ *int) {
			get()
			reported := 0
			second := make(chan struct{})
			w.opts.OnCrash = func(string) {
				reported++
				go func() {
					defer close(second)
					w.Verify(ended, target)
				}()
				if returnedOrBlocked(second) {
					t.Errorf("%s: the second Verify returned before the crash was reported", tc.name)
				}
			}
			tc.first(w, f)
			<-second
			if reported != 1 {
				t.Errorf("%s: reported %d times", tc.name, reported)
			}
		})
	}
}

// returnedOrBlocked waits until a concurrent Verify has closed done, or is blocked
// on a mutex. It returns true in the first case. It inspects the goroutine stacks
// because synctest.Wait doesn't wait for goroutines blocked on a mutex.
func returnedOrBlocked(done <-chan struct{}) bool {
	buf := make([]byte, 1<<20)
	for {
		select {
		case <-done:
			return true
		default:
		}
		n := runtime.Stack(buf, true)
		for _, g := range strings.Split(string(buf[:n]), "\n\n") {
			if strings.Contains(g, "[sync.Mutex.Lock") && strings.Contains(g, "(*Watcher).Verify(") {
				return false
			}
		}
		runtime.Gosched()
	}
}
