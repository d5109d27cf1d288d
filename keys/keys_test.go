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

// issue returns the keys of a new certificate.
func issue(t *testing.T, a *standin.Authority, name string) *keys.Keys {
	t.Helper()
	f, err := a.Issue(name)
	is.New(t).NoErr(err)
	return &keys.Keys{Cert: f.CertFile, Key: f.KeyFile, CA: f.CAFile}
}

// exchange reads the greeting of a server through TLS, and returns the name on
// its certificate.
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

// Guards against connections between parties that do not know each other.
func TestMutual(t *testing.T) {
	a, other := &standin.Authority{Dir: t.TempDir()}, &standin.Authority{Dir: t.TempDir()}
	server, known, stranger := issue(t, a, "server"), issue(t, a, "client"), issue(t, other, "stranger")
	for _, tt := range []struct {
		name   string
		client *keys.Keys
		mutual bool
		ok     bool
	}{
		{"known", known, true, true},
		{"authorities only, server does not ask", &keys.Keys{CA: server.CA}, false, true},
		{"authorities only, server asks", &keys.Keys{CA: server.CA}, true, false},
		{"other authority at the client", &keys.Keys{CA: stranger.CA}, false, false},
		{"other authority's certificate", &keys.Keys{Cert: stranger.Cert, Key: stranger.Key, CA: server.CA}, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			config, err := tt.client.Client()
			is.NoErr(err)
			_, err = exchange(server.Server(tt.mutual), config)
			is.Equal(err == nil, tt.ok)
		})
	}
}

// Guards against a replaced certificate that needs a restart, and against a
// half-written one that takes the server down.
func TestReload(t *testing.T) {
	is := is.New(t)
	a := &standin.Authority{Dir: t.TempDir()}
	now := time.Now()
	server, client := issue(t, a, "server"), issue(t, a, "client")
	server.Clock = func() time.Time { return now }
	name := func() string {
		config, err := client.Client()
		is.NoErr(err)
		got, err := exchange(server.Server(true), config)
		is.NoErr(err)
		return got
	}
	is.Equal(name(), "server")
	next := issue(t, a, "next")
	for _, f := range []struct{ from, to string }{{next.Cert, server.Cert}, {next.Key, server.Key}} {
		data, err := os.ReadFile(f.from)
		is.NoErr(err)
		is.NoErr(os.WriteFile(f.to, data, 0o600))
		is.NoErr(os.Chtimes(f.to, now, now.Add(time.Minute)))
	}
	is.Equal(name(), "server")
	now = now.Add(keys.ReloadEvery)
	is.Equal(name(), "next")
	is.NoErr(os.WriteFile(server.Cert, []byte("half"), 0o600))
	now = now.Add(keys.ReloadEvery)
	is.Equal(name(), "next")
}

// Guards against files that are accepted without their content.
func TestBadFiles(t *testing.T) {
	is := is.New(t)
	a := &standin.Authority{Dir: t.TempDir()}
	good := issue(t, a, "server")
	var fe *keys.FileError
	is.True(errors.As((&keys.Keys{Cert: good.Cert + ".none", Key: good.Key, CA: good.CA}).Load(), &fe))
	is.True(errors.As((&keys.Keys{Cert: good.Cert, Key: good.Key, CA: good.Key}).Load(), &fe))
	is.NoErr(good.Load())
}
