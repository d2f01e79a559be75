// Package soak disturbs a fleet of real daemons on loopback and holds what
// callers and targets see against the promises: a request runs once at most
// unless it may be repeated, "not run" is true, an answer is whole, the
// caller's own and given by a target, nobody is cut by a planned stop, every
// request ends, and all is well again when the disturbances are over.
//
// The tests start the daemons as processes, with the store and the targets of
// platform/standin before them, and end only those. A seed fixes the plan of
// disturbances and what the callers ask.
package soak
