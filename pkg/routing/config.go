// Package routing holds the configuration by which edge hosts route: routes by
// host name and path prefix, services, workspaces with their keys, and limits.
// A Config is checked by Validate and compiled into an immutable Table.
package routing

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Repeat says how often a request of a route may run.
type Repeat uint8

// Values of Repeat.
const (
	// AtMostOnce is for requests that must not run twice.
	AtMostOnce Repeat = iota
	// Idempotent is for requests that may run any number of times.
	Idempotent
	// Resumable is for streams that may be continued by another run.
	Resumable
)

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  int // share of the sum of all weights
}

// Route says what happens to the requests below one prefix of one host name.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Stream     bool   // the answer is a stream of events
	Repeat     Repeat
	Targets    []Target

	Timeout     time.Duration // the longest that a request is kept
	Objective   time.Duration // to the answer, or to the first event of a stream
	EventPause  time.Duration // longest pause between events that is on time, 0 if not stated
	MaxAttempts int           // servers that one request may be sent to
	Priority    int           // 0 is the highest
	Public      bool          // needs no key
	Model       bool          // requests carry prompts for model engines
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots    int // requests in one batch
	KVTokens int // tokens that running requests and kept prompt parts share
	// FetchRate is the prompt tokens a second that an engine fetches from
	// another one, 0 if engines cannot.
	FetchRate float64
	Reserves  bool // slots can be reserved
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // of one server, over all callers
	ColdStart      time.Duration // after the start of a server
	ColdRate       float64       // requests a second that a cold server bears
	Engine         *Engine       // nil for plain services
}

// Workspace is one customer and the keys that identify it.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int // 0 is the highest; goes before that of the route
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int64
	HeaderTimeout   time.Duration
	IdleTimeout     time.Duration
	TokensPerSecond float64 // that all engines together produce, 0 if not stated
}

// Config is one version of the whole configuration.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
	// KeysRequired is set when the configuration names workspaces at all; an
	// empty list then admits nobody to routes that are not public.
	KeysRequired bool
}

// Validate returns the first fault as InvalidCommand, naming the field.
func (c *Config) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service %q has no name or stands twice", s.Name)
		}
		services[s.Name] = true
	}
	if err := c.validateRoutes(services); err != nil {
		return err
	}
	return c.validateWorkspaces()
}

func (c *Config) validateRoutes(services map[string]bool) error {
	type place struct{ host, prefix string }
	places := make(map[place]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		at := place{r.Host, r.PathPrefix}
		if other, taken := places[at]; taken {
			return invalid("routes %q and %q have the same host and prefix", other, r.Name)
		}
		places[at] = r.Name
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	if n := len(r.PathPrefix); n == 0 || r.PathPrefix[0] != '/' || r.PathPrefix[n-1] != '/' {
		return invalid("route %q: the prefix %q must begin and end with a slash", r.Name, r.PathPrefix)
	}
	if r.Host == "" {
		return invalid("route %q has no host", r.Name)
	}
	if r.Timeout <= 0 {
		return invalid("route %q: the timeout must be above 0", r.Name)
	}
	sum := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return invalid("route %q names the service %q, which is not known", r.Name, t.Service)
		}
		if t.Weight < 0 {
			return invalid("route %q: the weight %d is below 0", r.Name, t.Weight)
		}
		sum += t.Weight
	}
	if sum == 0 {
		return invalid("route %q: the weights add up to 0", r.Name)
	}
	return nil
}

func (c *Config) validateWorkspaces() error {
	owner := map[string]string{}
	for _, w := range c.Workspaces {
		if w.Name == "" {
			return invalid("a workspace has no name")
		}
		for _, key := range w.Keys {
			if other, taken := owner[key]; taken && other != w.Name {
				return invalid("workspaces %q and %q share a key", other, w.Name)
			}
			owner[key] = w.Name
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return result.New(result.InvalidCommand, format, args...)
}
