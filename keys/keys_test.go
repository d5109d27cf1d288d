package keys_test

import (
	"crypto/tls"
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/keys"
	"jasminelane.example/lane/standin"
)

// issue returns a Reloader of a new certificate for the name.
func issue(t *testing.T, a *standin.Authority, name string) *keys.Reloader {
	t.Helper()
	f, err := a.Issue(name)
	is.New(t).NoErr(err)
	return &keys.Reloader{CertFile: f.CertFile, KeyFile: f.KeyFile, CAFile: f.CAFile}
}

// exchange connects to a TLS server, reads its greeting and returns the common
// name of its certificate.
func exchange(server, client *tls.Config) (string, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return "", err
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "hello")
		_ = c.Close()
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, 5)); err != nil {
		return "", err
	}
	return c.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// TestMutual guards against connections with a party whose required certificate
// is missing, or is signed by an authority that the other party does not trust.
func TestMutual(t *testing.T) {
	a, other := &standin.Authority{Dir: t.TempDir()}, &standin.Authority{Dir: t.TempDir()}
	server, known, stranger := issue(t, a, "server"), issue(t, a, "client"), issue(t, other, "stranger")
	for _, tt := range []struct {
		name   string
		client *keys.Reloader
		mutual bool
		ok     bool
	}{
		{"known", known, true, true},
		{"authorities only, server does not ask", &keys.Reloader{CAFile: server.CAFile}, false, true},
		{"authorities only, server asks", &keys.Reloader{CAFile: server.CAFile}, true, false},
		{"other authority at the client", &keys.Reloader{CAFile: stranger.CAFile}, false, false},
		{"other authority's certificate", &keys.Reloader{CertFile: stranger.CertFile, KeyFile: stranger.KeyFile, CAFile: server.CAFile}, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			config, err := tt.client.ClientConfig()
			is.NoErr(err)
			_, err = exchange(server.ServerConfig(tt.mutual), config)
			is.Equal(err == nil, tt.ok)
		})
	}
}

// TestReload guards against a replaced certificate that only a restart brings
// into use, and against a partly written certificate that stops the server.
func TestReload(t *testing.T) {
	is := is.New(t)
	a := &standin.Authority{Dir: t.TempDir()}
	now := time.Now()
	server, client := issue(t, a, "server"), issue(t, a, "client")
	server.Clock = func() time.Time { return now }
	name := func() string {
		config, err := client.ClientConfig()
		is.NoErr(err)
		got, err := exchange(server.ServerConfig(true), config)
		is.NoErr(err)
		return got
	}
	is.Equal(name(), "server")
	next := issue(t, a, "next")
	for _, f := range []struct{ from, to string }{{next.CertFile, server.CertFile}, {next.KeyFile, server.KeyFile}} {
		data, err := os.ReadFile(f.from)
		is.NoErr(err)
		is.NoErr(os.WriteFile(f.to, data, 0o600))
		is.NoErr(os.Chtimes(f.to, now, now.Add(time.Minute)))
	}
	is.Equal(name(), "server")
	now = now.Add(keys.ReloadInterval)
	is.Equal(name(), "next")
	is.NoErr(os.WriteFile(server.CertFile, []byte("half"), 0o600))
	now = now.Add(keys.ReloadInterval)
	is.Equal(name(), "next")
}

// TestBadFiles guards against missing files, or files without a certificate, that
// are accepted.
func TestBadFiles(t *testing.T) {
	is := is.New(t)
	a := &standin.Authority{Dir: t.TempDir()}
	good := issue(t, a, "server")
	var fe *keys.FileError
	is.True(errors.As((&keys.Reloader{CertFile: good.CertFile + ".none", KeyFile: good.KeyFile, CAFile: good.CAFile}).Load(), &fe))
	is.True(errors.As((&keys.Reloader{CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: good.KeyFile}).Load(), &fe))
	is.NoErr(good.Load())
}
