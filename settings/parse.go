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

// FileError reports a settings file that cannot be read or is not in INI format.
type FileError struct {
	File string
	Err  error
}

// Error returns a message with the file and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// KeyError reports a missing, unknown or invalid key of a settings file.
type KeyError struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
}

// Error returns a message with the key, its value and what is allowed.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: want %s", e.File, e.Section, e.Key, e.Value, e.Allowed)
}

// CheckError lists all errors that the check of a settings file found.
type CheckError struct {
	Errors []*KeyError
}

// Error returns the messages of all errors, one per line.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, k := range e.Errors {
		lines[i] = k.Error()
	}
	return strings.Join(lines, "\n")
}

// keyRule describes one key of the file: its section, the allowed values and a
// function that stores a value and reports whether it is valid.
type keyRule struct {
	section, key string
	required     bool
	allowed      string
	set          func(value string) bool
}

// Parse reads and checks the content of a settings file. Errors name the file as
// filename. Parse fails with *FileError or *CheckError.
func Parse(filename string, data []byte) (*Settings, error) {
	source, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true}, data)
	if err != nil {
		return nil, &FileError{filename, err}
	}
	s := Default()
	p := &parser{file: filename, source: source, rules: keyRules(&s)}
	p.applyRules()
	s.Accounts = p.readTokens("account.", "token")
	s.Operators = p.readTokens("operator.", "token")
	p.checkUnknownKeys()
	p.checkCombinations(&s)
	if len(p.errors) > 0 {
		return nil, &CheckError{p.errors}
	}
	return &s, nil
}

// parser reads one settings file and collects its errors.
type parser struct {
	file   string
	source *ini.File
	rules  []keyRule
	errors []*KeyError
}

func (p *parser) addError(section, key, value, allowed string) {
	p.errors = append(p.errors, &KeyError{p.file, section, key, value, allowed})
}

// applyRules checks and stores the values of all keys that have a rule.
func (p *parser) applyRules() {
	for _, r := range p.rules {
		sec, err := p.source.GetSection(r.section)
		if err != nil || !sec.HasKey(r.key) {
			if r.required {
				p.addError(r.section, r.key, "", r.allowed)
			}
			continue
		}
		k := sec.Key(r.key)
		if len(k.ValueWithShadows()) > 1 {
			p.addError(r.section, r.key, strings.Join(k.ValueWithShadows(), ", "), "one value")
			continue
		}
		if !r.set(k.String()) {
			p.addError(r.section, r.key, k.String(), r.allowed)
		}
	}
}

// readTokens reads the sections whose names start with the prefix. Each of them
// holds one bearer token under the key.
func (p *parser) readTokens(prefix, key string) []Token {
	var out []Token
	for _, sec := range p.source.Sections() {
		name, ok := strings.CutPrefix(sec.Name(), prefix)
		if !ok {
			continue
		}
		value := sec.Key(key).String()
		if name == "" || len(value) < 16 {
			// The error must not contain the secret.
			p.addError(sec.Name(), key, fmt.Sprintf("%d characters", len(value)), "a name after the dot and a token of at least 16 characters")
			continue
		}
		if slices.ContainsFunc(out, func(t Token) bool { return t.Secret == value }) {
			p.addError(sec.Name(), key, "a token that another section uses", "a unique token")
			continue
		}
		out = append(out, Token{name, value})
	}
	return out
}

// checkUnknownKeys reports the keys that the file may not contain.
func (p *parser) checkUnknownKeys() {
	for _, sec := range p.source.Sections() {
		name := sec.Name()
		hasToken := strings.HasPrefix(name, "account.") || strings.HasPrefix(name, "operator.")
		for _, k := range sec.Keys() {
			if hasToken && k.Name() == "token" {
				continue
			}
			if !slices.ContainsFunc(p.rules, func(r keyRule) bool { return r.section == name && r.key == k.Name() }) {
				p.addError(name, k.Name(), k.String(), "a known key; known: "+p.knownKeys(name))
			}
		}
	}
}

// knownKeys returns the keys of the section, or the sections if the section is
// unknown, for an error message.
func (p *parser) knownKeys(section string) string {
	var keys []string
	for _, r := range p.rules {
		if r.section == section {
			keys = append(keys, r.key)
		}
	}
	if len(keys) == 0 {
		return "sections instance, platform, limits, times, policy, tls, account.NAME, operator.NAME"
	}
	return strings.Join(keys, ", ")
}

// checkCombinations checks rules that involve more than one key.
func (p *parser) checkCombinations(s *Settings) {
	if s.Policy.CompletionWeight+s.Policy.FragmentationWeight == 0 {
		p.addError("policy", "completion", "0", "completion or fragmentation above 0")
	}
	if s.Limits.MaxHeldBytes < 2*s.Limits.MaxBodyBytes {
		p.addError("limits", "bodies", strconv.Itoa(s.Limits.MaxHeldBytes), "at least twice body")
	}
	addrs := map[string]string{}
	for _, a := range []struct{ key, addr string }{{"peers", s.Instance.PeerAddr}, {"callers", s.Instance.CallerAddr}, {"operators", s.Instance.OperatorAddr}} {
		if otherKey, ok := addrs[a.addr]; ok && a.addr != "" && !strings.HasSuffix(a.addr, ":0") {
			p.addError("instance", a.key, a.addr, "another address than that of "+otherKey)
		}
		addrs[a.addr] = a.key
	}
	if hasCert := s.TLS.CertFile != ""; hasCert != (s.TLS.KeyFile != "") || hasCert != (s.TLS.CAFile != "") {
		p.addError("tls", "cert", s.TLS.CertFile, "cert, key and ca, or none of them")
	}
	if s.TLS.RequireOperatorCert && s.TLS.CAFile == "" {
		p.addError("tls", "operators", "true", "cert, key and ca if operators need certificates")
	}
	if len(s.Operators) == 0 {
		p.addError("operator.NAME", "token", "", "at least one section operator.NAME with a token")
	}
}

// keyRules returns the rules of all keys except tokens; they store into s.
func keyRules(s *Settings) []keyRule {
	return []keyRule{
		nameRule("instance", "name", &s.Instance.Name),
		nameRule("instance", "domain", &s.Instance.Domain),
		addrRule("instance", "peers", &s.Instance.PeerAddr),
		addrRule("instance", "callers", &s.Instance.CallerAddr),
		addrRule("instance", "operators", &s.Instance.OperatorAddr),
		boolRule("instance", "verbose", &s.Instance.Verbose),
		urlRule("platform", "log", &s.Platform.LogURL),
		urlRule("platform", "list", &s.Platform.ListURL),
		intRule("limits", "header", &s.Limits.MaxHeaderBytes, 1<<10, 1<<20),
		intRule("limits", "body", &s.Limits.MaxBodyBytes, 1<<10, 64<<20),
		intRule("limits", "bodies", &s.Limits.MaxHeldBytes, 1<<20, 64<<30),
		intRule("limits", "connections", &s.Limits.MaxConnections, 1, 100_000),
		intRule("limits", "requests", &s.Limits.MaxAccountRequests, 1, 100_000),
		intRule("limits", "snapshot", &s.Limits.SnapshotRecords, 10, 10_000_000),
		durationRule("times", "read", &s.Times.ReadTimeout, 100*time.Millisecond, time.Minute),
		durationRule("times", "idle", &s.Times.IdleTimeout, time.Second, time.Hour),
		durationRule("times", "lease", &s.Times.LeaseDuration, time.Second, 10*time.Minute),
		durationRule("times", "round", &s.Times.IdleRoundInterval, 10*time.Millisecond, time.Minute),
		durationRule("times", "balancer", &s.Times.BalancerDelay, 0, time.Minute),
		durationRule("times", "drain", &s.Times.DrainTimeout, time.Second, time.Hour),
		durationRule("times", "retention", &s.Times.LogRetention, time.Minute, 30*24*time.Hour),
		weightRule("policy", "completion", &s.Policy.CompletionWeight),
		weightRule("policy", "fragmentation", &s.Policy.FragmentationWeight),
		fileRule("tls", "cert", &s.TLS.CertFile),
		fileRule("tls", "key", &s.TLS.KeyFile),
		fileRule("tls", "ca", &s.TLS.CAFile),
		boolRule("tls", "operators", &s.TLS.RequireOperatorCert),
	}
}

// nameRule returns the rule of a required name.
func nameRule(section, key string, to *string) keyRule {
	return keyRule{section: section, key: key, required: true, allowed: "1 to 64 letters, digits, dots or dashes", set: func(v string) bool {
		*to = v
		isAllowed := func(c rune) bool {
			return c == '-' || c == '.' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		}
		return v != "" && len(v) <= 64 && !strings.ContainsFunc(v, func(c rune) bool { return !isAllowed(c) })
	}}
}

// addrRule returns the rule of a required listening address.
func addrRule(section, key string, to *string) keyRule {
	return keyRule{section: section, key: key, required: true, allowed: "IP:port, for example 127.0.0.1:7001", set: func(v string) bool {
		*to = v
		host, port, err := net.SplitHostPort(v)
		if err != nil || net.ParseIP(host) == nil {
			return false
		}
		n, err := strconv.Atoi(port)
		return err == nil && n >= 0 && n <= 65535
	}}
}

// urlRule returns the rule of a required base URL.
func urlRule(section, key string, to *string) keyRule {
	return keyRule{section: section, key: key, required: true, allowed: "a URL such as http://127.0.0.1:6000", set: func(v string) bool {
		*to = strings.TrimSuffix(v, "/")
		u, err := url.Parse(v)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}}
}

// fileRule returns the rule of an optional path of a readable file.
func fileRule(section, key string, to *string) keyRule {
	return keyRule{section: section, key: key, allowed: "the path of a readable file", set: func(v string) bool {
		*to = v
		f, err := os.Open(v)
		if err != nil {
			return false
		}
		_ = f.Close()
		return true
	}}
}

// boolRule returns the rule of an optional boolean.
func boolRule(section, key string, to *bool) keyRule {
	return keyRule{section: section, key: key, allowed: "true or false", set: func(v string) bool {
		*to = v == "true"
		return v == "true" || v == "false"
	}}
}

// intRule returns the rule of an optional integer from low to high.
func intRule(section, key string, to *int, low, high int) keyRule {
	return keyRule{section: section, key: key, allowed: fmt.Sprintf("a number from %d to %d", low, high), set: func(v string) bool {
		n, err := strconv.Atoi(v)
		*to = n
		return err == nil && n >= low && n <= high
	}}
}

// durationRule returns the rule of an optional duration from low to high.
func durationRule(section, key string, to *time.Duration, low, high time.Duration) keyRule {
	return keyRule{section: section, key: key, allowed: fmt.Sprintf("a duration from %s to %s, for example 5s", low, high), set: func(v string) bool {
		d, err := time.ParseDuration(v)
		*to = d
		return err == nil && d >= low && d <= high
	}}
}

// weightRule returns the rule of an optional weight of the scheduling policy.
func weightRule(section, key string, to *float64) keyRule {
	return keyRule{section: section, key: key, allowed: "a number from 0 to 100", set: func(v string) bool {
		x, err := strconv.ParseFloat(v, 64)
		*to = x
		return err == nil && x >= 0 && x <= 100
	}}
}
