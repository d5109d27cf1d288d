package policy

import (
	"strings"
	"sync/atomic"
)

// Config is one version of the operators' configuration. It is not changed
// after it was published.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Accounts map[string]Account
	Limits   Limits

	keys map[string]string // account by key
}

// Route is a queue of jobs and how callers reach it.
type Route struct {
	Name     string
	Host     string
	Prefix   string // of the path
	Service  string
	Priority int // 0 is the most urgent
	Attempts int // failed runs before a job fails
	Stretch  float64
	Target   int64 // ms
	Timeout  int64 // ms
	Public   bool  // needs no key
}

// Service is a pool of backend servers.
type Service struct {
	Name    string
	Rejects bool // its servers refuse what does not fit
	Standby bool // its machines are off
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	GPUs int64 // guaranteed to its most urgent jobs
}

// Limits bound callers' requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderMS    int64
	IdleMS      int64
}

// Seal prepares the configuration for use.
func (c *Config) Seal() {
	c.keys = make(map[string]string)
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			c.keys[k] = a.Name
		}
	}
}

// Route returns the route with the host and the longest prefix of the path, or
// nil.
func (c *Config) Route(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Queue returns the route with the name, or nil.
func (c *Config) Queue(name string) *Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// Account returns the account that the key belongs to.
func (c *Config) Account(key string) (string, bool) {
	a, ok := c.keys[key]
	return a, ok
}

// Current holds the newest configuration; it never goes back to an older one.
type Current struct {
	config atomic.Pointer[Config]
}

// Set publishes a configuration and reports whether it is newer than the one
// in force.
func (p *Current) Set(c *Config) bool {
	for {
		old := p.config.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		c.Seal()
		if p.config.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Get returns the configuration in force, or nil before the first one.
func (p *Current) Get() *Config { return p.config.Load() }
