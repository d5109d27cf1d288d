package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// ReloadInterval is the least time between two checks of the files for changes.
// The checks bring a replaced certificate into use without a restart.
const ReloadInterval = 10 * time.Second

// Reloader provides TLS configurations with the certificate and the trusted
// authorities from PEM files. A client may have authorities only. The fields must
// be set before use. A Reloader is safe for concurrent use.
type Reloader struct {
	CertFile string
	KeyFile  string
	CAFile   string           // authorities of peers, and of operators if they need certificates
	Clock    func() time.Time // returns the current time; default time.Now

	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time // of CertFile, KeyFile and CAFile when they were loaded
	cert      *tls.Certificate
	caPool    *x509.CertPool
}

// FileError reports a certificate, key or authority file that cannot be read or
// has no valid content.
type FileError struct {
	Path string
	Err  error
}

// Error returns a message with the file and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// NoCertificateError reports a file without a certificate.
type NoCertificateError struct{}

// Error returns a message that no certificate was found.
func (e *NoCertificateError) Error() string { return "no PEM certificate found" }

// Load loads the files. It fails with *FileError.
func (k *Reloader) Load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.load()
}

// load loads the files and records their modification times. The caller holds
// the lock.
func (k *Reloader) load() error {
	var cert tls.Certificate
	if k.CertFile != "" {
		var err error
		if cert, err = tls.LoadX509KeyPair(k.CertFile, k.KeyFile); err != nil {
			return &FileError{k.CertFile, err}
		}
	}
	pool := x509.NewCertPool()
	if k.CAFile != "" {
		data, err := os.ReadFile(k.CAFile)
		if err != nil {
			return &FileError{k.CAFile, err}
		}
		if !pool.AppendCertsFromPEM(data) {
			return &FileError{k.CAFile, &NoCertificateError{}}
		}
	}
	k.cert, k.caPool = &cert, pool
	k.modTimes = k.statModTimes()
	k.checkedAt = k.now()
	return nil
}

// now returns the current time by Clock.
func (k *Reloader) now() time.Time {
	if k.Clock != nil {
		return k.Clock()
	}
	return time.Now()
}

// statModTimes returns the modification times of the files, zero for one that
// cannot be examined.
func (k *Reloader) statModTimes() (out [3]time.Time) {
	for i, path := range []string{k.CertFile, k.KeyFile, k.CAFile} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// current returns the certificate and the authorities in use, and reloads them
// first if the files have changed. If the files are partly written or unreadable,
// the previously loaded ones stay in use.
func (k *Reloader) current() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cert == nil {
		if err := k.load(); err != nil {
			return nil, nil, err
		}
	}
	if k.now().Sub(k.checkedAt) >= ReloadInterval {
		k.checkedAt = k.now()
		if k.statModTimes() != k.modTimes {
			_ = k.load()
		}
	}
	return k.cert, k.caPool, nil
}

// ServerConfig returns the TLS configuration of a listener. If mutual is set, a
// client needs a certificate that the authorities signed.
func (k *Reloader) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := k.current()
			if err != nil {
				return nil, err
			}
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if mutual {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a connection to a server whose
// certificate the authorities signed for the IP address that is dialed.
func (k *Reloader) ClientConfig() (*tls.Config, error) {
	cert, pool, err := k.current()
	if err != nil {
		return nil, err
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if k.CertFile != "" {
		c.Certificates = []tls.Certificate{*cert}
	}
	return c, nil
}
