package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against a response that is cut at any place, in its head too, and counts as
// complete, or whose cut head is written to the caller.
func TestCutResponseIsNeverComplete(t *testing.T) {
	const eventStream = "Content-Type: text/event-stream\r\n"
	const events = "data: one\n\ndata: two\n\n" + doneEvent
	const chunks = "5\r\nhello\r\n6\r\n world\r\n0\r\n"
	for _, c := range []struct {
		name, before, header, body string
		want                       string // what the sink gets of the whole response
		framed, stream             bool
	}{
		{"length", "", "Content-Length: 11\r\n", "hello world", "hello world", true, false},
		{"empty", "", "Content-Length: 0\r\n", "", "", true, false},
		{"chunks", "", "Transfer-Encoding: chunked\r\n", chunks + "\r\n", "hello world", true, false},
		{"trailer", "", "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n", chunks + "X-End: 1\r\n\r\n", "hello world", true, false},
		{"no framing", "", "", "hello world", "hello world", false, false},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", "Content-Length: 5\r\n", "hello", "hello", true, false},
		{"interim response, no framing", "HTTP/1.1 100 Continue\r\n\r\n", "", "hello", "hello", false, false},
		{"stream with a length", "", eventStream + fmt.Sprintf("Content-Length: %d\r\n", len(events)), events, events, true, true},
		{"stream in chunks", "", eventStream + "Transfer-Encoding: chunked\r\n", chunk(events) + "0\r\n\r\n", events, true, true},
		{"stream without framing", "", eventStream, events, events, false, true},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %v", c.name, kept), func(t *testing.T) {
				t.Parallel()
				head := c.before + okHead + c.header + "\r\n"
				raw := head + c.body
				answers := make(chan string, 1)
				f := newFakeServer(t, func(conn net.Conn, _ *http.Request, _ int64) {
					answer := <-answers
					writeString(conn, answer)
					if answer != plainHead+"0123456789" {
						_ = conn.Close()
					}
				})
				tr := NewTransport()
				defer tr.Close()
				call := func(answer string) (Report, *recordingSink) {
					answers <- answer
					r := newRequest(f)
					r.Class.MayRunTwice = kept // else the request gets a connection of its own
					sink := &recordingSink{}
					report := tr.Forward(t.Context(), r, sink)
					assert.Equal(t, len(answers), 0, "the server did not answer with %q: %v", answer, report.Err)
					return report, sink
				}
				for cut := range len(raw) + 1 {
					if kept {
						report, _ := call(plainHead + "0123456789")
						assert.Assert(t, report.Err == nil, "%v", report.Err)
					}
					report, sink := call(raw[:cut])
					sent := raw[min(cut, len(head)):cut]
					// A stream is complete with its end marker and the blank line after it.
					whole := cut == len(raw) || !c.framed && cut >= len(head) && !c.stream || c.stream && strings.Contains(sent, doneEvent)
					want := c.want
					if !c.framed {
						want = sent
					}
					if whole {
						assert.Assert(t, report.Err == nil && sink.status == http.StatusOK && sink.String() == want, "%q: %v %d %q", raw[:cut], report.Err, sink.status, sink.String())
						continue
					}
					assert.Assert(t, report.Err != nil && report.Err.Code.Executed() != result.ExecutedNo, "%q counts as complete: %v", raw[:cut], report.Err)
					assert.Assert(t, strings.HasPrefix(want, sink.String()), "%q: %q", raw[:cut], sink.String())
					assert.Assert(t, cut >= len(head) || !report.HeadWritten && sink.status == 0 && sink.header == nil, "%q: the cut head was written", raw[:cut])
				}
				assert.Assert(t, !kept || f.accepted.Load() < 2*int64(len(raw)), "no connection was used again")
			})
		}
	}
}

// Guards against a response with bytes changed or cut at any place that counts as
// complete although it is not, or whose cut head is written to the caller.
func FuzzCutResponse(f *testing.F) {
	for _, raw := range []string{
		plainHead + "0123456789",
		okHead + "\r\nhello",
		okHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("hello") + "0\r\n\r\n",
		okHead + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n" + chunk("hello") + "0\r\nX: 1\r\n\r\n",
		streamHead + chunk("data: one\n\n"+doneEvent) + "0\r\n\r\n",
		unframedStreamHead + "data: one\n\n" + doneEvent,
		"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + plainHead + "0123456789",
		"HTTP/1.1 500 Internal Server Error\r\nJackdawtrack-Request-Id: r-1\r\nContent-Length: 2\r\n\r\n{}",
	} {
		for _, at := range []int{0, 12, 16, len(raw) / 3, len(raw) / 2, len(raw) - 3, len(raw) - 1, len(raw)} {
			f.Add([]byte(raw), at, "")
			f.Add([]byte(raw), at, "\r\n")
			f.Add([]byte(raw), at, "Content-Length: 0\r\n\r\n")
		}
	}
	answers := make(chan []byte, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	f.Cleanup(func() { _ = l.Close() })
	server := &fakeServer{addr: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			server.serve(conn, func(c net.Conn, _ *http.Request, _ int64) {
				_, _ = c.Write(<-answers)
				_ = c.Close()
			})
		}
	}()
	f.Fuzz(func(t *testing.T, raw []byte, at int, replacement string) {
		at = min(max(at, 0), len(raw))
		raw = append(raw[:at:at], replacement...)
		answers <- raw
		tr := NewTransport()
		defer tr.Close()
		sink := &recordingSink{}
		report := tr.Forward(t.Context(), newRequest(server), sink)
		if report.Err != nil && !report.HeadWritten {
			return
		}
		text, in := string(raw), bufio.NewReader(strings.NewReader(string(raw)))
		sent, headErr := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
		for headErr == nil && sent.StatusCode/100 == 1 && sent.StatusCode != http.StatusSwitchingProtocols {
			sent, headErr = http.ReadResponse(in, &http.Request{Method: http.MethodPost})
		}
		if headErr != nil || !strings.Contains(text, "\n\r\n") && !strings.Contains(text, "\n\n") {
			t.Fatalf("%q: %d of a cut head", raw, sink.status)
		}
		whole, readErr := io.ReadAll(sent.Body)
		if !strings.HasPrefix(string(whole), sink.String()) || sink.status != sent.StatusCode {
			t.Fatalf("%q: %d %q", raw, sink.status, sink.String())
		}
		ended := strings.Contains(string(whole), "[DONE]") // a stream that is complete before its framing ends
		if report.Err == nil && !(report.IsStream && ended) && (readErr != nil || string(whole) != sink.String()) {
			t.Fatalf("%q: %d %q counts as complete", raw, sink.status, sink.String())
		}
	})
}
