package policy

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Config is one version of the operators' configuration. It must not be changed
// after Current.Set.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Accounts map[string]Account
	Limits   Limits

	keys   map[string]string // name of the account by API key
	routes map[string]*Route // by name
}

// Route describes a queue of jobs and the requests that go to it.
type Route struct {
	Name      string
	Host      string
	Prefix    string // of the request path
	Service   string
	Priority  int     // 0 is the most urgent
	Attempts  int     // number of failed runs of a unit after which its job fails
	Stretch   float64 // factor of the sum of the step estimates in a job's objective
	Target    int64   // ms, added to the product
	TimeoutMs int64
	Public    bool // requests need no API key
}

// Service is a pool of backend servers.
type Service struct {
	Name            string
	RejectsOverload bool // its servers refuse tasks that exceed their free resources
	Standby         bool // its machines are switched off
}

// Account is a client account.
type Account struct {
	Name           string
	Keys           []string // API keys
	GuaranteedGPUs int64    // for its jobs of the most urgent priority
}

// Limits are the limits for callers' requests.
type Limits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs int64
	IdleTimeoutMs   int64
}

// BuildIndex prepares AccountByKey and RouteByName. Current.Set calls it.
func (c *Config) BuildIndex() {
	c.routes = make(map[string]*Route, len(c.Routes))
	for i := range c.Routes {
		c.routes[c.Routes[i].Name] = &c.Routes[i]
	}
	c.keys = make(map[string]string)
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			c.keys[k] = a.Name
		}
	}
}

// MatchRoute returns the route of the host with the longest prefix of the path,
// or nil.
func (c *Config) MatchRoute(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// RouteByName returns the route with the name, or nil.
func (c *Config) RouteByName(name string) *Route { return c.routes[name] }

// AccountByKey returns the name of the account with the API key.
func (c *Config) AccountByKey(key string) (string, bool) {
	a, ok := c.keys[key]
	return a, ok
}

// Current holds the newest configuration and the newest evacuations seen; older
// versions never replace them.
type Current struct {
	config   atomic.Pointer[Config]
	lastRead atomic.Pointer[time.Time]
	refresh  refresh

	evacuationsMu sync.Mutex // held by writers of evacuations
	evacuations   atomic.Pointer[map[string]Evacuation]
}

// Set replaces the configuration with c if c has a higher version, and reports
// whether it did.
func (p *Current) Set(c *Config) bool {
	for {
		old := p.config.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		c.BuildIndex()
		if p.config.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Get returns the current configuration, or nil before the first Set.
func (p *Current) Get() *Config { return p.config.Load() }

// MarkRead notes that the store was read for newer versions and that all it
// returned has been passed to Set.
func (p *Current) MarkRead() {
	now := time.Now()
	p.lastRead.Store(&now)
	p.refresh.done()
}

// Status describes how current the configuration is.
type Status struct {
	Version int64
	Age     time.Duration // time since the store was last read for newer versions
}

// Status reports how current the configuration is. It is zero before the first
// read.
func (p *Current) Status() Status {
	var st Status
	if at := p.lastRead.Load(); at != nil {
		st.Age = time.Since(*at)
	}
	if c := p.Get(); c != nil {
		st.Version = c.Version
	}
	return st
}
