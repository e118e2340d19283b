// Package standin is a stand-in for BackendServers in tests and trials: model
// engines with continuous batching and plain services, with known capacity,
// deterministic answers and faults on demand. It records every execution.
package standin

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Defaults of ServerSettings, close to a small engine.
const (
	defaultSlots          = 8
	defaultColdSlots      = 2
	defaultPrefill        = 40 * time.Millisecond
	defaultTokenInterval  = 10 * time.Millisecond
	defaultStartTime      = 500 * time.Millisecond
	defaultReportLag      = 500 * time.Millisecond
	defaultProcessingTime = 20 * time.Millisecond
	defaultCacheBlocks    = 4096
	defaultEventLag       = time.Second
	maxServers            = 256
)

// Settings of one stand-in process.
type Settings struct {
	LogLevel      string           `yaml:"log_level"`
	ExecutionFile string           `yaml:"execution_file"` // JSON lines, appended
	Servers       []ServerSettings `yaml:"servers"`
}

// ServerSettings describes one stand-in BackendServer. Zero values take the
// defaults of this package.
type ServerSettings struct {
	Name           string             `yaml:"name"`
	DataCentre     string             `yaml:"data_centre"`
	Listen         settings.Address   `yaml:"listen"` // port 0: chosen by the kernel
	Kind           backend.Kind       `yaml:"kind"`
	Pool           string             `yaml:"pool"`
	Models         []string           `yaml:"models"`
	Loadable       []string           `yaml:"loadable"` // pools that it can serve after an order
	Announce       []settings.Address `yaml:"announce"` // tried in turn until one accepts
	Credential     string             `yaml:"credential"`
	OrderKey       string             `yaml:"order_key"` // empty: orders are not authenticated
	CheckFence     bool               `yaml:"check_fence"`
	Slots          int                `yaml:"slots"`
	ColdSlots      int                `yaml:"cold_slots"`
	StartWarm      bool               `yaml:"start_warm"`
	Knee           int                `yaml:"knee"`           // running requests above which tokens slow down
	Prefill        settings.Duration  `yaml:"prefill"`        // per 1000 uncached prompt tokens
	TokenInterval  settings.Duration  `yaml:"token_interval"` // up to the knee
	ProcessingTime settings.Duration  `yaml:"processing_time"`
	StartTime      settings.Duration  `yaml:"start_time"` // time in state starting
	LoadTime       settings.Duration  `yaml:"load_time"`  // of a model, on order
	ReportLag      settings.Duration  `yaml:"report_lag"`
	CacheBlocks    int                `yaml:"cache_blocks"`
	EventLag       settings.Duration  `yaml:"event_lag"`
	EventLossEvery int                `yaml:"event_loss_every"` // every n-th cache event is lost, 0: none
}

// HoldsSecret implements settings.SecretHolder.
func (s *Settings) HoldsSecret() bool {
	for _, server := range s.Servers {
		if server.Credential != "" || server.OrderKey != "" {
			return true
		}
	}
	return false
}

// Validate implements settings.Validator and fills in the defaults.
func (s *Settings) Validate() error {
	if len(s.Servers) == 0 || len(s.Servers) > maxServers {
		return result.New(result.InvalidSettings, "servers: %d entries, allowed are 1 to %d", len(s.Servers), maxServers)
	}
	seen := map[string]bool{}
	for i := range s.Servers {
		server := &s.Servers[i]
		if seen[server.Name] {
			return result.New(result.InvalidSettings, "servers: name %q appears twice", server.Name)
		}
		seen[server.Name] = true
		if err := server.complete(); err != nil {
			return err
		}
	}
	return nil
}

func (s *ServerSettings) complete() error {
	if !class.ValidName(s.Name) || !class.ValidName(s.DataCentre) || !class.ValidName(s.Pool) {
		return result.New(result.InvalidSettings, "server %q: name, data_centre and pool must be set", s.Name)
	}
	if s.Kind != backend.Engine && s.Kind != backend.Service {
		return result.New(result.InvalidSettings, "server %s: kind is engine or service", s.Name)
	}
	if s.Listen == "" {
		return result.New(result.InvalidSettings, "server %s: listen is not set", s.Name)
	}
	if s.Slots < 0 || s.ColdSlots < 0 || s.Knee < 0 || s.CacheBlocks < 0 || s.EventLossEvery < 0 {
		return result.New(result.InvalidSettings, "server %s: a number is negative", s.Name)
	}
	orInt(&s.Slots, defaultSlots)
	orInt(&s.ColdSlots, min(defaultColdSlots, s.Slots))
	orInt(&s.Knee, max(1, s.Slots/2))
	orInt(&s.CacheBlocks, defaultCacheBlocks)
	orDuration(&s.Prefill, defaultPrefill)
	orDuration(&s.TokenInterval, defaultTokenInterval)
	orDuration(&s.ProcessingTime, defaultProcessingTime)
	orDuration(&s.StartTime, defaultStartTime)
	orDuration(&s.ReportLag, defaultReportLag)
	orDuration(&s.EventLag, defaultEventLag)
	return nil
}

func orInt(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func orDuration(value *settings.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = settings.Duration(fallback)
	}
}
