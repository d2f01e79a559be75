package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/peer"
	"github.com/pomelospool/pomelospool/process/burn"
	"github.com/pomelospool/pomelospool/request/entry"
)

// phase is where a daemon stands in its life.
type phase int32

const (
	phaseStarting phase = iota
	phaseServing
	phaseLeaving  // out of the address answers, still serving
	phaseDraining // refuses new requests
)

func (d *Daemon) phase() phase     { return phase(d.state.Load()) }
func (d *Daemon) setPhase(p phase) { d.state.Store(int32(p)) }

func (d *Daemon) wireServers(keys *keys) {
	d.callers = entry.NewServer(d.s.Limits, d.entry)
	d.callers.TLSConfig = keys.server()
	d.operators = &http.Server{
		Handler:           keys.guardOperators(d.operatorRoutes()),
		ReadHeaderTimeout: operatorTimeout,
		TLSConfig:         keys.server(),
	}
	d.peers = peer.NewServer(peer.Handlers{
		Heartbeat: d.members.HandleHeartbeat,
		Fetch:     d.handleFetch,
		Propose:   d.once.HandlePropose,
		Lookup:    d.once.HandleLookup,
		Burn:      d.handleBurn,
	}, keys.peerServer())
}

const operatorTimeout = 5 * time.Second

// Start runs all parts and returns at once. Wait tells when they ended.
func (d *Daemon) Start() {
	log.WithFields(log.Fields{"vm": d.s.VM, "zone": d.s.Zone, "incarnation": d.self}).Info("daemon: starting")
	d.tomb.Go(func() error {
		d.serve("peers", func() error { return d.peers.Serve(d.listeners.peers) })
		d.serve("operators", func() error { return serveHTTP(d.operators, d.listeners.operators) })
		d.serve("callers", func() error {
			return serveHTTP(d.callers, entry.Listen(d.listeners.callers, d.s.Limits))
		})
		d.members.Start()
		d.follower.Start()
		d.leases.Start()
		d.reconciler.Start()
		d.once.Start()
		d.crashes.Start()
		d.tomb.Go(d.controlLoop)
		d.tomb.Go(d.burnLoop)
		return nil
	})
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// serve runs one server; its failure ends the daemon.
func (d *Daemon) serve(name string, f func() error) {
	d.tomb.Go(func() error {
		err := f()
		if err == nil || errors.Is(err, http.ErrServerClosed) || !d.tomb.Alive() || d.phase() == phaseDraining {
			return nil
		}
		log.WithError(err).WithField("port", name).Error("daemon: server failed")
		return err
	})
}

// Wait returns when the daemon has ended.
func (d *Daemon) Wait() error { return d.tomb.Wait() }

// Dying is closed when the daemon ends on its own, by a failed server.
func (d *Daemon) Dying() <-chan struct{} { return d.tomb.Dying() }

// Shutdown is the planned stop. No request is cut: first the daemon leaves
// the address answers of all daemons and serves on until the answers that
// callers keep have expired; then it refuses new requests as not run and
// waits for the open ones; leases are given back last, once nothing of its
// own needs them. ctx bounds the wait; when it ends, open requests are cut.
func (d *Daemon) Shutdown(ctx context.Context) error {
	var err error
	d.stopOnce.Do(func() { err = d.shutdown(ctx) })
	return err
}

func (d *Daemon) shutdown(ctx context.Context) error {
	log.Info("daemon: leaving")
	d.setPhase(phaseLeaving)
	d.members.Leave()
	wait := d.s.Control.AddressTTL + leaveSpread*d.s.Control.Heartbeat
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	d.setPhase(phaseDraining)
	log.Info("daemon: draining")
	drained := d.entry.Drain(ctx)
	if drained != nil {
		log.WithField("open", d.entry.Open()).Warn("daemon: drain limit reached, open requests are cut")
	}
	d.handOver(ctx)
	d.closeIdle()
	d.close()
	d.tomb.Kill(nil)
	err := d.tomb.Wait()
	log.Info("daemon: stopped")
	return errors.Join(drained, err)
}

// leaveSpread is the number of heartbeat periods in which the news of a
// leaving daemon has reached the others.
const leaveSpread = 4

// releaseLimit bounds the wait for the log when leases are given back. With
// the log down they expire instead.
const releaseLimit = 2 * time.Second

// closeIdle lets callers' connections end with the answers that are on them.
func (d *Daemon) closeIdle() {
	end, cancel := context.WithTimeout(context.Background(), idleLimit)
	defer cancel()
	_ = d.callers.Shutdown(end)
	_ = d.entry.Close()
}

// idleLimit bounds the wait for callers' connections at a stop.
const idleLimit = time.Second

// handOver gives back and writes down what others need: results of calls
// that may not be repeated, leases, the burn report. Results have all the time
// that ctx leaves, since one that isn't recorded is unknown for good.
func (d *Daemon) handOver(ctx context.Context) {
	_ = d.reconciler.Stop()
	if err := d.once.Drain(ctx); err != nil {
		log.WithError(err).Warn("once: results not all recorded")
	}
	brief, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	if err := d.leases.Release(brief); err != nil {
		log.WithError(err).Warn("daemon: leases not given back")
	}
	d.saveBurn(brief)
}

// close ends every part. Requests that are still open are cut.
func (d *Daemon) close() {
	d.listeners.close()
	_ = d.callers.Close()
	_ = d.operators.Close()
	d.peers.Stop()
	_ = d.members.Stop()
	_ = d.reconciler.Stop()
	_ = d.leases.Stop()
	_ = d.once.Stop()
	_ = d.follower.Stop()
	_ = d.watcher.Close()
	_ = d.crashes.Stop()
	_ = d.pool.Close()
	d.dialer.Close()
}

// Kill ends the daemon at once, as a crash would, without a word to anyone.
// Tests use it; requests are cut and leases stay until they expire.
func (d *Daemon) Kill() {
	d.stopOnce.Do(func() {
		d.setPhase(phaseDraining)
		d.close()
		d.tomb.Kill(nil)
		_ = d.tomb.Wait()
	})
}

// burnLoop restores the daemon's burn report and saves it from time to time.
// While the log is down it tries again; nothing is saved before the old
// counts are back, or a restart in an outage would wipe them out.
func (d *Daemon) burnLoop() error {
	ctx := d.tomb.Context(context.Background())
	tick := time.NewTicker(burn.SnapshotEvery)
	defer tick.Stop()
	for {
		if err := d.burn.Load(ctx, d.platform.log); err != nil {
			log.WithError(err).Debug("burn: report not read yet")
		}
		select {
		case <-d.tomb.Dying():
			return nil
		case <-tick.C:
			d.saveBurn(ctx)
		}
	}
}

func (d *Daemon) saveBurn(ctx context.Context) {
	if err := d.burn.Save(ctx, d.platform.log, d.self); err != nil {
		log.WithError(err).Warn("burn: report not saved")
	}
}
