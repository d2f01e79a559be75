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

// unacknowledged returns the number of sent bytes that the peer's kernel hasn't
// acknowledged. It returns 0 if that isn't known.
func unacknowledged(c net.Conn) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return 0
	}
	return n
}
