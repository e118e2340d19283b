// Package membership maintains the list of live routers with the SWIM protocol:
// periodic probes, indirect probes, suspicions that the suspected member can
// refute, and updates that are piggybacked on the probes.
//
// Swim is a deterministic state machine: it is given the current time, reads no
// clock, starts no goroutine and returns the datagrams to send. Node runs it over
// UDP.
package membership

import "time"

// Protocol times and sizes.
const (
	ProbeInterval      = 500 * time.Millisecond // the protocol period of SWIM
	probeTimeout       = 200 * time.Millisecond // direct probe, before indirect probes are sent
	indirectProbeCount = 3

	// suspicionTimeoutBase is multiplied by log10 of the number of members, at
	// least 1, because a refutation needs that many more rounds to spread.
	suspicionTimeoutBase = 2 * ProbeInterval

	// reminderLeadTime is how long before the end of a suspicion every member
	// that holds it pings the suspect again.
	reminderLeadTime = 2 * ProbeInterval

	gossipInterval         = 200 * time.Millisecond // only while updates are queued
	gossipFanOut           = 2
	deadProbeInterval      = time.Second
	seedProbeInterval      = 5 * time.Second
	joinProbeInterval      = 500 * time.Millisecond // while no live member is known
	syncInterval           = 2 * time.Second        // between two exchanges of tables
	syncPageInterval       = 200 * time.Millisecond // between two pages of an exchange
	maxDeadClaimsPerPeriod = 5                      // checked per probe interval

	// DeadMemberRetention is how long a dead or left member stays in the table.
	// Dead members are probed for that time, so that both sides of a healed
	// partition find each other.
	DeadMemberRetention = 10 * time.Minute

	// MaxPacketBytes is the maximum size of a datagram, so that it fits into one
	// Ethernet frame.
	MaxPacketBytes = 1200

	// retransmitFactor times log10 of the number of members, rounded up, is the
	// number of times that a member sends one update.
	retransmitFactor = 3

	// Token bucket for the updates that one member sends. It keeps a mass restart
	// or a healed partition within the target for control traffic. New updates
	// are sent first.
	updateBytesPerSecond = 2000.0
	updateBurstBytes     = 4000.0

	// stallThreshold is the time between two ticks from which on this process
	// counts as having been stopped. It could then not receive acks, so missing
	// ones are no sign of a failure.
	stallThreshold = 2 * ProbeInterval
)

// Status is the state of a member in the view of this router.
type Status int

// Statuses, with the numbers of api/v1. For the same incarnation and version a
// status overrides those before it.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // shut down gracefully
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
	Incarnation   uint64 // of the process, rises with each restart
	GossipAddress string // IP and UDP port
	PeerAddress   string // IP and port of the peer exchange
	AdminAddress  string // IP and port
	Draining      bool
	Status        Status
	StatusSince   time.Time // time of the last change of Status
}

// IsLive reports whether the member is alive or suspect. A suspect counts as
// live, because most suspicions are refuted.
func (m Member) IsLive() bool { return m.Status == Alive || m.Status == Suspect }

// entry is a member in the table, with its protocol state.
type entry struct {
	Member
	version           uint32    // incremented by the member to refute a suspicion or change its record
	suspicionDeadline time.Time // end of the suspicion
	notifySuspect     bool      // this router started the suspicion and pings the suspect each period
}
