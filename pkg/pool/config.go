package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
)

// Defaults of an Owner.
const (
	// DefaultRecoveryWait is the time that a new owner without a hand-over
	// waits for held grants and load reports: one membership period.
	DefaultRecoveryWait = 2 * time.Second
	// DefaultDistance is the distance penalty H in service units: a few chat
	// replies, so that slots do not change data centres for small gaps.
	DefaultDistance = 4_000
	// DefaultMaxWaiting is the number of waiting asks of one workspace.
	DefaultMaxWaiting = 1_000
	// DefaultMaxWaitingTotal bounds the memory of one owner: at about 500
	// bytes an ask, 50 MB.
	DefaultMaxWaitingTotal = 100_000
	// DefaultLoanTTL is shorter than DefaultRecoveryWait, so that a loan of
	// a lost owner is used or void before the next owner grants.
	DefaultLoanTTL = time.Second

	summaryBusyInterval = 250 * time.Millisecond
	summaryIdleInterval = time.Second
	// summaryMaxAge is the age above which a summary is not used: its
	// sender missed three.
	summaryMaxAge = 3 * time.Second
	// summaryLowest is the number of waiting values in a summary.
	summaryLowest = 4

	affinityLoadBound = 1.25 // times the mean load of the pool
	minRetryAfter     = time.Second
	maxRetryAfter     = 5 * time.Minute
	housekeeping      = time.Second // longest time between two ticks
	maxAside          = 8           // asks that one round passes over
	// maxLanes bounds the models that callers can name.
	maxLanes = 256
	// grantTravel is the longest time that a grant is on its way to its
	// router, with a reconnection.
	grantTravel = 5 * time.Second
	// leakReports is the number of load reports in a row that show fewer
	// running requests than are counted before an old loan ends: its return
	// was lost.
	leakReports = 10
	// forgetAfter is the silence after which a server is forgotten.
	forgetAfter = 10 * time.Minute
)

// Config holds the parameters of an Owner.
type Config struct {
	Fair            fairshare.Config
	Distance        int64 // H, service units
	RecoveryWait    time.Duration
	MaxWaiting      int // per workspace
	MaxWaitingTotal int
	LoanTTL         time.Duration
	Lend            bool // take part in loans between data centres
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Fair:            fairshare.DefaultConfig(),
		Distance:        DefaultDistance,
		RecoveryWait:    DefaultRecoveryWait,
		MaxWaiting:      DefaultMaxWaiting,
		MaxWaitingTotal: DefaultMaxWaitingTotal,
		LoanTTL:         DefaultLoanTTL,
		Lend:            true,
	}
}
