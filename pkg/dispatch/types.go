// Package dispatch decides at one edge host which backend server a request is
// sent to, whether it waits, or that it is refused. It is pure: events and the
// time go in, decisions come out; it has no clock, goroutine or network.
//
// Model engines read prompts in order of arrival, so what is scarce is the
// prompt tokens ahead of a request. Each edge host knows its own requests at
// once and those of the other edge hosts through digests.
package dispatch

import (
	"time"
)

// Part is a piece of a prompt that engines may keep. Order matters: a part is
// of use only if all parts before it are kept as well.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is one request as the decisions see it.
type Request struct {
	ID        string
	Workspace string
	Service   string

	Parts        []Part // shared pieces of the prompt, in order
	PromptTokens int    // whole prompt, parts included
	OutputTokens int    // estimate

	Arrived   time.Time
	Age       time.Duration // since the first attempt of the caller, when this one arrived
	Objective time.Duration // to the first event or the answer
	Deadline  time.Time
	Avoid     []string // ids of servers that must not get it

	// Fields of the dispatcher.
	asked     bool // it is counted in what its workspace asks for
	reserving bool // it has an engine, but no slot there yet
	waiting   bool
	charged   bool
	server    *server
	holders   []holder // the engine of each data centre that keeps most of the prompt
	fetchFrom string
	loaded    int       // tokens that were added to the backlog of the server
	uncached  int       // tokens that the server has to read
	kv        int       // tokens that it holds while it runs
	ahead     int       // backlog of the server with this request
	sent      time.Time // when it was sent
	read      time.Time // predicted end of reading the prompt
	started   bool
	verdict   Verdict
	order     float64 // in the queue, lowest first
}

// Kind is what a verdict says.
type Kind uint8

// Values of Kind.
const (
	Wait Kind = iota
	Send
	Refuse
)

// Reason says why a request waits or is refused.
type Reason string

// Values of Reason.
const (
	ReasonSent      Reason = "sent"
	ReasonNoServer  Reason = "no server may take it"
	ReasonShare     Reason = "workspace is beyond its share and servers are busy"
	ReasonLate      Reason = "cannot be served in time"
	ReasonQueueFull Reason = "too many requests wait"
)

// Verdict is the decision on a request and the inputs that decided it.
type Verdict struct {
	Kind       Kind
	Reserve    bool // the engine is nearly full: a slot has to be reserved first
	Reason     Reason
	Server     string // id
	BornMS     int64  // start of the server that is meant
	Address    string
	FetchFrom  string        // address of the engine whose kept prompt parts it fetches, "" if none
	RetryAfter time.Duration // of a refusal

	Class     Class
	Predicted time.Duration // to the first event
	Backlog   time.Duration // of the server before this request
	Running   int           // requests at the server before this one, over all edge hosts
	Uncached  int           // prompt tokens that the server has to read
	Queue     int           // requests that wait here
	Level     float64       // share of a workspace in the window in tokens, 0 if nobody is limited
	Served    float64       // tokens that the workspace got in the window
	InfoAge   time.Duration // of the last announcement of the server
}

// Class orders the work that waits.
type Class uint8

// Values of Class, most urgent first.
const (
	OnTime Class = iota // within its share, can meet its objective
	Late                // within its share, cannot meet its objective any more
	Over                // beyond the share of its workspace
)

// String returns the class in lower case.
func (c Class) String() string { return [...]string{"on time", "late", "over share"}[c] }

// Outcome says how a request ended at a server.
type Outcome uint8

// Values of Outcome.
const (
	Whole          Outcome = iota // a whole answer
	ServerError                   // an answer with status 500 or above
	NotExecuted                   // the server says that it did not run it
	Misdirected                   // another server is at that address
	ConnectFailed                 // refused, no byte was sent
	ConnectTimeout                // no answer to a connection attempt, no byte was sent
	Broken                        // the connection ended early
	Silent                        // nothing came for too long
	Garbled                       // bytes that are no answer to this request
	CallerLeft
	Unused // decided, but never sent
	Unheld // this host had no memory for the answer
	NoSlot // the engine had no slot to reserve, the request was not sent
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	return [...]string{"whole", "server error", "not executed", "misdirected", "connect failed", "connect timeout", "broken", "silent", "garbled", "caller left", "unused", "unheld", "no slot"}[o]
}

// ServerInfo is what is announced of one backend server.
type ServerInfo struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	KVTokens   int  // 0 for plain services
	Ready      bool // announced as ready, its data centre is not out
	BornMS     int64
	ColdUntil  time.Time
	Heard      time.Time
	ColdRate   float64       // requests a second that it bears while cold, 0 if not limited
	ColdStart  time.Duration // how long a server is cold after its start
	Reserves   bool          // slots can be reserved
	FetchRate  float64       // prompt tokens a second that it fetches from another engine, 0 if it cannot
}

// Limits of the decisions.
const (
	// window is the time over which the share of a workspace is taken; the
	// users' quotas are stated over 4 s.
	window = 4 * time.Second
	// onTimeBacklog and lateBacklog are the most work on an engine with a
	// request of each class, and freeBacklog the work up to which an engine
	// takes a request of any size. Work on time leaves short requests
	// behind it inside their objective of 300 to 400 ms.
	onTimeBacklog = 220 * time.Millisecond
	lateBacklog   = 90 * time.Millisecond
	freeBacklog   = 30 * time.Millisecond
	// lateHold and lateHoldShare bound the wait of late work by time and by
	// part of what is left until its deadline. What would wait longer is told
	// when to come back instead.
	lateHold      = 1200 * time.Millisecond
	lateHoldShare = 0.15
	// overHoldShare is the part of its objective that work beyond the share
	// may wait for a free engine.
	overHoldShare = 0.125
	// plainQueue is the most requests at a plain server in units of its slots:
	// one and a half services of the mean ahead of a new one.
	plainQueue = 2.5
	// plainHoldShare is the part of its objective that a request may wait for
	// a plain server.
	plainHoldShare = 0.33
	// maxQueue bounds the memory of waiting requests.
	maxQueue = 4096
	// pollPrices bounds the prices that one poll computes: at about 0.5 us for
	// each, 5% of a core with a poll each 5 ms. leastScan is the least number of requests it looks at. Those
	// behind them are less urgent and get their turn as the first ones leave.
	pollPrices = 500
	leastScan  = 4
	// Bounds of Retry-After.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// peerSilence is the age after which the load of another edge host does
	// not count.
	peerSilence = 2 * time.Second
	// kvUse is the part of an engine's memory that running requests may fill
	// before the newest is preempted with some certainty.
	kvUse = 0.92
	// remote is added to the predicted time of a server in another data
	// centre: a round trip, and the price of bytes between data centres.
	remote = 4 * time.Millisecond
	// leastFetch is the least number of tokens that are worth a fetch: its setup
	// takes as long as reading 120 tokens, but leaves the engine free.
	// fetchSetup is the fixed time of a fetch, queues for it included.
	leastFetch = 64
	fetchSetup = 4 * time.Millisecond
	// externality is the weight of the time that the uncached tokens of a
	// request take from those behind it.
	externality = 0.7
)
