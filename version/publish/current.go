package publish

import (
	"context"
	"errors"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/process/record"
)

// InForce is the version of a service that is in force.
type InForce struct {
	Version int64  // 0 for none
	YAML    string // empty if the log no longer keeps it
}

// Current finds the version of a service in force, from the log as far as it
// goes back and from the daemons where it doesn't. Its error has
// code.LogUnavailable, or the code of the daemons' answer.
func (p *Publisher) Current(ctx context.Context, service string) (InForce, error) {
	s := &scan{service: service, documents: make(map[int64]string), judged: make(map[int64]bool)}
	earliest, err := p.scanAll(ctx, s)
	if err != nil {
		return InForce{}, code.Wrap(code.LogUnavailable, err, "find the version in force")
	}
	if s.version > 0 || earliest <= 1 {
		return InForce{Version: s.version, YAML: s.documents[s.version]}, nil
	}
	if p.InForce == nil {
		return InForce{}, code.New(code.RecordsExpired, "the log begins at %d; give the base", earliest)
	}
	v, err := p.InForce(ctx, service)
	return InForce{Version: v, YAML: s.documents[v]}, err
}

// scanAll reads the control stream from its beginning to its tail.
func (p *Publisher) scanAll(ctx context.Context, s *scan) (int64, error) {
	for {
		earliest, err := p.Log.Earliest(ctx, record.Control)
		if err != nil {
			return 0, err
		}
		err = p.scanFrom(ctx, s, earliest)
		if !errors.Is(err, platform.ErrExpired) {
			return earliest, err
		}
	}
}

func (p *Publisher) scanFrom(ctx context.Context, s *scan, next int64) error {
	for {
		records, newest, err := p.Log.Read(ctx, record.Control, next, readMax, 0)
		if err != nil {
			return err
		}
		for _, rec := range records {
			s.take(rec)
			next = rec.Offset + 1
		}
		if next > newest {
			return nil
		}
	}
}

// scan collects the accepted versions of one service.
type scan struct {
	service   string
	version   int64
	documents map[int64]string
	judged    map[int64]bool
}

func (s *scan) take(rec platform.Record) {
	env, ok := decode[record.Envelope](rec.Data)
	if !ok {
		return
	}
	switch env.Kind {
	case record.KindDocument:
		if d, ok := decode[record.Document](env.Body); ok && d.Service == s.service {
			s.documents[rec.Offset] = d.YAML
		}
	case record.KindVerdict:
		v, ok := decode[record.Verdict](env.Body)
		if !ok || v.Service != s.service || s.judged[v.Version] {
			return
		}
		s.judged[v.Version] = true
		if v.Accept {
			s.version = v.Version
		}
	}
}
