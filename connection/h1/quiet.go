package h1

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// openAndEmpty reports whether an idle connection is open and has nothing to
// read: the peer has neither closed it nor sent unsolicited bytes. It returns
// true for connections without a file descriptor, which tests use.
func openAndEmpty(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
