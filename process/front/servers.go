package front

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/drain"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/internal/sock"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/process/relay"
	"github.com/pomelospool/pomelospool/request/ingress"
)

const (
	// callerSilence is the time after which a connection is closed whose caller
	// acknowledges nothing.
	callerSilence = 10 * time.Second
	// peerSilence is that of other daemons. One that is cut off can't say that the callers
	// of the requests that it has forwarded are gone. Few of them wait longer for a daemon
	// that stands still.
	peerSilence = 5 * time.Second
)

// operatorAnswerCost is the cost in bytes of memory of an answer to operators: of the
// metrics that are gathered for it.
const operatorAnswerCost = 256 << 10

// server is an HTTP server and its listener.
type server struct {
	name  string
	http  *http.Server
	l     net.Listener
	drain *drain.Tracker
}

func (d *Daemon) wireServers() error {
	d.addServer("peers", d.peers, newPeersServer(d.peersHandler(relay.Handler(d.caches))), drain.Options{
		MaxConns: descriptors(peersShare), HeaderBytes: func() int { return d.headerBytes() + envelopeBytes }, Reject: d.ingress.Reject,
	})
	add := func(name, addr string, s *http.Server, o drain.Options) (*server, error) {
		l, err := sock.Listen(addr, callerSilence)
		if err != nil {
			return nil, fmt.Errorf("front: %s: %w", name, err)
		}
		return d.addServer(name, l, s, o), nil
	}
	var err error
	if d.callers, err = add("callers", d.s.Listen.Callers, ingress.NewServer(d.ingress), drain.Options{
		MaxConns: descriptors(callersShare), IdleTimeout: d.idleTimeout, HeaderTimeout: d.headerTimeout, HeaderBytes: d.headerBytes, Reject: d.ingress.Reject,
	}); err != nil {
		return err
	}
	internal := drain.Options{MaxConns: descriptors(internalShare), HeaderBytes: func() int { return d.s.Limits.HeaderBytes }}
	if _, err = add("ready", d.s.Listen.Ready, d.newInternalServer(platform.ReadyHandler(d.roster)), internal); err != nil {
		return err
	}
	addresses := internal
	addresses.IdleTimeout = d.idleTimeout
	if _, err = add("addresses", d.s.Listen.Addresses, d.newInternalServer(platform.AddressHandler(d.roster)), addresses); err != nil {
		return err
	}
	_, err = add("operators", d.s.Listen.Operators, d.newInternalServer(quota.Answers(d.operatorRoutes(), operatorAnswerCost)), internal)
	return err
}

func (d *Daemon) addServer(name string, l net.Listener, s *http.Server, o drain.Options) *server {
	o.Memory = d.memory
	srv := &server{name: name, http: s, l: l, drain: drain.Track(s, o)}
	d.servers = append(d.servers, srv)
	return srv
}

func (d *Daemon) serve(s *server) error {
	err := s.drain.Serve(s.l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || !d.tomb.Alive() {
		return nil
	}
	log.WithError(err).WithField("port", s.name).Error("front: server failed")
	return err
}

func (d *Daemon) closeServers() {
	for _, s := range d.servers {
		_ = s.http.Close()
		_ = s.l.Close()
	}
}
