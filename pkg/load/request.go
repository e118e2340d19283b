package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Request and response headers of the fleet.
const (
	headerWorkspace      = "Jackdawtrack-Workspace"
	headerClass          = "Jackdawtrack-Class"
	headerCostHint       = "Jackdawtrack-Cost-Hint"
	headerResult         = "Jackdawtrack-Result"
	headerExecuted       = "Jackdawtrack-Executed"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	maxResponseBytes = 16 << 20

	// A keyed request that is refused because an earlier copy is still running
	// is retried at this interval, as Retry-After asks.
	stillRunningRetryInterval = time.Second
	maxStillRunningRetries    = 60
)

const (
	streamEndMarker  = "data: [DONE]\n\n" // last event of a complete stream
	streamErrorEvent = "event: error"     // sent when a stream breaks
)

// arrival is one copy of a request with its intended send time.
type arrival struct {
	stream     *Stream
	number     int       // of the request in its stream
	intendedAt time.Time // relative to the zero time until the run starts
	workspace  string
	key        string // Idempotency-Key, may be empty
	body       []byte
	router     int // index in Experiment.Routers of the router to try first
}

// response is the result of one request.
type response struct {
	status           int
	code             result.Code
	executed         result.Executed
	firstByteLatency time.Duration // from the intended send time
	totalLatency     time.Duration // from the intended send time
	sha256Hex        string        // SHA-256 of the body
	bodyText         string
	completeResponse bool
	broken           bool // incomplete in a way that the caller can detect
	err              error
}

// newHTTPRequest builds the HTTP request for an arrival.
func (e *Experiment) newHTTPRequest(ctx context.Context, a arrival, router string) (*http.Request, error) {
	method, path := http.MethodPost, "/v1/chat/completions"
	if a.stream.Service != "" {
		method, path = a.stream.Method, "/services/"+a.stream.Service+a.stream.Path
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+router+path, bytes.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	key, _ := e.key(a.workspace) // Validate has checked that the workspace exists
	r.GetBody = nil              // keeps net/http from resending; the load generator sends the copies
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(headerWorkspace, a.workspace)
	r.Header.Set(headerClass, a.stream.Class)
	if a.stream.CostHint > 0 {
		r.Header.Set(headerCostHint, strconv.FormatUint(a.stream.CostHint, 10))
	}
	if a.key != "" {
		r.Header.Set(headerIdempotencyKey, a.key)
	}
	return r, nil
}

// sendToAvailableRouter sends a request and reads its response. Like a load
// balancer, it tries the next router if one refuses the connection, is shutting
// down or has no configuration.
func (e *Experiment) sendToAvailableRouter(ctx context.Context, client *http.Client, a arrival) response {
	var last response
	for attempt := range e.Routers {
		router := string(e.Routers[(a.router+attempt)%len(e.Routers)])
		last = e.sendTo(ctx, client, a, router)
		refused := errors.Is(last.err, syscall.ECONNREFUSED)
		if !refused && last.code != result.ShuttingDown && last.code != result.NoConfiguration {
			break
		}
	}
	return last
}

// sendUntilFinished retries a keyed request while another copy of it is running.
func (e *Experiment) sendUntilFinished(ctx context.Context, client *http.Client, a arrival) response {
	got := e.sendToAvailableRouter(ctx, client, a)
	for attempt := 0; a.key != "" && got.code == result.StillRunning && attempt < maxStillRunningRetries; attempt++ {
		select {
		case <-time.After(stillRunningRetryInterval):
		case <-ctx.Done():
			return got
		}
		got = e.sendToAvailableRouter(ctx, client, a)
	}
	return got
}

// sendTo sends a request to one router and reads its response.
func (e *Experiment) sendTo(ctx context.Context, client *http.Client, a arrival, router string) (got response) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout.AsDuration())
	defer cancel()
	r, err := e.newHTTPRequest(ctx, a, router)
	if err != nil {
		return response{err: err}
	}
	httpResponse, err := client.Do(r)
	if err != nil {
		return response{err: err, totalLatency: time.Since(a.intendedAt), executed: result.ExecutedMaybe}
	}
	defer httpResponse.Body.Close()
	got.status = httpResponse.StatusCode
	got.code = parseResultCode(httpResponse.Header.Get(headerResult))
	got.executed = result.Executed(httpResponse.Header.Get(headerExecuted))
	got.readBody(httpResponse.Body, a)
	got.totalLatency = time.Since(a.intendedAt)
	got.broken = got.err != nil || a.stream.Stream && strings.Contains(got.bodyText, streamErrorEvent)
	got.completeResponse = !got.broken && a.isComplete(got)
	return got
}

// readBody reads the body and measures the latency of its first byte.
func (got *response) readBody(reader io.Reader, a arrival) {
	limited := io.LimitReader(reader, maxResponseBytes)
	first := make([]byte, 1)
	n, err := io.ReadFull(limited, first)
	got.firstByteLatency = time.Since(a.intendedAt)
	rest, restErr := io.ReadAll(limited)
	if err == nil {
		err = restErr
	}
	if errors.Is(err, io.EOF) {
		err = nil // the body is empty
	}
	got.err = err
	data := append(first[:n], rest...)
	got.sha256Hex, got.bodyText = sha256Hex(data), string(data)
}

func sha256Hex(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}

// isComplete reports whether the body is complete: a stream ends with its end
// marker, any other body is valid JSON.
func (a arrival) isComplete(got response) bool {
	if a.stream.Stream && got.status == http.StatusOK {
		return strings.HasSuffix(got.bodyText, streamEndMarker)
	}
	return json.Valid([]byte(got.bodyText))
}

// parseResultCode returns the code of a result header such as
// "106 target_unreachable", and OK for a missing or invalid header.
func parseResultCode(header string) result.Code {
	number, _, _ := strings.Cut(header, " ")
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return result.OK
	}
	return result.Code(n)
}

// chatBody returns a chat completion request whose prompt is unique to the
// request.
func (s *Stream) chatBody(seed uint64, number int) []byte {
	text := fmt.Sprintf("%s request %d of %s %d ", s.PromptPrefix, number, s.Name, seed)
	for len(text) < s.PromptBytes {
		text += "apron pocket stitch colour size "
	}
	body, err := json.Marshal(map[string]any{
		"model": s.Model, "stream": s.Stream, "max_tokens": s.MaxTokens,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if err != nil {
		panic(fmt.Sprintf("encode chat completion request: %v", err)) // cannot fail: only strings, numbers and booleans
	}
	return body
}

// serviceBody returns the request body for a plain service, nil for GET.
func (s *Stream) serviceBody(seed uint64, number int) []byte {
	if s.Method == http.MethodGet {
		return nil
	}
	return fmt.Appendf(nil, `{"stream":%q,"seed":%d,"number":%d}`, s.Name, seed, number)
}
