// Package sock does with sockets what package net doesn't provide.
package sock

import (
	"fmt"
	"math"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control is the type of net.Dialer.Control and net.ListenConfig.Control.
type Control func(network, addr string, raw syscall.RawConn) error

// UserTimeout returns a Control that sets TCP_USER_TIMEOUT. The kernel closes a
// connection, and drops its unsent data, if transmitted data stays
// unacknowledged for d. Without this option the kernel keeps retransmitting for
// many minutes. Accepted connections inherit the option from their listener.
func UserTimeout(d time.Duration) Control {
	return func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err == nil {
			err = set
		}
		if err != nil {
			return fmt.Errorf("sock: user timeout: %w", err)
		}
		return nil
	}
}

// SetUserTimeout sets TCP_USER_TIMEOUT of a connection, see UserTimeout. It does nothing
// for connections that aren't sockets.
func SetUserTimeout(c net.Conn, d time.Duration) {
	OnDescriptor(Innermost(c), func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds())) // fails if it is closed
	})
}

// Backlog is the number of connections that wait to be accepted. What their callers send
// is received by the kernel, at the expense of the VM's memory.
const Backlog = 256

// LimitBacklog limits the connections of a listener that wait to be accepted to Backlog.
func LimitBacklog(l net.Listener) error {
	c, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err == nil {
		var set error
		err = raw.Control(func(fd uintptr) { set = unix.Listen(int(fd), Backlog) })
		if err == nil {
			err = set
		}
	}
	if err != nil {
		return fmt.Errorf("sock: backlog: %w", err)
	}
	return nil
}

// MaxDescriptors returns the number of file descriptors that the process may have open.
func MaxDescriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("sock: limit of descriptors: %w", err)
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// SystemMemory returns the size of the system's memory in bytes.
func SystemMemory() (int64, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, fmt.Errorf("sock: system's memory: %w", err)
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit)), nil
}

// Reserve keeps a TCP address, which refuses connections, until the file is closed.
// The kernel gives its port to no other socket, but the address can be listened on
// again.
func Reserve(addr string) (*os.File, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("sock: reserve: %w", err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("sock: reserve: %w", err)
	}
	f := os.NewFile(uintptr(fd), addr)
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())})
	}
	if err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("sock: reserve: %w", err)
	}
	return f, nil
}

// Unread returns the number of bytes that have arrived on a connection and weren't read. It
// returns 0 for connections that aren't sockets.
func Unread(c net.Conn) int {
	n := 0
	OnDescriptor(Innermost(c), func(fd int) {
		if got, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			n = got
		}
	})
	return n
}

// arrived returns the number of bytes that have arrived on a connection since it was
// opened, with one more once its peer has closed it. It returns 0 for connections that
// aren't sockets.
func arrived(c net.Conn) int64 {
	n := int64(0)
	OnDescriptor(Innermost(c), func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int64(info.Bytes_received)
		}
	})
	return n
}

// OnDescriptor calls f with the descriptor of a connection or a listener, if it is an open
// socket.
func OnDescriptor(s any, f func(fd int)) {
	sc, ok := s.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return // closed
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails if it is closed
}
