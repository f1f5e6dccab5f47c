package auth

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// credentialFiles reads the TLS credentials from files and caches them. It reads
// the files again when their modification times change, so that certificates can
// be replaced without a restart. Empty paths mean that TLS is off.
type credentialFiles struct {
	certificatePath, keyPath, authorityPath string

	mu          sync.Mutex
	modTimes    [3]time.Time
	keyPair     tls.Certificate
	authorities *x509.CertPool
}

// load returns the current credentials. If a file cannot be read after the first
// successful load, it returns the cached credentials, because the file may be in
// the middle of its replacement.
func (f *credentialFiles) load() (tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	modTimes := [3]time.Time{modTime(f.certificatePath), modTime(f.keyPath), modTime(f.authorityPath)}
	if f.authorities != nil && modTimes == f.modTimes {
		return f.keyPair, f.authorities, nil
	}
	keyPair, authorities, err := f.readFiles()
	if err != nil {
		if f.authorities != nil {
			return f.keyPair, f.authorities, nil
		}
		return keyPair, nil, err
	}
	f.keyPair, f.authorities, f.modTimes = keyPair, authorities, modTimes
	return keyPair, authorities, nil
}

func (f *credentialFiles) readFiles() (tls.Certificate, *x509.CertPool, error) {
	keyPair, err := tls.LoadX509KeyPair(f.certificatePath, f.keyPath)
	if err != nil {
		return keyPair, nil, fmt.Errorf("load certificate: %w", err)
	}
	text, err := os.ReadFile(f.authorityPath)
	if err != nil {
		return keyPair, nil, fmt.Errorf("load authority: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return keyPair, nil, fmt.Errorf("load authority: no certificate in %s", f.authorityPath)
	}
	return keyPair, authorities, nil
}

// modTime returns the modification time of a file, or zero if it is not known.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// clientConfig returns a new TLS configuration for the dialling side, or nil if
// TLS is off.
func (f *credentialFiles) clientConfig() (*tls.Config, error) {
	if f.certificatePath == "" {
		return nil, nil
	}
	keyPair, authorities, err := f.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{keyPair}, RootCAs: authorities,
	}, nil
}

// serverConfig returns a new TLS configuration for the accepting side, which
// requires a client certificate, or nil if TLS is off.
func (f *credentialFiles) serverConfig() (*tls.Config, error) {
	config, err := f.clientConfig()
	if err != nil || config == nil {
		return nil, err
	}
	config.ClientCAs, config.RootCAs = config.RootCAs, nil
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
