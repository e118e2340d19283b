package control

import (
	"time"
)

// Bounds of the agreed state.
const (
	// RecordTTL is how long the record of a keyed request is kept after its
	// last change.
	RecordTTL = 24 * time.Hour
	// MaxRecords bounds all records, MaxWorkspaceRecords those of one
	// workspace, so that a workspace that floods leaves room for others.
	MaxRecords          = 200_000
	MaxWorkspaceRecords = MaxRecords / 4
	// MaxAnswerBytes bounds one stored answer. All stored answers together
	// stay within MaxAnswersTotal, those of one workspace within a quarter. A
	// larger answer is recorded as truncated, without its body.
	MaxAnswerBytes           = 64 << 10
	MaxAnswersTotal          = 24 << 20
	MaxWorkspaceAnswersTotal = MaxAnswersTotal / 4
	maxContentType           = 128 // bytes
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 255

	// SessionTTL is the time without a renewal after which a router counts as
	// gone. It exceeds an election and two lost renewals.
	SessionTTL = 15 * time.Second
	// sessionMemory is how long the incarnation of an ended session is kept,
	// so that a delayed Begin of an older one is refused. Calls end after
	// 10 s; a router that restarts with a lesser incarnation, because its
	// clock was set back, cannot record keyed requests for this long.
	sessionMemory = 10 * time.Minute
	maxSessions   = 10_000
	// abortMemory is how long an aborted attempt is kept, so that its delayed
	// Begin does not take the key again.
	abortMemory = 10 * time.Minute
	maxAborts   = 20_000

	// MaxResults and maxResultBytes bound the kept results of commands; the
	// oldest go first. At 1,500 commands a day 10,000 cover six days.
	MaxResults     = 10_000
	maxResultBytes = 8 << 20
	// MaxChanges bounds the changes of one command.
	MaxChanges = 100

	// maxFences bounds the records of leases, fifteen for each engine at the
	// size to design for. fenceMemory is how long one stands unchanged before
	// another server may take its place; it is far longer than any lease.
	maxFences   = 10_000
	fenceMemory = time.Hour

	// maxStep bounds how far one command moves the clock. After a time
	// without a majority, routers can then renew their sessions before these
	// end.
	maxStep = 2 * time.Second
)

// limits are the bounds that a test makes small enough to reach.
type limits struct {
	records, workspaceRecords            int
	answers, workspaceAnswers            int // bytes
	sessions, aborts, results, fences    int
	recordTTL, sessionTTL, sessionMemory time.Duration
	abortMemory, fenceMemory, step       time.Duration
}

func defaultLimits() limits {
	return limits{
		records: MaxRecords, workspaceRecords: MaxWorkspaceRecords,
		answers: MaxAnswersTotal, workspaceAnswers: MaxWorkspaceAnswersTotal,
		sessions: maxSessions, aborts: maxAborts, results: MaxResults, fences: maxFences,
		recordTTL: RecordTTL, sessionTTL: SessionTTL, sessionMemory: sessionMemory,
		abortMemory: abortMemory, fenceMemory: fenceMemory, step: maxStep,
	}
}
