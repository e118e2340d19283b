package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between callers, routers and BackendServers.
const (
	HeaderRequestID      = "Jackdawtrack-Request-Id"
	HeaderResumeOffset   = "Jackdawtrack-Resume-Offset"
	HeaderWorkspace      = "Jackdawtrack-Workspace"
	HeaderClass          = "Jackdawtrack-Class"
	HeaderCostHint       = "Jackdawtrack-Cost-Hint"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderForwardedKey passes the idempotency key to the server under a name
	// that net/http does not treat as a permission to replay.
	HeaderForwardedKey = "Jackdawtrack-Idempotency-Key"

	cancelPath = "/v1/cancel"
)

// hopHeaders end at each hop (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// privateHeaders of callers stay in the router. X-Idempotency-Key would let
// net/http replay the request.
var privateHeaders = []string{
	"Authorization", HeaderIdempotencyKey, "X-Idempotency-Key", HeaderCostHint,
	HeaderRequestID, HeaderResumeOffset, HeaderForwardedKey,
	"Accept-Encoding", "Content-Length", "Expect", "Host",
}

// ForwardHeader returns the headers of a caller that a BackendServer gets.
func ForwardHeader(in http.Header) http.Header {
	out := in.Clone()
	RemoveHop(out)
	key := out.Get(HeaderIdempotencyKey)
	for _, name := range privateHeaders {
		out.Del(name)
	}
	if key != "" {
		out.Set(HeaderForwardedKey, key)
	}
	return out
}

// RemoveHop removes the headers that concern one connection only.
func RemoveHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func outgoingHeader(r *Request, extra http.Header) http.Header {
	h := make(http.Header, len(r.Header)+len(extra)+2)
	for name, values := range r.Header {
		h[name] = values
	}
	for name, values := range extra {
		h[name] = values
	}
	h.Set(HeaderRequestID, r.ID)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{"jackdawtrack"}
	}
	return h
}

// answerHeader returns the headers of a BackendServer that the caller gets.
func answerHeader(in http.Header) http.Header {
	out := in.Clone()
	RemoveHop(out)
	out.Del("Content-Length")
	return out
}
