//go:build !linux

// Package sock sets socket options that package net doesn't provide.
package sock

import (
	"syscall"
	"time"
)

// Control is the type of net.Dialer.Control and net.ListenConfig.Control.
type Control func(network, addr string, raw syscall.RawConn) error

// UserTimeout returns nil, since only Linux has TCP_USER_TIMEOUT.
func UserTimeout(time.Duration) Control { return nil }
