// Package sock sets socket options that package net doesn't provide.
package sock

import (
	"fmt"
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
