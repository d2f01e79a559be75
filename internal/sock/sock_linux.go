// Package sock sets socket options that net has no name for.
package sock

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control is the form of net.Dialer.Control and net.ListenConfig.Control.
type Control func(network, addr string, raw syscall.RawConn) error

// UserTimeout returns a control that sets TCP_USER_TIMEOUT: the kernel drops a
// connection, and the bytes still to be sent on it, when they have stood
// unacknowledged for d. Without it the kernel goes on sending for many
// minutes. Connections accepted by a listener inherit the listener's.
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
