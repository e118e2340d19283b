// Package load is an open-loop load generator: it sends requests at scheduled
// times regardless of the responses and measures latencies from the scheduled
// time, which avoids coordinated omission. It checks the responses against the
// execution file of the stand-in servers.
package load

import (
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Limits and defaults of an experiment.
const (
	MaxRequests           = 100_000
	MaxDuration           = 10 * time.Minute
	maxRate               = 2000.0 // arrivals per second of one stream
	maxCopies             = 8
	defaultMaxOpen        = 512
	defaultTimeout        = 60 * time.Second
	defaultResendInterval = 200 * time.Millisecond
	defaultPromptBytes    = 400 // bytes
)

// Experiment holds the settings of one run.
type Experiment struct {
	LogLevel      string             `yaml:"log_level"`
	Routers       []settings.Address `yaml:"routers"` // caller addresses, used round-robin
	Duration      settings.Duration  `yaml:"duration"`
	Requests      int                `yaml:"max_requests"`
	MaxOpen       int                `yaml:"max_open"` // concurrent requests; further ones are counted as skipped
	Timeout       settings.Duration  `yaml:"timeout"`  // of one request
	Seed          uint64             `yaml:"seed"`
	ExecutionFile string             `yaml:"executions"` // of the stand-in servers; empty: no check of executions
	AllowBroken   bool               `yaml:"may_break"`  // detectably broken responses are no faults, for runs that kill processes
	Workspaces    []Workspace        `yaml:"workspaces"`
	Streams       []Stream           `yaml:"streams"`
}

// Workspace holds the name and key of a tenant.
type Workspace struct {
	Name string `yaml:"name"`
	Key  string `yaml:"key"`
}

// Stream is a sequence of similar requests of one class.
type Stream struct {
	Name           string            `yaml:"name"`
	Workspaces     []string          `yaml:"workspaces"` // used round-robin
	Class          string            `yaml:"class"`
	Rate           float64           `yaml:"rate"`       // mean arrivals per second
	Routers        []int             `yaml:"routers"`    // indexes in Experiment.Routers; empty: all
	Model          string            `yaml:"model"`      // of chat completions
	Service        string            `yaml:"service"`    // plain service; instead of a model
	Method         string            `yaml:"method"`     // for a plain service, default POST
	Path           string            `yaml:"path"`       // relative to the service
	Stream         bool              `yaml:"stream"`     // server-sent events
	PromptBytes    int               `yaml:"prompt"`     // minimum length
	PromptPrefix   string            `yaml:"prefix"`     // common prefix of all prompts
	MaxTokens      int               `yaml:"max_tokens"` // of a chat completion
	CostHint       uint64            `yaml:"cost_hint"`  // service units
	Keyed          bool              `yaml:"keyed"`      // send an Idempotency-Key
	Copies         int               `yaml:"copies"`     // how often each request is sent, default 1
	ResendInterval settings.Duration `yaml:"resend"`     // time between two copies
	AtMostOnce     bool              `yaml:"once"`       // report a fault if a request is executed twice
}

// NewExperiment returns an experiment with the defaults.
func NewExperiment() *Experiment {
	return &Experiment{
		LogLevel: "info", Requests: MaxRequests, MaxOpen: defaultMaxOpen,
		Timeout: settings.Duration(defaultTimeout), Seed: 1,
	}
}

// HoldsSecret implements settings.SecretHolder.
func (e *Experiment) HoldsSecret() bool {
	return slices.ContainsFunc(e.Workspaces, func(w Workspace) bool { return w.Key != "" })
}

// Validate implements settings.Validator. It also sets the defaults of the
// streams.
func (e *Experiment) Validate() error {
	if len(e.Routers) == 0 || len(e.Streams) == 0 {
		return invalidSettings("routers and streams must each have at least one entry")
	}
	if e.Duration <= 0 || e.Duration.AsDuration() > MaxDuration {
		return invalidSettings("duration must be greater than 0 and at most %s", MaxDuration)
	}
	if e.Requests <= 0 || e.Requests > MaxRequests || e.MaxOpen <= 0 {
		return invalidSettings("max_requests must be 1 to %d and max_open at least 1", MaxRequests)
	}
	for i := range e.Streams {
		if err := e.normalizeStream(&e.Streams[i]); err != nil {
			return err
		}
	}
	return nil
}

// normalizeStream validates a stream and sets its defaults.
func (e *Experiment) normalizeStream(s *Stream) error {
	if s.Name == "" || s.Class == "" || len(s.Workspaces) == 0 {
		return invalidSettings("stream %q: name, class and workspaces are required", s.Name)
	}
	if (s.Model == "") == (s.Service == "") {
		return invalidSettings("stream %s: exactly one of model and service is required", s.Name)
	}
	if s.Rate <= 0 || s.Rate > maxRate {
		return invalidSettings("stream %s: rate must be greater than 0 and at most %g", s.Name, maxRate)
	}
	if s.Copies < 0 || s.Copies > maxCopies || s.PromptBytes < 0 || s.MaxTokens < 0 {
		return invalidSettings("stream %s: copies must be 1 to %d, prompt and max_tokens must not be negative", s.Name, maxCopies)
	}
	for _, name := range s.Workspaces {
		if _, ok := e.key(name); !ok {
			return invalidSettings("stream %s: workspace %q is not in workspaces", s.Name, name)
		}
	}
	for _, i := range s.Routers {
		if i < 0 || i >= len(e.Routers) {
			return invalidSettings("stream %s: router index %d is out of range", s.Name, i)
		}
	}
	s.Copies = max(s.Copies, 1)
	if s.Method == "" {
		s.Method = "POST"
	}
	if s.PromptBytes == 0 {
		s.PromptBytes = defaultPromptBytes
	}
	if s.ResendInterval == 0 {
		s.ResendInterval = settings.Duration(defaultResendInterval)
	}
	return nil
}

// key returns the key of a workspace and whether the workspace exists.
func (e *Experiment) key(workspace string) (string, bool) {
	for _, w := range e.Workspaces {
		if w.Name == workspace {
			return w.Key, true
		}
	}
	return "", false
}

func invalidSettings(format string, args ...any) error {
	return result.New(result.InvalidSettings, format, args...)
}
