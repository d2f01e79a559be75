//go:build !linux

// Package sock does with sockets what package net doesn't provide.
package sock

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Control is the type of net.Dialer.Control and net.ListenConfig.Control.
type Control func(network, addr string, raw syscall.RawConn) error

// UserTimeout returns nil, since only Linux has TCP_USER_TIMEOUT.
func UserTimeout(time.Duration) Control { return nil }

// SetUserTimeout does nothing, since only Linux has TCP_USER_TIMEOUT.
func SetUserTimeout(net.Conn, time.Duration) {}

// Reserve returns an error, since it isn't implemented on this system.
func Reserve(string) (*os.File, error) { return nil, errors.ErrUnsupported }

// MaxDescriptors returns an error, since it isn't implemented on this system.
func MaxDescriptors() (int, error) { return 0, errors.ErrUnsupported }

// SystemMemory fails, since it isn't implemented on this system.
func SystemMemory() (int64, error) { return 0, errors.ErrUnsupported }

// LimitBacklog does nothing, since it isn't implemented on this system.
func LimitBacklog(net.Listener) error { return nil }

// Unread returns 0, since it isn't implemented on this system.
func Unread(net.Conn) int { return 0 }

// arrived returns 0, since it isn't implemented on this system.
func arrived(net.Conn) int64 { return 0 }
