package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/matryer/is"

	"jasminelane.example/lane/caller"
	"jasminelane.example/lane/client"
	"jasminelane.example/lane/entry"
	"jasminelane.example/lane/operator"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/trace"
)

// smallInput has a restart of an instance, an outage of the log, a job that is
// cancelled and a job that is refused.
const smallInput = `{"kind":"trace","name":"small","user":"chirakkal","seed":1,"length":1500,"instances":3,"urgent":"name","long":"sheet","weight":0.5}
{"kind":"rack","name":"r1","domain":"d1","workers":4,"gpus":8,"cores":130,"memory":250}
{"kind":"account","name":"asha","weight":1,"guarantees":[{"shape":"1x8@worker","count":1}]}
{"kind":"service","name":"badges","servers":2,"slots":8,"connections":60}
{"kind":"job","at":10,"id":"proof-1","account":"asha","type":"proof","shape":"1x2@worker","run":100,"declared":100,"outcome":"done"}
{"kind":"job","at":20,"id":"proof-2","account":"asha","type":"proof","shape":"2x8@rack","run":60000,"declared":100,"outcome":"done"}
{"kind":"job","at":20,"id":"sheet-1","account":"asha","type":"sheet","shape":"9x8@rack","run":100,"declared":100,"outcome":"done"}
{"kind":"request","at":30,"id":"name-1","account":"asha","service":"badges","type":"name","class":"urgent","run":20,"deadline":10000}
{"kind":"fault","at":300,"until":400,"type":"restart"}
{"kind":"request","at":400,"id":"print-1","account":"asha","service":"badges","type":"print","class":"normal","run":20,"deadline":10000,"once":true}
{"kind":"fault","at":500,"until":800,"type":"log"}
{"kind":"cancel","at":900,"job":"proof-2"}
{"kind":"expect","job":"proof-2","end":"cancelled"}
{"kind":"expect","job":"sheet-1","end":"refused","reason":"impossible"}
`

// syncBuffer is a buffer that can be read while log lines are written to it.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func startDeployment(t *testing.T, log io.Writer) *Deployment {
	t.Helper()
	tr, err := trace.Read(strings.NewReader(smallInput))
	if err != nil {
		t.Fatal(err)
	}
	b := &Deployment{Trace: tr, Logger: entry.NewLogger(log, true)}
	t.Cleanup(b.Stop)
	if err := b.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return b
}

// TestPlay guards against a demo whose items do not end as the input expects, and
// against log lines that are not in logfmt, that have a key twice or that contain a
// token or a body. It causes refusals and errors that are logged.
func TestPlay(t *testing.T) {
	is := is.New(t)
	log := &syncBuffer{}
	b := startDeployment(t, log)
	var out bytes.Buffer
	r := (&Player{Deployment: b, Out: &out}).Run(t.Context())
	if err := r.Err(); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	is.Equal(len(r.Items), 5)

	const body, wrong = "body-that-must-not-be-logged", "token-that-must-not-be-logged"
	c := b.Caller("asha")
	reply, err := c.Request(t.Context(), client.ServiceRequest{Service: "badges", Body: []byte(body)})
	is.NoErr(err)
	is.Equal(reply.Outcome, record.RequestDone)
	_, err = c.Request(t.Context(), client.ServiceRequest{Service: "none", Body: []byte(body)})
	is.NoErr(err)
	_, err = c.Submit(t.Context(), caller.JobBody{Job: "with-input", Shape: "1x1@worker", Input: body})
	is.NoErr(err)
	_, err = c.Submit(t.Context(), caller.JobBody{Job: "bad", Shape: body})
	is.NoErr(err)
	c.Token = wrong
	_, err = c.Request(t.Context(), client.ServiceRequest{Service: "badges", Body: []byte(body)})
	is.NoErr(err)
	op := b.Operator()
	config := []byte(`{"weight":1,"note":"` + body + `"}`)
	_, err = op.Publish(t.Context(), "account/new", 0, 1, 1, config)
	is.NoErr(err)
	_, err = op.Publish(t.Context(), "account/new", 0, 1, 1, config)
	is.True(err != nil) // conflict, which is logged
	_, err = op.Publish(t.Context(), "account/other", 0, 1, 1, []byte(`{"weight":"`+body+`"}`))
	is.True(err != nil) // a value of the wrong type, whose error is logged
	op.Token = wrong
	_, err = op.Publish(t.Context(), "account/new", 0, 1, 1, config)
	is.True(err != nil)

	text := log.String()
	is.True(strings.Contains(text, "msg=refused")) // the refusals above are in the log
	for _, secret := range []string{body, wrong, Token("asha"), Token(operatorName), "Bearer"} {
		for line := range strings.Lines(text) {
			if strings.Contains(line, secret) {
				t.Errorf("%q is in the log: %s", secret, line)
			}
		}
	}
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		keys := map[string]bool{}
		for d.ScanKeyval() {
			if keys[string(d.Key())] {
				t.Errorf("line has %s twice", d.Key())
			}
			keys[string(d.Key())] = true
		}
		if !keys["ts"] || !keys["level"] || !keys["msg"] {
			t.Errorf("line lacks ts, level or msg: %v", keys)
		}
	}
	is.NoErr(d.Err())
}

// TestWrong guards against a demo that reports no error although a job ended
// otherwise than the input expects.
func TestWrong(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(smallInput, `"job":"proof-2","end":"cancelled"`, `"job":"proof-2","end":"done"`, 1)
	path := filepath.Join(t.TempDir(), "wrong.jsonl")
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	var out bytes.Buffer
	var wrong *MismatchError
	err := Run(t.Context(), path, &out, nil)
	is.True(errors.As(err, &wrong))
	is.Equal(len(wrong.Mismatches), 1)
	is.Equal(wrong.Mismatches[0].ID, "proof-2")
	is.True(strings.Contains(out.String(), "WRONG, want done"))
}

// TestDraining guards against an instance that still reports itself ready while it
// drains, and against one that refuses work before the load balancer can have seen
// that it is not ready.
func TestDraining(t *testing.T) {
	is := is.New(t)
	b := startDeployment(t, io.Discard)
	set := b.Settings("leaving")
	set.Times.BalancerDelay = time.Minute // longer than the test takes
	n := &entry.Instance{Settings: set}
	is.NoErr(n.Open())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	for end := time.Now().Add(readyTimeout); n.Ready() != nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(n.Ready())
		}
	}
	base := "http://" + n.OperatorListener.Addr().String()
	get := func(path string) (int, string) {
		resp, err := http.Get(base + path)
		is.NoErr(err)
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return resp.StatusCode, string(data)
	}
	code, _ := get("/readyz")
	is.Equal(code, http.StatusOK)
	op := &client.Client{BaseURL: base, Token: Token(operatorName)}
	_, err := client.CallOperator[map[string]string](ctx, op, http.MethodPost, "/v1/drain", nil, nil)
	is.NoErr(err)
	code, text := get("/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(text, "not ready: draining\n")
	code, _ = get("/healthz")
	is.Equal(code, http.StatusOK)
	_, text = get("/debug/vars")
	var vars map[string]any
	is.NoErr(json.Unmarshal([]byte(text), &vars))
	is.Equal(vars["ready"], false)
	status, err := client.CallOperator[operator.Status](ctx, op, http.MethodGet, "/v1/status", nil, nil)
	is.NoErr(err)
	is.True(status.Accounts > 0)
	c := &client.Client{BaseURL: "http://" + n.CallerListener.Addr().String(), Token: Token("asha")}
	reply, err := c.Request(ctx, client.ServiceRequest{Service: "badges", Body: []byte("x")})
	is.NoErr(err)
	is.Equal(reply.Outcome, record.RequestDone) // work that still arrives is carried out
	cancel()
	is.NoErr(<-ended)
}
