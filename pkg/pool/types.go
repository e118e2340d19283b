// Package pool is the owner of one pool shard: it queues asks, orders them by
// fair share and deadline, chooses a BackendServer with a free slot, and lends
// free slots to the owners of the same pool in other data centres.
//
// An Owner is a pure state machine. Every input takes the present time; the
// outputs collect until Take. It starts no goroutine and is not safe for
// concurrent use: its caller holds the pool lock.
package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// ShardID names one shard of a pool in one data centre.
type ShardID struct {
	DataCentre string
	Pool       string
	Shard      uint32
}

// RouterID names one incarnation of a router.
type RouterID struct {
	Name        string
	DataCentre  string
	Incarnation uint64
}

// Ask requests a slot for one waiting request. An ask with the same Router and
// RequestID as a waiting one replaces it and keeps its place.
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
	Avoid       []string  // servers that must not be chosen
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
	Abilities     backend.Abilities // those that api/v1 carries
	EstimateUnits uint64            // service units that the owner charged
}

// Refusal ends an ask without a grant. The request has not run.
type Refusal struct {
	Router     RouterID
	RequestID  uint64
	Code       result.Code
	RetryAfter time.Duration
}

// Outcome tells how a granted request ended.
type Outcome int

// Outcomes, with the same numbers as in api/v1.
const (
	OutcomeOK Outcome = iota + 1
	OutcomeUnused
	OutcomeConnectFailed
	OutcomeBroken
	OutcomeSilent
	OutcomeCancelled
	OutcomeServerError
)

// Settle returns a slot with the true cost and the observed latencies.
type Settle struct {
	GrantID       uint64
	Epoch         uint64
	Outcome       Outcome
	CostUnits     uint64
	FirstToken    time.Duration // dispatch to first token, 0 if unknown
	TokenInterval time.Duration // mean over the answer, 0 if unknown
}

// HeldGrant is a grant in use, re-reported to a new owner or handed over.
type HeldGrant struct {
	Router        RouterID
	GrantID       uint64
	Epoch         uint64
	RequestID     uint64
	Server        string
	Workspace     string
	Class         string
	EstimateUnits uint64
}

// WaitingValue is a number of waiting asks with one fair queue value.
type WaitingValue struct {
	Value int64 // service units
	Count uint32
}

// Summary is what an owner tells the owners of the same pool elsewhere.
type Summary struct {
	From      ShardID
	Epoch     uint64
	FreeSlots uint32
	Waiting   uint32
	Floor     int64 // service units, valid if Waiting > 0
	Lowest    []WaitingValue
}

// Loan lends free slots of one BackendServer to another owner of the pool.
type Loan struct {
	From      ShardID
	To        ShardID
	LoanID    uint64
	Epoch     uint64
	Server    string
	Address   string
	BootID    uint64
	Slots     uint32
	Models    []string          // models that the server serves besides its pool
	Abilities backend.Abilities // those that api/v1 carries
	TTL       time.Duration     // unused slots lapse at the lender after this time
}

// LoanReturn gives back slots of a loan, unused or after use.
type LoanReturn struct {
	From   ShardID // the borrower
	To     ShardID // the lender
	LoanID uint64
	Epoch  uint64
	Unused uint32
	Used   []Settle
}

// ServerState is the state of one BackendServer in a hand-over.
type ServerState struct {
	Announcement []byte // JSON
	Limit        int
	Cold         bool
	Unsettled    int // slots in use beside the grants: lent ones and those whose end is not known
}

// Handover passes a shard to its next owner. The sender grants nothing after.
type Handover struct {
	Shard   ShardID
	Epoch   uint64
	Servers []ServerState
	Grants  []HeldGrant
}

// Output is what an Owner wants sent.
type Output struct {
	Grants      []Grant
	Refusals    []Refusal
	Loans       []Loan
	LoanReturns []LoanReturn
	Summaries   []Summary // for every owner of the same pool elsewhere
}
