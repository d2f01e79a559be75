// Package engine is the stand-in for a model engine. It models continuous
// batching with a prefix cache and priorities, carries out orders and injects
// faults on command. One goroutine owns the batch and advances it at each tick;
// the HTTP handlers send the tokens.
package engine

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Defaults of the zero values in Options.
const (
	DefaultPrefillRate     = 20000 // tokens/s
	DefaultStepBase        = 4 * time.Millisecond
	DefaultStepPerSequence = 100 * time.Microsecond
	DefaultMaxBatch        = 32
	DefaultKVCapacity      = 131072 // tokens
	DefaultCacheBlocks     = 1024
)

// LoadFunc loads the weights of a model version and returns once they are
// loaded.
type LoadFunc func(ctx context.Context, model, version string) error

// Options are the settings of an Engine. A zero value selects the default above,
// if there is one.
type Options struct {
	Name            string
	Spec            port.EngineSpec // initial spec
	PrefillRate     float64         // prompt tokens per second
	StepBase        time.Duration   // fixed part of the time of a decode step
	StepPerSequence time.Duration   // time added to a step for each sequence in it
	MaxBatch        int             // sequences that run at the same time
	MaxWaiting      int             // sequences that may wait; 0 is without limit
	KVCapacity      int             // tokens reserved by all running sequences
	CacheBlocks     int             // blocks in the prefix cache
	RoleChangeTime  time.Duration   // time that a change takes, without loading weights
	LoadWeights     LoadFunc        // loads weights; if nil, loading takes no time
	CutOnChange     bool            // a change cuts requests instead of waiting for them
	LoadLag         time.Duration   // delay of the load reports
	EventLag        time.Duration   // delay of the cache events
	DropEventEvery  int             // every n-th cache event is dropped; 0 drops none
	ChecksFence     bool            // refuse orders with an old fencing number
	Exit            func()          // called on a crash; by default, it stops the engine and its server
}

func (o Options) withDefaults() Options {
	if o.PrefillRate <= 0 {
		o.PrefillRate = DefaultPrefillRate
	}
	if o.StepBase <= 0 {
		o.StepBase = DefaultStepBase
	}
	if o.StepPerSequence <= 0 {
		o.StepPerSequence = DefaultStepPerSequence
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = DefaultMaxBatch
	}
	if o.KVCapacity <= 0 {
		o.KVCapacity = DefaultKVCapacity
	}
	if o.CacheBlocks <= 0 {
		o.CacheBlocks = DefaultCacheBlocks
	}
	if o.Spec.Role == "" {
		o.Spec.Role = port.RoleMixed
	}
	return o
}
