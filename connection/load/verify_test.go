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

// TestSecondVerifyWaits: one death breaks two requests, and both verify it. The
// first notices it and is still telling of it; the second finds nothing new.
// If it went on at once, its content, not yet known as suspect, would be sent
// to a second engine.
func TestSecondVerifyWaits(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel() // the probe of the target gets no answer in time
	target := routing.Target{Name: "e", Addr: "e:1"}
	cases := []struct {
		name  string
		first func(w *Watcher, f *fake)
	}{
		{"refused", func(w *Watcher, _ *fake) { w.Down("e:1", syscall.ECONNREFUSED) }},
		{"restarted", func(w *Watcher, f *fake) {
			f.set(func(f *fake) { f.load.Incarnation = "2" })
			w.Verify(ended, target)
		}},
	}
	for _, tc := range cases {
		f := &fake{load: port.Load{Incarnation: "1"}}
		watch(t, f, func(w *Watcher, _ *pool.Pool, get func() routing.Target, _ *int) {
			get()
			told := 0
			second := make(chan struct{})
			w.opts.Crashed = func(string) {
				told++
				go func() {
					defer close(second)
					w.Verify(ended, target)
				}()
				if returned(second) {
					t.Errorf("%s: the second Verify returned before the death was told", tc.name)
				}
			}
			tc.first(w, f)
			<-second
			if told != 1 {
				t.Errorf("%s: told %d times", tc.name, told)
			}
		})
	}
}

// returned waits until a Verify that runs beside the caller is over, or stands
// at a lock, and tells which. A bubble can't wait for the latter.
func returned(over <-chan struct{}) bool {
	buf := make([]byte, 1<<20)
	for {
		select {
		case <-over:
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
