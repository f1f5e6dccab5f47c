package guard

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// files are the TLS credentials on disk. They are read again when they change,
// so that certificates can be replaced without a restart.
type files struct {
	certificate, key, authority string

	mu     sync.Mutex
	stamps [3]time.Time
	pair   tls.Certificate
	pool   *x509.CertPool
}

// load returns the present credentials. A file that cannot be read keeps the
// old ones in use, as it may be in the middle of its replacement.
func (f *files) load() (tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stamps := [3]time.Time{stamp(f.certificate), stamp(f.key), stamp(f.authority)}
	if f.pool != nil && stamps == f.stamps {
		return f.pair, f.pool, nil
	}
	pair, pool, err := f.read()
	if err != nil {
		if f.pool != nil {
			return f.pair, f.pool, nil
		}
		return pair, nil, err
	}
	f.pair, f.pool, f.stamps = pair, pool, stamps
	return pair, pool, nil
}

func (f *files) read() (tls.Certificate, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return pair, nil, fmt.Errorf("load certificate: %w", err)
	}
	text, err := os.ReadFile(f.authority)
	if err != nil {
		return pair, nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return pair, nil, fmt.Errorf("load authority: no certificate in %s", f.authority)
	}
	return pair, pool, nil
}

func stamp(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// client returns a fresh configuration, or nil if TLS is off.
func (f *files) client() (*tls.Config, error) {
	if f.certificate == "" {
		return nil, nil
	}
	pair, pool, err := f.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool,
	}, nil
}

// server is client for the accepting side, which asks for a certificate too.
func (f *files) server() (*tls.Config, error) {
	config, err := f.client()
	if err != nil || config == nil {
		return nil, err
	}
	config.ClientCAs, config.RootCAs = config.RootCAs, nil
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
