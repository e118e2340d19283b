// Package edge is one edge host: it routes requests of callers, has a backend
// server chosen for each, and forwards request and answer. What callers and
// backend servers speak is translated by a Dialect.
package edge

import (
	"net/http"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

// Request is one request of a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	Target string      // path and query as the caller sent them
	Path   string      // without the query
	Header http.Header // that a server may get
	Body   []byte
	// Left reports whether the caller has closed its connection; nil if that
	// cannot be seen.
	Left func() bool
	Key  string // of the workspace, "" if none came

	Arrived   time.Time
	Patience  time.Duration // how long the caller waits, 0 if it did not say
	LastEvent string        // the stream is to go on after this event
	Prompt    *Prompt       // nil for requests without one

	to *destination // set by Admits
}

// Prompt is what a request says about its work at a model engine.
type Prompt struct {
	Tokens     int // whole prompt
	MaxOutput  int // most tokens that may be generated
	OutputHint int // estimate of the caller, 0 if none; often far off
	Parts      []dispatch.Part
}

// Call is what a server is told beside the request.
type Call struct {
	RequestID string
	Server    string        // id of the server that is meant
	Workspace string        // "" if none is known
	Left      time.Duration // until nobody waits for the answer
	LastEvent string        // continue the stream after this event
	Slot      string        // reservation of a slot, "" if none was made
	FetchFrom string        // address of an engine that keeps more of the prompt, "" if none
}

// Reply is what the head of an answer says.
type Reply struct {
	RequestID   string // of the request that it answers
	Sealed      bool   // it carries the mark of a server
	NotExecuted bool   // the server says that it did not run the request
	Misdirected bool   // it is not the server that is meant, and did not run it
	Leaving     bool   // the server leaves and wants no new work
	ColdFor     time.Duration
	Pause       time.Duration // in which the server wants nothing from this host, 0 if it did not say
	Server      string        // id, in answers to health checks
}

// Dialect translates between the product and backend servers.
type Dialect interface {
	// Write adds the headers for a server.
	Write(h http.Header, c Call)
	// Read reads the head of an answer.
	Read(resp *http.Response) Reply
	// Reserve returns the path and the body of a call that reserves a slot with
	// that much memory, and ReadSlot the reservation in its answer, "" if there
	// is none.
	Reserve(tokens int, ttl time.Duration) (path string, body []byte)
	ReadSlot(resp *http.Response) (string, error)
}
