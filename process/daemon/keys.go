package daemon

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/settings"
)

// keys holds the daemon's certificate, the CA of its peers and the operators'
// token. Files are read again when they change, so keys are replaced without
// a restart. The zero settings give plain TCP and no token.
type keys struct {
	files settings.TLS

	mu      sync.Mutex
	cert    *tls.Certificate
	changed time.Time // modification time of the certificate that was read
}

func loadKeys(files settings.TLS) (*keys, error) {
	k := &keys{files: files}
	if files.Cert == "" {
		return k, nil
	}
	if _, err := k.certificate(); err != nil {
		return nil, err
	}
	if files.CA != "" {
		if _, err := k.pool(); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// certificate returns the newest certificate. While a new pair is only half
// written the old one stays in use.
func (k *keys) certificate() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	info, err := os.Stat(k.files.Cert)
	if err == nil && k.cert != nil && info.ModTime().Equal(k.changed) {
		return k.cert, nil
	}
	if err == nil {
		var cert tls.Certificate
		cert, err = tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
		if err == nil {
			k.cert, k.changed = &cert, info.ModTime()
			return k.cert, nil
		}
	}
	if k.cert != nil {
		return k.cert, nil
	}
	return nil, fmt.Errorf("daemon: certificate: %w", err)
}

func (k *keys) pool() (*x509.CertPool, error) {
	data, err := os.ReadFile(k.files.CA)
	if err != nil {
		return nil, fmt.Errorf("daemon: CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("daemon: CA: no certificate in %s", k.files.CA)
	}
	return pool, nil
}

// server is the TLS of callers and operators, nil for plain TCP.
func (k *keys) server() *tls.Config {
	if k.files.Cert == "" {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.certificate() },
	}
}

// peerServer asks each peer for a certificate of the fleet's CA: a stranger
// must not be able to call itself a daemon, or others dead.
func (k *keys) peerServer() credentials.TransportCredentials {
	if k.files.Cert == "" || k.files.CA == "" {
		return nil
	}
	conf := k.server()
	conf.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pool, err := k.pool()
		if err != nil {
			return nil, err
		}
		c := k.server()
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = pool
		c.NextProtos = []string{"h2"}
		return c, nil
	}
	return credentials.NewTLS(conf)
}

// peerClient shows this daemon's certificate and checks the peer's against
// the fleet's CA. Peers are dialled by IP number, which their certificates
// must name.
func (k *keys) peerClient() credentials.TransportCredentials {
	if k.files.Cert == "" || k.files.CA == "" {
		return nil
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.certificate() },
		// The default check runs against the CA as it stood at the start; this
		// one reads it anew, so that the CA can be replaced too.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verifyPeer,
	})
}

func (k *keys) verifyPeer(cs tls.ConnectionState) error {
	pool, err := k.pool()
	if err != nil {
		return err
	}
	if len(cs.PeerCertificates) == 0 {
		return code.New(code.NotAuthorized, "the peer shows no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err = cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       cs.ServerName,
		Roots:         pool,
		Intermediates: between,
	})
	if err != nil {
		return code.Wrap(code.NotAuthorized, err, "peer %s", cs.ServerName)
	}
	return nil
}

// openPaths of the operators' port need no token: the platform's probes have none.
var openPaths = map[string]bool{"/healthz": true, "/readyz": true}

// guardOperators refuses calls without the operators' token, if there is one.
func (k *keys) guardOperators(next http.Handler) http.Handler {
	if k.files.OperatorToken == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if openPaths[r.URL.Path] || k.authorized(r) {
			next.ServeHTTP(w, r)
			return
		}
		err := code.New(code.NotAuthorized, "the operators' port needs the token")
		http.Error(w, err.Error(), code.NotAuthorized.Info().Status)
	})
}

func (k *keys) authorized(r *http.Request) bool {
	want, err := os.ReadFile(k.files.OperatorToken)
	if err != nil {
		return false
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	trimmed := strings.TrimSpace(string(want))
	return ok && trimmed != "" && subtle.ConstantTimeCompare([]byte(token), []byte(trimmed)) == 1
}
