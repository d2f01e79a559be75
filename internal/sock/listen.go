package sock

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
)

// probesInSilence is the number of probes of a silent peer until its connection is closed.
const probesInSilence = 3

// Listen opens a TCP port whose connections that wait to be accepted are limited to Backlog.
// An accepted connection is closed once its peer has acknowledged nothing for the time
// silence, neither what was sent to it nor the probes that are sent meanwhile.
func Listen(addr string, silence time.Duration) (net.Listener, error) {
	interval := silence / probesInSilence
	c := net.ListenConfig{
		Control:         UserTimeout(silence),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probesInSilence},
	}
	l, err := c.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := LimitBacklog(l); err != nil {
		log.WithError(err).WithField("addr", l.Addr().String()).Warn("sock: the backlog of a port isn't limited")
	}
	return l, nil
}
