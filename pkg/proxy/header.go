package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// HTTP headers between callers, routers and BackendServers.
const (
	HeaderRequestID      = "Jackdawtrack-Request-Id"
	HeaderResumeOffset   = "Jackdawtrack-Resume-Offset"
	HeaderWorkspace      = "Jackdawtrack-Workspace"
	HeaderClass          = "Jackdawtrack-Class"
	HeaderCostHint       = "Jackdawtrack-Cost-Hint"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderForwardedIdempotencyKey passes the idempotency key to the server under
	// a name that does not make net/http replay the request.
	HeaderForwardedIdempotencyKey = "Jackdawtrack-Idempotency-Key"

	cancelPath = "/v1/cancel"
)

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strippedHeaders of callers are not forwarded to BackendServers.
// X-Idempotency-Key would make net/http replay the request.
var strippedHeaders = []string{
	"Authorization", HeaderIdempotencyKey, "X-Idempotency-Key", HeaderCostHint,
	HeaderRequestID, HeaderResumeOffset, HeaderForwardedIdempotencyKey,
	"Accept-Encoding", "Content-Length", "Expect", "Host",
}

// ForwardedHeader returns the headers of a caller's request that are forwarded
// to a BackendServer. It does not change in.
func ForwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	RemoveHopByHopHeaders(out)
	key := out.Get(HeaderIdempotencyKey)
	for _, name := range strippedHeaders {
		out.Del(name)
	}
	if key != "" {
		out.Set(HeaderForwardedIdempotencyKey, key)
	}
	return out
}

// RemoveHopByHopHeaders removes the hop-by-hop headers from h.
func RemoveHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// requestHeader returns the headers of a request to a BackendServer: those of r,
// then extra, the request id and a default User-Agent.
func requestHeader(r *Request, extra http.Header) http.Header {
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

// responseHeader returns the headers of a BackendServer's response that are
// forwarded to the caller. It does not change in.
func responseHeader(in http.Header) http.Header {
	out := in.Clone()
	RemoveHopByHopHeaders(out)
	out.Del("Content-Length")
	out.Del(HeaderProcess)
	out.Del(HeaderRelease)
	return out
}
