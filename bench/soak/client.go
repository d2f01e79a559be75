package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Daemon is where one daemon listens.
type Daemon struct {
	Callers   string
	Addresses string
}

// Wire is the form of what callers send and read. It is that of the platform.
type Wire struct {
	Headers   func(id string, left time.Duration, prompt string) http.Header
	Addresses func(ctx context.Context, addr string) (callers []string, ttl time.Duration, err error)
	NotRun    func(status int, h http.Header) bool
	Paths     [3]string // by class
	Host      string
	Answer    func(id string) string // of plain targets
	Events    string                 // of engines
}

// Load is a number of callers that ask without pause.
type Load struct {
	Seed    uint64
	Callers int
	Daemons []Daemon
	Wire    Wire
	Judge   *Judge
	// Grace is how long callers wait beyond their deadline. A request that has
	// no end by then is a fault: its daemon has forgotten it.
	Grace time.Duration
}

const (
	// patience is the deadline of a request.
	patience = 3 * time.Second
	// think is the longest pause of a caller between two requests.
	think = 60 * time.Millisecond
	// leaveShare is the share of requests that their callers give up.
	leaveShare = 0.03
	// leaveWithin is the longest time that these wait: a target answers within
	// some milliseconds.
	leaveWithin = 8 * time.Millisecond
)

// Run has all callers ask until ctx ends, and returns when all have ended.
func (l *Load) Run(ctx context.Context) {
	var all sync.WaitGroup
	for i := range l.Callers {
		all.Go(func() {
			c := &caller{Load: l, name: fmt.Sprintf("c%d", i), rand: rand.New(rand.NewPCG(l.Seed, uint64(i)+2))}
			c.run(ctx)
		})
	}
	all.Wait()
}

// caller is one caller with one connection.
type caller struct {
	*Load
	name  string
	rand  *rand.Rand
	next  int
	conn  net.Conn
	read  *bufio.Reader
	open  time.Time // since when
	to    int       // index of the daemon at the other end
	known []int     // daemons that the last answer named
	until time.Time
}

func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if !c.connected(ctx) {
			c.pause(ctx)
			continue
		}
		c.ask()
		c.pause(ctx)
	}
}

func (c *caller) pause(ctx context.Context) {
	t := time.NewTimer(time.Duration(c.rand.Int64N(int64(think))))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// connected opens a connection to a daemon that the address answers name.
func (c *caller) connected(ctx context.Context) bool {
	if c.conn != nil {
		return true
	}
	if time.Now().After(c.until) || len(c.known) == 0 {
		c.learn(ctx)
	}
	if len(c.known) == 0 {
		return false
	}
	c.to = c.known[c.rand.IntN(len(c.known))]
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", c.Daemons[c.to].Callers)
	if err != nil {
		c.known = nil
		return false
	}
	c.conn, c.read, c.open = conn, bufio.NewReader(conn), time.Now()
	return true
}

func (c *caller) learn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	c.known = nil
	addrs, ttl, err := c.Wire.Addresses(ctx, c.Daemons[c.rand.IntN(len(c.Daemons))].Addresses)
	if err != nil {
		return // asked again at the next request
	}
	for i, d := range c.Daemons {
		for _, a := range addrs {
			if a == d.Callers {
				c.known = append(c.known, i)
			}
		}
	}
	c.until = time.Now().Add(ttl)
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) ask() {
	c.next++
	class := Class(c.rand.IntN(len(classNames)))
	o := Outcome{ID: fmt.Sprintf("%s-%d", c.name, c.next), Class: class, Daemon: c.to, Opened: c.open, Begun: time.Now()}
	o.Want = c.Wire.Answer(o.ID)
	prompt := ""
	if class == Stream {
		o.Want = c.Wire.Events
		prompt = fmt.Sprintf("%x:800,%x:660", c.rand.IntN(4), c.next)
	}
	o.Left = c.rand.Float64() < leaveShare
	limit := patience + c.Grace
	if o.Left {
		limit = time.Duration(c.rand.Int64N(int64(leaveWithin)))
	}
	_ = c.conn.SetDeadline(o.Begun.Add(limit))
	reuse, err := c.exchange(&o, prompt)
	o.Ended = time.Now()
	o.Err = err
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() && !o.Left {
		c.Judge.Fault("%s %s at daemon %d: no end %v after its deadline", o.Class, o.ID, o.Daemon, c.Grace)
	}
	if o.Whole {
		o.Left = false
	}
	c.Judge.Saw(o)
	if !reuse {
		c.hangUp()
	}
}

// exchange sends one request and reads the answer; reuse reports whether the
// connection may carry another one.
func (c *caller) exchange(o *Outcome, prompt string) (reuse bool, err error) {
	body := "body of " + o.ID
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", c.Wire.Paths[o.Class], c.Wire.Host, len(body))
	h := c.Wire.Headers(o.ID, patience, prompt)
	_ = h.Write(&b) // a strings.Builder takes all
	if _, err := io.WriteString(c.conn, b.String()+"\r\n"+body); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(c.read, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false, err
	}
	o.Status = resp.StatusCode
	o.NotRun = c.Wire.NotRun(resp.StatusCode, resp.Header)
	text, err := io.ReadAll(resp.Body)
	o.Body = string(text)
	o.Whole = err == nil
	return err == nil && !resp.Close, err
}
