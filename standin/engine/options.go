// Package engine is the stand-in for a model engine: continuous batching with
// a prefix cache, priorities, orders and faults on command. One goroutine owns
// the batch and advances it by a tick; handlers carry the traffic.
package engine

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// The values that stand for a zero in Options.
const (
	DefaultPrefillRate     = 20000 // tokens/s
	DefaultStepBase        = 4 * time.Millisecond
	DefaultStepPerSequence = 100 * time.Microsecond
	DefaultMaxBatch        = 32
	DefaultKVCapacity      = 131072 // tokens
	DefaultCacheBlocks     = 1024
)

// LoadFunc loads the weights of a model version and returns when they came.
type LoadFunc func(ctx context.Context, model, version string) error

// Options are the settings of an Engine. Zero values stand for the defaults
// above, or for none.
type Options struct {
	Name            string
	Spec            port.EngineSpec // at the start
	PrefillRate     float64         // prompt tokens a second
	StepBase        time.Duration   // of one decode step of the whole batch
	StepPerSequence time.Duration   // added to a step for each sequence in it
	MaxBatch        int             // sequences that run at once
	MaxWaiting      int             // sequences that wait; 0 is without limit
	KVCapacity      int             // tokens of running sequences
	CacheBlocks     int             // blocks of the prefix cache
	RoleChangeTime  time.Duration   // that a change takes, besides the weights
	LoadWeights     LoadFunc        // loads weights; nil takes no time
	CutOnChange     bool            // a change cuts what runs instead of waiting for it
	LoadLag         time.Duration   // of the load reports
	EventLag        time.Duration   // of the cache events
	DropEventEvery  int             // every so many-th cache event is lost; 0 is none
	ChecksFence     bool            // refuses an order with an old fencing number
	Exit            func()          // ends the process at a crash; by default only the server
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
