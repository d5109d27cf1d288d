package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/client"
	"jasminelane.example/lane/keys"
	"jasminelane.example/lane/settings"
	"jasminelane.example/lane/standin"
)

// TestTLS guards against listeners without TLS, against access by operators
// without a client certificate, and against instances that cannot connect to each
// other over TLS: a publish is reported as applied on both only if they can.
func TestTLS(t *testing.T) {
	is := is.New(t)
	log := httptest.NewServer(&standin.Log{})
	defer log.Close()
	list := httptest.NewServer(&standin.Directory{})
	defer list.Close()
	a := &standin.Authority{Dir: t.TempDir()}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var all []*Instance
	for _, name := range []string{"e1", "e2"} {
		f, err := a.Issue(name)
		is.NoErr(err)
		set := settings.Default()
		set.Instance = settings.Instance{Name: name, Domain: "kochi", PeerAddr: "127.0.0.1:0", CallerAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0"}
		set.Platform = settings.Platform{LogURL: log.URL, ListURL: list.URL}
		set.TLS = settings.TLS{CertFile: f.CertFile, KeyFile: f.KeyFile, CAFile: f.CAFile, RequireOperatorCert: true}
		set.Operators = []settings.Token{{Name: "desk", Secret: "token-of-the-desk"}}
		n := &Instance{Settings: set}
		is.NoErr(n.Open())
		all = append(all, n)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.Run(ctx)
		}()
		defer func() { cancel(); <-done }()
	}
	for end := time.Now().Add(10 * time.Second); all[0].Ready() != nil || all[1].Ready() != nil; time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end)) // both instances are ready
	}
	f, err := a.Issue("desk")
	is.NoErr(err)
	operator := func(k *keys.Reloader) *client.Client {
		config, err := k.ClientConfig()
		is.NoErr(err)
		return &client.Client{
			BaseURL: "https://" + all[0].OperatorListener.Addr().String(), Token: "token-of-the-desk",
			HTTPClient: &http.Client{Transport: &http.Transport{TLSClientConfig: config}},
		}
	}
	out, err := operator(&keys.Reloader{CertFile: f.CertFile, KeyFile: f.KeyFile, CAFile: f.CAFile}).Publish(t.Context(), "account/asha", 0, 1, 1, []byte(`{}`))
	is.NoErr(err)
	is.Equal(len(out.Instances), 2)
	is.True(out.Instances[0].Applied && out.Instances[1].Applied)
	_, err = operator(&keys.Reloader{CAFile: f.CAFile}).Publish(t.Context(), "account/ben", 0, 1, 1, []byte(`{}`))
	is.True(err != nil) // the client has no certificate
	resp, err := http.Get("http://" + all[0].CallerListener.Addr().String() + "/v1/jobs/x")
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusBadRequest) // plain HTTP to a TLS listener is rejected
}
