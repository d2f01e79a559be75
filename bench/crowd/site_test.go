package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// The limits of the site's configuration, see standin.Store.ConfigureKeyed.
const (
	siteHeaderBytes = 16 << 10
	siteBodyBytes   = 4 << 20
)

const siteKey = "k1"

// site is a small deployment on a platform with a store. Its daemons are processes, the
// rest are stand-ins within the test.
type site struct {
	t       *testing.T
	prefix  string // of all addresses, with three octets
	store   *standin.Store
	daemons []*process
	start   func(i int) *process // starts a daemon
	names   atomic.Int64         // of requests
}

// rangesTried counts the address ranges that this process has tried.
var rangesTried atomic.Int32

// reserveRange returns an unused range of loopback addresses.
func reserveRange(t *testing.T) string {
	t.Helper()
	const first, ranges = 60, 100
	for range ranges {
		n := int(rangesTried.Add(1)) + os.Getpid()
		base := fmt.Sprintf("127.%d.%d", first+n%ranges, 1+n/ranges%ranges)
		l, err := net.Listen("tcp", base+".250:17099")
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = l.Close() })
		return base
	}
	t.Fatal("no free range of loopback addresses")
	return ""
}

const siteSettings = `vm: "vm-%[1]d"
zone: "a"
link_mbps: 1000
listen: {callers: "%[2]s:17000", ready: "%[2]s:17001", addresses: "%[2]s:17002", peers: "%[2]s:17003", operators: "%[2]s:17004"}
store: {addr: "%[3]s"}
bounds: {grace: 8s, lease: 1s, address_ttl: 1s, retry_ratio: 0.2, retry_slack: 52, retry_window: 10s, apply_config: 2s, drain: 2s}
log: {level: info, format: json}
limits: {memory_mb: %[4]d}
`

// largeAnswer is the size of the answers under standin.SlowUnsafePrefix, in bytes.
const largeAnswer = 2 << 20

// newSite starts a site of two daemons and waits until they are ready. Its slow service
// gives large answers.
func newSite(t *testing.T) *site {
	return newSiteWith(t, func(s *site, slow *standin.Target) (addr string) {
		return s.serve(standin.LargeAnswers(slow, largeAnswer))
	})
}

// newSiteWith starts a site with a target of the slow service that serve starts.
func newSiteWith(t *testing.T, serve func(s *site, slow *standin.Target) (addr string)) *site {
	t.Helper()
	s := &site{t: t, prefix: reserveRange(t)}
	store := standin.NewStore()
	s.store = store
	storeAddr := s.serve(store)
	for i, stage := range []string{"", "", "decode", "prefill"} {
		target := standin.NewTarget(fmt.Sprintf("i-%d", i), stage)
		store.Announce(target, s.serve(target), false)
	}
	large := standin.NewTarget("i-large", "")
	large.Service = standin.SlowService
	store.Announce(large, serve(s, large), false)
	store.ConfigureKeyed(1, "/p/", "o1", siteKey)
	const daemons = 2
	s.start = func(i int) *process {
		ip := fmt.Sprintf("%s.%d", s.prefix, i+1)
		return startProcess(t, fmt.Sprintf("daemon-%d", i), ip, fmt.Sprintf(siteSettings, i, ip, storeAddr, vmMemory>>20))
	}
	for i := range daemons {
		s.daemons = append(s.daemons, s.start(i))
	}
	eventually(t, "the daemons are ready", func() bool {
		for i := range s.daemons {
			if !s.answers(i) {
				return false
			}
		}
		return true
	})
	return s
}

func (s *site) serve(h http.Handler) (addr string) {
	s.t.Helper()
	l, err := net.Listen("tcp", s.prefix+".200:0")
	if err != nil {
		s.t.Fatal(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	s.t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// addrs returns the address of a port of the first n daemons.
func (s *site) addrs(n, port int) (out []string) {
	for _, p := range s.daemons[:n] {
		out = append(out, fmt.Sprintf("%s:%d", p.ip, port))
	}
	return out
}

// Ports of a site's daemons.
const (
	portCallers   = 17000
	portReady     = 17001
	portAddresses = 17002
	portPeers     = 17003
	portOperators = 17004
)

// requestTimeout is the time that ordinary callers give their requests.
const requestTimeout = 5 * time.Second

// head returns the header of a caller's request, without its end.
func (s *site) head(method, path string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, standin.Host)
	h := standin.CallerHeaders(fmt.Sprintf("crowd-%d", s.names.Add(1)), requestTimeout, "")
	standin.SetKey(h, siteKey)
	_ = h.Write(&b) // writing to a bytes.Buffer never fails
	return b.Bytes()
}

// answers reports whether a daemon answers an ordinary request with a whole answer.
func (s *site) answers(daemon int) bool {
	id := fmt.Sprintf("ordinary-%d", s.names.Add(1))
	h := standin.CallerHeaders(id, requestTimeout, "")
	standin.SetKey(h, siteKey)
	status, body, err := send(s.daemons[daemon].ip, "/p/x", h, strings.NewReader("question"))
	return err == nil && status == http.StatusOK && body == standin.Answer(id)
}

// send sends a request over a connection of its own.
func send(ip, path string, h http.Header, body io.Reader) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", ip, portCallers, path), body)
	if err != nil {
		return 0, "", err
	}
	req.Host, req.Header, req.Close = standin.Host, h, true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// bear lets a crowd connect to a port of the first n daemons. Each daemon must answer an
// ordinary caller, who may come again, while the crowd is there and after it has left.
func (s *site) bear(k crowd, n, port int) {
	s.t.Helper()
	leave := k.run(s.addrs(n, port)...)
	for i := range s.daemons {
		eventually(s.t, "an ordinary request is answered beside the crowd", func() bool { return s.answers(i) })
	}
	leave()
	for i := range s.daemons {
		eventually(s.t, "an ordinary request is answered after the crowd", func() bool { return s.answers(i) })
		s.daemons[i].check()
	}
}
