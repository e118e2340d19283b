// Package standin provides simulated BackendServers for tests and experiments:
// model engines with continuous batching and plain services, with known
// capacity, deterministic responses and injectable faults. It records every
// execution.
package standin

import (
	"strings"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Defaults of ServerSettings, which resemble a small model engine, and the limit
// of servers in one process.
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

// Settings holds the settings of one stand-in process.
type Settings struct {
	LogLevel      string           `yaml:"log_level"`
	ExecutionFile string           `yaml:"execution_file"` // JSON lines, appended to; empty: none
	Servers       []ServerSettings `yaml:"servers"`
}

// ServerSettings holds the settings of one stand-in BackendServer. Validate
// replaces zero values by the defaults of this package where there is one.
type ServerSettings struct {
	Name                     string             `yaml:"name"`
	DataCentre               string             `yaml:"data_centre"`
	Listen                   settings.Address   `yaml:"listen"` // port 0: assigned by the kernel
	Kind                     backend.Kind       `yaml:"kind"`
	Pool                     string             `yaml:"pool"`
	SoftwareVersion          string             `yaml:"software_version"` // empty: not stated
	KeepStreams              bool               `yaml:"keep_streams"`     // a process that is started again resumes the streams of the earlier one
	Models                   []string           `yaml:"models"`
	Loadable                 []string           `yaml:"loadable"` // pools that it can serve after a load order
	Announce                 []settings.Address `yaml:"announce"` // routers, tried round-robin until one accepts
	Credential               string             `yaml:"credential"`
	OrderKey                 string             `yaml:"order_key"` // empty: orders are not authenticated
	CheckFence               bool               `yaml:"check_fence"`
	Slots                    int                `yaml:"slots"`
	ColdSlots                int                `yaml:"cold_slots"`
	StartWarm                bool               `yaml:"start_warm"`
	Knee                     int                `yaml:"knee"`            // running requests above which token generation slows down
	PrefillPerThousandTokens settings.Duration  `yaml:"prefill"`         // per 1000 uncached prompt tokens
	TokenInterval            settings.Duration  `yaml:"token_interval"`  // up to Knee running requests
	ProcessingTime           settings.Duration  `yaml:"processing_time"` // of a request to a plain service
	StartTime                settings.Duration  `yaml:"start_time"`      // time in state starting after a restart
	LoadTime                 settings.Duration  `yaml:"load_time"`       // of a model after a load order
	ReportLag                settings.Duration  `yaml:"report_lag"`      // minimum age of an announced load report
	CacheBlocks              int                `yaml:"cache_blocks"`
	EventLag                 settings.Duration  `yaml:"event_lag"`        // minimum age of a readable cache event
	EventLossEvery           int                `yaml:"event_loss_every"` // every n-th cache event is lost; 0: none
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

// Validate implements settings.Validator. It also sets the defaults.
func (s *Settings) Validate() error {
	if len(s.Servers) == 0 || len(s.Servers) > maxServers {
		return result.New(result.InvalidSettings, "servers has %d entries, must have 1 to %d", len(s.Servers), maxServers)
	}
	seen := map[string]bool{}
	for i := range s.Servers {
		server := &s.Servers[i]
		if seen[server.Name] {
			return result.New(result.InvalidSettings, "servers: duplicate name %q", server.Name)
		}
		seen[server.Name] = true
		if err := server.normalize(); err != nil {
			return err
		}
	}
	return nil
}

// normalize validates the settings and sets the defaults.
func (s *ServerSettings) normalize() error {
	if !class.ValidName(s.Name) || !class.ValidName(s.DataCentre) || !class.ValidName(s.Pool) {
		return result.New(result.InvalidSettings, "server %q: name, data_centre and pool must be valid names", s.Name)
	}
	if s.Kind != backend.Engine && s.Kind != backend.Service {
		return result.New(result.InvalidSettings, "server %s: kind must be engine or service", s.Name)
	}
	if s.Listen == "" {
		return result.New(result.InvalidSettings, "server %s: listen is required", s.Name)
	}
	if !validVersion(s.SoftwareVersion) {
		return result.New(result.InvalidSettings, "server %s: software_version must have at most %d bytes, printable ASCII without spaces", s.Name, release.MaxVersionBytes)
	}
	if s.Slots < 0 || s.ColdSlots < 0 || s.Knee < 0 || s.CacheBlocks < 0 || s.EventLossEvery < 0 {
		return result.New(result.InvalidSettings, "server %s: slots, cold_slots, knee, cache_blocks and event_loss_every must not be negative", s.Name)
	}
	setDefaultInt(&s.Slots, defaultSlots)
	setDefaultInt(&s.ColdSlots, min(defaultColdSlots, s.Slots))
	setDefaultInt(&s.Knee, max(1, s.Slots/2))
	setDefaultInt(&s.CacheBlocks, defaultCacheBlocks)
	setDefaultDuration(&s.PrefillPerThousandTokens, defaultPrefill)
	setDefaultDuration(&s.TokenInterval, defaultTokenInterval)
	setDefaultDuration(&s.ProcessingTime, defaultProcessingTime)
	setDefaultDuration(&s.StartTime, defaultStartTime)
	setDefaultDuration(&s.ReportLag, defaultReportLag)
	setDefaultDuration(&s.EventLag, defaultEventLag)
	return nil
}

// validVersion reports whether a version reaches routers unchanged in a header.
func validVersion(version string) bool {
	isOdd := func(c rune) bool { return c <= ' ' || c > '~' }
	return len(version) <= release.MaxVersionBytes && !strings.ContainsFunc(version, isOdd)
}

func setDefaultInt(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func setDefaultDuration(value *settings.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = settings.Duration(fallback)
	}
}
