package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// FileError reports a settings file that cannot be read at all.
type FileError struct {
	File string
	Err  error
}

// Error describes the file and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// KeyError reports one key of a settings file.
type KeyError struct {
	File    string
	Section string
	Key     string
	Found   string
	Allowed string
}

// Error describes the key, the value found and what is allowed.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: want %s", e.File, e.Section, e.Key, e.Found, e.Allowed)
}

// CheckError lists everything that is wrong with a settings file.
type CheckError struct {
	Keys []*KeyError
}

// Error lists the errors, one a line.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Keys))
	for i, k := range e.Keys {
		lines[i] = k.Error()
	}
	return strings.Join(lines, "\n")
}

// row describes one key: where it stands, what is allowed and how it is set.
type row struct {
	section, key string
	required     bool
	allowed      string
	set          func(value string) bool
}

// Parse reads and checks the text of a settings file; file is named in
// errors. It fails with *FileError or *CheckError.
func Parse(file string, data []byte) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true}, data)
	if err != nil {
		return nil, &FileError{file, err}
	}
	s := Default()
	p := &parser{file: file, from: f, rows: rows(&s)}
	p.read()
	s.Accounts = p.tokens("account.", "token")
	s.Operators = p.tokens("operator.", "token")
	p.unknown()
	p.cross(&s)
	if len(p.errors) > 0 {
		return nil, &CheckError{p.errors}
	}
	return &s, nil
}

type parser struct {
	file   string
	from   *ini.File
	rows   []row
	errors []*KeyError
}

func (p *parser) fail(section, key, found, allowed string) {
	p.errors = append(p.errors, &KeyError{p.file, section, key, found, allowed})
}

func (p *parser) read() {
	for _, r := range p.rows {
		sec, err := p.from.GetSection(r.section)
		if err != nil || !sec.HasKey(r.key) {
			if r.required {
				p.fail(r.section, r.key, "", r.allowed)
			}
			continue
		}
		k := sec.Key(r.key)
		if len(k.ValueWithShadows()) > 1 {
			p.fail(r.section, r.key, strings.Join(k.ValueWithShadows(), ", "), "one value")
			continue
		}
		if !r.set(k.String()) {
			p.fail(r.section, r.key, k.String(), r.allowed)
		}
	}
}

// tokens reads the sections with the prefix, each with one secret key.
func (p *parser) tokens(prefix, key string) []Token {
	var out []Token
	for _, sec := range p.from.Sections() {
		name, ok := strings.CutPrefix(sec.Name(), prefix)
		if !ok {
			continue
		}
		value := sec.Key(key).String()
		if name == "" || len(value) < 16 {
			// The secret itself stays out of the error.
			p.fail(sec.Name(), key, fmt.Sprintf("%d characters", len(value)), "a name after the dot and a token of 16 characters or more")
			continue
		}
		if slices.ContainsFunc(out, func(t Token) bool { return t.Secret == value }) {
			p.fail(sec.Name(), key, "a token that is used twice", "a token of its own")
			continue
		}
		out = append(out, Token{name, value})
	}
	return out
}

func (p *parser) unknown() {
	for _, sec := range p.from.Sections() {
		name := sec.Name()
		token := strings.HasPrefix(name, "account.") || strings.HasPrefix(name, "operator.")
		for _, k := range sec.Keys() {
			if token && k.Name() == "token" {
				continue
			}
			if !slices.ContainsFunc(p.rows, func(r row) bool { return r.section == name && r.key == k.Name() }) {
				p.fail(name, k.Name(), k.String(), "no such key; known: "+p.known(name))
			}
		}
	}
}

func (p *parser) known(section string) string {
	var keys []string
	for _, r := range p.rows {
		if r.section == section {
			keys = append(keys, r.key)
		}
	}
	if len(keys) == 0 {
		return "sections instance, platform, limits, times, policy, tls, account.NAME, operator.NAME"
	}
	return strings.Join(keys, ", ")
}

func (p *parser) cross(s *Settings) {
	if s.Policy.Completion+s.Policy.Fragmentation == 0 {
		p.fail("policy", "completion", "0", "not both weights 0")
	}
	addrs := map[string]string{}
	for _, a := range []struct{ key, addr string }{{"peers", s.Instance.Peers}, {"callers", s.Instance.Callers}, {"operators", s.Instance.Operators}} {
		if other, ok := addrs[a.addr]; ok && a.addr != "" && !strings.HasSuffix(a.addr, ":0") {
			p.fail("instance", a.key, a.addr, "an address other than that of "+other)
		}
		addrs[a.addr] = a.key
	}
	if given := s.TLS.Cert != ""; given != (s.TLS.Key != "") || given != (s.TLS.CA != "") {
		p.fail("tls", "cert", s.TLS.Cert, "cert, key and ca together, or none of them")
	}
	if s.TLS.Operators && s.TLS.CA == "" {
		p.fail("tls", "operators", "true", "cert, key and ca for it")
	}
	if len(s.Operators) == 0 {
		p.fail("operator.NAME", "token", "", "at least one operator")
	}
}

func rows(s *Settings) []row {
	return []row{
		text("instance", "name", &s.Instance.Name),
		text("instance", "domain", &s.Instance.Domain),
		addr("instance", "peers", &s.Instance.Peers),
		addr("instance", "callers", &s.Instance.Callers),
		addr("instance", "operators", &s.Instance.Operators),
		boolean("instance", "verbose", &s.Instance.Verbose),
		link("platform", "log", &s.Platform.Log),
		link("platform", "list", &s.Platform.List),
		number("limits", "header", &s.Limits.Header, 1<<10, 1<<20),
		number("limits", "body", &s.Limits.Body, 1<<10, 64<<20),
		number("limits", "connections", &s.Limits.Connections, 1, 100_000),
		number("limits", "requests", &s.Limits.Requests, 1, 100_000),
		number("limits", "snapshot", &s.Limits.Snapshot, 10, 10_000_000),
		period("times", "read", &s.Times.Read, 100*time.Millisecond, time.Minute),
		period("times", "idle", &s.Times.Idle, time.Second, time.Hour),
		period("times", "lease", &s.Times.Lease, time.Second, 10*time.Minute),
		period("times", "round", &s.Times.Round, 10*time.Millisecond, time.Minute),
		period("times", "balancer", &s.Times.Balancer, 0, time.Minute),
		period("times", "drain", &s.Times.Drain, time.Second, time.Hour),
		period("times", "retention", &s.Times.Retention, time.Minute, 30*24*time.Hour),
		weight("policy", "completion", &s.Policy.Completion),
		weight("policy", "fragmentation", &s.Policy.Fragmentation),
		file("tls", "cert", &s.TLS.Cert),
		file("tls", "key", &s.TLS.Key),
		file("tls", "ca", &s.TLS.CA),
		boolean("tls", "operators", &s.TLS.Operators),
	}
}

func text(section, key string, to *string) row {
	return row{section: section, key: key, required: true, allowed: "1 to 64 letters, digits, dots or dashes", set: func(v string) bool {
		*to = v
		plain := func(c rune) bool {
			return c == '-' || c == '.' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		}
		return v != "" && len(v) <= 64 && !strings.ContainsFunc(v, func(c rune) bool { return !plain(c) })
	}}
}

func addr(section, key string, to *string) row {
	return row{section: section, key: key, required: true, allowed: "IP:port, for example 127.0.0.1:7001", set: func(v string) bool {
		*to = v
		host, port, err := net.SplitHostPort(v)
		if err != nil || net.ParseIP(host) == nil {
			return false
		}
		n, err := strconv.Atoi(port)
		return err == nil && n >= 0 && n <= 65535
	}}
}

func link(section, key string, to *string) row {
	return row{section: section, key: key, required: true, allowed: "a URL such as http://127.0.0.1:6000", set: func(v string) bool {
		*to = strings.TrimSuffix(v, "/")
		u, err := url.Parse(v)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}}
}

func file(section, key string, to *string) row {
	return row{section: section, key: key, allowed: "the path of a file that can be read", set: func(v string) bool {
		*to = v
		f, err := os.Open(v)
		if err != nil {
			return false
		}
		_ = f.Close()
		return true
	}}
}

func boolean(section, key string, to *bool) row {
	return row{section: section, key: key, allowed: "true or false", set: func(v string) bool {
		*to = v == "true"
		return v == "true" || v == "false"
	}}
}

func number(section, key string, to *int, low, high int) row {
	return row{section: section, key: key, allowed: fmt.Sprintf("a number from %d to %d", low, high), set: func(v string) bool {
		n, err := strconv.Atoi(v)
		*to = n
		return err == nil && n >= low && n <= high
	}}
}

func period(section, key string, to *time.Duration, low, high time.Duration) row {
	return row{section: section, key: key, allowed: fmt.Sprintf("a duration from %s to %s, for example 5s", low, high), set: func(v string) bool {
		d, err := time.ParseDuration(v)
		*to = d
		return err == nil && d >= low && d <= high
	}}
}

func weight(section, key string, to *float64) row {
	return row{section: section, key: key, allowed: "a number from 0 to 100", set: func(v string) bool {
		x, err := strconv.ParseFloat(v, 64)
		*to = x
		return err == nil && x >= 0 && x <= 100
	}}
}
