package sock_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/internal/linkfault"
	"github.com/pomelospool/pomelospool/internal/sock"
)

// Guards against work for another daemon, or a caller, that was cut off while nothing was
// sent on its connection: it can't close it.
func TestConnectionOfASilentPeerIsClosed(t *testing.T) {
	const silence = 1500 * time.Millisecond
	for name, cut := range map[string]bool{"cut off": true, "only idle": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := sock.Listen("127.0.0.1:0", silence)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			peer, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			socket, _ := c.(syscall.Conn)
			if cut {
				if err := linkfault.SetDropArriving(socket, true); err != nil {
					t.Fatal(err)
				}
			}
			_ = c.SetReadDeadline(time.Now().Add(3 * silence))
			_, err = c.Read(make([]byte, 1))
			open := errors.Is(err, os.ErrDeadlineExceeded)
			if open == cut {
				t.Errorf("open %v after %v: %v", open, 3*silence, err)
			}
		})
	}
}
