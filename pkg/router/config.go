package router

import (
	"net/netip"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Defaults and bounds of Config.
const (
	defaultBodyBytes         = 4 << 20
	defaultHeaderBytes       = 32 << 10
	defaultOpenRequests      = 8192
	defaultBodyMemoryBytes   = 512 << 20
	defaultHeaderTimeout     = 5 * time.Second
	defaultBodyTimeout       = 30 * time.Second
	defaultWriteTimeout      = 30 * time.Second
	defaultIdleTimeout       = 75 * time.Second
	defaultDrainNotice       = 5 * time.Second
	defaultDrainLongest      = 15 * time.Minute
	defaultOwnerPatience     = 6 * time.Second
	minSizeLimit             = 1 << 10
	maxSizeLimit             = 256 << 20
	maxOpenRequests          = 1 << 20
	maxDrainNotice           = 10 * time.Minute
	defaultLogLevel          = "info"
	defaultCallersAddress    = "127.0.0.1:7400"
	defaultAnnounceAddress   = "127.0.0.1:7401"
	defaultPeersAddress      = "127.0.0.1:7402"
	defaultMembershipAddress = "127.0.0.1:7403"
	defaultAdminAddress      = "127.0.0.1:7404"
	maxPeers                 = 1024
	maxControlAddresses      = 16
)

// Config holds the settings of a router.
type Config struct {
	Name       string             `yaml:"name"`
	DataCentre string             `yaml:"data_centre"`
	LogLevel   string             `yaml:"log_level"`
	Listen     Listen             `yaml:"listen"`
	TLS        TLS                `yaml:"tls"`
	Control    []settings.Address `yaml:"control"`
	Seeds      []settings.Address `yaml:"seeds"` // membership addresses of routers to join through
	// Routers is the number of routers of the data centre, 0 if not set.
	Routers int `yaml:"routers"`
	// MembershipKey is the secret shared by all routers that authenticates
	// their membership datagrams.
	MembershipKey string       `yaml:"membership_key"`
	Peers         []PeerConfig `yaml:"peers"`
	Limits        Limits       `yaml:"limits"`
	Drain         Drain        `yaml:"drain"`
	Placement     Placement    `yaml:"placement"`
}

// Listen holds the listen addresses.
type Listen struct {
	Callers    settings.Address `yaml:"callers"`
	Announce   settings.Address `yaml:"announce"`
	Peers      settings.Address `yaml:"peers"`
	Membership settings.Address `yaml:"membership"` // UDP
	Admin      settings.Address `yaml:"admin"`
}

// TLS holds the TLS files of each TCP listener. A listener without files uses
// plain text.
type TLS struct {
	Callers  TLSFiles `yaml:"callers"`
	Announce TLSFiles `yaml:"announce"`
	Peers    TLSFiles `yaml:"peers"`
	Admin    TLSFiles `yaml:"admin"`
	// Control enables TLS for connections to control hosts. They use the files
	// of Peers.
	Control bool `yaml:"control"`
}

// TLSFiles holds the paths of PEM files. If ClientCA is set, clients must
// present a certificate signed by it.
type TLSFiles struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	ClientCA    string `yaml:"client_ca"`
}

// PeerConfig is another router of a fleet that does not use membership.
type PeerConfig struct {
	Name       string           `yaml:"name"`
	DataCentre string           `yaml:"data_centre"`
	Address    settings.Address `yaml:"address"`
}

// Limits bounds the resources that callers can make a router use.
type Limits struct {
	BodyBytes       int64             `yaml:"body_bytes"`
	BodyMemoryBytes int64             `yaml:"body_memory_bytes"` // total of all open requests
	HeaderBytes     int               `yaml:"header_bytes"`
	OpenRequests    int               `yaml:"open_requests"`
	HeaderTimeout   settings.Duration `yaml:"header_timeout"`
	BodyTimeout     settings.Duration `yaml:"body_timeout"`
	WriteTimeout    settings.Duration `yaml:"write_timeout"` // for one write of a response
	IdleTimeout     settings.Duration `yaml:"idle_timeout"`
	OwnerPatience   settings.Duration `yaml:"owner_patience"` // additional wait for the owner of a shard to be replaced
}

// Drain holds the time limits of a graceful shutdown.
type Drain struct {
	Notice  settings.Duration `yaml:"notice"`  // time that listeners stay open after the router reports not ready
	Longest settings.Duration `yaml:"longest"` // limit for requests that still run
}

// NewConfig returns a Config with default values. All listeners are on the
// loopback interface.
func NewConfig() *Config {
	return &Config{
		LogLevel: defaultLogLevel,
		Listen: Listen{
			Callers:    defaultCallersAddress,
			Announce:   defaultAnnounceAddress,
			Peers:      defaultPeersAddress,
			Membership: defaultMembershipAddress,
			Admin:      defaultAdminAddress,
		},
		Limits: Limits{
			BodyBytes:       defaultBodyBytes,
			BodyMemoryBytes: defaultBodyMemoryBytes,
			HeaderBytes:     defaultHeaderBytes,
			OpenRequests:    defaultOpenRequests,
			HeaderTimeout:   settings.Duration(defaultHeaderTimeout),
			BodyTimeout:     settings.Duration(defaultBodyTimeout),
			WriteTimeout:    settings.Duration(defaultWriteTimeout),
			IdleTimeout:     settings.Duration(defaultIdleTimeout),
			OwnerPatience:   settings.Duration(defaultOwnerPatience),
		},
		Drain: Drain{
			Notice:  settings.Duration(defaultDrainNotice),
			Longest: settings.Duration(defaultDrainLongest),
		},
		Placement: Placement{MinStay: settings.Duration(defaultMinStay)},
	}
}

// settingsError returns an error with the code InvalidSettings.
func settingsError(format string, args ...any) error {
	return result.New(result.InvalidSettings, format, args...)
}

// HoldsSecret implements settings.SecretHolder.
func (c *Config) HoldsSecret() bool { return c.MembershipKey != "" || c.Placement.OrderKey != "" }

// Validate implements settings.Validator.
func (c *Config) Validate() error {
	if !class.ValidName(c.Name) {
		return settingsError("name %q must have 1 to %d letters, digits, '-', '_' or '.'", c.Name, class.MaxNameLength)
	}
	if !class.ValidName(c.DataCentre) {
		return settingsError("data_centre %q must have 1 to %d letters, digits, '-', '_' or '.'", c.DataCentre, class.MaxNameLength)
	}
	if c.Routers < 0 || c.Routers > maxPeers {
		return settingsError("routers %d is outside 0 to %d", c.Routers, maxPeers)
	}
	if len(c.Control) > maxControlAddresses || len(c.Peers) > maxPeers {
		return settingsError("control may have at most %d addresses and peers at most %d entries", maxControlAddresses, maxPeers)
	}
	if err := c.validatePeers(); err != nil {
		return err
	}
	for name, a := range map[string]settings.Address{"peers": c.Listen.Peers, "membership": c.Listen.Membership, "admin": c.Listen.Admin} {
		if p, err := netip.ParseAddrPort(string(a)); err != nil || p.Addr().IsUnspecified() {
			return settingsError("listen.%s %q must have the IP address of the host, because other routers connect to it", name, a)
		}
	}
	if err := c.validateTLS(); err != nil {
		return err
	}
	if err := c.validatePlacement(); err != nil {
		return err
	}
	return c.validateLimits()
}

func (c *Config) validatePeers() error {
	seen := map[string]bool{c.Name: true}
	for _, p := range c.Peers {
		if !class.ValidName(p.Name) || !class.ValidName(p.DataCentre) || p.Address == "" {
			return settingsError("peers: entry %q needs name, data_centre and address", p.Name)
		}
		if seen[p.Name] {
			return settingsError("peers: name %q is used twice", p.Name)
		}
		seen[p.Name] = true
	}
	return nil
}

func (c *Config) validateTLS() error {
	for name, f := range map[string]TLSFiles{
		"callers": c.TLS.Callers, "announce": c.TLS.Announce, "peers": c.TLS.Peers, "admin": c.TLS.Admin,
	} {
		if (f.Certificate == "") != (f.Key == "") || f.ClientCA != "" && f.Certificate == "" {
			return settingsError("tls.%s: certificate and key must be set together, and client_ca requires them", name)
		}
	}
	if c.TLS.Control && (c.TLS.Peers.Certificate == "" || c.TLS.Peers.ClientCA == "") {
		return settingsError("tls.control requires certificate, key and client_ca of tls.peers")
	}
	return nil
}

func (c *Config) validateLimits() error {
	l := c.Limits
	if l.BodyBytes < minSizeLimit || l.BodyBytes > maxSizeLimit {
		return settingsError("limits.body_bytes %d is outside %d to %d", l.BodyBytes, minSizeLimit, maxSizeLimit)
	}
	if l.BodyMemoryBytes < l.BodyBytes {
		return settingsError("limits.body_memory_bytes %d is below limits.body_bytes %d", l.BodyMemoryBytes, l.BodyBytes)
	}
	if l.HeaderBytes < minSizeLimit || l.HeaderBytes > maxSizeLimit {
		return settingsError("limits.header_bytes %d is outside %d to %d", l.HeaderBytes, minSizeLimit, maxSizeLimit)
	}
	if l.OpenRequests < 1 || l.OpenRequests > maxOpenRequests {
		return settingsError("limits.open_requests %d is outside 1 to %d", l.OpenRequests, maxOpenRequests)
	}
	for name, d := range map[string]settings.Duration{
		"header_timeout": l.HeaderTimeout, "body_timeout": l.BodyTimeout, "write_timeout": l.WriteTimeout,
		"idle_timeout": l.IdleTimeout, "owner_patience": l.OwnerPatience,
	} {
		if d <= 0 {
			return settingsError("limits.%s must be above 0", name)
		}
	}
	if c.Drain.Notice.AsDuration() > maxDrainNotice || c.Drain.Longest <= 0 {
		return settingsError("drain.notice must be at most %s and drain.longest above 0", maxDrainNotice)
	}
	return nil
}
