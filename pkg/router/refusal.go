package router

import (
	"net/http"
	"strconv"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Response headers to a caller.
const (
	headerResult     = "Jackdawtrack-Result"
	headerExecuted   = "Jackdawtrack-Executed"
	headerRetryAfter = "Retry-After"
)

// defaultRetryAfter is the Retry-After of a refusal that sets none and can be
// retried.
const defaultRetryAfter = time.Second

// writeError sends an error response with its result code.
func writeError(w http.ResponseWriter, e *result.Error) {
	if e.RetryAfter == 0 && suggestsRetry(e.Code) {
		e.RetryAfter = defaultRetryAfter
	}
	h := w.Header()
	setResultHeaders(h, e.Code)
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		h.Set(headerRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	body := proxy.ErrorBody(e)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Code.Status())
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// setResultHeaders sets the result code and whether the request has run.
func setResultHeaders(h http.Header, c result.Code) {
	h.Set(headerResult, strconv.FormatUint(uint64(c), 10))
	h.Set(headerExecuted, string(c.Executed()))
}

// suggestsRetry reports whether a response with this code has a Retry-After.
func suggestsRetry(c result.Code) bool {
	if c == result.StillRunning {
		return true
	}
	status := c.Status()
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
