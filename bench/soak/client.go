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
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Daemon holds the addresses at which a daemon listens.
type Daemon struct {
	Callers   string
	Addresses string
}

// CallerProtocol is the platform's protocol between callers and daemons.
type CallerProtocol struct {
	Headers          func(id string, left time.Duration, prompt string) http.Header
	ResolveAddresses func(ctx context.Context, addr string) (callers []string, ttl time.Duration, err error)
	NotRun           func(status int, h http.Header) bool
	Paths            [3]string // indexed by Class
	SlowPaths        [3]string // of the routes of idle callers
	Host             string
	Answer           func(id string) string // expected body from a plain target
	Events           string                 // expected body from an engine
}

// events is the number of events in a stream.
const events = 5

// Load runs callers that send requests until they are stopped.
type Load struct {
	Seed     uint64
	Callers  int
	Daemons  []Daemon
	Protocol CallerProtocol
	Judge    *Judge
	// Grace is how long callers wait after the deadline of a request. A request
	// that hasn't ended by then is reported as a fault of its daemon.
	Grace time.Duration
	// Think is the longest pause of a caller between two requests.
	Think time.Duration
	// Idle is the number of further callers. They pause for as long as connections may
	// stay idle.
	Idle int
	// Slow makes the idle callers ask for answers that take up to maxSlow.
	Slow bool

	stops stopNotices
}

const (
	// requestTimeout is the time until the deadline of a request.
	requestTimeout = 3 * time.Second
	// maxThinkTime is the default of Load.Think.
	maxThinkTime = 60 * time.Millisecond
	// maxIdleTime is the longest pause after which a connection is used again: four
	// fifths of the idle timeout in the targets' configuration.
	maxIdleTime = 12 * time.Second
	// maxResolveTries is the number of daemons that a caller asks for addresses.
	maxResolveTries = 3
	// longCacheFactor is how many times the stated time half of the callers keep an
	// address answer.
	longCacheFactor = 3
	// cancelShare is the share of requests that their callers cancel.
	cancelShare = 0.03
	// popularEvery is the number of requests of a caller of which one has the same
	// body as others. Such content is in flight at most crashes of targets.
	popularEvery = 4
	// maxCancelDelay is the longest time until a caller cancels. A target
	// answers within some milliseconds.
	maxCancelDelay = 8 * time.Millisecond
)

// Run runs the callers until ctx is done. It returns when all have ended.
func (l *Load) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range l.Callers + l.Idle {
		wg.Go(func() { l.newCaller(i).run(ctx) })
	}
	wg.Wait()
}

func (l *Load) newCaller(i int) *caller {
	c := &caller{
		Load: l, name: fmt.Sprintf("c%d", i), rand: rand.New(rand.NewPCG(l.Seed, uint64(i)+2)),
		idle: i >= l.Callers, resolvesEarly: i%2 == 0, cacheFactor: 1,
	}
	if i%4 > 1 {
		c.cacheFactor = longCacheFactor
	}
	return c
}

// caller sends requests one after another on at most one connection.
type caller struct {
	*Load
	name       string
	rand       *rand.Rand
	idle       bool
	requests   int
	conn       net.Conn
	reader     *bufio.Reader
	connOpened time.Time     // when the connect of conn began
	lastUsed   time.Time     // end of the last exchange on conn
	idleLimit  time.Duration // longest pause after which conn may be used again
	daemon     int           // index of the daemon that conn leads to
	resolved   []int         // indexes of the daemons in the last address answer
	expires    time.Time     // when resolved expires
	aimedAt    time.Time     // begin of the stop for which the caller has drawn its pause

	// resolvesEarly makes the caller replace an expired address answer before each
	// request. Otherwise it does so before it opens a connection.
	resolvesEarly bool
	cacheFactor   time.Duration
}

func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		if !c.connect(ctx) {
			c.pause(ctx)
			continue
		}
		c.sendNext()
		c.pause(ctx)
	}
}

func (c *caller) pause(ctx context.Context) {
	if c.idle {
		c.stayIdle(ctx)
		return
	}
	t := time.NewTimer(time.Duration(c.rand.Int64N(int64(c.Think))))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// connect opens a connection to one of the resolved daemons unless one is
// open. It reports whether a connection is open.
func (c *caller) connect(ctx context.Context) bool {
	expired := time.Now().After(c.expires) || len(c.resolved) == 0
	if c.conn != nil && c.resolvesEarly && expired && c.resolve(ctx) && !slices.Contains(c.resolved, c.daemon) {
		c.closeConn()
	}
	if c.conn != nil && (time.Since(c.lastUsed) > c.idleLimit || isClosed(c.conn)) {
		c.closeConn()
	}
	if c.conn != nil {
		return true
	}
	if expired {
		c.resolve(ctx)
	}
	if len(c.resolved) == 0 {
		return false
	}
	c.daemon = c.resolved[c.rand.IntN(len(c.resolved))]
	// Dial may return long after the daemon has accepted the connection, even
	// after the daemon has exited.
	d := net.Dialer{Timeout: time.Second, Control: func(string, string, syscall.RawConn) error {
		c.connOpened = time.Now()
		return nil
	}}
	conn, err := d.DialContext(ctx, "tcp", c.Daemons[c.daemon].Callers)
	if err != nil {
		c.resolved = slices.DeleteFunc(c.resolved, func(i int) bool { return i == c.daemon })
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	c.lastUsed, c.idleLimit = time.Now(), maxIdleTime
	return true
}

// resolve asks daemons for the addresses of daemons. The caller keeps its last answer
// if it gets no other one.
func (c *caller) resolve(ctx context.Context) bool {
	for range maxResolveTries {
		at := c.Daemons[c.rand.IntN(len(c.Daemons))].Addresses
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		addrs, ttl, err := c.Protocol.ResolveAddresses(ctx, at)
		cancel()
		if err != nil || len(addrs) == 0 {
			continue
		}
		c.resolved = nil
		for i, d := range c.Daemons {
			if slices.Contains(addrs, d.Callers) {
				c.resolved = append(c.resolved, i)
			}
		}
		c.expires = time.Now().Add(c.cacheFactor * ttl)
		return true
	}
	return false
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) sendNext() {
	c.requests++
	class := Class(c.rand.IntN(len(classNames)))
	o := Outcome{ID: fmt.Sprintf("%s-%d", c.name, c.requests), Class: class, Daemon: c.daemon, ConnOpened: c.connOpened, Timeout: requestTimeout, Started: time.Now()}
	if c.idle && c.Slow {
		o.Timeout = slowTimeout
		o.ID += slowSuffix(class, c.rand)
	}
	o.WantBody = c.Protocol.Answer(o.ID)
	prompt := ""
	if class == Stream {
		o.WantBody = c.Protocol.Events
		o.Head = fmt.Sprintf("%x", c.rand.IntN(4))
		prompt = fmt.Sprintf("%s:800,%x:660", o.Head, c.requests)
	}
	o.Canceled = c.rand.Float64() < cancelShare
	limit := o.Timeout + c.Grace
	if o.Canceled {
		limit = time.Duration(c.rand.Int64N(int64(maxCancelDelay)))
	}
	_ = c.conn.SetDeadline(o.Started.Add(limit))
	reuse, err := c.exchange(&o, prompt)
	o.Ended = time.Now()
	c.lastUsed = o.Ended
	o.Err = err
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() && !o.Canceled {
		c.Judge.ReportFault("%s %s at daemon %d: still open %v after its deadline", o.Class, o.ID, o.Daemon, c.Grace)
	}
	if o.Complete {
		o.Canceled = false
	}
	c.Judge.Record(o)
	if !reuse {
		c.closeConn()
	}
}

// exchange sends one request and reads the answer. reuse reports whether the
// connection may be used for another request.
func (c *caller) exchange(o *Outcome, prompt string) (reuse bool, err error) {
	body := "body of " + o.ID
	if c.requests%popularEvery == 0 {
		body = "what many callers ask for"
	}
	path := c.Protocol.Paths[o.Class]
	if c.idle && c.Slow {
		path, prompt = c.Protocol.SlowPaths[o.Class], ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", path, c.Protocol.Host, len(body))
	h := c.Protocol.Headers(o.ID, o.Timeout, prompt)
	_ = h.Write(&b) // writing to a strings.Builder never fails
	if _, err := io.WriteString(c.conn, b.String()+"\r\n"+body); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false, err
	}
	o.Status = resp.StatusCode
	o.NotRun = c.Protocol.NotRun(resp.StatusCode, resp.Header)
	text, err := io.ReadAll(resp.Body)
	o.Body = string(text)
	o.Complete = err == nil
	c.idleLimit = keepAlive(resp.Header)
	return err == nil && !resp.Close, err
}
