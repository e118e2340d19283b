// Package backend defines the announcements with which a BackendServer (a model
// engine or a plain service) registers itself with the fleet.
package backend

import (
	"encoding/json"
	"io"
	"net/netip"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Limits of an announcement.
const (
	MaxAnnouncementBytes = 16 << 10
	MaxModels            = 64
	MaxLoadable          = 64
	MaxSlots             = 4096
	// MaxReported bounds the counts of a load report, so that their sums and products
	// cannot overflow, and MaxLoadAge its age. Reports lag by seconds.
	MaxReported = 1 << 20
	MaxLoadAge  = time.Hour

	// AnnounceInterval is how often a BackendServer announces itself.
	AnnounceInterval = time.Second
	// AnnouncementTimeout is the time without an announcement after which a
	// BackendServer receives no new requests.
	AnnouncementTimeout = 3 * time.Second
)

// Kind distinguishes model engines from plain services.
type Kind string

// Kinds of BackendServer.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// State is the lifecycle state that a BackendServer announces.
type State string

// States of a BackendServer.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Leaving  State = "leaving"
)

// Load is a load report. Its values are older than the announcement by the
// server's reporting lag.
type Load struct {
	Running        int   `json:"running"`  // executing requests
	Waiting        int   `json:"waiting"`  // admitted requests that are not executing yet
	AgeMS          int64 `json:"age_ms"`   // milliseconds since the values were sampled
	CachedPrefixes int   `json:"cached"`   // prompt prefixes in the cache
	TotalRequests  int64 `json:"requests"` // requests since the server started
}

// Abilities are the optional functions of a BackendServer.
type Abilities struct {
	Resume      bool `json:"resume"`       // resumes a stream at a byte offset
	Cancel      bool `json:"cancel"`       // cancels a request by its id
	KVTransfer  bool `json:"kv_transfer"`  // exports and imports its KV cache
	CheckFence  bool `json:"check_fence"`  // rejects orders with an outdated fencing token
	RepeatsID   bool `json:"repeats_id"`   // echoes the request id in responses
	CacheEvents bool `json:"cache_events"` // publishes prefix cache events
}

// Announcement is the message that a BackendServer sends every
// AnnounceInterval and immediately after a change of state.
type Announcement struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"data_centre"`
	Address    string   `json:"address"` // IP and port
	Pool       string   `json:"pool"`    // base model or service
	Kind       Kind     `json:"kind"`
	Models     []string `json:"models"`             // models and adapters that it serves
	Loadable   []string `json:"loadable,omitempty"` // pools that it can serve after a load order
	BootID     uint64   `json:"boot_id"`
	// SoftwareVersion is the version of the process that BootID names.
	SoftwareVersion Version   `json:"software_version,omitempty"`
	Slots           int       `json:"slots"` // advertised concurrency, 0 if unknown
	ColdSlots       int       `json:"cold_slots"`
	State           State     `json:"state"`
	Abilities       Abilities `json:"abilities"`
	Load            Load      `json:"load"`
}

// Decode reads and validates one announcement of at most MaxAnnouncementBytes.
// Errors have the code AnnouncementRefused.
func Decode(r io.Reader) (Announcement, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxAnnouncementBytes+1))
	if err != nil {
		return Announcement{}, result.Wrap(result.AnnouncementRefused, err, "announcement cannot be read")
	}
	var a Announcement
	if err = json.Unmarshal(data, &a); err != nil || len(data) > MaxAnnouncementBytes {
		return Announcement{}, result.Wrap(result.AnnouncementRefused, err, "server %.64q: announcement is not one JSON object of at most %d bytes", a.Name, MaxAnnouncementBytes)
	}
	return a, a.Validate()
}

// isServerAddress reports whether a server can have the address.
func isServerAddress(address string) bool {
	at, err := netip.ParseAddrPort(address)
	ip := at.Addr()
	return err == nil && at.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() && at.String() == address
}

// Validate returns an AnnouncementRefused error for the first value that is
// out of range.
func (a Announcement) Validate() error {
	refusalErrorf := func(format string, args ...any) error {
		return result.New(result.AnnouncementRefused, format, args...)
	}
	if !class.ValidName(a.Name) || !class.ValidName(a.DataCentre) || !class.ValidName(a.Pool) {
		return refusalErrorf("name %.64q, data centre %.64q or pool %.64q is not valid", a.Name, a.DataCentre, a.Pool)
	}
	if !isServerAddress(a.Address) {
		return refusalErrorf("server %s: address %.64q is not IP and port of a server", a.Name, a.Address)
	}
	if a.Kind != Engine && a.Kind != Service {
		return refusalErrorf("server %s: kind %q is not engine or service", a.Name, a.Kind)
	}
	if a.State != Starting && a.State != Ready && a.State != Leaving {
		return refusalErrorf("server %s: state %q is not starting, ready or leaving", a.Name, a.State)
	}
	if a.BootID == 0 {
		return refusalErrorf("server %s: boot id is missing", a.Name)
	}
	if len(a.Models) > MaxModels {
		return refusalErrorf("server %s: %d models, at most %d", a.Name, len(a.Models), MaxModels)
	}
	if len(a.Loadable) > MaxLoadable || slices.ContainsFunc(a.Loadable, func(p string) bool { return !class.ValidName(p) }) {
		return refusalErrorf("server %s: loadable has more than %d entries or an invalid name", a.Name, MaxLoadable)
	}
	if a.Slots < 0 || a.Slots > MaxSlots || a.ColdSlots < 0 || a.ColdSlots > MaxSlots {
		return refusalErrorf("server %s: slots %d or cold slots %d outside 0 to %d", a.Name, a.Slots, a.ColdSlots, MaxSlots)
	}
	l := a.Load
	if min(l.Running, l.Waiting, l.CachedPrefixes) < 0 || max(l.Running, l.Waiting, l.CachedPrefixes) > MaxReported || l.TotalRequests < 0 {
		return refusalErrorf("server %s: load report contains a count outside 0 to %d", a.Name, MaxReported)
	}
	if l.AgeMS < 0 || l.AgeMS > MaxLoadAge.Milliseconds() {
		return refusalErrorf("server %s: age of the load report, %d ms, is outside 0 to %s", a.Name, l.AgeMS, MaxLoadAge)
	}
	return nil
}

// ServesModel reports whether the BackendServer serves the model. An empty
// model and the name of the pool always match.
func (a Announcement) ServesModel(model string) bool {
	return model == "" || model == a.Pool || slices.Contains(a.Models, model)
}
