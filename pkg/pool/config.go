package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
)

// Default parameters of an Owner.
const (
	// DefaultRecoveryWait is the time that a new owner without a handover
	// waits for held grants and load reports before it grants: one
	// membership period.
	DefaultRecoveryWait = 2 * time.Second
	// DefaultDistancePenalty is the distance penalty H in service units: a few
	// chat replies, so that slots are not lent to another data centre for a
	// small difference in fair-share value.
	DefaultDistancePenalty = 4_000
	// DefaultMaxWaitingPerWorkspace bounds the waiting asks of one workspace
	// at one owner.
	DefaultMaxWaitingPerWorkspace = 1_000
	// DefaultMaxWaitingTotal bounds the waiting asks of one owner and so its
	// memory: 50 MB at about 500 bytes per ask.
	DefaultMaxWaitingTotal = 100_000
	// DefaultLoanTTL is shorter than DefaultRecoveryWait, so that a loan from
	// a lost owner is used or expired before the next owner grants.
	DefaultLoanTTL = time.Second

	summaryBusyInterval = 250 * time.Millisecond // while asks wait
	summaryIdleInterval = time.Second
	// summaryMaxAge is the age from which a summary is ignored: its sender
	// missed three summaries at summaryIdleInterval.
	summaryMaxAge = 3 * time.Second
	// summaryMaxValues bounds the waiting values of each model in a summary.
	summaryMaxValues = 4

	affinityLoadBound    = 1.25 // times the mean requests per server
	minRetryAfter        = time.Second
	maxRetryAfter        = 5 * time.Minute
	housekeepingInterval = time.Second // longest time between two ticks
	maxSkipped           = 8           // asks set aside in one dispatch round
	// maxModels bounds the memory for models, whose names callers choose. The
	// pool itself counts as one.
	maxModels = 256
	// maxGrantDelay is the longest delivery time of a grant to its router,
	// including a reconnection.
	maxGrantDelay = 5 * time.Second
	// leakReportCount is the number of consecutive load reports with fewer
	// requests than slots in use after which the oldest loan is reclaimed:
	// its return was lost.
	leakReportCount = 10
	// silentServerTTL is the time without an announcement after which a
	// server without requests is removed.
	silentServerTTL = 10 * time.Minute
)

// Config holds the parameters of an Owner.
type Config struct {
	FairShare              fairshare.Config
	DistancePenalty        int64         // distance penalty H for lending, service units
	RecoveryWait           time.Duration // without grants after a start without a handover
	MaxWaitingPerWorkspace int           // asks per workspace
	MaxWaitingTotal        int           // asks of all workspaces
	LoanTTL                time.Duration // the lender reclaims an unconfirmed loan after twice this time
	LendingEnabled         bool          // send summaries and lend slots to other data centres
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		FairShare:              fairshare.DefaultConfig(),
		DistancePenalty:        DefaultDistancePenalty,
		RecoveryWait:           DefaultRecoveryWait,
		MaxWaitingPerWorkspace: DefaultMaxWaitingPerWorkspace,
		MaxWaitingTotal:        DefaultMaxWaitingTotal,
		LoanTTL:                DefaultLoanTTL,
		LendingEnabled:         true,
	}
}
