package crowd

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin/logsvc"
	"github.com/pomelospool/pomelospool/standin/plain"
	"github.com/pomelospool/pomelospool/standin/vmlist"
	"github.com/pomelospool/pomelospool/standin/weights"
	"github.com/pomelospool/pomelospool/version/publish"
)

// The limits of the fleet's settings.
const (
	fleetHeaderBytes = 32 << 10
	fleetBodyBytes   = 1 << 20
)

// fleet is a small deployment of the project's own protocol.
type fleet struct {
	t       *testing.T
	prefix  string
	daemons []*process
	client  *http.Client
	scheme  string
	names   atomic.Int64
}

const fleetSettings = `vm: "vm-%[1]d"
zone: "a"
listen: {callers: "%[2]s:17000", peers: "%[2]s:17003", operators: "%[2]s:17004"}
platform: {log: "%[3]s", vms: "%[4]s", weights: "%[5]s"}
control: {address_ttl: 1s}
limits: {header_bytes: %[6]d, body_bytes: %[7]d, memory_mb: %[8]d}
`

const fleetDocument = "service: feed\nkind: plain\nowner: o\ntargets:\n  - {name: p, addr: %q, zone: a}\nobjectives: {answer: 5s}\n"

// newFleet starts a fleet of two daemons, with TLS if it is secure, and waits until they
// serve.
func newFleet(t *testing.T, secure bool) *fleet {
	return newFleetWith(t, secure, func(h http.Handler) http.Handler { return h })
}

// newFleetWith starts a fleet whose target has the handler that wrap returns.
func newFleetWith(t *testing.T, secure bool, wrap func(http.Handler) http.Handler) *fleet {
	t.Helper()
	f := &fleet{t: t, prefix: reserveRange(t), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, scheme: "http"}
	extra := ""
	if secure {
		f.scheme = "https"
		extra = f.makeKeys()
	}
	const daemons = 2
	var vms []port.VM
	for i := range daemons {
		vms = append(vms, port.VM{ID: fmt.Sprintf("vm-%d", i), Addr: f.ip(i), Zone: "a"})
	}
	events := logsvc.New(logsvc.Options{})
	list := vmlist.New(vmlist.Options{VMs: vms})
	store := weights.New(weights.Options{})
	service := plain.New(plain.Options{Name: "p"})
	f.run(events.Run, events.Close)
	f.run(list.Run, list.Close)
	f.run(store.Run, store.Close)
	f.run(func(addr string) error { return service.Start(wrap(service.Handler()), addr) }, service.Close)
	for i := range daemons {
		text := fmt.Sprintf(fleetSettings, i, f.ip(i), events.URL(), list.URL(), store.URL(), fleetHeaderBytes, fleetBodyBytes, vmMemory>>20)
		f.daemons = append(f.daemons, startProcess(t, fmt.Sprintf("daemon-%d", i), f.ip(i), text+extra))
	}
	p := &publish.Publisher{Log: events, Writer: "test"}
	document := fmt.Sprintf(fleetDocument, strings.TrimPrefix(service.URL(), "http://"))
	if _, err := p.Publish(t.Context(), "feed", 0, []byte(document)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the daemons serve", func() bool {
		for i := range f.daemons {
			if !f.answers(i) {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) ip(i int) string { return fmt.Sprintf("%s.%d", f.prefix, i+1) }

func (f *fleet) run(run func(string) error, stop func() error) {
	f.t.Helper()
	if err := run(f.prefix + ".200:0"); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = stop() })
}

// makeKeys writes a certificate and its key and returns the settings that name them.
func (f *fleet) makeKeys() string {
	f.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		f.t.Fatal(err)
	}
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "crowd"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(f.ip(0)), net.ParseIP(f.ip(1))}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	if err != nil {
		f.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		f.t.Fatal(err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	dir := f.t.TempDir()
	certPath, keyPath := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	if err := os.WriteFile(certPath, certPEM, 0o600); err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(keyPath, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600); err != nil {
		f.t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(certPEM)
	f.client.Transport = &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: roots}}
	return fmt.Sprintf("tls: {cert: %q, key: %q}\n", certPath, keyPath)
}

// answers reports whether a daemon answers an ordinary request.
func (f *fleet) answers(daemon int) bool {
	return f.post(daemon, strings.NewReader("question"), nil) == http.StatusOK
}

// post sends a request and returns the status of a whole answer, 0 if there is none.
func (f *fleet) post(daemon int, body io.Reader, header http.Header) int {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	url := fmt.Sprintf("%s://%s:%d/s/feed/x", f.scheme, f.ip(daemon), portCallers)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return 0
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("X-Request-Id", fmt.Sprintf("ordinary-%d", f.names.Add(1)))
	resp, err := f.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// head returns the header of a caller's request, without its end.
func (f *fleet) head(method string) []byte {
	return fmt.Appendf(nil, "%s /s/feed/x HTTP/1.1\r\nHost: feed\r\nX-Request-Id: crowd-%d\r\n", method, f.names.Add(1))
}

// addr returns the address of a port of the first daemon.
func (f *fleet) addr(port int) string { return fmt.Sprintf("%s:%d", f.ip(0), port) }

// bear lets a crowd connect to a port of the first daemon. Each daemon must answer an
// ordinary caller, who may come again, while the crowd is there and after it has left.
func (f *fleet) bear(k crowd, port int) {
	f.t.Helper()
	leave := k.run(f.addr(port))
	for i := range f.daemons {
		eventually(f.t, "an ordinary request is answered beside the crowd", func() bool { return f.answers(i) })
	}
	leave()
	for i := range f.daemons {
		eventually(f.t, "an ordinary request is answered after the crowd", func() bool { return f.answers(i) })
		f.daemons[i].check()
	}
}
