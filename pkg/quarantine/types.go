// Package quarantine decides which prompt parts, and which requests that are repeated
// whole, crash the backend servers that begin to answer them, and keeps such requests
// away from the servers. It has no clock, goroutines or I/O: callers pass in events
// and the current time.
//
// The evidence is the loss of a server process: the requests whose answer had not
// begun, and the parts of their prompts, are suspects. An answer that begins and goes
// on clears its request and all parts of its prompt. A suspect is quarantined when
// several losses at different times have it and it has not been cleared since the
// first of them; these losses are then explained and no longer count against other
// suspects. A request is the narrower explanation: it is considered before the parts,
// the losses that it explains, or may explain because callers repeated it, count against
// a part as one, and no part is quarantined for losses that one request can explain.
// Parts that the same losses suspect, or nearly the same, are quarantined together:
// requests with only some of them still pass, until an answer or two losses tell them
// apart. A quarantine ends by a trial: after a term, one host at a time may let one
// request through.
package quarantine

import "time"

// Limits of the evidence and of the messages that carry it.
const (
	// MaxLosses bounds the losses that are kept, MaxParts and MaxRequests the
	// suspects of each, MaxReporters the hosts that are counted for each.
	MaxLosses    = 128
	MaxParts     = 256
	MaxRequests  = 128
	MaxReporters = 16
	// MaxCompanions bounds the parts that a verdict names beside its own.
	MaxCompanions = 4
	// MaxVerdicts bounds the verdicts that are kept, quarantined or not.
	MaxVerdicts = 128
	// maxClearedParts and maxClearedRequests bound each of the two generations of the
	// tables of cleared suspects. That a request was cleared matters only until all
	// hosts have reported its last loss; a part that few requests have is kept longer.
	maxClearedParts    = 16384
	maxClearedRequests = 4096
	// MaxLossesPerMessage and the bounds for each loss, MaxClearedPerMessage and
	// MaxVerdictsPerMessage bound the message of one host to about 13 KB.
	MaxLossesPerMessage   = 8
	MaxPartsPerMessage    = 64 // of each loss
	MaxRequestsPerMessage = 32 // of each loss
	MaxClearedPerMessage  = 64
	MaxVerdictsPerMessage = 64
)

const (
	// lossesToQuarantine is the number of losses, at different times, that quarantine a
	// request, and the least number that quarantine a part. A sound part that few requests have can be a suspect of
	// two losses in a row during a series of crashes. While many requests are lost
	// for other reasons, so many losses are needed that a sound part reaches them
	// with maxFalseRate at most, up to maxLossesNeeded.
	lossesToQuarantine = 3
	maxLossesNeeded    = 18
	maxFalseRate       = 1e-5
	// lossesToSeparate is the number of losses, at different times, that the part is a
	// suspect of without its companions, from which it is refused alone.
	lossesToSeparate = 2
	// answersToSuspect is the number of other answers that must have begun since the
	// first loss of a suspect that servers answered before. While no server answers
	// anything, nothing tells such a suspect from the ones that crash servers.
	answersToSuspect = 16
	// episodeGap separates losses at different times. Servers of a rack end
	// together and say no more about a part than one of them. A process that started
	// after a loss did not end together with it, whatever the gap.
	episodeGap = 200 * time.Millisecond
	// requestEpisodeGap is episodeGap for requests. Copies of a request that wait at
	// servers of a rack are lost within some 10 ms; a copy that was sent after the
	// loss before counts at once.
	requestEpisodeGap = 50 * time.Millisecond
	// reportDelay is what a message about a loss may take between hosts, also when
	// they are busy.
	reportDelay = 50 * time.Millisecond
	// retryTime is the time after a loss within which a host sends a request to a second
	// server. A copy that is sent later comes from a caller, also if its host does not say.
	retryTime = 100 * time.Millisecond
	// settleTime is the delay between the last loss and the decision. It covers
	// the exchange between hosts, which tell that a part was cleared elsewhere.
	settleTime = 400 * time.Millisecond
	// lossRetention is how long a loss counts, for parts that come rarely.
	lossRetention = 10 * time.Minute
	// verdictRetention is how long a released part is remembered, so that its next
	// quarantine lasts longer.
	verdictRetention = 10 * time.Minute
	// firstTerm is the time until the first trial of a quarantined part. A trial
	// that fails ends a server, so each further term is termFactor times longer.
	firstTerm  = 15 * time.Second
	termFactor = 3
	maxTerm    = 10 * time.Minute
	// weakFirstTerm is firstTerm of a request that may be lost by chance: more losses
	// would be needed for maxFalseRate. A false verdict on it ends soon.
	weakFirstTerm = 5 * time.Second
	// turnTime is how long one host may start the trial; then the next one may.
	turnTime = 2 * time.Second
	// trialTimeout is the time within which a loss counts as the result of a trial.
	trialTimeout = 20 * time.Second
	// lapseTime is the time without a trial after which a quarantine ends: no host
	// got a request with the part in its turn. One loss then renews it.
	lapseTime = time.Minute
	// messageRepeats is the number of messages in a row that carry news. A loss is
	// sent again each time that its age has doubled, for hosts that were cut off.
	messageRepeats     = 3
	firstResend        = time.Second
	maxPendingMessages = 256
)

const (
	// hazardWindow is the longest time before the last loss of a part over which the
	// share of lost requests is measured, hazardLead its part before the first loss.
	hazardWindow = 10 * time.Second
	hazardLead   = 5 * time.Second
	// priorLost and priorRequests are the share of lost requests that is assumed
	// before the fleet has seen many requests.
	priorLost     = 1
	priorRequests = 48
	// maxCount bounds the counts in messages.
	maxCount = 1 << 20
	// maxGenerationStep bounds the generation of a verdict of another host by that of the
	// known one, so that a later one is possible.
	maxGenerationStep = 1 << 30
)

// Server identifies one start of a backend server.
type Server struct {
	Hash    uint64 // of its id
	StartMS int64  // start by the server's own clock, Unix milliseconds
}

// Loss reports that a server process ended while requests of a host waited for
// their answer to begin.
type Loss struct {
	Server   Server
	At       time.Time
	Reporter uint64   // hash of the name of the host
	Parts    []uint64 // shared prompt parts of these requests
	Requests []Sent   // these requests, as far as they are listed
	Lost     int      // number of these requests
	Begun    int      // answers that began at the host since its previous report
	// Started is when this host saw the process start, zero if it did not. It is not
	// sent to other hosts.
	Started time.Time
}

// Sent is a request that was sent to a server.
type Sent struct {
	Request uint64 // suspect of the request
	At      time.Time
	Copy    Copy
}

// Copy tells the copies of a request apart that one caller's try may have caused: a host
// sends a request to a second server after the loss of the first one.
type Copy uint8

// Values of Copy.
const (
	UnknownCopy Copy = iota // an older host does not say
	FirstCopy               // the first one that was lost of what a caller sent
	FurtherCopy             // the host had lost another one of what the caller sent
)

// merge returns the value for two copies that were lost with one server. A loss of a first
// copy says more than that of a further one.
func (c Copy) merge(o Copy) Copy {
	if c == FirstCopy || o == FirstCopy {
		return FirstCopy
	}
	return min(c, o)
}

// Cleared reports that an answer to a request with the suspect began and went on.
type Cleared struct {
	Suspect uint64
	At      time.Time // of the first event
}

// State is the state of a suspect in a verdict.
type State uint8

// Values of State. Of two verdicts with equal generations the larger state holds.
const (
	Lapsed      State = iota // ended without a trial
	Released                 // ended by a trial or by an operator
	Quarantined              // requests with the suspect are refused
)

// String returns the state in lower case.
func (s State) String() string { return [...]string{"lapsed", "released", "quarantined"}[s] }

// Verdict is what all hosts believe about a suspect. Verdicts merge to the same
// result in any order: the higher generation holds.
type Verdict struct {
	Suspect    uint64
	Generation uint32
	State      State
	Since      time.Time
	Term       time.Duration // from Since to the first trial
	Losses     int           // losses that led to the quarantine
	Hosts      int           // hosts that reported them
	TrialAt    time.Time     // last trial, zero if there was none
	// Companions are parts that were suspects of the same losses. While they are
	// quarantined too, only requests with all of them are refused.
	Companions []uint64
}

// Change is a verdict that changed, with the reason.
type Change struct {
	Verdict
	Reason string
	Local  bool // decided by this host rather than learned from another one
}

// Message carries the news of one host to others.
type Message struct {
	Losses   []Loss
	Cleared  []Cleared
	Verdicts []Verdict
}

// Empty reports whether the message has no content.
func (m *Message) Empty() bool {
	return len(m.Losses) == 0 && len(m.Cleared) == 0 && len(m.Verdicts) == 0
}

// Action is the decision on a request.
type Action uint8

// Values of Action.
const (
	Allow  Action = iota
	Refuse        // the request or a part is quarantined
	Trial         // the request or a part is quarantined, and this request tests it
)
