// Package edge implements an edge host: a reverse proxy that matches each request
// to a route, lets package dispatch choose a backend server, and forwards the
// request and its response. A Dialect translates between this package and the
// HTTP headers of backend servers.
package edge

import (
	"net/http"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// Request is an HTTP request received from a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	Target string      // path and query as received
	Path   string      // Target without the query
	Header http.Header // headers that may be forwarded to a server
	Body   []byte
	// Disconnected reports whether the caller has closed its connection. It is
	// nil if the connection cannot be inspected.
	Disconnected func() bool
	ConnRequest  int    // number of the request on its connection, 0 if not known
	APIKey       string // API key of the workspace, "" if the request has none

	Arrived       time.Time
	CallerTimeout time.Duration // the caller's own timeout, counted from Arrived; 0 if it states none
	LastEventID   string        // id of the last event received by the caller, to resume a stream after it
	Resumes       string        // id of the request that brought the first event of the stream to resume, "" if not stated
	PromptTokens  int           // tokens of the whole prompt, known before Prompt is decoded
	Prompt        *Prompt       // nil for requests that state no prompt

	dest       *destination  // route and workspace, set by Admit
	startDelay time.Duration // from Arrived, while the host is overloaded; set by Admit
}

// timeout returns the time from the arrival of an admitted request to its timeout.
func (in *Request) timeout() time.Duration {
	if in.CallerTimeout > 0 {
		return min(in.dest.route.Timeout, in.CallerTimeout)
	}
	return in.dest.route.Timeout
}

// objective returns the target time to the answer or to the first event.
func (in *Request) objective() time.Duration {
	if in.dest.route.Objective == 0 {
		return in.timeout()
	}
	return in.dest.route.Objective
}

// Deadline returns when the final response to an admitted request is due.
func (in *Request) Deadline() time.Time { return in.Arrived.Add(in.timeout() - responseMargin) }

// Prompt holds the token counts that a request states for a model engine.
type Prompt struct {
	Tokens           int             // tokens of the whole prompt
	MaxOutputTokens  int             // maximum number of tokens to generate
	OutputTokensHint int             // caller's estimate of the generated tokens, 0 if none; often inaccurate
	Parts            []dispatch.Part // shared pieces of the prompt, in order
}

// RequestMetadata holds the metadata that is sent to a server with a forwarded
// request.
type RequestMetadata struct {
	RequestID       string
	Server          string        // id of the server that the request is addressed to
	Workspace       string        // "" if the route requires none
	RemainingTime   time.Duration // time until the request's deadline
	LastEventID     string        // id of the event after which to resume the stream, "" to start it
	SlotReservation string        // id of the slot reservation, "" if none was made
	FetchFrom       string        // address of an engine that has more of the prompt cached, "" if none
}

// ResponseMetadata holds the metadata read from the status line and headers of
// a response.
type ResponseMetadata struct {
	RequestID     string        // id of the answered request
	HasSeal       bool          // the response carries the seal header that only backend servers set
	NotExecuted   bool          // the server states that it did not execute the request
	Misdirected   bool          // the request reached a server other than the addressed one, which did not execute it
	Leaving       bool          // the server is shutting down and accepts no new requests
	ColdRemaining time.Duration // remaining time of the cold start, during which the server takes a limited rate
	RetryAfter    time.Duration // Retry-After of the server for this host, 0 if not stated
	Limit         RequestLimit
	Server        string // id of the server, set in responses to health checks
}

// RequestLimit is what a response states about the requests that its server takes from all
// edge hosts together.
type RequestLimit struct {
	PerSecond float64 // set if Stated
	Stated    bool
	Invalid   bool // the response states something that is no limit
}

// Dialect encodes and decodes the HTTP metadata that backend servers use.
type Dialect interface {
	// WriteHeaders sets the request headers for a server.
	WriteHeaders(h http.Header, c RequestMetadata)
	// ReadHead decodes the status and headers of a response.
	ReadHead(resp *http.Response) ResponseMetadata
	// ReservationRequest returns the path and body of a request that reserves a
	// slot and KV cache memory for tokens tokens, valid for ttl.
	ReservationRequest(tokens int, ttl time.Duration) (path string, body []byte)
	// ReadReservation returns the reservation id from the response to
	// ReservationRequest, "" if the server granted none.
	ReadReservation(resp *http.Response) (string, error)
	// Identity is how an engine is asked which process it is.
	proxy.Identity
}
