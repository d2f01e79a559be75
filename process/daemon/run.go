package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/drain"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/peer"
	"github.com/pomelospool/pomelospool/process/burn"
	"github.com/pomelospool/pomelospool/request/entry"
)

// phase is a stage in the life of a daemon.
type phase int32

const (
	phaseStarting phase = iota
	phaseServing
	phaseLeaving  // no longer in address answers, still serving
	phaseDraining // refuses new requests
)

func (d *Daemon) phase() phase     { return phase(d.state.Load()) }
func (d *Daemon) setPhase(p phase) { d.state.Store(int32(p)) }

func (d *Daemon) wireServers(keys *keys) {
	d.callers = entry.NewServer(d.s.Limits, d.entry)
	d.callers.TLSConfig = keys.serverTLS()
	d.drain = drain.Track(d.callers, drain.Options{MaxConns: entry.MaxConns(d.s.Limits), Memory: d.memory, Reject: entry.Reject})
	d.operators = &http.Server{
		Handler:           keys.guardOperators(quota.Answers(d.operatorRoutes(), operatorAnswerCost)),
		ReadHeaderTimeout: operatorTimeout,
		MaxHeaderBytes:    d.s.Limits.HeaderBytes,
		TLSConfig:         keys.serverTLS(),
	}
	d.drainOperators = drain.Track(d.operators, drain.Options{MaxConns: maxOperators, Memory: d.memory})
	d.peers = peer.NewServer(peer.Handlers{
		Heartbeat: d.members.HandleHeartbeat,
		Fetch:     d.handleFetch,
		Propose:   d.once.HandlePropose,
		Lookup:    d.once.HandleLookup,
		Burn:      d.handleBurn,
		Forward:   d.handleForward,
	}, peer.ServerOptions{Creds: keys.peerServer(), Memory: d.memory, MaxConns: entry.MaxConns(d.s.Limits) / peersConnShare})
}

// peersConnShare is the ratio of callers' connections to those of peers.
const peersConnShare = 4

const (
	operatorTimeout = 5 * time.Second
	// operatorAnswerCost is the cost in bytes of memory of an answer to operators: of the
	// state that is gathered for it.
	operatorAnswerCost = 256 << 10
	// maxOperators is the number of operators' connections above which idle ones are
	// closed.
	maxOperators = 256
)

// Start starts all parts and returns immediately. Wait blocks until they have
// ended.
func (d *Daemon) Start() {
	log.WithFields(log.Fields{"vm": d.s.VM, "zone": d.s.Zone, "incarnation": d.self}).Info("daemon: starting")
	d.tomb.Go(func() error {
		d.serve("peers", func() error { return d.peers.Serve(d.listeners.peers) })
		d.serve("operators", func() error { return d.drainOperators.Serve(d.listeners.operators) })
		d.serve("callers", func() error {
			return d.drain.Serve(entry.Listen(d.listeners.callers, d.s.Limits))
		})
		d.members.Start()
		d.follower.Start()
		d.leases.Start()
		d.reconciler.Start()
		d.once.Start()
		d.crashes.Start()
		d.tomb.Go(d.controlLoop)
		d.tomb.Go(d.burnLoop)
		d.tomb.Go(d.saveCrashes)
		return nil
	})
}

// serve runs one server. Its failure ends the daemon.
func (d *Daemon) serve(name string, f func() error) {
	d.tomb.Go(func() error {
		err := f()
		if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || !d.tomb.Alive() || d.phase() == phaseDraining {
			return nil
		}
		log.WithError(err).WithField("port", name).Error("daemon: server failed")
		return err
	})
}

// Wait blocks until the daemon has ended.
func (d *Daemon) Wait() error { return d.tomb.Wait() }

// Dying returns a channel that is closed when the daemon begins to end, be it
// after a stop or because a server failed.
func (d *Daemon) Dying() <-chan struct{} { return d.tomb.Dying() }

// Shutdown stops the daemon as planned. First the daemon is removed from the
// address answers of all daemons, and it keeps serving until the answers that
// callers have cached expire. Then it refuses new requests as not run and waits
// for the open ones. Leases are released last, when no work of its own needs
// them. ctx bounds the stop; requests that are still open shortly before its end are cut.
func (d *Daemon) Shutdown(ctx context.Context) error {
	var err error
	d.stopOnce.Do(func() { err = stopWithin(ctx, d.shutdown) })
	return err
}

func (d *Daemon) shutdown(ctx context.Context) error {
	log.Info("daemon: leaving")
	drain, cancel := withTimeToEnd(ctx)
	defer cancel()
	if end, limited := drain.Deadline(); limited {
		d.entry.StopAt(end)
	}
	d.setPhase(phaseLeaving)
	d.members.Leave()
	wait := d.s.Control.AddressTTL + leaveHeartbeats*d.s.Control.Heartbeat
	select {
	case <-time.After(wait):
	case <-drain.Done():
	}
	d.setPhase(phaseDraining)
	log.Info("daemon: draining")
	drained := d.entry.Drain(drain)
	if drained != nil {
		log.WithField("open", d.entry.Open()).Warn("daemon: drain limit reached, cutting open requests")
		d.entry.EndCalls()
	}
	d.handOver(ctx)
	d.closeIdle(ctx)
	d.close()
	d.tomb.Kill(nil)
	err := d.tomb.Wait()
	log.Info("daemon: stopped")
	return errors.Join(drained, err)
}

// leaveHeartbeats is the number of heartbeat periods within which the other
// daemons learn that this one is leaving.
const leaveHeartbeats = 4

// releaseTimeout bounds the wait for the log when leases are released. If the
// log is unavailable, the leases expire instead.
const releaseTimeout = 2 * time.Second

// closeIdle closes the connections to all ports after the answers in progress on them.
// It leaves closeTime of ctx for what follows, or half if there is less left.
func (d *Daemon) closeIdle(ctx context.Context) {
	if end, limited := ctx.Deadline(); limited {
		left := time.Until(end)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(left-closeTime, left/2))
		defer cancel()
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = d.drain.Shutdown(ctx, d.listeners.callers) })
	wg.Go(func() { _ = d.drainOperators.Shutdown(ctx, d.listeners.operators) })
	wg.Go(func() { d.peers.Shutdown(ctx) })
	wg.Wait()
	_ = d.entry.Close()
}

// closeTime is the time in which all parts end after the last answer.
const closeTime = time.Second

// handOver records what the other daemons need: the results of at-most-once
// calls, the release of leases, the burn report. Results may take all the time
// of ctx, because the outcome of a call that isn't recorded stays unknown.
func (d *Daemon) handOver(ctx context.Context) {
	_ = d.reconciler.Stop()
	if err := d.once.Drain(ctx); err != nil {
		log.WithError(err).Warn("once: failed to record all results")
	}
	brief, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := d.leases.Release(brief); err != nil {
		log.WithError(err).Warn("daemon: failed to release leases")
	}
	d.saveBurn(brief)
}

// close ends all parts. Requests that are still open are cut.
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
	_ = d.links.Stop()
	_ = d.crashes.Stop()
	_ = d.pool.Close()
	d.dialer.Close()
}

// Kill ends the daemon immediately, as a crash would, without notifying other
// daemons. Requests are cut and leases stay until they expire. It is for tests.
func (d *Daemon) Kill() {
	d.stopOnce.Do(func() {
		d.setPhase(phaseDraining)
		d.close()
		d.tomb.Kill(nil)
		_ = d.tomb.Wait()
	})
}

// burnLoop restores the daemon's burn report and then saves it periodically.
// While the log is unavailable it retries the restore. Nothing is saved before
// the old counts are restored, because a restart during an outage would
// overwrite them.
func (d *Daemon) burnLoop() error {
	ctx := d.tomb.Context(context.Background())
	tick := time.NewTicker(burn.SnapshotEvery)
	defer tick.Stop()
	for {
		if err := d.burn.Load(ctx, d.platform.log); err != nil {
			log.WithError(err).Debug("burn: failed to load report, will retry")
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
		log.WithError(err).Warn("burn: failed to save report")
	}
}
