package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// answerOf is one answer of a server to a stream request: what it states of its
// process and its release, empty if nothing.
type answerOf struct{ process, release string }

func (a answerOf) header() string {
	var out string
	if a.process != "" {
		out += HeaderProcess + ": " + a.process + "\r\n"
	}
	if a.release != "" {
		out += HeaderRelease + ": " + a.release + "\r\n"
	}
	return out
}

// eventOf returns the event that an answer writes. All events have the same length, so
// that any answer can go on at any event.
func eventOf(answer int) string { return fmt.Sprintf("data: %d\n\n", answer) }

// forwardAnswers forwards a stream that breaks after the first sent bytes of each event
// of the answers but the last, which ends it.
func forwardAnswers(t *testing.T, sent int, answers ...answerOf) (Report, *recordingSink) {
	t.Helper()
	f := newFakeServer(t, func(c net.Conn, r *http.Request, n int64) {
		a := answers[min(int(n), len(answers))-1]
		head := strings.Replace(streamHead, "Jackdawtrack-Process: s1/1\r\n", a.header(), 1)
		if offset := r.Header.Get(HeaderResumeOffset); offset != "" {
			head = strings.Replace(head, "\r\n", "\r\n"+HeaderResumeOffset+": "+offset+"\r\n", 1)
		}
		if int(n) < len(answers) {
			writeString(c, head+chunk(eventOf(int(n))[:sent]))
			_ = c.Close() // unlike a reset it discards no bytes
			return
		}
		writeString(c, head+chunk(eventOf(int(n))[sent%len(eventOf(1)):]+doneEvent)+"0\r\n\r\n")
	})
	r := newRequest(f)
	r.Abilities.Resume = true
	return forward(t, r)
}

// Guards against a stream that two software versions wrote: the server that was asked
// to resume it was another process.
func TestStreamIsNotJoinedFromTwoReleases(t *testing.T) {
	long := "p/" + strings.Repeat("v", 129)
	for _, tc := range []struct {
		name         string
		began, later answerOf
		resumed      bool
	}{
		{"same process and release", answerOf{"s1/1", "p/v1"}, answerOf{"s1/1", "p/v1"}, true},
		{"same process, no version", answerOf{"s1/1", ""}, answerOf{"s1/1", ""}, true},
		{"same process, no usable version", answerOf{"s1/1", long}, answerOf{"s1/1", long}, true},
		{"another process, same release", answerOf{"s1/1", "p/v1"}, answerOf{"s1/2", "p/v1"}, true},
		{"another process, same release with blanks", answerOf{"s1/1", "p/ \tv1"}, answerOf{"s1/2", "p/v1"}, true},
		{"another process, blanks for versions", answerOf{"s1/1", "p/ \u00a0"}, answerOf{"s1/2", "p/ \u00a0"}, false},
		{"another process, newer release", answerOf{"s1/1", "p/v1"}, answerOf{"s1/2", "p/v2"}, false},
		{"another process, older release", answerOf{"s1/1", "p/v2"}, answerOf{"s1/2", "p/v1"}, false},
		{"another process, another pool", answerOf{"s1/1", "p/v1"}, answerOf{"s1/2", "q/v1"}, false},
		{"another process, no versions", answerOf{"s1/1", ""}, answerOf{"s1/2", ""}, false},
		{"another process, empty versions", answerOf{"s1/1", "p/"}, answerOf{"s1/2", "p/"}, false},
		{"another process, versions too long", answerOf{"s1/1", long}, answerOf{"s1/2", long}, false},
		{"another process, later no version", answerOf{"s1/1", "p/v1"}, answerOf{"s1/2", ""}, false},
		{"another process, first no version", answerOf{"s1/1", ""}, answerOf{"s1/2", "p/v1"}, false},
		{"another server at the address, same boot id", answerOf{"s1/1", "p/v1"}, answerOf{"s2/1", "p/v2"}, false},
		{"same process, another release", answerOf{"s1/1", "p/v1"}, answerOf{"s1/1", "p/v2"}, false},
		{"nothing stated", answerOf{}, answerOf{}, false},
		{"nothing stated later", answerOf{"s1/1", "p/v1"}, answerOf{}, false},
		{"nothing stated first", answerOf{}, answerOf{"s1/1", "p/v1"}, false},
		{"release without process", answerOf{"", "p/v1"}, answerOf{"", "p/v1"}, true},
		{"process too long", answerOf{strings.Repeat("s", 257), ""}, answerOf{strings.Repeat("s", 257), ""}, false},
		{"two processes stated", answerOf{"s1/1\r\n" + HeaderProcess + ": s1/2", ""}, answerOf{"s1/1\r\n" + HeaderProcess + ": s1/2", ""}, false},
		{"release without a pool", answerOf{"s1/1", "v1"}, answerOf{"s1/2", "v1"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, sent := range []int{len(eventOf(1)), 4} { // a whole event, and less than the caller gets
				report, sink := forwardAnswers(t, sent, tc.began, tc.later)
				if tc.resumed {
					assert.NilError(t, errorOf(report), "%d bytes sent", sent)
					assert.Assert(t, strings.HasSuffix(sink.String(), doneEvent), "%q", sink.String())
					continue
				}
				assert.Check(t, strings.HasPrefix(eventOf(1), sink.String()), "joined: %q", sink.String())
				assert.Check(t, resultCode(report) == result.ReleaseChanged, "%d bytes sent: %v", sent, report.Err)
				assert.Check(t, report.Lost, "the lost connection is not reported")
				assert.Check(t, report.HeadWritten == (sent > 4))
			}
		})
	}
}

// Guards against a second resume that is compared with the first one instead of the
// begin of the stream.
func TestEachResumeIsComparedWithTheBegin(t *testing.T) {
	one, same, other := answerOf{"s1/1", "p/v1"}, answerOf{"s1/2", "p/v1"}, answerOf{"s1/3", "p/v2"}
	whole := len(eventOf(1))
	report, sink := forwardAnswers(t, whole, one, same, one)
	assert.NilError(t, errorOf(report))
	assert.Equal(t, sink.String(), eventOf(1)+eventOf(2)+eventOf(3)+doneEvent)
	report, sink = forwardAnswers(t, whole, one, same, other)
	assert.Equal(t, resultCode(report), result.ReleaseChanged, "joined: %q", sink.String())
	assert.Equal(t, sink.String(), eventOf(1)+eventOf(2))
}

// errorOf returns the error of a report as an interface.
func errorOf(r Report) error {
	if r.Err == nil {
		return nil
	}
	return r.Err
}
