// Package vmlist is the stand-in for the platform's list of VMs. Changes show
// only after a lag, which can be switched while it runs.
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
	VMs []port.VM        // shown from the start
	Lag time.Duration    // until a change shows
	Now func() time.Time // clock of the lag
}

// List is the VM list. It is safe for concurrent use.
type List struct {
	standin.Host
	now func() time.Time

	mu      sync.Mutex
	lag     time.Duration
	down    bool
	shown   map[string]port.VM
	pending []change
	lists   int
}

// Record is what the list saw.
type Record struct {
	Lists int `json:"lists"` // answers given
}

// Record returns what the list saw so far.
func (l *List) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Record{Lists: l.lists}
}

type change struct {
	at   time.Time
	vm   port.VM
	gone bool
}

// New returns a list.
func New(o Options) *List {
	l := &List{now: o.Now, lag: o.Lag, shown: make(map[string]port.VM)}
	if l.now == nil {
		l.now = time.Now
	}
	for _, vm := range o.VMs {
		l.shown[vm.ID] = vm
	}
	return l
}

// Run serves the list over HTTP on addr.
func (l *List) Run(addr string) error { return l.Start(l.Handler(), addr) }

// Close ends the server.
func (l *List) Close() error { return l.Stop() }

// Put adds or changes a VM; it shows after the lag.
func (l *List) Put(vm port.VM) { l.add(change{vm: vm}) }

// Delete takes a VM away; it shows after the lag.
func (l *List) Delete(id string) { l.add(change{vm: port.VM{ID: id}, gone: true}) }

// SetLag sets the lag, also of the changes that don't show yet.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetDown starts or ends an outage.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// List returns the VMs that show now, in the order of their ids.
func (l *List) List(ctx context.Context) ([]port.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, fmt.Errorf("vms: %w: %w", port.ErrUnavailable, errOutage)
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("vms: %w: %w", port.ErrUnavailable, err)
	}
	l.settle()
	l.lists++
	vms := make([]port.VM, 0, len(l.shown))
	for _, vm := range l.shown {
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

// settle shows the changes whose lag is over.
func (l *List) settle() {
	due := l.now().Add(-l.lag)
	for len(l.pending) > 0 && !l.pending[0].at.After(due) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.gone {
			delete(l.shown, c.vm.ID)
			continue
		}
		l.shown[c.vm.ID] = c.vm
	}
}

// Apply switches a fault: "lag" (ms), "refuse", "up".
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

// Handler serves the list.
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
