//go:build !linux

// Package sock sets socket options that net has no name for.
package sock

import (
	"syscall"
	"time"
)

// Control is the form of net.Dialer.Control and net.ListenConfig.Control.
type Control func(network, addr string, raw syscall.RawConn) error

// UserTimeout does nothing: only Linux has TCP_USER_TIMEOUT.
func UserTimeout(time.Duration) Control { return nil }
