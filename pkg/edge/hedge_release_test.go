package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Guards against a stream that is cut although its first server goes on: the second one is
// back with another release when it answers, which was noticed only once the first server
// had been given up for it, or nothing tells which release began the stream.
func TestSecondServerOfAnotherReleaseDoesNotTakeTheStreamOver(t *testing.T) {
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Id", "r")
		w.Header().Set("Seal", "x")
		_, _ = io.WriteString(w, "id: 5\ndata: x\n\n")
	}))
	defer second.Close()
	for _, c := range []struct {
		bound, announced release.ID
		done             bool
	}{{v1, v1, true}, {v1, v2, false}, {release.Unknown, v1, false}} {
		h, _, _ := newSilentHedge(t)
		x := h.x
		x.s.fleetView = newTestView()
		x.dispatchReq.Release, x.headSent = c.bound, true
		x.w = httptest.NewRecorder()
		x.w.Header().Set("Content-Type", "text/event-stream")
		x.s.fleetView.servers.Merge(registry.Entry{ID: "second", Service: "s", Address: second.Listener.Addr().String(), Release: c.announced, State: registry.Ready, Sequence: 1, Heard: time.Now()})
		e := x.newExchange(dispatch.Decision{Server: "second", Address: second.Listener.Addr().String(), Release: v1}, x.dispatchReq)
		a := x.awaitBegin(e, true, false, "4")
		assert.Equal(t, a.done, c.done, "%+v", a)
		e.cancel(errAttemptEnded)
	}
}
