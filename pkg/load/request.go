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

// Headers of the fleet.
const (
	headerWorkspace = "Jackdawtrack-Workspace"
	headerClass     = "Jackdawtrack-Class"
	headerHint      = "Jackdawtrack-Cost-Hint"
	headerResult    = "Jackdawtrack-Result"
	headerExecuted  = "Jackdawtrack-Executed"
	headerKey       = "Idempotency-Key"
)

// A copy of a running keyed request is sent again after Retry-After.
const (
	maxAnswerBytes  = 16 << 20
	longestRetry    = time.Second
	stillRunningTry = 60
)

const (
	streamEnd   = "data: [DONE]\n\n"
	streamError = "event: error"
)

// arrival is one request with its intended time.
type arrival struct {
	stream    *Stream
	number    int
	at        time.Time
	workspace string
	key       string // Idempotency-Key
	body      []byte
	router    int
}

// answer is what one request came to.
type answer struct {
	status    int
	code      result.Code
	executed  result.Executed
	firstByte time.Duration // from the intended arrival
	total     time.Duration
	sum       string // SHA-256 of the body, in hexadecimal
	text      string // the body
	whole     bool
	broken    bool // incomplete, and the caller can see it
	err       error
}

// request builds the request of an arrival.
func (e *Experiment) request(ctx context.Context, a arrival, router string) (*http.Request, error) {
	method, path := http.MethodPost, "/v1/chat/completions"
	if a.stream.Service != "" {
		method, path = a.stream.Method, "/services/"+a.stream.Service+a.stream.Path
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+router+path, bytes.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	key, _ := e.key(a.workspace) // validated
	r.GetBody = nil              // net/http sends it once; copies are sent here
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(headerWorkspace, a.workspace)
	r.Header.Set(headerClass, a.stream.Class)
	if a.stream.Hint > 0 {
		r.Header.Set(headerHint, strconv.FormatUint(a.stream.Hint, 10))
	}
	if a.key != "" {
		r.Header.Set(headerKey, a.key)
	}
	return r, nil
}

// send sends a request once and follows its answer. A router that refuses the
// connection or is not in service is passed over, as a balancer does.
func (e *Experiment) send(ctx context.Context, client *http.Client, a arrival) answer {
	var last answer
	for try := range e.Routers {
		router := string(e.Routers[(a.router+try)%len(e.Routers)])
		last = e.sendTo(ctx, client, a, router)
		refused := errors.Is(last.err, syscall.ECONNREFUSED)
		if !refused && last.code != result.ShuttingDown && last.code != result.NoConfiguration {
			break
		}
	}
	return last
}

// sendUntilKnown repeats a keyed request while its first copy is running.
func (e *Experiment) sendUntilKnown(ctx context.Context, client *http.Client, a arrival) answer {
	got := e.send(ctx, client, a)
	for try := 0; a.key != "" && got.code == result.StillRunning && try < stillRunningTry; try++ {
		select {
		case <-time.After(longestRetry):
		case <-ctx.Done():
			return got
		}
		got = e.send(ctx, client, a)
	}
	return got
}

func (e *Experiment) sendTo(ctx context.Context, client *http.Client, a arrival, router string) (got answer) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout.AsDuration())
	defer cancel()
	r, err := e.request(ctx, a, router)
	if err != nil {
		return answer{err: err}
	}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err, total: time.Since(a.at), executed: result.ExecutedMaybe}
	}
	defer response.Body.Close()
	got.status = response.StatusCode
	got.code = codeOf(response.Header.Get(headerResult))
	got.executed = result.Executed(response.Header.Get(headerExecuted))
	got.read(response.Body, a)
	got.total = time.Since(a.at)
	got.broken = got.err != nil || a.stream.Stream && strings.Contains(got.text, streamError)
	got.whole = !got.broken && a.complete(got)
	return got
}

// read takes the body and the time of its first byte.
func (got *answer) read(body io.Reader, a arrival) {
	limited := io.LimitReader(body, maxAnswerBytes)
	first := make([]byte, 1)
	n, err := io.ReadFull(limited, first)
	got.firstByte = time.Since(a.at)
	rest, restErr := io.ReadAll(limited)
	if err == nil {
		err = restErr
	}
	if errors.Is(err, io.EOF) {
		err = nil // an empty body
	}
	got.err = err
	all := append(first[:n], rest...)
	got.sum, got.text = sum(all), string(all)
}

func sum(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}

// complete reports whether the body is the whole answer.
func (a arrival) complete(got answer) bool {
	if a.stream.Stream && got.status == http.StatusOK {
		return strings.HasSuffix(got.text, streamEnd)
	}
	return json.Valid([]byte(got.text))
}

// codeOf reads the number of a result header such as "106 target_unreachable".
func codeOf(header string) result.Code {
	number, _, _ := strings.Cut(header, " ")
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return result.OK
	}
	return result.Code(n)
}

// chatBody returns a chat completion request with its own prompt.
func (s *Stream) chatBody(seed uint64, number int) []byte {
	text := fmt.Sprintf("%s request %d of %s %d ", s.Prefix, number, s.Name, seed)
	for len(text) < s.Prompt {
		text += "apron pocket stitch colour size "
	}
	body, err := json.Marshal(map[string]any{
		"model": s.Model, "stream": s.Stream, "max_tokens": s.MaxTokens,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if err != nil {
		panic(fmt.Sprintf("request cannot be encoded: %v", err)) // only plain values
	}
	return body
}

func (s *Stream) serviceBody(seed uint64, number int) []byte {
	if s.Method == http.MethodGet {
		return nil
	}
	return fmt.Appendf(nil, `{"stream":%q,"seed":%d,"number":%d}`, s.Name, seed, number)
}
