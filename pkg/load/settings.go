// Package load sends requests to a fleet at fixed arrival times, whatever the
// answers do (open loop), and reports latencies from the intended arrival, so
// that a stalled fleet cannot hide its stall. It counts executions from the
// execution file of the stand-ins.
package load

import (
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Bounds and defaults of an experiment.
const (
	MaxRequests       = 100_000
	MaxDuration       = 10 * time.Minute
	maxRate           = 2000.0 // arrivals per second of one stream
	maxCopies         = 8
	defaultMaxOpen    = 512
	defaultTimeout    = 60 * time.Second
	defaultResend     = 200 * time.Millisecond
	defaultPromptSize = 400 // bytes
)

// Experiment is the settings file of one run.
type Experiment struct {
	LogLevel   string             `yaml:"log_level"`
	Routers    []settings.Address `yaml:"routers"` // caller addresses, used in turn
	Duration   settings.Duration  `yaml:"duration"`
	Requests   int                `yaml:"max_requests"`
	MaxOpen    int                `yaml:"max_open"` // arrivals above it are counted as skipped
	Timeout    settings.Duration  `yaml:"timeout"`  // of one request
	Seed       uint64             `yaml:"seed"`
	Executions string             `yaml:"executions"` // file of the stand-ins, may be empty
	MayBreak   bool               `yaml:"may_break"`  // processes are killed: answers that break visibly are no fault
	Workspaces []Workspace        `yaml:"workspaces"`
	Streams    []Stream           `yaml:"streams"`
}

// Workspace names a tenant and its key.
type Workspace struct {
	Name string `yaml:"name"`
	Key  string `yaml:"key"`
}

// Stream is a flow of requests of one class.
type Stream struct {
	Name       string            `yaml:"name"`
	Workspaces []string          `yaml:"workspaces"` // used in turn
	Class      string            `yaml:"class"`
	Rate       float64           `yaml:"rate"`       // mean arrivals per second
	Routers    []int             `yaml:"routers"`    // positions in the list of routers, empty: all
	Model      string            `yaml:"model"`      // chat completions
	Service    string            `yaml:"service"`    // plain service, instead of a model
	Method     string            `yaml:"method"`     // of a plain service, default POST
	Path       string            `yaml:"path"`       // below the service
	Stream     bool              `yaml:"stream"`     // server-sent events
	Prompt     int               `yaml:"prompt"`     // bytes
	Prefix     string            `yaml:"prefix"`     // common begin of all prompts
	MaxTokens  int               `yaml:"max_tokens"` // of the answer
	Hint       uint64            `yaml:"cost_hint"`  // service units
	Keyed      bool              `yaml:"keyed"`      // with an Idempotency-Key
	Copies     int               `yaml:"copies"`     // sends of each keyed request
	Resend     settings.Duration `yaml:"resend"`     // between two copies
	Once       bool              `yaml:"once"`       // each request runs at most once
}

// New returns the defaults.
func New() *Experiment {
	return &Experiment{
		LogLevel: "info", Requests: MaxRequests, MaxOpen: defaultMaxOpen,
		Timeout: settings.Duration(defaultTimeout), Seed: 1,
	}
}

// HoldsSecret implements settings.SecretHolder.
func (e *Experiment) HoldsSecret() bool {
	return slices.ContainsFunc(e.Workspaces, func(w Workspace) bool { return w.Key != "" })
}

// Validate implements settings.Validator.
func (e *Experiment) Validate() error {
	if len(e.Routers) == 0 || len(e.Streams) == 0 {
		return refuse("routers and streams must not be empty")
	}
	if e.Duration <= 0 || e.Duration.AsDuration() > MaxDuration {
		return refuse("duration must be above 0 and at most %s", MaxDuration)
	}
	if e.Requests <= 0 || e.Requests > MaxRequests || e.MaxOpen <= 0 {
		return refuse("max_requests is 1 to %d, max_open at least 1", MaxRequests)
	}
	for i := range e.Streams {
		if err := e.completeStream(&e.Streams[i]); err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) completeStream(s *Stream) error {
	if s.Name == "" || s.Class == "" || len(s.Workspaces) == 0 {
		return refuse("stream %q: name, class and workspaces must be set", s.Name)
	}
	if (s.Model == "") == (s.Service == "") {
		return refuse("stream %s: set either model or service", s.Name)
	}
	if s.Rate <= 0 || s.Rate > maxRate {
		return refuse("stream %s: rate is above 0 and at most %g", s.Name, maxRate)
	}
	if s.Copies < 0 || s.Copies > maxCopies || s.Prompt < 0 || s.MaxTokens < 0 {
		return refuse("stream %s: copies is 1 to %d, prompt and max_tokens are not negative", s.Name, maxCopies)
	}
	for _, name := range s.Workspaces {
		if _, ok := e.key(name); !ok {
			return refuse("stream %s: workspace %q is not listed", s.Name, name)
		}
	}
	for _, i := range s.Routers {
		if i < 0 || i >= len(e.Routers) {
			return refuse("stream %s: there is no router %d", s.Name, i)
		}
	}
	s.Copies = max(s.Copies, 1)
	if s.Method == "" {
		s.Method = "POST"
	}
	if s.Prompt == 0 {
		s.Prompt = defaultPromptSize
	}
	if s.Resend == 0 {
		s.Resend = settings.Duration(defaultResend)
	}
	return nil
}

func (e *Experiment) key(workspace string) (string, bool) {
	for _, w := range e.Workspaces {
		if w.Name == workspace {
			return w.Key, true
		}
	}
	return "", false
}

func refuse(format string, args ...any) error {
	return result.New(result.InvalidSettings, format, args...)
}
