// Package routing holds the configuration by which edge hosts route requests:
// routes by host name and path prefix, services, workspaces with their keys, and
// limits. A Config is checked by Validate and compiled into an immutable Table.
package routing

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// RetryPolicy is how often servers may execute a request of a route.
type RetryPolicy uint8

// How often servers may execute a request.
const (
	// AtMostOnce means that a request must not be executed twice.
	AtMostOnce RetryPolicy = iota
	// Idempotent means that a request may be executed any number of times.
	Idempotent
	// Resumable means that another server may continue a broken stream.
	Resumable
)

// Target is a service of a route and the weight of its share of the requests.
type Target struct {
	Service string
	Weight  int // the share is Weight divided by the sum of the route's weights
}

// Route describes how requests with a host name and a path prefix are handled.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Stream      bool   // the answer is a stream of events
	RetryPolicy RetryPolicy
	Targets     []Target

	Timeout        time.Duration // longest time that a request is kept, from its arrival
	Objective      time.Duration // target time to the answer or to the first event of a stream
	MaxEventGap    time.Duration // longest pause between events that meets the target, 0 if not stated
	MaxAttempts    int           // greatest number of servers to which one request is sent
	Priority       int           // 0 is the highest
	Public         bool          // requests need no key
	CarriesPrompts bool          // requests carry prompts for model engines
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots    int // requests that run in one batch
	KVTokens int // capacity of the KV cache, shared by running requests and cached prefixes
	// FetchTokensPerSecond is the number of prompt tokens per second whose KV
	// cache an engine can fetch from another one, 0 if it cannot.
	FetchTokensPerSecond float64
	SupportsReservation  bool // slots can be reserved in advance
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name                  string
	HealthPath            string
	MaxConnections        int           // to one server, from all callers together
	WarmUpTime            time.Duration // how long a server is cold after its start
	ColdRequestsPerSecond float64       // requests per second that a cold server can serve
	Engine                *Engine       // nil for plain services
}

// Workspace is a tenant and the keys that authenticate it.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int // 0 is the highest; takes precedence over that of the route
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int64
	HeaderTimeout   time.Duration
	IdleTimeout     time.Duration
	TokensPerSecond float64 // output of all engines together, 0 if not stated
}

// Config is one version of the configuration.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
	// KeysRequired means that the configuration has a list of workspaces. With an
	// empty list, nobody may use routes that are not public.
	KeysRequired bool
}

// Validate returns the first invalid value as an InvalidCommand error.
func (c *Config) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service name %q is empty or used twice", s.Name)
		}
		services[s.Name] = true
	}
	if err := c.validateRoutes(services); err != nil {
		return err
	}
	return c.validateWorkspaces()
}

func (c *Config) validateRoutes(services map[string]bool) error {
	type hostAndPrefix struct{ host, prefix string }
	routeNames := make(map[hostAndPrefix]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		key := hostAndPrefix{r.Host, r.PathPrefix}
		if other, taken := routeNames[key]; taken {
			return invalid("routes %q and %q have the same host and prefix", other, r.Name)
		}
		routeNames[key] = r.Name
	}
	return nil
}

// maxWeight bounds the weight of a target, so that the sum of a route cannot overflow.
const maxWeight = 1 << 30

func (r *Route) validate(services map[string]bool) error {
	if n := len(r.PathPrefix); n == 0 || r.PathPrefix[0] != '/' || r.PathPrefix[n-1] != '/' {
		return invalid("route %q: path prefix %q must begin and end with a slash", r.Name, r.PathPrefix)
	}
	if r.Host == "" {
		return invalid("route %q has no host", r.Name)
	}
	if r.Timeout <= 0 {
		return invalid("route %q: timeout must be greater than 0", r.Name)
	}
	sum := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return invalid("route %q: unknown service %q", r.Name, t.Service)
		}
		if t.Weight < 0 || t.Weight > maxWeight {
			return invalid("route %q: weight %d is outside 0 to %d", r.Name, t.Weight, maxWeight)
		}
		sum += t.Weight
	}
	if sum == 0 {
		return invalid("route %q: sum of weights is 0", r.Name)
	}
	return nil
}

func (c *Config) validateWorkspaces() error {
	keyOwners := map[string]string{}
	for _, w := range c.Workspaces {
		if w.Name == "" {
			return invalid("a workspace has no name")
		}
		for _, key := range w.Keys {
			if other, taken := keyOwners[key]; taken && other != w.Name {
				return invalid("workspaces %q and %q share a key", other, w.Name)
			}
			keyOwners[key] = w.Name
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return result.New(result.InvalidCommand, format, args...)
}
