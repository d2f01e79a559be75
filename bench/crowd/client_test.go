package crowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// client is what each client of a crowd does with a connection. It returns once it has
// sent all; the connection stays open until the crowd leaves or the daemon closes it.
type client func(c net.Conn) error

// crowd is a number of equal clients.
type crowd struct {
	clients int
	send    client
	// deaf clients don't read what the daemon sends.
	deaf bool
}

const (
	// maxConnects is how often a client connects: again after the daemon has closed
	// its connection, as clients that don't wait do.
	maxConnects = 12
	// crowdTime bounds the time in which the clients of a crowd send.
	crowdTime = 8 * time.Second
	// reconnectPause is the pause before a client connects again.
	reconnectPause = 50 * time.Millisecond
	// stayTime is how long a crowd stays once it has sent all, so that the daemon can
	// read that.
	stayTime = time.Second
)

// run connects the crowd to one of the addresses each and returns when all clients have
// sent all, are turned away for good, or crowdTime has passed, and stayTime later.
// Connections stay open until leave is called.
func (k *crowd) run(addrs ...string) (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	busy, stop := context.WithTimeout(ctx, crowdTime)
	defer stop()
	var sent, gone sync.WaitGroup
	for i := range k.clients {
		settled := sync.OnceFunc(sent.Done)
		sent.Add(1)
		gone.Go(func() {
			defer settled()
			k.connect(ctx, addrs[i%len(addrs)], settled)
		})
	}
	all := make(chan struct{})
	go func() {
		sent.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-busy.Done():
	}
	pause(ctx, stayTime)
	return func() {
		cancel()
		gone.Wait()
	}
}

// connect plays one client until ctx ends.
func (k *crowd) connect(ctx context.Context, addr string, settled func()) {
	for range maxConnects {
		c, err := (&net.Dialer{Timeout: crowdTime}).DialContext(ctx, "tcp", addr)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			pause(ctx, reconnectPause)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			if !k.deaf {
				_, _ = io.Copy(io.Discard, c) // ends with the connection
			}
		}()
		if k.send(c) == nil {
			settled()
			if k.deaf {
				<-ctx.Done()
			}
		}
		if !k.deaf {
			<-closed
		}
		stop()
		_ = c.Close()
		<-closed
		if ctx.Err() != nil {
			return
		}
		pause(ctx, reconnectPause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// writes returns a client that writes the parts.
func writes(parts ...[]byte) client {
	return func(c net.Conn) error {
		for _, p := range parts {
			if _, err := c.Write(p); err != nil {
				return err
			}
		}
		return nil
	}
}

// writesAgain returns a client that writes the part n times.
func writesAgain(n int, first, part []byte) client {
	return func(c net.Conn) error {
		if _, err := c.Write(first); err != nil {
			return err
		}
		for range n {
			if _, err := c.Write(part); err != nil {
				return err
			}
		}
		return nil
	}
}

// chunk returns a chunk of a body with the given size and extension.
func chunk(size int, extension string) []byte {
	return fmt.Appendf(nil, "%x%s\r\n%s\r\n", size, extension, bytes.Repeat([]byte("x"), size))
}

// distinctLines returns short header lines with distinct names, of up to n bytes.
func distinctLines(n int) []byte {
	var b []byte
	for i := 0; ; i++ {
		line := fmt.Sprintf("%s:\r\n", shortName(i))
		if len(b)+len(line) > n {
			return b
		}
		b = append(b, line...)
	}
}

// equalLines returns short header lines with one name, of up to n bytes.
func equalLines(n int) []byte { return bytes.Repeat([]byte("ab:\r\n"), n/len("ab:\r\n")) }

// shortName returns the i-th shortest header name. Names begin with a letter that no
// header of the protocols begins with.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := "q"
	for i++; i > 0; i /= len(letters) {
		name += string(letters[i%len(letters)])
	}
	return name
}

// errNotSent is the error of a client whose connection takes no more bytes.
var errNotSent = errors.New("not all was sent")

// writesUntilBlocked returns a client that writes the part until the connection takes no
// more, or limit bytes were written.
func writesUntilBlocked(limit int, part []byte) client {
	return func(c net.Conn) error {
		const stalled = time.Second
		for n := 0; n < limit; n += len(part) {
			if err := c.SetWriteDeadline(time.Now().Add(stalled)); err != nil {
				return err
			}
			if _, err := c.Write(part); err != nil {
				var timeout net.Error
				if errors.As(err, &timeout) && timeout.Timeout() {
					return nil
				}
				return fmt.Errorf("%w: %w", errNotSent, err)
			}
		}
		return nil
	}
}
