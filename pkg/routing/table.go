package routing

import (
	"net"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is a compiled Config. It is immutable and safe for concurrent use.
type Table struct {
	Version uint64
	Limits  Limits

	routes       map[string]map[string]*Route // by normalized host name and path prefix
	services     map[string]*Service
	workspaces   map[string]*Workspace // by key
	resumable    map[string]bool       // services with streams that can go on at another server
	keysRequired bool
}

// NewTable compiles a Config that Validate accepts. The Table refers to the Config,
// which must not change afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits, keysRequired: c.KeysRequired,
		routes:     make(map[string]map[string]*Route),
		services:   make(map[string]*Service, len(c.Services)),
		workspaces: make(map[string]*Workspace),
		resumable:  make(map[string]bool),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.RetryPolicy == Resumable {
			for _, service := range r.Services() {
				t.resumable[service] = true
			}
		}
		host := NormalizeHost(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = make(map[string]*Route)
		}
		t.routes[host][r.PathPrefix] = r
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			t.workspaces[key] = &c.Workspaces[i]
		}
	}
	return t
}

// NormalizeHost removes the port of a host name and converts it to lower case, as for
// the match of a route.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Match returns the route of the host with the longest matching path prefix, nil
// if there is none. Its cost depends on the number of slashes in the path, not on
// the number of routes.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.routes[NormalizeHost(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Service returns a service by name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HasResumableStreams reports whether a route leads streams to the service that can go on at
// another server.
func (t *Table) HasResumableStreams(service string) bool { return t.resumable[service] }

// Services returns all services by name. Callers must not change the map.
func (t *Table) Services() map[string]*Service { return t.services }

// WorkspaceByKey returns the workspace that owns a key, nil if there is none.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.workspaces[key] }

// NeedsKey reports whether a request of the route needs a key.
func (t *Table) NeedsKey(r *Route) bool { return t.keysRequired && !r.Public }

// Place returns the host and path prefix of the route. A request matches the route if
// its place, which ends with a slash, begins the host and path of the request and no
// longer one does.
func (r *Route) Place() string { return NormalizeHost(r.Host) + r.PathPrefix }

// Services returns the services that get requests of the route.
func (r *Route) Services() (out []string) {
	for _, t := range r.Targets {
		if t.Weight > 0 {
			out = append(out, t.Service)
		}
	}
	return out
}

// ChooseService selects the target of a request by weight and returns its
// service. The result depends only on the route and the request ID, so that all
// hosts select the same one.
func (r *Route) ChooseService(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	point := int(xxhash.Sum64String(requestID) % uint64(sum))
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
