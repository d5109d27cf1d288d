package configcheck

import (
	"fmt"
	"math"
	"net"
	"strings"

	"jasminelane.example/lane/internal/fleet/policy"
)

const (
	// jobIDDigits is the number of digits of a job id, which follows the prefix of a
	// route in the path of a request.
	jobIDDigits = 16

	// hexDigits are the digits of a job id. Both cases are accepted.
	hexDigits = "0123456789abcdefABCDEF"
)

func (l *findings) checkRoutes(c *policy.Config) {
	for i := range c.Routes {
		r := &c.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		l.checkNumbers(
			number{path + ".priority", float64(r.Priority)},
			number{path + ".stretch", r.Stretch},
			number{path + ".target", float64(r.Target)},
			number{path + ".timeout", float64(r.TimeoutMs)},
		)
		if r.Attempts < 1 {
			l.add(Error, path+".attempts", "%d is below 1 and means no limit: failed runs would be repeated for ever", r.Attempts)
		}
		if r.Stretch <= 0 && r.Target <= 0 {
			l.add(Error, path+".stretch", "no objective follows from stretch %v and target latency %d ms", r.Stretch, r.Target)
		} else if r.Stretch+float64(r.Target) >= math.MaxInt64 {
			l.add(Error, path+".stretch", "the objective of a job with 1 ms of work is out of range")
		}
		if r.TimeoutMs > 0 && r.TimeoutMs < r.Target {
			l.add(Warning, path+".timeout", "%d ms is shorter than the target latency of %d ms", r.TimeoutMs, r.Target)
		}
		if s, ok := c.Services[r.Service]; !ok {
			l.add(Error, path+".service", "unknown service %q", r.Service)
		} else if s.Standby {
			l.add(Warning, path+".service", "service %q is on standby", r.Service)
		}
		l.checkMatch(c.Routes, i, path)
	}
}

// checkMatch reports why no request, or none for a job, can match the route. Upper
// case in a host is no reason, since policy.Config.MatchRoute ignores case.
func (l *findings) checkMatch(routes []policy.Route, i int, path string) {
	r := &routes[i]
	if r.Host == "" {
		l.add(Warning, path+".host", "empty, so it matches only requests that name no host")
	} else if _, _, err := net.SplitHostPort(r.Host); err == nil {
		l.add(Warning, path+".host", "%q has a port and can never match: the port of a request is not compared", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		l.add(Warning, path+".prefix", "%q does not begin with a slash, so no job id can follow it in a path", r.Prefix)
	}
	var longer []string // what follows the prefix in the longer prefixes of the same host
	for k := range routes {
		other := &routes[k]
		if k == i || !strings.EqualFold(r.Host, other.Host) {
			continue
		}
		rest, ok := strings.CutPrefix(other.Prefix, r.Prefix)
		switch {
		case ok && rest == "" && k < i:
			l.add(Error, path, "can never match: routes[%d] has the same host and prefix", k)
			return
		case ok && rest != "" && len(rest) <= jobIDDigits:
			longer = append(longer, rest)
		}
	}
	if coverIDs(longer) {
		l.add(Warning, path, "no path of a job matches: with every job id, a route with a longer prefix matches")
	}
}

// coverIDs reports whether every job id begins with one of the texts, which have at
// most jobIDDigits characters.
func coverIDs(texts []string) bool {
	if len(texts) == 0 {
		return false
	}
	byDigit := make(map[byte][]string)
	for _, t := range texts {
		if t == "" {
			return true
		}
		byDigit[t[0]] = append(byDigit[t[0]], t[1:])
	}
	for i := range len(hexDigits) {
		if !coverIDs(byDigit[hexDigits[i]]) {
			return false
		}
	}
	return true
}
