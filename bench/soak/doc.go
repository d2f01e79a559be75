// Package soak runs real daemons on loopback under load, injects faults and
// checks what callers and targets observe against the system's guarantees:
//
//   - A request that isn't idempotent runs at most once.
//   - A request that is reported as not run didn't run.
//   - An answer is complete, belongs to the caller's request and comes from a
//     target.
//   - A planned stop cuts no request.
//   - Every request ends.
//   - Callers of daemons without links to targets are served beside those of the
//     others.
//   - A request that crashes the targets that run it reaches few of them, and
//     harmless content isn't refused.
//   - A stream goes on only at the software version of the targets that began it,
//     and streams that callers take up seldom fail where new ones begin.
//   - The system recovers once the faults are over.
//
// The tests start the daemons as processes that use the store, the cloud and
// the targets of platform/standin. They signal only processes that they
// started. The seed determines the faults and the requests of the callers.
package soak
