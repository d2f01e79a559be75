//go:build !linux

package drain

import (
	"net"
	"time"
)

// pending returns false, since it isn't implemented on this system.
func pending(net.Conn) bool { return false }

// backlogged returns false, since it isn't implemented on this system.
func backlogged(net.Listener) bool { return false }

func closedByPeer(net.Conn) bool { return false }

func sinceLastSegment(net.Conn) time.Duration { return -1 }

func (c *conn) setWindow(int) {}
