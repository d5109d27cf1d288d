package client

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/caller"
	"jasminelane.example/lane/operator"
	"jasminelane.example/lane/record"
)

// TestOperate guards against a response that is classified wrongly, above all a
// failure that is taken for a success.
func TestOperate(t *testing.T) {
	for _, c := range []struct {
		name, body string
		code       int
		want       any
	}{
		{"success", `{"check":"ok"}`, 200, nil},
		{"refusal", `{"fate":"notrun","reason":"conflict","detail":"7"}`, 409, &operator.Refusal{}},
		{"unknown fate", `{"fate":"unknown","reason":"logdown"}`, 202, &operator.Refusal{}},
		{"no JSON", `<html>`, 200, &ResponseError{}},
		{"cut", `{"check":`, 200, &ResponseError{}},
		{"other program", `{"error":"x"}`, 502, &ResponseError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Authorization") != "Bearer secret" || r.URL.Path != "/v1/x" {
					w.WriteHeader(http.StatusTeapot)
					return
				}
				w.WriteHeader(c.code)
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()
			_, err := CallOperator[map[string]string](t.Context(), &Client{BaseURL: s.URL + "/", Token: "secret"}, http.MethodGet, "/v1/x", nil, nil)
			var refusal *operator.Refusal
			var respErr *ResponseError
			switch c.want.(type) {
			case nil:
				is.NoErr(err)
			case *operator.Refusal:
				is.True(errors.As(err, &refusal))
				is.True(refusal.Reason != "")
			case *ResponseError:
				is.True(errors.As(err, &respErr))
			}
		})
	}
}

// TestUnreachable guards against a call that is reported as not sent although
// only its response was lost: the call may have been executed.
func TestUnreachable(t *testing.T) {
	lost := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer lost.Close()
	for _, c := range []struct {
		base    string
		notSent bool
	}{{"http://127.0.0.1:1", true}, {lost.URL, false}} {
		is := is.New(t)
		reply, err := (&Client{BaseURL: c.base}).Submit(t.Context(), caller.JobBody{Job: "j"})
		var unreachable *UnreachableError
		is.True(errors.As(err, &unreachable))
		is.Equal(unreachable.NotSent(), c.notSent)
		is.Equal(reply.Outcome, record.RequestUnknown)
	}
}

// TestRequest guards against headers that lose the caller's options: a
// non-repeatable request must not be sent as a repeatable one.
func TestRequest(t *testing.T) {
	is := is.New(t)
	var got http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		_, _ = w.Write([]byte(`{"fate":"done"}`))
	}))
	defer s.Close()
	now := time.Now()
	_, err := (&Client{BaseURL: s.URL, Token: "secret"}).Request(t.Context(), ServiceRequest{Service: "badges", Class: "urgent", Once: true, Deadline: 2 * time.Second})
	is.NoErr(err)
	is.Equal(got.Get("Repeatable"), "false")
	is.Equal(got.Get("Priority"), "urgent")
	is.Equal(got.Get("Deadline-Ms"), "2000")
	millis, _, ok := strings.Cut(got.Get("Request-Id"), "-")
	is.True(ok)
	at, err := strconv.ParseInt(millis, 10, 64)
	is.NoErr(err)
	is.True(at >= now.UnixMilli() && at <= time.Now().UnixMilli())
}
