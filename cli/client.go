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

// operatorClient returns a client of the operators' API.
func (f *flags) operatorClient() *client.Client {
	return &client.Client{BaseURL: f.operator, Token: f.token, HTTPClient: f.httpClient()}
}

// callerClient returns a client of the callers' API.
func (f *flags) callerClient() *client.Client {
	return &client.Client{BaseURL: f.caller, Token: f.token, HTTPClient: f.httpClient()}
}

// httpClient returns an HTTP client with the certificates that the flags name, or
// nil for the default client. If they cannot be read, each request fails with the
// cause.
func (f *flags) httpClient() *http.Client {
	if f.keys.CAFile == "" && f.keys.CertFile == "" {
		return nil
	}
	config, err := f.keys.ClientConfig()
	if err != nil {
		return &http.Client{Transport: errorTransport{err}}
	}
	return &http.Client{Timeout: time.Minute, Transport: &http.Transport{TLSClientConfig: config}}
}

// errorTransport is an http.RoundTripper that fails each request with err.
type errorTransport struct{ err error }

// RoundTrip returns the error.
func (f errorTransport) RoundTrip(*http.Request) (*http.Response, error) { return nil, f.err }

// callOperator calls the operators' API and attaches exit codes to its errors.
func callOperator[T any](f *flags, method, path string, query url.Values, body []byte) (T, error) {
	out, err := client.CallOperator[T](f.ctx, f.operatorClient(), method, path, query, body)
	return out, withExitCodeFor(err, method == http.MethodGet)
}

// withExitCodeFor attaches the exit code that belongs to the error of a call.
// readOnly says that the call changes nothing. A missing response leaves the
// outcome unknown, unless the call is read-only or was never sent because no
// connection was made.
func withExitCodeFor(err error, readOnly bool) error {
	var refusal *operator.Refusal
	var unreachable *client.UnreachableError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal) && refusal.Outcome == record.RequestUnknown:
		return withExit(err, ExitUnknown)
	case errors.As(err, &refusal):
		return withExit(err, ExitRefused)
	case errors.As(err, &unreachable) && (readOnly || unreachable.NotSent()):
		return withExit(err, ExitUnreachable)
	case errors.As(err, &unreachable):
		return withExit(err, ExitUnknown)
	default:
		return withExit(err, ExitFailed)
	}
}

// show prints v as JSON with -o json; otherwise it prints the rows that table
// writes, in aligned columns.
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

// row writes one row of a table.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}
