package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

// observedHeads collects the heads of answers.
type observedHeads struct {
	mu    sync.Mutex
	heads []Head
}

func (o *observedHeads) add(h Head) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heads = append(o.heads, h)
}

// limits returns the limits of the heads in order, "other" before that of an answer to
// another request.
func (o *observedHeads) limits() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, h := range o.heads {
		text := strings.Join(h.Header[backend.HeaderLimit], "+")
		if !h.Matches {
			text = "other " + text
		}
		out = append(out, text)
	}
	return strings.Join(out, ",")
}

// Guards against a limit that is not read because of the kind of the answer: an error, one
// that is not forwarded, a stream, or the answer to a resume request.
func TestHeadOfEachAnswerIsObserved(t *testing.T) {
	const sent = "data: one\n\n"
	const own, other = "Jackdawtrack-Request-Id: r-1\r\n", "Jackdawtrack-Request-Id: r-2\r\n"
	limit := func(n int64) string { return fmt.Sprintf("%s: %d\r\n", strings.ToLower(backend.HeaderLimit), n) }
	answer := func(status, header string) func(c net.Conn, n int64) {
		return func(c net.Conn, n int64) {
			writeString(c, "HTTP/1.1 "+status+"\r\nJackdawtrack-Process: s1/1\r\nContent-Length: 0\r\n"+header+limit(n)+"\r\n")
		}
	}
	brokenStream := func(c net.Conn, n int64) {
		writeString(c, strings.TrimSuffix(streamHead, "\r\n")+limit(n)+"\r\n"+chunk(sent))
		resetAfterRead(c)
	}
	restOfStream := func(c net.Conn, n int64) {
		offset := fmt.Sprintf("%s: %d\r\n", HeaderResumeOffset, len(sent))
		writeString(c, strings.TrimSuffix(streamHead, "\r\n")+offset+limit(n)+"\r\n"+chunk(doneEvent)+chunk(""))
	}
	for name, c := range map[string]struct {
		answers []func(c net.Conn, n int64) // by number of the request, the last one for all further ones
		want    string
	}{
		"200":           {[]func(net.Conn, int64){answer("200 OK", own)}, "1"},
		"two lines":     {[]func(net.Conn, int64){answer("200 OK", own+limit(7))}, "7+1"},
		"404":           {[]func(net.Conn, int64){answer("404 Not Found", own)}, "1"},
		"503":           {[]func(net.Conn, int64){answer("503 Service Unavailable", own)}, "1"},
		"odd status":    {[]func(net.Conn, int64){answer("600 Odd", own)}, "1"},
		"other request": {[]func(net.Conn, int64){answer("200 OK", other)}, "other 1"},
		"none":          {[]func(net.Conn, int64){func(c net.Conn, _ int64) { writeString(c, plainHead+"0123456789") }}, ""},
		"resumed":       {[]func(net.Conn, int64){brokenStream, restOfStream}, "1,2"},
		"not resumed":   {[]func(net.Conn, int64){brokenStream, answer("503 Service Unavailable", own)}, "1,2"},
	} {
		for _, intercept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%v", name, intercept), func(t *testing.T) {
				t.Parallel()
				f := newFakeServer(t, func(conn net.Conn, _ *http.Request, n int64) {
					c.answers[min(int(n), len(c.answers))-1](conn, n)
				})
				var seen observedHeads
				r := newRequest(f)
				r.Abilities.Resume, r.InterceptServerError, r.ObserveHead = true, intercept, seen.add
				before := time.Now()
				forward(t, r)
				assert.Equal(t, seen.limits(), c.want)
				for _, h := range seen.heads {
					assert.Assert(t, h.SentAt.After(before) && h.SentAt.Before(time.Now()))
				}
			})
		}
	}
}

// Guards against a head that is reported only when its stream has ended.
func TestHeadIsObservedBeforeTheStreamEnds(t *testing.T) {
	observed := make(chan struct{})
	f := newFakeServer(t, func(c net.Conn, _ *http.Request, _ int64) {
		writeString(c, streamHead)
		select {
		case <-observed:
			writeString(c, chunk(doneEvent)+chunk(""))
		case <-time.After(testTimeout):
			_ = c.Close()
		}
	})
	r := newRequest(f)
	r.ObserveHead = func(Head) { close(observed) }
	report, _ := forward(t, r)
	assert.Assert(t, report.Err == nil, "%v", report.Err)
}

// Guards against resume and cancel requests to a server that may not get them.
func TestServerGetsNoFurtherRequestWithoutPermission(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		cancelled := make(chan struct{}, 1)
		asked := make(chan bool, 16)
		f := newFakeServer(t, func(c net.Conn, r *http.Request, _ int64) {
			if r.URL.Path == cancelPath {
				cancelled <- struct{}{}
				writeString(c, "HTTP/1.1 204 No Content\r\n\r\n")
				return
			}
			writeString(c, streamHead+chunk("data: one\n\n"))
			resetAfterRead(c)
		})
		r := newRequest(f)
		r.Abilities.Resume, r.Abilities.Cancel = true, true
		r.MaySendAgain = func(_ context.Context, wait bool) bool { asked <- wait; return allowed }
		report, _ := forward(t, r)
		assert.Assert(t, report.Err != nil)
		for want := maxResumes; want > 0 && !allowed; want-- {
			assert.Equal(t, <-asked, true)
		}
		if allowed {
			<-cancelled
			assert.Equal(t, f.requests.Load(), int64(3), "the stream, a resume that was refused and a cancel request")
			continue
		}
		assert.Equal(t, <-asked, false, "a cancel request must not wait")
		assert.Equal(t, f.requests.Load(), int64(1))
	}
}
