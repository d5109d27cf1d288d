package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"jasminelane.example/lane/operator"
	"jasminelane.example/lane/record"
)

// clientTimeout covers the longest answer, a publish that waits until the
// version is in force.
const clientTimeout = 30 * time.Second

// do sends a request and decodes a 200 answer into out; it fails with
// *exitError.
func do(f *flags, method, base, path string, query url.Values, body []byte, header http.Header, out any) error {
	link := strings.TrimSuffix(base, "/") + path
	if len(query) > 0 {
		link += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(f.ctx, method, link, bytes.NewReader(body))
	if err != nil {
		return &UsageError{err.Error()}
	}
	for k, v := range header {
		r.Header[k] = v
	}
	r.Header.Set("Authorization", "Bearer "+f.token)
	client := &http.Client{Timeout: clientTimeout}
	resp, err := client.Do(r)
	if err != nil {
		if method == http.MethodGet {
			return &exitError{ExitUnreachable, err}
		}
		// The request may have arrived; only reading the state can tell.
		return &exitError{ExitUnknown, fmt.Errorf("unknown: %w", err)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return &exitError{ExitUnknown, err}
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return &exitError{ExitFailed, err}
		}
		return nil
	}
	var refusal operator.Refusal
	if json.Unmarshal(data, &refusal) != nil || refusal.Fate == "" {
		return &exitError{ExitFailed, fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(data)))}
	}
	code := ExitRefused
	if refusal.Fate == record.FateUnknown {
		code = ExitUnknown
	}
	return &exitError{code, &refusal}
}

// get fetches from the operators' address.
func get[T any](f *flags, path string, query url.Values) (T, error) {
	var out T
	err := do(f, http.MethodGet, f.operator, path, query, nil, nil, &out)
	return out, err
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
