package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPlays guards against a demo or replay that ends with the same exit code
// whether or not its input ended as expected, and against a demo that does not
// write its log file.
func TestPlays(t *testing.T) {
	is := is.New(t)
	good := writeFile(t, "good.jsonl", input)
	wrong := writeFile(t, "wrong.jsonl", strings.Replace(input, `"quick-0","end":"done"`, `"quick-0","end":"cancelled"`, 1))
	log := filepath.Join(t.TempDir(), "demo.log")
	for _, s := range []struct {
		args string
		code int
		want string
	}{
		{"demo -log " + log + " " + good, ExitOK, "all fates as stated"},
		{"demo " + wrong, ExitExpectation, "want cancelled, got done"},
		{"replay " + good, ExitOK, "cli"},
		{"replay " + wrong, ExitExpectation, "quick-0"},
		{"replay -completion 1 -fragmentation 1 " + good, ExitOK, "cli"},
	} {
		code, out, errs := run(t.Context(), nil, strings.Fields(s.args)...)
		if code != s.code || !strings.Contains(out+errs, s.want) {
			t.Errorf("%s: exit code %d, want %d; output lacks %q:\n%s%s", s.args, code, s.code, s.want, out, errs)
		}
	}
	lines, err := os.ReadFile(log)
	is.NoErr(err)
	is.True(strings.Contains(string(lines), "msg=listening"))
	code, out, _ := run(t.Context(), nil, "replay", "-o", "json", good)
	is.Equal(code, ExitOK)
	is.True(json.Valid([]byte(out)))
}
