package control

import (
	"time"
)

// Limits of the replicated state.
const (
	// RecordTTL is how long the record of a keyed request is kept after its
	// last change.
	RecordTTL = 24 * time.Hour
	// MaxRecords limits the records of all workspaces, MaxWorkspaceRecords
	// those of one workspace, so that one workspace cannot fill the table.
	MaxRecords          = 200_000
	MaxWorkspaceRecords = MaxRecords / 4
	// MaxAnswerBytes limits the body of one stored answer, MaxTotalAnswerBytes
	// all bodies together and MaxWorkspaceAnswerBytes those of one workspace.
	// An answer that exceeds a limit is stored as truncated, without its body.
	MaxAnswerBytes          = 64 << 10
	MaxTotalAnswerBytes     = 24 << 20
	MaxWorkspaceAnswerBytes = MaxTotalAnswerBytes / 4
	maxContentTypeBytes     = 128
	// MaxKeyBytes limits the length of an idempotency key.
	MaxKeyBytes = 255

	// SessionTTL is the time without a renewal after which the session of a
	// router ends. It exceeds the duration of an election plus two lost
	// renewals.
	SessionTTL = 15 * time.Second
	// endedSessionTTL is how long the incarnation of an ended session is kept,
	// so that a delayed Begin of an older incarnation is rejected. Calls end
	// after 10 s. A router that restarts with a smaller incarnation, because
	// its clock was set back, cannot record keyed requests during this time.
	endedSessionTTL = 10 * time.Minute
	maxSessions     = 10_000
	// abortTTL is how long an aborted attempt is kept, so that its delayed
	// Begin does not take the key again.
	abortTTL  = 10 * time.Minute
	maxAborts = 20_000

	// MaxCommandResults and maxCommandResultBytes limit the stored results of
	// operator commands; the oldest are evicted first. At 1,500 commands a day,
	// 10,000 results cover six days.
	MaxCommandResults     = 10_000
	maxCommandResultBytes = 8 << 20
	// MaxChangesPerCommand limits the changes in one command.
	MaxChangesPerCommand = 100

	// maxFences limits the lease records: fifteen per engine at the target
	// fleet size. fenceTTL is how long a record must be unchanged before it may
	// be evicted for another server; it is far longer than any lease.
	maxFences = 10_000
	fenceTTL  = time.Hour

	// maxClockAdvance limits how far one command moves the clock, so that after
	// a loss of the majority routers can renew their sessions before these end.
	maxClockAdvance = 2 * time.Second
)

// limits holds the limits that tests lower to reach them.
type limits struct {
	records, workspaceRecords                         int
	answerBytes, workspaceAnswerBytes                 int
	sessions, abortedAttempts, commandResults, fences int
	recordTTL, sessionTTL, endedSessionTTL            time.Duration
	abortTTL, fenceTTL, advance                       time.Duration // advance: of the clock, per command
}

func defaultLimits() limits {
	return limits{
		records: MaxRecords, workspaceRecords: MaxWorkspaceRecords,
		answerBytes: MaxTotalAnswerBytes, workspaceAnswerBytes: MaxWorkspaceAnswerBytes,
		sessions: maxSessions, abortedAttempts: maxAborts, commandResults: MaxCommandResults, fences: maxFences,
		recordTTL: RecordTTL, sessionTTL: SessionTTL, endedSessionTTL: endedSessionTTL,
		abortTTL: abortTTL, fenceTTL: fenceTTL, advance: maxClockAdvance,
	}
}
