package router

import (
	"net/netip"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Defaults of Config.
const (
	defaultBodyBytes      = 4 << 20
	defaultHeaderBytes    = 32 << 10
	defaultOpenRequests   = 8192
	defaultBodyMemory     = 512 << 20
	defaultHeaderTimeout  = 5 * time.Second
	defaultBodyTimeout    = 30 * time.Second
	defaultWriteTimeout   = 30 * time.Second
	defaultIdleTimeout    = 75 * time.Second
	defaultDrainNotice    = 5 * time.Second
	defaultDrainLongest   = 15 * time.Minute
	defaultOwnerPatience  = 6 * time.Second
	smallestBodyLimit     = 1 << 10
	largestBodyLimit      = 256 << 20
	largestOpenRequests   = 1 << 20
	largestDrainNotice    = 10 * time.Minute
	defaultLogLevel       = "info"
	loopbackCallers       = "127.0.0.1:7400"
	loopbackAnnounce      = "127.0.0.1:7401"
	loopbackPeers         = "127.0.0.1:7402"
	loopbackMembership    = "127.0.0.1:7403"
	loopbackAdmin         = "127.0.0.1:7404"
	maxPeersInSettings    = 1024
	maxControlsInSettings = 16
)

// Config is the settings file of a router.
type Config struct {
	Name       string             `yaml:"name"`
	DataCentre string             `yaml:"data_centre"`
	LogLevel   string             `yaml:"log_level"`
	Listen     Listen             `yaml:"listen"`
	TLS        TLS                `yaml:"tls"`
	Control    []settings.Address `yaml:"control"`
	Seeds      []settings.Address `yaml:"seeds"` // membership addresses of other routers
	// Routers is the number of routers of the data centre, 0 if not stated.
	Routers int `yaml:"routers"`
	// MembershipKey is shared by all routers and authenticates their datagrams.
	MembershipKey string       `yaml:"membership_key"`
	Peers         []PeerConfig `yaml:"peers"`
	Limits        Limits       `yaml:"limits"`
	Drain         Drain        `yaml:"drain"`
	Placement     Placement    `yaml:"placement"`
}

// Listen holds the addresses of the listeners.
type Listen struct {
	Callers    settings.Address `yaml:"callers"`
	Announce   settings.Address `yaml:"announce"`
	Peers      settings.Address `yaml:"peers"`
	Membership settings.Address `yaml:"membership"` // UDP
	Admin      settings.Address `yaml:"admin"`
}

// TLS holds the optional TLS files of each TCP listener.
type TLS struct {
	Callers  TLSFiles `yaml:"callers"`
	Announce TLSFiles `yaml:"announce"`
	Peers    TLSFiles `yaml:"peers"`
	Admin    TLSFiles `yaml:"admin"`
	// Control says that the control hosts use TLS. The router then calls them
	// with the files of Peers.
	Control bool `yaml:"control"`
}

// TLSFiles names PEM files. ClientCA, if set, requires a client certificate.
type TLSFiles struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	ClientCA    string `yaml:"client_ca"`
}

// PeerConfig names another router of a fleet without membership.
type PeerConfig struct {
	Name       string           `yaml:"name"`
	DataCentre string           `yaml:"data_centre"`
	Address    settings.Address `yaml:"address"`
}

// Limits bounds what callers can make a router hold.
type Limits struct {
	BodyBytes       int64             `yaml:"body_bytes"`
	BodyMemoryBytes int64             `yaml:"body_memory_bytes"` // of all open requests
	HeaderBytes     int               `yaml:"header_bytes"`
	OpenRequests    int               `yaml:"open_requests"`
	HeaderTimeout   settings.Duration `yaml:"header_timeout"`
	BodyTimeout     settings.Duration `yaml:"body_timeout"`
	WriteTimeout    settings.Duration `yaml:"write_timeout"` // of one piece of an answer
	IdleTimeout     settings.Duration `yaml:"idle_timeout"`
	OwnerPatience   settings.Duration `yaml:"owner_patience"` // wait for a lost owner
}

// Drain states the times of a graceful shutdown.
type Drain struct {
	Notice  settings.Duration `yaml:"notice"`  // listeners stay open after readiness fell
	Longest settings.Duration `yaml:"longest"` // for running answers
}

// NewConfig returns the defaults. All listeners are on loopback.
func NewConfig() *Config {
	return &Config{
		LogLevel: defaultLogLevel,
		Listen: Listen{
			Callers:    loopbackCallers,
			Announce:   loopbackAnnounce,
			Peers:      loopbackPeers,
			Membership: loopbackMembership,
			Admin:      loopbackAdmin,
		},
		Limits: Limits{
			BodyBytes:       defaultBodyBytes,
			BodyMemoryBytes: defaultBodyMemory,
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

func refuse(format string, args ...any) error {
	return result.New(result.InvalidSettings, format, args...)
}

// HoldsSecret implements settings.SecretHolder.
func (c *Config) HoldsSecret() bool { return c.MembershipKey != "" || c.Placement.OrderKey != "" }

// Validate implements settings.Validator.
func (c *Config) Validate() error {
	if !class.ValidName(c.Name) {
		return refuse("name %q: 1 to %d letters, digits, '-', '_' or '.'", c.Name, class.MaxNameLength)
	}
	if !class.ValidName(c.DataCentre) {
		return refuse("data_centre %q: 1 to %d letters, digits, '-', '_' or '.'", c.DataCentre, class.MaxNameLength)
	}
	if c.Routers < 0 || c.Routers > maxPeersInSettings {
		return refuse("routers %d is outside 0 to %d", c.Routers, maxPeersInSettings)
	}
	if len(c.Control) > maxControlsInSettings || len(c.Peers) > maxPeersInSettings {
		return refuse("control: at most %d addresses; peers: at most %d entries", maxControlsInSettings, maxPeersInSettings)
	}
	if err := c.validatePeers(); err != nil {
		return err
	}
	for name, a := range map[string]settings.Address{"peers": c.Listen.Peers, "membership": c.Listen.Membership, "admin": c.Listen.Admin} {
		if p, err := netip.ParseAddrPort(string(a)); err != nil || p.Addr().IsUnspecified() {
			return refuse("listen.%s %q: other routers are told this address, so it needs the IP of the host", name, a)
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
			return refuse("peers: entry %q needs name, data_centre and address", p.Name)
		}
		if seen[p.Name] {
			return refuse("peers: name %q is used twice", p.Name)
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
			return refuse("tls.%s: certificate and key go together", name)
		}
	}
	if c.TLS.Control && (c.TLS.Peers.Certificate == "" || c.TLS.Peers.ClientCA == "") {
		return refuse("tls.control: control hosts are called with certificate, key and client_ca of tls.peers")
	}
	return nil
}

func (c *Config) validateLimits() error {
	l := c.Limits
	if l.BodyBytes < smallestBodyLimit || l.BodyBytes > largestBodyLimit {
		return refuse("limits.body_bytes %d is outside %d to %d", l.BodyBytes, smallestBodyLimit, largestBodyLimit)
	}
	if l.BodyMemoryBytes < l.BodyBytes {
		return refuse("limits.body_memory_bytes %d is below limits.body_bytes %d", l.BodyMemoryBytes, l.BodyBytes)
	}
	if l.HeaderBytes < smallestBodyLimit || l.HeaderBytes > largestBodyLimit {
		return refuse("limits.header_bytes %d is outside %d to %d", l.HeaderBytes, smallestBodyLimit, largestBodyLimit)
	}
	if l.OpenRequests < 1 || l.OpenRequests > largestOpenRequests {
		return refuse("limits.open_requests %d is outside 1 to %d", l.OpenRequests, largestOpenRequests)
	}
	for name, d := range map[string]settings.Duration{
		"header_timeout": l.HeaderTimeout, "body_timeout": l.BodyTimeout, "write_timeout": l.WriteTimeout,
		"idle_timeout": l.IdleTimeout, "owner_patience": l.OwnerPatience,
	} {
		if d <= 0 {
			return refuse("limits.%s must be above 0", name)
		}
	}
	if c.Drain.Notice.Std() > largestDrainNotice || c.Drain.Longest <= 0 {
		return refuse("drain.notice is at most %s and drain.longest is above 0", largestDrainNotice)
	}
	return nil
}
