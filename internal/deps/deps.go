// Package deps pins the libraries that are chosen but not all used yet, so
// that go.mod and go.sum stay the same while packages are written side by
// side. A library leaves this list once another package imports it.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/apex/log"
	_ "github.com/apex/log/handlers/json"
	_ "github.com/apex/log/handlers/logfmt"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/uuid"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/uptrace/bunrouter"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/grpc/credentials"
	_ "google.golang.org/grpc/test/bufconn"
	_ "gopkg.in/tomb.v2"
	_ "gopkg.in/yaml.v3"
	_ "pgregory.net/rapid"
)
