// Package dispatch implements the scheduling decisions of one edge host: which
// backend server a request is sent to, whether it is queued, and whether it is
// refused. It has no clock, goroutines or I/O: callers pass in events and the
// current time, and get decisions back.
//
// Model engines prefill prompts in order of arrival, so the scarce resource is
// the number of prompt tokens ahead of a request. An edge host knows about its
// own requests immediately and about those of other edge hosts through load
// digests.
package dispatch

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Part is a segment of a prompt that engines may keep in their prefix cache. A
// cached part can be reused only if all parts before it are cached too.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is a request to be scheduled.
type Request struct {
	ID        string
	Workspace string
	Service   string

	Parts        []Part // prompt segments shared with other requests, in prompt order
	PromptTokens int    // whole prompt, Parts included
	OutputTokens int    // estimated

	Arrived         time.Time
	AgeAtArrival    time.Duration // time from the caller's first attempt to Arrived
	Objective       time.Duration // maximum time from Arrived to the first event or the answer
	Deadline        time.Time
	ExcludedServers []string // ids of servers that must not get the request
	// Release is the only release whose servers may get the request, because one of
	// them began the stream; release.Unknown allows all.
	Release release.ID
	// SoleRelease is set if Release is the only one of the service, so that a request waits
	// as long for its servers as a new one does.
	SoleRelease bool
	// RecordedOnly excludes servers whose release the fleet has not recorded. Streams that
	// a caller may take up begin only at the others.
	RecordedOnly bool
	// Resumption is set if the request continues a stream that Release began.
	Resumption bool
	// FirstTakeUp is set if the fleet has a record of the stream, and this host got no other
	// request to continue it in TakeUpWindow.
	FirstTakeUp bool

	// The fields below belong to the Dispatcher.
	demandCounted  bool // counted in the demand of its workspace
	slotPending    bool // assigned to an engine that has not confirmed a slot yet
	queued         bool
	isHedge        bool // second attempt, whose work the first one counts for the workspace
	usageCounted   bool
	begun          bool // its first event has arrived, from whichever server
	ahead          bool // goes ahead of new streams
	aheadCounted   bool // waits or was sent ahead of them
	unbounded      bool // a first take-up or a begun stream that counts against no bound
	idleOnly       bool // a take-up or a begun stream beyond the share and the bounds: only engines that are idle get it
	overtakeFailed bool // an engine did not reserve a slot for it
	server         *server
	prefixHolders  []prefixHolder // per data centre and release, the engine that caches the longest prefix of the prompt
	fetchFrom      string
	addedTokens    int // tokens added to the backlog of the server
	uncachedTokens int // prompt tokens that the server has to prefill
	kvTokens       int // KV cache tokens that the request occupies while it runs
	loadAtSend     int // including this request: backlog tokens of an engine, running requests of a plain server
	sentAt         time.Time
	prefillDoneAt  time.Time // predicted end of prefill
	firstEventSeen bool
	decision       Decision
	retriedAt      time.Time // last decision on another server, zero before the first one
	limitCounted   bool      // counted for the limit of the server
	limitHeld      bool      // the limit of a server kept it from there
	order          float64   // sort key in the queue, lowest first
}

// Action is the type of a decision.
type Action uint8

// Possible decisions.
const (
	Wait Action = iota
	Send
	Refuse
)

// Reason explains a decision.
type Reason string

// Values of Reason.
const (
	ReasonSent      Reason = "sent"
	ReasonNoServer  Reason = "no server may take it"
	ReasonOverShare Reason = "workspace is beyond its share and servers are busy"
	ReasonLate      Reason = "cannot be served in time"
	ReasonQueueFull Reason = "too many requests wait"
	// A stream cannot go on at servers of another release.
	ReasonReleaseGone Reason = "no server of the stream's software version is left"
	ReasonReleaseFull Reason = "the servers of the stream's software version are full"
	ReasonNotRecorded Reason = "no software version of the service is recorded yet"
)

// Decision is the decision on a request, with the inputs that led to it.
type Decision struct {
	Action      Action
	ReserveSlot bool // reserve a slot before sending: the engine is nearly full, or Overtakes
	Overtakes   bool // the engine has room, and the slot is reserved to go ahead of the requests that wait there
	Reason      Reason
	Server      string // id of the server
	StartMS     int64  // start time of the server, in Unix milliseconds
	Release     release.ID
	Address     string
	FetchFrom   string        // address of the engine from which cached prompt parts are fetched, "" for none
	RetryAfter  time.Duration // set for a refusal

	Class            Class
	PredictedLatency time.Duration // predicted time to the first event of an engine or to the answer of a plain server
	BacklogTime      time.Duration // prefill time of the backlog of the server, without this request
	RunningRequests  int           // requests running at the server before this one, from all edge hosts
	UncachedTokens   int           // prompt tokens that the server has to prefill
	QueueLength      int           // length of the queue of this edge host
	FairShare        float64       // fair share of a workspace in shareWindow, in service tokens; 0 for no limit
	ServedTokens     float64       // service tokens that the workspace got in shareWindow
	AnnouncementAge  time.Duration // age of the last announcement of the server
}

// Class is the priority class of a queued request.
type Class uint8

// Values of Class, most urgent first.
const (
	OnTime    Class = iota // within the share of its workspace, can meet its objective
	Late                   // within the share of its workspace, can no longer meet its objective
	OverShare              // beyond the share of its workspace
)

// String returns the class in lower case.
func (c Class) String() string { return [...]string{"on time", "late", "over share"}[c] }

// Outcome is the result of sending a request to a server.
type Outcome uint8

// Values of Outcome.
const (
	Completed       Outcome = iota // complete answer
	ServerError                    // answer with an HTTP status of 500 or above
	NotExecuted                    // the server reports that it did not execute the request
	Misdirected                    // another server answered at this address
	ConnectFailed                  // connection refused, nothing was sent
	ConnectTimeout                 // connection attempt timed out, nothing was sent
	ConnectionLost                 // connection closed before the end of the answer
	ResponseTimeout                // no progress in time, or the deadline passed
	InvalidResponse                // not a valid answer to this request
	CallerDisconnected
	NotSent            // assigned to a server but never sent
	ResponseBufferFull // no memory left on this host to buffer the answer
	NoSlot             // the engine had no slot to reserve, nothing was sent
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	return [...]string{"whole", "server error", "not executed", "misdirected", "connect failed", "connect timeout", "broken", "silent", "garbled", "caller left", "unused", "unheld", "no slot"}[o]
}

// ServerInfo is the announced state of a backend server.
type ServerInfo struct {
	ID                    string
	Service               string
	Address               string
	DataCentre            string
	Slots                 int
	KVTokens              int // capacity of the KV cache, 0 for plain services
	Release               release.ID
	Recorded              bool // the fleet has recorded that streams may begin at servers of the release
	Ready                 bool // announced as ready, and its data centre is in service
	StartMS               int64
	ColdUntil             time.Time
	Heard                 time.Time
	ColdRequestsPerSecond float64       // requests per second that the server can take while cold, 0 for no limit
	WarmUpTime            time.Duration // time from the start of a server until it is warm
	SupportsReservation   bool          // the server supports slot reservation
	FetchTokensPerSecond  float64       // prompt tokens per second that the server fetches from another engine, 0 if it cannot
}

// Limits and weights of scheduling decisions.
const (
	// shareWindow is the sliding window over which workspace shares are computed.
	// User quotas are defined over 4 s.
	shareWindow = 4 * time.Second
	// maxOnTimeBacklog and maxLateBacklog bound the backlog of an engine,
	// including the new request, for OnTime and Late requests. An engine with at
	// most idleBacklog accepts a request of any size. The OnTime limit lets short
	// requests behind it still meet their objectives of 300 to 400 ms.
	maxOnTimeBacklog = 220 * time.Millisecond
	maxLateBacklog   = 90 * time.Millisecond
	idleBacklog      = 30 * time.Millisecond
	// maxLateWait and maxLateWaitFraction bound the queueing time of Late
	// requests: an absolute time, and a fraction of the time left until the
	// deadline. Requests that would wait longer are refused with a Retry-After
	// instead.
	maxLateWait         = 1200 * time.Millisecond
	maxLateWaitFraction = 0.15
	// maxOverShareWaitFraction is the fraction of its objective that an OverShare
	// request may be queued.
	maxOverShareWaitFraction = 0.125
	// maxPlainLoadPerSlot bounds the running requests of a plain server per slot:
	// at most one and a half mean service times are ahead of a new request.
	maxPlainLoadPerSlot = 2.5
	// maxPlainWaitFraction is the fraction of its objective that a request for a
	// plain server may be queued.
	maxPlainWaitFraction = 0.33
	// maxQueuedRequests bounds the memory of the queue.
	maxQueuedRequests = 4096
	// maxPollEvaluations bounds the cost evaluations of one Poll. At about 0.5 us
	// each and one Poll every 5 ms, they take 5% of a core. minPollDecisions is
	// the minimum number of requests that a Poll decides on. Less urgent requests
	// are decided once those ahead of them have left the queue.
	maxPollEvaluations = 500
	minPollDecisions   = 4
	// minRetryAfter and maxRetryAfter bound Retry-After without the backoff that
	// servers asked for.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// peerTimeout is the time without digests after which the load of another edge
	// host no longer counts.
	peerTimeout = 2 * time.Second
	// maxKVFraction is the fraction of the KV cache of an engine that running
	// requests may fill. Beyond it the engine almost certainly preempts the newest
	// request.
	maxKVFraction = 0.92
	// remoteTime is the cost of a server in another data centre: one round trip
	// plus the price of traffic between data centres.
	remoteTime = 4 * time.Millisecond
	// minFetchTokens is the minimum size of a fetch. The setup of a fetch takes as
	// long as prefilling 120 tokens, but does not occupy the engine.
	// fetchSetupTime is the fixed duration of a fetch, including its queueing.
	minFetchTokens = 64
	fetchSetupTime = 4 * time.Millisecond
	// queueDelayWeight is the weight of the delay that the prefill of a request
	// causes to the requests behind it.
	queueDelayWeight = 0.7
)
