// Package membership keeps the list of live routers with the SWIM protocol:
// periodic probes, indirect probes, suspicion that the suspected member can
// refute, and updates carried by the probes.
//
// Swim is a pure state machine: it takes the present time, reads no clock,
// starts no goroutine and returns the datagrams to send. Node drives it over
// UDP.
package membership

import "time"

// Protocol times and sizes.
const (
	ProbeInterval  = 500 * time.Millisecond
	probeTimeout   = 200 * time.Millisecond // before indirect probes
	indirectProbes = 3

	// suspicionBase is multiplied by log10 of the number of members, at least
	// 1, because a refutation needs that many more rounds to spread.
	suspicionBase = 2 * ProbeInterval

	// reminderTime before the end of a suspicion every member that holds it
	// asks the suspect itself.
	reminderTime = 2 * ProbeInterval

	gossipInterval    = 200 * time.Millisecond // only while there are updates
	gossipFanOut      = 2
	deadProbeInterval = time.Second
	seedInterval      = 5 * time.Second
	seedFirstInterval = 500 * time.Millisecond // while no member is known
	syncInterval      = 2 * time.Second        // between exchanges of tables that differ
	syncNextPage      = 200 * time.Millisecond // while an exchange brings news
	claimsPerTick     = 5                      // dead claims checked per probe interval

	// KnownFor is how long a dead member stays listed and is probed, so that
	// both sides of a healed partition find each other.
	KnownFor = 10 * time.Minute

	// MaxPacketBytes keeps a datagram within one Ethernet frame.
	MaxPacketBytes = 1200

	// retransmitFactor times log10 of the number of members is how often one
	// member passes on one update.
	retransmitFactor = 3

	// Updates of one member use at most updateRate, so that a mass restart or
	// a healed partition stays within the target for control traffic. New
	// updates go first.
	updateRate  = 2000.0 // bytes per second
	updateBurst = 4000.0 // bytes

	// stallLimit is a gap between two ticks after which this process itself
	// was stopped, so that silence of others proves nothing.
	stallLimit = 2 * ProbeInterval
)

// Status is what this router believes of a member.
type Status int

// Statuses, with the numbers of api/v1. A later status overrides an earlier
// one of the same incarnation and version.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // ended gracefully
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Member is one router of the fleet.
type Member struct {
	Name          string
	DataCentre    string
	Role          string
	Incarnation   uint64 // one per process start, rises with each restart
	GossipAddress string // IP and UDP port
	PeerAddress   string // IP and port of the peer exchange
	AdminAddress  string // IP and port
	Draining      bool
	Status        Status
	Since         time.Time // when the status was taken
}

// Live reports whether the member is believed to run. A suspect still counts:
// most suspicions are refuted.
func (m Member) Live() bool { return m.Status == Alive || m.Status == Suspect }

// entry is a member with its protocol state.
type entry struct {
	Member
	version  uint32    // raised by the member to refute or to change its record
	deadline time.Time // end of the suspicion
	notify   bool      // this node started the suspicion and tells the member
}
