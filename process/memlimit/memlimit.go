// Package memlimit keeps the process within the memory of its VM: it gives the garbage
// collector a target and returns the account of what callers may hold.
package memlimit

import (
	"runtime/debug"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/internal/sock"
	"github.com/pomelospool/pomelospool/process/settings"
)

const (
	// heapShare is the share of the VM's memory that the runtime may use before it
	// collects garbage more often. The rest is for the program, and for bytes that the
	// kernel holds for sockets.
	heapShare = 0.55
	// callersShare is the share of the VM's memory that callers may hold by default.
	// The heap also needs room for the daemon's own state and for garbage.
	callersShare = 0.25
)

// Apply sets the runtime's memory limit and returns the account of callers' memory. The
// VM's memory is that of the settings, or the system's.
func Apply(l settings.Limits) *quota.Memory {
	total := int64(l.MemoryMB * (1 << 20))
	if total == 0 {
		var err error
		if total, err = sock.SystemMemory(); err != nil {
			log.WithError(err).Warn("memlimit: the VM's memory is unknown, callers' memory isn't limited")
		}
	}
	callers := int64(l.CallersMemoryMB * (1 << 20))
	if callers == 0 {
		callers = int64(callersShare * float64(total))
	}
	if total > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(total)))
	}
	log.WithFields(log.Fields{"vm_bytes": total, "callers_bytes": callers}).Info("memlimit: limits set")
	return quota.New(callers)
}
