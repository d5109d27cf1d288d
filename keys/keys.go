package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// ReloadEvery is how often the files are looked at, so that a replaced
// certificate is in use without a restart.
const ReloadEvery = 10 * time.Second

// Keys names the files of a certificate, its key and the trusted authorities,
// all in PEM; a client may have authorities only. Fields are set before use; it is safe for concurrent use.
type Keys struct {
	Cert  string
	Key   string
	CA    string           // of peers, and of operators when they need certificates
	Clock func() time.Time // default time.Now

	mu      sync.Mutex
	looked  time.Time
	changed [3]time.Time // of Cert, Key and CA when they were loaded
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// FileError reports a file that does not hold what it should.
type FileError struct {
	Path string
	Err  error
}

// Error describes the file and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// EmptyError reports a file without a certificate.
type EmptyError struct{}

// Error describes the condition.
func (e *EmptyError) Error() string { return "no certificate in PEM form" }

// Load reads the files; it fails with *FileError.
func (k *Keys) Load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.load()
}

func (k *Keys) load() error {
	var cert tls.Certificate
	if k.Cert != "" {
		var err error
		if cert, err = tls.LoadX509KeyPair(k.Cert, k.Key); err != nil {
			return &FileError{k.Cert, err}
		}
	}
	pool := x509.NewCertPool()
	if k.CA != "" {
		data, err := os.ReadFile(k.CA)
		if err != nil {
			return &FileError{k.CA, err}
		}
		if !pool.AppendCertsFromPEM(data) {
			return &FileError{k.CA, &EmptyError{}}
		}
	}
	k.cert, k.pool = &cert, pool
	k.changed = k.times()
	k.looked = k.now()
	return nil
}

func (k *Keys) now() time.Time {
	if k.Clock != nil {
		return k.Clock()
	}
	return time.Now()
}

// times returns when the files were changed last.
func (k *Keys) times() (out [3]time.Time) {
	for i, path := range []string{k.Cert, k.Key, k.CA} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// current returns the keys in use. Files that are half written or unreadable
// leave the keys of before in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cert == nil {
		if err := k.load(); err != nil {
			return nil, nil, err
		}
	}
	if k.now().Sub(k.looked) >= ReloadEvery {
		k.looked = k.now()
		if k.times() != k.changed {
			_ = k.load()
		}
	}
	return k.cert, k.pool, nil
}

// Server returns the configuration of a listener. With mutual set, a client
// needs a certificate of the authorities.
func (k *Keys) Server(mutual bool) *tls.Config {
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

// Client returns the configuration of a connection to a server whose
// certificate the authorities signed for the address's IP number.
func (k *Keys) Client() (*tls.Config, error) {
	cert, pool, err := k.current()
	if err != nil {
		return nil, err
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if k.Cert != "" {
		c.Certificates = []tls.Certificate{*cert}
	}
	return c, nil
}
