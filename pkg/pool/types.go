// Package pool implements the owner of one pool shard. It queues requests for
// slots (asks), orders them by fair share and deadline, chooses a BackendServer
// with a free slot, and lends free slots to the owners of the same pool in
// other data centres.
//
// An Owner is a pure state machine. Every input takes the present time, and the
// outputs are collected until TakeOutput. It starts no goroutine and is not
// safe for concurrent use: the caller holds the lock of the shard.
package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// ShardID identifies one shard of a pool in one data centre.
type ShardID struct {
	DataCentre string
	Pool       string
	Shard      uint32
}

// RouterID identifies one incarnation of a router.
type RouterID struct {
	Name        string
	DataCentre  string
	Incarnation uint64
}

// Ask requests a slot for one waiting request. Router and RequestID identify
// the ask: a repeated one is not queued twice.
type Ask struct {
	Router      RouterID
	RequestID   uint64 // unique within the router incarnation
	Workspace   string
	Class       class.Class
	Model       string
	Arrived     time.Time // arrival at the router, on the owner's clock
	HintUnits   uint64    // caller's cost hint in service units, 0 if none
	PromptUnits uint32    // service units of the prompt, 0 for services
	PrefixHash  uint64    // 0 if there is no prefix
	Avoid       []string  // names of servers that must not be chosen
	TakesUp     bool      // asks for the rest of a stream
	// SendTo asks for one more send to this server for a request that holds a slot there.
	// It is granted with the GrantID 0, and no slot.
	SendTo string
}

// Grant allows one request to be sent to one BackendServer.
type Grant struct {
	Router        RouterID
	RequestID     uint64
	GrantID       uint64
	Epoch         uint64
	Server        string
	Address       string // IP and port
	BootID        uint64
	Abilities     backend.Abilities // only those that api/v1 transmits
	EstimateUnits uint64            // service units that the owner charged
	Limited       bool              // the server has stated a limit on requests a second
}

// Refusal answers an ask without a grant. The request has not run.
type Refusal struct {
	Router     RouterID
	RequestID  uint64
	Code       result.Code
	RetryAfter time.Duration
}

// Outcome is how a granted request ended. The zero value stands for an unknown
// end.
type Outcome int

// Outcomes, with the numbers of api/v1.
const (
	OutcomeOK Outcome = iota + 1
	OutcomeUnused
	OutcomeConnectFailed
	OutcomeBroken
	OutcomeSilent
	OutcomeCancelled
	OutcomeServerError
)

// Settle ends a grant with the actual cost and the measured latencies.
type Settle struct {
	GrantID       uint64
	Epoch         uint64
	Outcome       Outcome
	CostUnits     uint64        // service units
	FirstToken    time.Duration // dispatch to first token, 0 if unknown
	TokenInterval time.Duration // mean over the answer, 0 if unknown
}

// HeldGrant is an open grant that a router reports to a new owner, or that an
// owner hands over.
type HeldGrant struct {
	Router        RouterID
	GrantID       uint64
	Epoch         uint64
	RequestID     uint64
	Server        string
	Workspace     string
	Class         string
	EstimateUnits uint64 // service units that an owner charged
}

// WaitingValue is the number of waiting asks with the same fair-share value.
type WaitingValue struct {
	Value int64 // service units
	Count uint32
}

// Summary is the state that an owner sends to the owners of the same pool in
// other data centres.
type Summary struct {
	From      ShardID
	Epoch     uint64
	FreeSlots uint32
	Waiting   uint32         // waiting asks
	Floor     int64          // lowest fair-share value in service units, valid if Waiting > 0
	Lowest    []WaitingValue // lowest waiting values, ascending for each model
}

// Loan lends free slots of one BackendServer to the owner of the same pool in
// another data centre.
type Loan struct {
	From      ShardID
	To        ShardID
	LoanID    uint64
	Epoch     uint64
	Server    string
	Address   string
	BootID    uint64
	Slots     uint32
	Models    []string          // models that the server serves besides that of its pool
	Abilities backend.Abilities // only those that api/v1 transmits
	TTL       time.Duration     // the lender reclaims unconfirmed slots after twice this time
	Limited   bool              // the server has stated a limit on requests a second
}

// LoanReturn returns slots of a loan, unused or after their requests ended. It
// confirms the slots that it does not return.
type LoanReturn struct {
	From   ShardID // the borrower
	To     ShardID // the lender
	LoanID uint64
	Epoch  uint64
	Unused uint32   // slots
	Used   []Settle // one for each slot whose request ended
}

// ServerState is the state of one BackendServer in a handover.
type ServerState struct {
	Announcement []byte // JSON
	Limit        int    // over all routers
	Cold         bool
	Unsettled    int // slots in use besides the grants: lent ones and those with an unknown end
	Limited      bool
	PerSecond    float64       // limit that the server has stated, requests a second
	LimitAge     time.Duration // since the server last stated it
}

// Handover passes a shard to its next owner. The sender grants nothing after it.
type Handover struct {
	Shard   ShardID
	Epoch   uint64
	Servers []ServerState
	Grants  []HeldGrant
}

// Output holds the messages that an Owner wants sent.
type Output struct {
	Grants      []Grant
	Refusals    []Refusal
	Loans       []Loan
	LoanReturns []LoanReturn
	Summaries   []Summary // for each owner of the same pool in another data centre
	// ForwardedLimits are for the owners of borrowed servers.
	ForwardedLimits []ForwardedLimit
	LimitChanges    []LimitChange // for the log
}
