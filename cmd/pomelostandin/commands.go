package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin/engine"
	"github.com/pomelospool/pomelospool/standin/logsvc"
	"github.com/pomelospool/pomelospool/standin/plain"
	"github.com/pomelospool/pomelospool/standin/vmlist"
	"github.com/pomelospool/pomelospool/standin/weights"
)

type logCmd struct {
	listen
	MaxRecords int           `long:"max-records" description:"records kept in each stream (0: all)"`
	MaxAge     time.Duration `long:"max-age" description:"how long a record is kept (0: for good)"`
	Latency    time.Duration `long:"latency" description:"before each answer"`
	Rate       float64       `long:"rate" description:"appends a second (0: no limit)"`
}

// Execute runs the log service.
func (c *logCmd) Execute([]string) error {
	return c.serve(logsvc.New(logsvc.Options{
		MaxRecords: c.MaxRecords,
		MaxAge:     c.MaxAge,
		Latency:    c.Latency,
		Rate:       c.Rate,
	}))
}

type vmsCmd struct {
	listen
	Lag time.Duration `long:"lag" description:"until a change shows"`
	VM  []string      `long:"vm" value-name:"ID=ADDR@ZONE" description:"a VM listed from the start; may repeat"`
}

// Execute runs the VM list.
func (c *vmsCmd) Execute([]string) error {
	vms := make([]port.VM, 0, len(c.VM))
	for _, s := range c.VM {
		vm, err := parseVM(s)
		if err != nil {
			return err
		}
		vms = append(vms, vm)
	}
	return c.serve(vmlist.New(vmlist.Options{VMs: vms, Lag: c.Lag}))
}

func parseVM(s string) (port.VM, error) {
	id, rest, ok := strings.Cut(s, "=")
	addr, zone, ok2 := strings.Cut(rest, "@")
	if !ok || !ok2 || id == "" || addr == "" || zone == "" {
		return port.VM{}, fmt.Errorf("--vm %q: want ID=ADDR@ZONE", s)
	}
	return port.VM{ID: id, Addr: addr, Zone: zone}, nil
}

type weightsCmd struct {
	listen
	Rate float64 `long:"rate" default:"10e9" description:"bytes a second to all loaders together"`
	Size int64   `long:"size" default:"1000000000" description:"bytes of each model version"`
}

// Execute runs the weight store.
func (c *weightsCmd) Execute([]string) error {
	return c.serve(weights.New(weights.Options{Rate: c.Rate, Size: c.Size}))
}

type engineCmd struct {
	listen
	Name        string        `long:"name" required:"true" description:"the engine's name"`
	Role        string        `long:"role" default:"mixed" choice:"prefill" choice:"decode" choice:"mixed" description:"role at the start"`
	Model       string        `long:"model" description:"model at the start (empty: serves any)"`
	Version     string        `long:"version" description:"model version at the start"`
	Adapter     string        `long:"adapter" description:"adapter at the start"`
	PrefillRate float64       `long:"prefill-rate" default:"20000" description:"prompt tokens a second"`
	StepBase    time.Duration `long:"step-base" default:"4ms" description:"time of a decode step"`
	StepPer     time.Duration `long:"step-per" default:"100us" description:"added to a step for each sequence"`
	MaxBatch    int           `long:"max-batch" default:"32" description:"sequences at once"`
	MaxWaiting  int           `long:"max-waiting" description:"sequences that wait (0: no limit)"`
	KVCapacity  int           `long:"kv-capacity" default:"131072" description:"tokens of running sequences"`
	CacheBlocks int           `long:"cache-blocks" default:"1024" description:"blocks of 64 tokens in the prefix cache"`
	RoleChange  time.Duration `long:"role-change" default:"3s" description:"time that a change takes, besides the weights"`
	Weights     string        `long:"weights" description:"base URL of the weight store (empty: loading takes no time)"`
	CutOnChange bool          `long:"cut-on-change" description:"a change cuts running requests instead of waiting for them"`
	LoadLag     time.Duration `long:"load-lag" default:"200ms" description:"lag of the load reports"`
	EventLag    time.Duration `long:"event-lag" default:"300ms" description:"lag of the cache events"`
	EventGap    int           `long:"event-gap" description:"every so many-th cache event is lost (0: none)"`
	ChecksFence bool          `long:"checks-fence" description:"refuse orders with an old fencing number"`
}

// Execute runs the engine.
func (c *engineCmd) Execute([]string) error {
	return c.serve(engine.New(engine.Options{
		Name: c.Name,
		Spec: port.EngineSpec{
			Role:    port.Role(c.Role),
			Model:   c.Model,
			Version: c.Version,
			Adapter: c.Adapter,
		},
		PrefillRate:     c.PrefillRate,
		StepBase:        c.StepBase,
		StepPerSequence: c.StepPer,
		MaxBatch:        c.MaxBatch,
		MaxWaiting:      c.MaxWaiting,
		KVCapacity:      c.KVCapacity,
		CacheBlocks:     c.CacheBlocks,
		RoleChangeTime:  c.RoleChange,
		LoadWeights:     c.load(),
		CutOnChange:     c.CutOnChange,
		LoadLag:         c.LoadLag,
		EventLag:        c.EventLag,
		DropEventEvery:  c.EventGap,
		ChecksFence:     c.ChecksFence,
		Exit:            crash,
	}))
}

func (c *engineCmd) load() engine.LoadFunc {
	if c.Weights == "" {
		return nil
	}
	return func(ctx context.Context, model, version string) error {
		return weights.Fetch(ctx, c.Weights, model, version)
	}
}

type plainCmd struct {
	listen
	Name    string        `long:"name" required:"true" description:"the service's name"`
	Latency time.Duration `long:"latency" description:"before each answer"`
}

// Execute runs the plain service.
func (c *plainCmd) Execute([]string) error {
	return c.serve(plain.New(plain.Options{Name: c.Name, Latency: c.Latency, Exit: crash}))
}
