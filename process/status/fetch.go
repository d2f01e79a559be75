package status

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pomelospool/pomelospool/code"
)

const (
	maxAnswer = 16 << 20
	maxAsking = 32 // daemons asked at once
	keepIdle  = 10 * time.Second
)

// Client asks daemons on their operators' ports.
type Client struct {
	http   *http.Client
	scheme string
	token  string
}

// NewClient returns a client. conf nil means plain TCP; token is sent as a
// bearer token unless it is empty.
func NewClient(conf *tls.Config, token string) *Client {
	c := &Client{scheme: "http", token: token}
	c.http = &http.Client{Transport: &http.Transport{TLSClientConfig: conf, IdleConnTimeout: keepIdle}}
	if conf != nil {
		c.scheme = "https"
	}
	return c
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get decodes the JSON that the daemon at addr answers on path. Its error has
// code.DaemonUnreachable, or code.NotAuthorized.
func (c *Client) Get(ctx context.Context, addr, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+addr+path, nil)
	if err != nil {
		return code.Wrap(code.DaemonUnreachable, err, "%s", addr)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return code.Wrap(code.DaemonUnreachable, err, "%s", addr)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case err != nil:
		return code.Wrap(code.DaemonUnreachable, err, "%s", addr)
	case resp.StatusCode == http.StatusForbidden || resp.StatusCode == http.StatusUnauthorized:
		return code.New(code.NotAuthorized, "%s", addr)
	case resp.StatusCode != http.StatusOK:
		return code.New(code.DaemonUnreachable, "%s answered %s", addr, resp.Status)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return code.Wrap(code.DaemonUnreachable, err, "%s", addr)
	}
	return nil
}

// Fetch asks every daemon at once. Each gets timeout; one that doesn't answer
// stands in the fleet with its error.
func (c *Client) Fetch(ctx context.Context, addrs []string, timeout time.Duration) Fleet {
	answers := make([]Answer, len(addrs))
	c.Each(ctx, addrs, timeout, func(ctx context.Context, i int) {
		s := new(Status)
		answers[i].Addr = addrs[i]
		if err := c.Get(ctx, addrs[i], Path, s); err != nil {
			answers[i].Code = code.Of(err)
			answers[i].Error = err.Error()
			return
		}
		answers[i].Status = s
	})
	return NewFleet(answers)
}

// Each calls ask for every address, several at once, and waits for all.
func (c *Client) Each(ctx context.Context, addrs []string, timeout time.Duration, ask func(ctx context.Context, i int)) {
	var g errgroup.Group
	g.SetLimit(maxAsking)
	for i := range addrs {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			ask(ctx, i)
			return nil
		})
	}
	_ = g.Wait() // no call returns an error
}
