package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord/recorder"
)

const fuzzID = "id-1"

// headerDialect reads the metadata of responses from headers.
type headerDialect struct{ Dialect }

func (headerDialect) ReadHead(resp *http.Response) ResponseMetadata {
	_, notExecuted := resp.Header["Not-Executed"]
	return ResponseMetadata{
		RequestID: resp.Header.Get("Id"), HasSeal: resp.Header.Get("Seal") != "", NotExecuted: notExecuted,
		Misdirected: resp.StatusCode == http.StatusMisdirectedRequest,
	}
}

// attemptTest is a request whose attempts get given bytes as responses.
type attemptTest struct {
	*proxiedRequest
	caller *httptest.ResponseRecorder
}

func newAttemptTest() attemptTest {
	caller := httptest.NewRecorder()
	s := &Server{config: Config{Dialect: headerDialect{}}, dispatcher: dispatch.New("edge", "z", start), responses: newResponseMemory(0), quarantine: quarantine.New(1), metrics: newMetrics(metrics.NewRegistry()), fleetView: newTestView()}
	s.streamRecords = recorder.New(logging.ForComponent("test"), s.metrics.registry)
	x := &proxiedRequest{
		s: s, w: caller, in: &Request{ID: fuzzID, Target: "/x", Arrived: time.Now()}, route: &routing.Route{Stream: true, RetryPolicy: routing.Resumable, MaxAttempts: 2},
		dispatchReq: &dispatch.Request{ID: fuzzID}, callerCtx: context.Background(), deadline: time.Now().Add(time.Hour),
		suspects: []uint64{quarantine.RequestSuspect(1)}, decision: dispatch.Decision{Release: release.Of("s", "v1")},
	}
	return attemptTest{x, caller}
}

func parseResponse(raw []byte) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), &http.Request{Method: http.MethodPost})
}

// receive handles the response of one attempt as attempt does. aborted reports
// whether the response to the caller was aborted.
func (x attemptTest) receive(resp *http.Response) (a attemptResult, aborted bool) {
	x.eventsBefore = x.sseParser.count
	defer func() {
		if cause := recover(); cause == http.ErrAbortHandler {
			aborted = true
		} else if cause != nil {
			panic(cause)
		}
	}()
	a, bad := x.rejectHead(resp, x.s.config.Dialect.ReadHead(resp), x.headSent, slices.Contains(x.sentTo, x.decision.Address))
	timer := startInactivityTimer(time.Hour, &inactivityTimer{mayAbandon: func() bool { return false }, keep: func() {}, abandon: func() {}})
	defer timer.stop()
	if !bad && resp.StatusCode == http.StatusOK {
		a = x.forwardStream(context.Background(), resp, timer, x.newHedge(x.newExchange(x.decision, x.dispatchReq)))
	} else if !bad {
		a = x.forwardBuffered(&serverExchange{ctx: context.Background()}, resp, timer)
	}
	x.releaseResponses()
	return a, false
}

// rawHead returns a response head with the lines of the header.
func rawHead(status int, header ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n\r\n", status, http.StatusText(status), strings.Join(header, "\r\n"))
}

// Guards against a refusal that belongs to an earlier attempt of the same request:
// the server of a new address may have taken over the connections of the old one.
func TestSecondRefusalFromAnAddressIsNotBelieved(t *testing.T) {
	refusal := []byte(rawHead(503, "Id: "+fuzzID, "Not-Executed: 1", "Content-Length: 0"))
	x := newAttemptTest()
	for i, want := range []dispatch.Outcome{dispatch.NotExecuted, dispatch.InvalidResponse} {
		x.decision.Address = "10.0.0.1:80"
		resp, err := parseResponse(refusal)
		assert.NilError(t, err)
		a, _ := x.receive(resp)
		assert.Equal(t, a.outcome, want, "attempt %d", i)
		x.recordFailure(x.finishAttempt(x.decision, a))
		assert.Equal(t, x.mayHaveRun, want == dispatch.InvalidResponse)
	}
}

// Guards against a response that is taken for a refusal although it states nothing
// about this request, and against an endless or missing head that causes a panic.
func FuzzRefusal(f *testing.F) {
	for _, status := range []int{200, 204, 302, 400, 408, 421, 429, 500, 503} {
		f.Add([]byte(rawHead(status, "Id: "+fuzzID, "Not-Executed: 1", "Content-Length: 0")), false)
		f.Add([]byte(rawHead(status, "Id: "+fuzzID, "Content-Length: 0")), false)
		f.Add([]byte(rawHead(status, "Id: id-0", "Not-Executed: 1", "Content-Length: 0")), false)
		f.Add([]byte(rawHead(status, "Not-Executed: 1", "Content-Length: 0")), true)
	}
	f.Add([]byte(rawHead(503, "Id: id-0", "Id: "+fuzzID, "Not-Executed: 1")), true)
	f.Add([]byte("HTTP/1.1 000 \r\nId: "+fuzzID+"\r\n\r\n"), false)
	f.Add([]byte(rawHead(503, "Id: id-0", "Not-Executed: 1", "Content-Length: 0")+rawHead(503, "Id: "+fuzzID, "Not-Executed: 1")), false)
	f.Fuzz(func(t *testing.T, raw []byte, sentBefore bool) {
		resp, err := parseResponse(raw)
		if err != nil {
			return
		}
		x := newAttemptTest()
		x.decision.Address = "10.0.0.1:80"
		if sentBefore {
			x.sentTo = []string{x.decision.Address}
		}
		a, _ := x.receive(resp)
		x.recordFailure(a)
		_, states := resp.Header["Not-Executed"]
		proved := resp.Header.Get("Id") == fuzzID && (states || resp.StatusCode == 421) && slices.Contains([]int{400, 408, 421, 429, 503}, resp.StatusCode) && !sentBefore
		if refused := a.outcome == dispatch.NotExecuted || a.outcome == dispatch.Misdirected; refused != proved {
			t.Fatalf("outcome %s of %q", a.outcome, raw)
		}
		if !a.done && x.mayHaveRun == proved {
			t.Fatalf("may have run: %v after %q", x.mayHaveRun, raw)
		}
	})
}

// Guards against callers that find bytes of other responses in a stream, or an end
// that its servers did not send, however the second server answers after the first
// broke off.
func FuzzResumedStream(f *testing.F) {
	const ok, next = "Content-Type: text/event-stream", "id: 3\ndata: three\n\n"
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d", len(body)) }
	first := rawHead(200, "Id: "+fuzzID, "Seal: s", ok, "Content-Length: 1000") + "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\nda"
	id, seal := "Id: "+fuzzID, "Seal: s"
	for _, second := range []string{
		rawHead(200, id, seal, ok, length(next)) + next,
		rawHead(200, id, seal, ok, "Content-Length: 0"),
		rawHead(200, id, seal, ok, "Transfer-Encoding: chunked") + "14\r\n" + next + "\r\n5\r\nevent\r\n0\r\n\r\n",
		rawHead(200, id, seal, ok) + next + "event: error\ndata: {}\n\n",
		rawHead(200, id, seal, "Content-Type: application/json", "Content-Length: 2") + "{}",
		rawHead(404, id, seal, "Content-Length: 2") + "{}",
		rawHead(429, id, "Content-Length: 2") + "{}",
		rawHead(500, id, "Content-Length: 2") + "{}",
		rawHead(503, id, "Not-Executed: 1", "Content-Length: 2") + "{}",
		rawHead(206, id, seal, ok, length(next)) + next,
		"HTTP/1.1 000 \r\n" + id + "\r\n\r\n",
		"",
	} {
		f.Add([]byte(first), []byte(second))
		f.Add([]byte(second), []byte(second))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		x := newAttemptTest()
		var want []byte // what the caller may receive
		complete := false
		for _, raw := range [][]byte{first, second} {
			resp, err := parseResponse(raw)
			if err != nil {
				continue // the attempt fails without a response
			}
			begun := x.headSent
			received := len(x.caller.Body.Bytes())
			a, aborted := x.receive(resp)
			body, ends := wholeBody(raw)
			valid := resp.Header.Get("Id") == fuzzID && (resp.StatusCode/100 != 2 || resp.Header.Get("Seal") != "") && resp.Header.Get("Content-Encoding") == ""
			if begun {
				valid = valid && resp.StatusCode == http.StatusOK && mediaType(resp.Header) == mediaType(x.caller.Header())
			}
			if got := x.caller.Body.Bytes()[received:]; len(got) > 0 && (!valid || !bytes.HasPrefix(body, got)) {
				t.Fatalf("caller got %q of %q", got, raw)
			}
			want = x.caller.Body.Bytes()
			if a.done && !aborted {
				complete = true
				if !valid || !ends || !bytes.HasSuffix(want, body) || begun && len(body) == 0 {
					t.Fatalf("%q looks complete after %q", want, raw)
				}
				break
			}
			x.recordFailure(a)
			if x.headSent && x.sseParser.lastID == "" {
				break // canRetry
			}
		}
		if !complete && x.headSent {
			if _, aborted := respondFailed(x); !aborted {
				t.Fatalf("broken stream %q was not aborted", want)
			}
			if !bytes.Equal(x.caller.Body.Bytes(), want) {
				t.Fatalf("%q follows %q", x.caller.Body.Bytes(), want)
			}
		}
	})
}

// wholeBody returns the body of a response and whether it ends as its framing says.
func wholeBody(raw []byte) (body []byte, ends bool) {
	resp, err := parseResponse(raw)
	if err != nil {
		return nil, false
	}
	body, err = io.ReadAll(resp.Body)
	return body, err == nil
}

// respondFailed ends a request whose attempts have failed.
func respondFailed(x attemptTest) (status int, aborted bool) {
	defer func() { aborted = recover() == http.ErrAbortHandler }()
	x.respondFailed(attemptResult{outcome: dispatch.ConnectionLost})
	return x.status, false
}
