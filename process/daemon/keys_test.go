package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/peer"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/process/settings"
)

// testCA is a CA for tests.
type testCA struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

func newTestCA(t *testing.T, name string) *testCA {
	a := &testCA{t: t, key: newKey(t)}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &a.key.PublicKey, a.key)
	if err == nil {
		a.cert, err = x509.ParseCertificate(der)
	}
	if err != nil {
		t.Fatal(err)
	}
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// issue returns a certificate for the daemons' IP addresses.
func (a *testCA) issue(serial int64) (cert, key []byte) {
	k := newKey(a.t)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.ParseIP(daemonIP(0)), net.ParseIP(daemonIP(1))},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &k.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	kder, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: kder})
}

// keyFiles are the files that the settings refer to.
type keyFiles struct {
	settings.TLS
	t      *testing.T
	writes int
}

func newKeyFiles(t *testing.T, a *testCA) *keyFiles {
	dir := t.TempDir()
	f := &keyFiles{t: t, TLS: settings.TLS{
		Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"),
		CA: filepath.Join(dir, "ca"), OperatorToken: filepath.Join(dir, "token"),
	}}
	cert, key := a.issue(100)
	f.write(f.Key, key)
	f.write(f.Cert, cert)
	f.write(f.CA, a.pem)
	f.write(f.OperatorToken, []byte("secret\n"))
	return f
}

// write gives each file a later modification time than the one before, whatever
// the resolution of the file system's timestamps.
func (f *keyFiles) write(file string, data []byte) {
	f.t.Helper()
	f.writes++
	at := time.Now().Add(time.Duration(f.writes) * time.Second)
	if err := os.WriteFile(file, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	if err := os.Chtimes(file, at, at); err != nil {
		f.t.Fatal(err)
	}
}

// clientTLS returns a configuration that trusts the CA and presents the
// certificate, if one is given.
func clientTLS(a *testCA, cert, key []byte) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	conf := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if pair, err := tls.X509KeyPair(cert, key); err == nil {
		conf.Certificates = []tls.Certificate{pair}
	}
	return conf
}

// Guards against an attacker on the network who poses as a daemon, for example
// to report other daemons as dead. Without a certificate of the fleet's CA,
// every daemon must refuse the connection.
func TestPeersWithoutFleetCertificateAreRefused(t *testing.T) {
	ours, theirs := newTestCA(t, "fleet"), newTestCA(t, "stranger")
	f := newFleet(t, 2, newKeyFiles(t, ours).TLS)
	eventually(t, "the daemons exchange heartbeats over TLS", func() bool {
		live, _ := f.daemons[0].members.View().Reachable()
		return live == 1
	})
	addr := f.daemons[0].Listen().Peers
	ownCert, ownKey := ours.issue(7)
	untrustedCert, untrustedKey := theirs.issue(7)
	for _, c := range []struct {
		name string
		conf *tls.Config
		ok   bool
	}{
		{"a daemon of the fleet", clientTLS(ours, ownCert, ownKey), true},
		{"no certificate", clientTLS(ours, nil, nil), false},
		{"a certificate of another CA", clientTLS(ours, untrustedCert, untrustedKey), false},
	} {
		d := peer.NewDialer(peer.DialerOptions{Creds: credentials.NewTLS(c.conf)})
		p, err := d.Client(addr)
		if err == nil {
			_, err = p.Burn(t.Context(), &peerpb.BurnRequest{})
		}
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
		d.Close()
	}
	// Conversely, the daemon must refuse a server with another CA's certificate.
	k, err := loadKeys(newKeyFiles(t, theirs).TLS)
	if err != nil {
		t.Fatal(err)
	}
	untrusted := peer.NewServer(peer.Handlers{}, peer.ServerOptions{Creds: k.peerServer()})
	l, err := net.Listen("tcp", daemonIP(1)+":0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = untrusted.Serve(l) }()
	defer untrusted.Stop()
	own := f.daemons[0].dialer
	if _, err := own.Heartbeat(t.Context(), l.Addr().String(), &peerpb.HeartbeatRequest{}); err == nil || !strings.Contains(err.Error(), "6002 NOT_AUTHORIZED") {
		t.Errorf("a heartbeat to a server of another CA: %v", err)
	}
}

// The operators' port must be open to probes and need the token for all other
// paths. A new token must take effect immediately.
func TestOperatorsPortNeedsTheToken(t *testing.T) {
	ours := newTestCA(t, "fleet")
	files := newKeyFiles(t, ours)
	f := newFleet(t, 1, files.TLS)
	c := &http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS(ours, nil, nil)}}
	defer c.CloseIdleConnections()
	base := "https://" + f.daemons[0].Listen().Operators
	ask := func(path, token string, want int) {
		t.Helper()
		status, body := get(t, c, base+path, "Authorization", "Bearer "+token)
		refused := strings.HasPrefix(body, "6002 NOT_AUTHORIZED")
		if status != want || refused != (want == code.NotAuthorized.Info().Status) {
			t.Errorf("%s with token %q: %d %.80s", path, token, status, body)
		}
	}
	ask("/healthz", "", http.StatusOK)
	for _, path := range []string{"/status", "/burn", "/debug/vars"} {
		ask(path, "", http.StatusForbidden)
		ask(path, "secret2", http.StatusForbidden)
		ask(path, "secret", http.StatusOK)
	}
	files.write(files.OperatorToken, []byte("secret2\n"))
	ask("/status", "secret", http.StatusForbidden)
	ask("/status", "secret2", http.StatusOK)
	files.write(files.OperatorToken, nil)
	ask("/status", "", http.StatusForbidden)
}

// Certificates must be replaceable while daemons run. Between the writes of the
// two files certificate and key don't match; the old pair must stay in use
// until they do.
func TestKeysAreReplacedWithoutRestart(t *testing.T) {
	ours := newTestCA(t, "fleet")
	files := newKeyFiles(t, ours)
	f := newFleet(t, 2, files.TLS)
	serial := func(addr string) int64 {
		t.Helper()
		cert, key := ours.issue(9)
		conn, err := (&tls.Dialer{Config: clientTLS(ours, cert, key)}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	listen := f.daemons[0].Listen()
	expect := func(when string, want int64) {
		t.Helper()
		for _, addr := range []string{listen.Callers, listen.Peers, listen.Operators} {
			if got := serial(addr); got != want {
				t.Errorf("%s: %s presents certificate %d, want %d", when, addr, got, want)
			}
		}
	}
	expect("at the start", 100)
	cert, key := ours.issue(101)
	files.write(files.Cert, cert)
	expect("half written", 100)
	files.write(files.Key, key)
	expect("replaced", 101)

	// After a change of the CA, peers with a certificate of the new one must be
	// accepted and peers with one of the old refused.
	next := newTestCA(t, "next")
	cert, key = next.issue(102)
	files.write(files.Key, key)
	files.write(files.Cert, cert)
	files.write(files.CA, next.pem)
	d := peer.NewDialer(peer.DialerOptions{Creds: credentials.NewTLS(clientTLS(next, cert, key))})
	defer d.Close()
	p, err := d.Client(listen.Peers)
	if err == nil {
		_, err = p.Burn(context.Background(), &peerpb.BurnRequest{})
	}
	if err != nil {
		t.Errorf("a peer with a certificate of the new CA: %v", err)
	}
	oldCert, oldKey := ours.issue(9)
	conf := clientTLS(next, oldCert, oldKey)
	old := peer.NewDialer(peer.DialerOptions{Creds: credentials.NewTLS(conf)})
	defer old.Close()
	if p, err = old.Client(listen.Peers); err == nil {
		_, err = p.Burn(context.Background(), &peerpb.BurnRequest{})
	}
	if err == nil {
		t.Error("a peer with a certificate of the old CA is still accepted")
	}
}
