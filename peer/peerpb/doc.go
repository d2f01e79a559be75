// Package peerpb is the generated protocol between daemons. The generated
// files are committed, so that the build needs no generator; `make generate`
// makes them anew from peer.proto.
package peerpb
