package router

import (
	"net/http"
	"strconv"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Headers of an answer to a caller.
const (
	headerResult     = "Jackdawtrack-Result"
	headerExecuted   = "Jackdawtrack-Executed"
	headerRetryAfter = "Retry-After"
)

// defaultRetryAfter is sent with a refusal for lack of capacity that names no
// better time.
const defaultRetryAfter = time.Second

// writeError sends a final answer that carries a result code.
func writeError(w http.ResponseWriter, e *result.Error) {
	if e.RetryAfter == 0 && suggestsRetry(e.Code) {
		e.RetryAfter = defaultRetryAfter
	}
	h := w.Header()
	setResult(h, e.Code)
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		h.Set(headerRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	body := proxy.ErrorBody(e)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Code.Status())
	_, _ = w.Write(body) // the caller may have left
}

func setResult(h http.Header, c result.Code) {
	h.Set(headerResult, strconv.FormatUint(uint64(c), 10))
	h.Set(headerExecuted, string(c.Executed()))
}

func suggestsRetry(c result.Code) bool {
	if c == result.StillRunning {
		return true
	}
	status := c.Status()
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
