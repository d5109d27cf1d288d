package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/demo"
	"jasminelane.example/lane/trace"
	"jasminelane.example/lane/worker"
)

// input describes a deployment of one rack, two accounts and one service, and one
// job.
const input = `{"kind":"trace","name":"cli","user":"chirakkal","seed":1,"length":1000,"instances":2,"urgent":"name","long":"sheet","weight":0.5}
{"kind":"rack","name":"r1","domain":"d1","workers":4,"gpus":8,"cores":130,"memory":250}
{"kind":"account","name":"asha","weight":1,"guarantees":[{"shape":"1x8@worker","count":1}]}
{"kind":"account","name":"bina","weight":1}
{"kind":"service","name":"badges","servers":2,"slots":8,"connections":60}
{"kind":"job","at":0,"id":"quick-0","account":"asha","type":"job","shape":"1x1@worker","run":1,"outcome":"done"}
{"kind":"expect","job":"quick-0","end":"done"}
`

// startDeployment starts stand-ins and two instances in this process.
func startDeployment(t *testing.T) *demo.Deployment {
	t.Helper()
	tr, err := trace.Read(strings.NewReader(input))
	if err != nil {
		t.Fatal(err)
	}
	b := &demo.Deployment{Trace: tr, Instances: 2}
	t.Cleanup(b.Stop)
	if err := b.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return b
}

// run runs the tool and returns its exit code, its output and its error output.
func run(ctx context.Context, env map[string]string, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	t := &Tool{Out: &o, Err: &e, Env: func(k string) string { return env[k] }}
	code = t.Main(ctx, args)
	return code, o.String(), e.String()
}

// writeFile writes a file to a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestSubcommands guards against subcommands that end with a wrong exit code or
// whose output lacks what was asked for. Each step relies on the steps before it.
func TestSubcommands(t *testing.T) {
	b := startDeployment(t)
	b.Workers.RunTime = func(_ string, g worker.Grant) time.Duration {
		if strings.HasPrefix(g.Job, "quick") {
			return 0
		}
		return time.Hour
	}
	env := map[string]string{"LANE_OPERATOR": b.Operator().BaseURL, "LANE_CALLER": b.Caller("asha").BaseURL}
	desk, asha := demo.Token("desk"), demo.Token("asha")
	good := writeFile(t, "new.json", `{"weight":2}`)
	wide := writeFile(t, "wide.json", `{"weight":1,"guarantees":[{"shape":"64x8@rack","count":1}]}`)
	bad := writeFile(t, "bad.json", `{"weight":-1}`)
	ini := "../examples/chirakkal.ini"
	badINI := writeFile(t, "bad.ini", "[instance]\nname = e1\n")
	for _, s := range []struct {
		token string
		args  string
		code  int
		want  string // expected in the output, or in the error output if the code is not 0
	}{
		{"", "check " + ini, ExitOK, "ok"},
		{"", "check " + badINI, ExitInvalid, "[instance] domain"},
		{"", "check -name account/new " + good, ExitOK, "ok"},
		{"", "check " + good, ExitUsage, "-name"},
		{"", "check -name account/new " + bad, ExitInvalid, "weight"},
		{"", "check -name account/new absent.json", ExitInvalid, "absent.json"},
		{desk, "check -online -name account/new " + good, ExitOK, "ok"},
		{desk, "check -online -name account/new " + wide, ExitRefused, "infeasible"},
		{desk, "check -online -base 99 -name account/new " + good, ExitRefused, "conflict"},
		{desk, "check -online -reader 30000 -name account/new " + good, ExitRefused, "upgrade"},
		{"", "check -online -name account/new " + good, ExitRefused, "token"},
		{desk, "publish -name account/new " + good, ExitOK, "account/new"},
		{desk, "publish -name account/new " + good, ExitRefused, "conflict"},
		{desk, "publish -name account/new " + bad, ExitRefused, "weight"},
		{desk, "publish " + good, ExitUsage, "-name"},
		{"wrong", "publish -name account/other " + good, ExitRefused, "token"},
		{desk, "config", ExitOK, "account/new"},
		{desk, "config account/new", ExitOK, `{"weight":2}`},
		{desk, "config account/none", ExitRefused, "unknown"},
		{desk, "config a b", ExitUsage, "at most one"},
		{desk, "remove account/new", ExitRefused, "conflict"},
		{desk, "accounts", ExitOK, "asha"},
		{asha, "submit -shape 1x2@worker long-1", ExitOK, "not yet"},
		{asha, "submit -shape 1x2@worker -kind other long-1", ExitRefused, "exists"},
		{asha, "submit -shape 64x8@rack huge", ExitRefused, "impossible"},
		{asha, "submit -shape nonsense odd", ExitRefused, "field"},
		{"wrong", "submit long-2", ExitRefused, "auth"},
		{asha, "submit -wait 20s quick-1", ExitOK, "done"},
		{asha, "watch -timeout 20s quick-1", ExitOK, "done"},
		{asha, "watch -timeout 1ms long-1", ExitUnknown, "not ended"},
		{asha, "watch absent", ExitUnknown, "unknown"},
		{desk, "jobs", ExitOK, "long-1"},
		{desk, "jobs -phase done", ExitOK, "quick-1"},
		{desk, "jobs -phase nonsense", ExitRefused, "phase"},
		{desk, "job long-1", ExitOK, "1x2@worker"},
		{desk, "job absent", ExitRefused, "unknown"},
		{asha, "cancel long-1", ExitOK, "cancelled"},
		{asha, "cancel absent", ExitRefused, "unknown"},
		{asha, "submit long-3", ExitOK, "not yet"},
		{desk, "kill long-3", ExitOK, "cancelled"},
		{desk, "kill absent", ExitRefused, "unknown"},
		{asha, "request badges hello", ExitOK, "hello"},
		{asha, "request -once badges hello", ExitOK, "hello"},
		{asha, "request -once -id 1000-old badges hello", ExitUnknown, "expired"},
		{asha, "request -class odd badges hello", ExitRefused, "field"},
		{asha, "request none hello", ExitRefused, "service"},
		{asha, "request badges", ExitUsage, "2 arguments"},
		{desk, "workers", ExitOK, "r1-w3"},
		{desk, "aside r1-w3", ExitOK, "operator desk"},
		{desk, "aside absent", ExitRefused, "unknown"},
		{desk, "return r1-w3", ExitOK, "ready"},
		{desk, "instances", ExitOK, "e2"},
		{desk, "status", ExitOK, "digest"},
		{"", "replay", ExitUsage, "at least one"},
		{"", "replay -completion 1 x.trace", ExitUsage, "go together"},
		{"", "replay absent.trace", ExitFailed, "absent.trace"},
		{"", "demo absent.jsonl", ExitFailed, "absent.jsonl"},
		{"", "status -o yaml", ExitUsage, "table or json"},
		{"", "status -bogus", ExitUsage, "bogus"},
		{"", "nonsense", ExitUsage, "no subcommand"},
		{desk, "drain", ExitOK, "drain started"},
	} {
		t.Run(s.args, func(t *testing.T) {
			is := is.New(t)
			env["LANE_TOKEN"] = s.token
			code, out, errs := run(t.Context(), env, strings.Fields(s.args)...)
			text := out
			if s.code != ExitOK {
				text = errs
			}
			if code != s.code || !strings.Contains(text, s.want) {
				t.Errorf("exit code %d, want %d; output lacks %q:\n%s%s", code, s.code, s.want, out, errs)
			}
			is.True(s.token == "" || !strings.Contains(out+errs, s.token+" ")) // token printed
		})
	}
}

// TestJSON guards against subcommands that print anything other than one JSON
// value with -o json, which scripts could not parse.
func TestJSON(t *testing.T) {
	b := startDeployment(t)
	env := map[string]string{"LANE_OPERATOR": b.Operator().BaseURL, "LANE_CALLER": b.Caller("asha").BaseURL}
	good := writeFile(t, "new.json", `{"weight":2}`)
	for _, s := range []struct{ name, args string }{
		{"desk", "check -name account/new " + good},
		{"desk", "publish -name account/new " + good},
		{"desk", "config"},
		{"desk", "config account/new"},
		{"desk", "accounts"},
		{"asha", "submit -wait 20s j1"},
		{"asha", "watch j1"},
		{"desk", "jobs"},
		{"desk", "job j1"},
		{"desk", "workers"},
		{"desk", "aside r1-w0"},
		{"desk", "return r1-w0"},
		{"asha", "request badges hello"},
		{"desk", "instances"},
		{"desk", "status"},
		{"desk", "drain"},
	} {
		t.Run(s.args, func(t *testing.T) {
			is := is.New(t)
			env["LANE_TOKEN"] = demo.Token(s.name)
			code, out, errs := run(t.Context(), env, append(strings.Fields(s.args), "-o", "json")...)
			if code != ExitOK || !json.Valid([]byte(out)) {
				t.Fatalf("exit code %d: %s%s", code, out, errs)
			}
			is.True(strings.HasSuffix(out, "\n"))
		})
	}
}

// TestUnreachable guards against an exit code that reports the outcome of a call
// as unknown although the call was never sent or only reads, and against one that
// reports a call as not carried out although it may have been: here the
// connection ends after the request was sent.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	noResponse := serveNoResponse(t)
	good := writeFile(t, "new.json", `{"weight":2}`)
	for _, s := range []struct {
		base string
		args string
		want int
	}{
		{"http://127.0.0.1:1", "status", ExitUnreachable},
		{"http://127.0.0.1:1", "publish -name account/new " + good, ExitUnreachable},
		{"http://127.0.0.1:1", "submit j", ExitUnreachable},
		{"http://127.0.0.1:1", "watch j", ExitUnreachable},
		{noResponse, "status", ExitUnreachable},
		{noResponse, "publish -name account/new " + good, ExitUnknown},
		{noResponse, "submit j", ExitUnknown},
		{noResponse, "watch j", ExitUnreachable},
		{noResponse, "drain", ExitUnknown},
	} {
		code, _, errs := run(t.Context(), map[string]string{"LANE_OPERATOR": s.base, "LANE_CALLER": s.base}, strings.Fields(s.args)...)
		if code != s.want {
			t.Errorf("%s at %s: exit code %d, want %d: %s", s.args, s.base, code, s.want, errs)
		}
		is.True(strings.Contains(errs, "no response to"))
	}
}

// TestHelp guards against a subcommand that the list lacks, whose help lacks its
// usage, example or flags, or that runs instead of only printing its help.
func TestHelp(t *testing.T) {
	is := is.New(t)
	code, list, _ := run(t.Context(), nil, "help")
	is.Equal(code, ExitOK)
	code, _, _ = run(t.Context(), nil)
	is.Equal(code, ExitUsage)
	for _, c := range commands() {
		is.True(strings.Contains(list, "  "+c.name+" ")) // listed
		code, out, errs := run(t.Context(), nil, c.name, "-h")
		if code != ExitOK || out != "" {
			t.Errorf("%s -h: exit code %d, output %q", c.name, code, out)
		}
		for _, want := range []string{"usage: lane " + c.name, c.short, c.example, "-token"} {
			if !strings.Contains(errs, want) {
				t.Errorf("%s -h lacks %q", c.name, want)
			}
		}
	}
}
