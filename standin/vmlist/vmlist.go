// Package vmlist is the stand-in for the platform's list of VMs. Changes become
// visible only after a lag, which can be set at run time.
package vmlist

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin"
)

var errOutage = errors.New("outage")

// Options are the settings of a List.
type Options struct {
	VMs []port.VM        // visible from the start
	Lag time.Duration    // time until a change is visible
	Now func() time.Time // clock for the lag
}

// List is the stand-in VM list. It is safe for concurrent use.
type List struct {
	standin.Host
	now func() time.Time

	mu        sync.Mutex
	lag       time.Duration
	down      bool
	visible   map[string]port.VM
	pending   []change
	listCount int
}

// Record counts the calls of the list.
type Record struct {
	Lists int `json:"lists"` // successful calls of List
}

// Record returns the current record.
func (l *List) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Record{Lists: l.listCount}
}

// change is a change that isn't visible yet.
type change struct {
	at      time.Time
	vm      port.VM
	deleted bool
}

// New returns a list with the given options.
func New(o Options) *List {
	l := &List{now: o.Now, lag: o.Lag, visible: make(map[string]port.VM)}
	if l.now == nil {
		l.now = time.Now
	}
	for _, vm := range o.VMs {
		l.visible[vm.ID] = vm
	}
	return l
}

// Run serves the list over HTTP on addr.
func (l *List) Run(addr string) error { return l.Start(l.Handler(), addr) }

// Close stops the server.
func (l *List) Close() error { return l.Stop() }

// Put adds or replaces a VM. The change is visible after the lag.
func (l *List) Put(vm port.VM) { l.add(change{vm: vm}) }

// Delete removes a VM. The change is visible after the lag.
func (l *List) Delete(id string) { l.add(change{vm: port.VM{ID: id}, deleted: true}) }

// SetLag sets the lag, also for changes that aren't visible yet.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetDown starts or ends an outage, in which List fails.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// List returns the visible VMs, sorted by id.
func (l *List) List(ctx context.Context) ([]port.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, fmt.Errorf("vms: %w: %w", port.ErrUnavailable, errOutage)
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("vms: %w: %w", port.ErrUnavailable, err)
	}
	l.applyDue()
	l.listCount++
	vms := make([]port.VM, 0, len(l.visible))
	for _, vm := range l.visible {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b port.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms, nil
}

func (l *List) add(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = l.now()
	l.pending = append(l.pending, c)
}

// applyDue makes the changes visible whose lag has passed.
func (l *List) applyDue() {
	due := l.now().Add(-l.lag)
	for len(l.pending) > 0 && !l.pending[0].at.After(due) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.deleted {
			delete(l.visible, c.vm.ID)
			continue
		}
		l.visible[c.vm.ID] = c.vm
	}
}

// Apply sets a fault by its kind: "lag" (ms) sets the lag, "refuse" starts an
// outage and "up" ends it.
func (l *List) Apply(_ context.Context, f standin.Fault) error {
	switch f.Kind {
	case "lag":
		l.SetLag(time.Duration(f.MS) * time.Millisecond)
	case "refuse":
		l.SetDown(true)
	case "up":
		l.SetDown(false)
	default:
		return fmt.Errorf("%w: %q", standin.ErrUnknownFault, f.Kind)
	}
	return nil
}

// Handler serves the list and the stand-in's own endpoints under /_standin/.
func (l *List) Handler() http.Handler {
	r := bunrouter.New()
	r.GET("/vms", l.serveList)
	r.PUT("/vms/:id", l.servePut)
	r.DELETE("/vms/:id", func(w http.ResponseWriter, req bunrouter.Request) error {
		l.Delete(req.Param("id"))
		w.WriteHeader(http.StatusNoContent)
		return nil
	})
	r.POST("/_standin/fault", bunrouter.HTTPHandlerFunc(standin.FaultHandler(l.Apply)))
	r.GET("/_standin/record", func(w http.ResponseWriter, _ bunrouter.Request) error {
		standin.JSON(w, http.StatusOK, l.Record())
		return nil
	})
	return r
}

func (l *List) serveList(w http.ResponseWriter, req bunrouter.Request) error {
	vms, err := l.List(req.Context())
	if err != nil {
		standin.Error(w, http.StatusServiceUnavailable, err.Error())
		return nil
	}
	standin.JSON(w, http.StatusOK, vms)
	return nil
}

func (l *List) servePut(w http.ResponseWriter, req bunrouter.Request) error {
	var vm port.VM
	if err := json.NewDecoder(req.Body).Decode(&vm); err != nil {
		standin.Error(w, http.StatusBadRequest, err.Error())
		return nil
	}
	vm.ID = req.Param("id")
	l.Put(vm)
	w.WriteHeader(http.StatusNoContent)
	return nil
}
