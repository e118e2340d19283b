// Package controlhost runs one control host: settings, replica, gRPC server,
// admin server and shutdown.
package controlhost

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Defaults of Settings. By default, listeners use the loopback interface only.
const (
	DefaultListen   = "127.0.0.1:7400"
	DefaultAdmin    = "127.0.0.1:7401"
	DefaultLogLevel = "info"
)

// Settings are the settings of a control host, see docs/configuration.md.
type Settings struct {
	ID            uint64                 `yaml:"id"`
	DataFolder    string                 `yaml:"data_folder"`
	Listen        settings.Address       `yaml:"listen"`
	Advertise     settings.Address       `yaml:"advertise"`
	Admin         settings.Address       `yaml:"admin"`
	Members       []Member               `yaml:"members"`
	FirstOperator FirstOperator          `yaml:"first_operator"`
	TLS           controlclient.TLSFiles `yaml:"tls"`
	LogLevel      string                 `yaml:"log_level"`
}

// Member is one control host of a new group.
type Member struct {
	ID      uint64           `yaml:"id"`
	Address settings.Address `yaml:"address"`
}

// FirstOperator is created if the configuration is empty.
type FirstOperator struct {
	Name    string `yaml:"name"`
	KeyHash string `yaml:"key_hash"` // SHA-256, hexadecimal
}

// NewSettings returns the defaults.
func NewSettings() *Settings {
	return &Settings{Listen: DefaultListen, Admin: DefaultAdmin, LogLevel: DefaultLogLevel}
}

// HoldsSecret implements settings.SecretHolder. The hash of a weak key can be
// reversed, so it counts as a secret.
func (s *Settings) HoldsSecret() bool { return s.FirstOperator.KeyHash != "" }

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if s.ID == 0 {
		return invalidSettings("id: must be at least 1")
	}
	if s.DataFolder == "" {
		return invalidSettings("data_folder is missing")
	}
	if s.Listen == "" || s.Admin == "" {
		return invalidSettings("listen and admin must not be empty")
	}
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	if err := s.validateMembers(); err != nil {
		return err
	}
	if err := s.FirstOperator.validate(); err != nil {
		return err
	}
	return s.TLS.Validate()
}

func (s *Settings) validateMembers() error {
	if a, err := netip.ParseAddrPort(string(s.Advertise)); err != nil || a.Addr().IsUnspecified() || a.Port() == 0 {
		return invalidSettings("advertise (or listen) %q: must be an IP address and port at which other members reach this host", s.Advertise)
	}
	ids := map[uint64]bool{}
	addresses := map[settings.Address]bool{}
	for _, m := range s.Members {
		if m.ID == 0 || m.Address == "" || ids[m.ID] || addresses[m.Address] {
			return invalidSettings("members: %d at %q: ids and addresses must be set and unique", m.ID, m.Address)
		}
		if m.ID == s.ID && m.Address != s.Advertise {
			return invalidSettings("members: this host has id %d and address %s, not %s", m.ID, s.Advertise, m.Address)
		}
		ids[m.ID], addresses[m.Address] = true, true
	}
	if len(s.Members) > 0 && !ids[s.ID] {
		return invalidSettings("members: this host, id %d, is missing; leave members empty to join a group", s.ID)
	}
	return nil
}

func (f FirstOperator) validate() error {
	if f == (FirstOperator{}) {
		return nil
	}
	if !class.ValidName(f.Name) {
		return invalidSettings("first_operator: name %q is not valid", f.Name)
	}
	if hash, err := hex.DecodeString(f.KeyHash); err != nil || len(hash) != sha256.Size {
		return invalidSettings("first_operator: key_hash must be a SHA-256 hash in hexadecimal")
	}
	return nil
}

func (f FirstOperator) catalogOperator() catalog.Operator {
	hash, _ := hex.DecodeString(f.KeyHash) // Validate has checked the encoding
	return catalog.Operator{Name: f.Name, KeyHash: hash}
}

func invalidSettings(format string, args ...any) error {
	return result.New(result.InvalidSettings, format, args...)
}
