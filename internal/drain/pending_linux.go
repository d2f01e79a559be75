package drain

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pomelospool/pomelospool/internal/sock"
)

// pending reports whether bytes have arrived that weren't read. It returns false for
// connections that aren't sockets.
func pending(c net.Conn) bool {
	found := false
	sock.OnDescriptor(sock.Innermost(c), func(fd int) {
		var b [1]byte
		for {
			n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if err == unix.EINTR {
				continue
			}
			found = n > 0
			return
		}
	})
	return found
}

// closedByPeer reports whether the peer has closed its end of a connection, even if bytes
// before the close weren't read. It returns false for connections that aren't sockets.
func closedByPeer(c net.Conn) bool {
	closed := false
	sock.OnDescriptor(sock.Innermost(c), func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		for {
			n, err := unix.Poll(fds, 0)
			if err == unix.EINTR {
				continue
			}
			closed = n > 0
			return
		}
	})
	return closed
}

// sinceLastSegment returns the time since the last segment arrived on a connection, or a
// negative time if that isn't known.
func sinceLastSegment(c net.Conn) time.Duration {
	age := time.Duration(-1)
	sock.OnDescriptor(sock.Innermost(c), func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return age
}

// setWindow limits the bytes that the kernel receives while nobody reads them. It has no
// effect on connections that aren't sockets.
func (c *conn) setWindow(bytes int) {
	sock.OnDescriptor(sock.Innermost(c.Conn), func(fd int) {
		// The kernel keeps its defaults if it doesn't know an option.
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes)
	})
}

// backlogged reports whether connections have arrived that weren't accepted. It
// returns false for listeners that aren't sockets.
func backlogged(l net.Listener) bool {
	found := false
	sock.OnDescriptor(l, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		for {
			n, err := unix.Poll(fds, 0)
			if err == unix.EINTR {
				continue
			}
			found = n > 0
			return
		}
	})
	return found
}
