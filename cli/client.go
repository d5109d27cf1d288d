package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"jasminelane.example/lane/client"
	"jasminelane.example/lane/operator"
	"jasminelane.example/lane/record"
)

func (f *flags) operators() *client.Client {
	return &client.Client{BaseURL: f.operator, Token: f.token, HTTPClient: f.http()}
}

func (f *flags) callers() *client.Client {
	return &client.Client{BaseURL: f.caller, Token: f.token, HTTPClient: f.http()}
}

// http returns a client with the flags' certificates, or nil for the default.
func (f *flags) http() *http.Client {
	if f.keys.CAFile == "" && f.keys.CertFile == "" {
		return nil
	}
	config, err := f.keys.ClientConfig()
	if err != nil {
		return &http.Client{Transport: failing{err}}
	}
	return &http.Client{Timeout: time.Minute, Transport: &http.Transport{TLSClientConfig: config}}
}

// failing answers every request with the error.
type failing struct{ err error }

// RoundTrip fails.
func (f failing) RoundTrip(*http.Request) (*http.Response, error) { return nil, f.err }

// operate calls the operators' API and gives its failures their exit codes.
func operate[T any](f *flags, method, path string, query url.Values, body []byte) (T, error) {
	out, err := client.CallOperator[T](f.ctx, f.operators(), method, path, query, body)
	return out, exitFor(err, method == http.MethodGet)
}

// exitFor attaches an exit code; reading says that the call changed nothing,
// so that a missing answer leaves no fate unknown. Nor does a connection that
// was never made.
func exitFor(err error, reading bool) error {
	var refusal *operator.Refusal
	var unreachable *client.UnreachableError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal) && refusal.Outcome == record.RequestUnknown:
		return withExit(err, ExitUnknown)
	case errors.As(err, &refusal):
		return withExit(err, ExitRefused)
	case errors.As(err, &unreachable) && (reading || unreachable.NotSent()):
		return withExit(err, ExitUnreachable)
	case errors.As(err, &unreachable):
		return withExit(err, ExitUnknown)
	default:
		return withExit(err, ExitFailed)
	}
}

// show prints v as JSON, or calls table to print rows.
func (t *Tool) show(f *flags, v any, table func(w io.Writer)) error {
	if f.output == "json" {
		e := json.NewEncoder(t.Out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(t.Out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}
