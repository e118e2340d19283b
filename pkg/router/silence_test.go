package router

import (
	"fmt"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/datacentre"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// serverSilence is how long a sound server may send nothing and then go on.
const serverSilence = 1500 * time.Millisecond

// silentMoments are the paths of requests whose server falls silent, by when it does.
var silentMoments = []string{"before-head", "after-head", "length", "chunked", "unframed", "within-event", "between-events"}

const (
	silentBody   = "the first half and the second half"
	silentStream = "data: one\n\ndata: two\n\ndata: [DONE]\n\n"
)

// answerSilently answers a request with a silence at the moment that its path names.
func answerSilently(c net.Conn, r *http.Request, silent func()) {
	moment := path.Base(r.URL.Path)
	silentAt := func(m string) {
		if m == moment {
			silent()
		}
	}
	silentAt("before-head")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
	if strings.HasSuffix(moment, "-event") || strings.HasSuffix(moment, "-events") {
		half := strings.Index(silentStream, "data: two")
		fmt.Fprintf(c, "%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", head, eventStream, len(silentStream), silentStream[:half])
		silentAt("between-events")
		fmt.Fprint(c, silentStream[half:half+6])
		silentAt("within-event")
		fmt.Fprint(c, silentStream[half+6:])
		return
	}
	half := len(silentBody) / 2
	switch moment {
	case "chunked":
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, half, silentBody[:half])
		silent()
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(silentBody)-half, silentBody[half:])
	case "unframed":
		fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", head, silentBody[:half])
		silent()
		fmt.Fprint(c, silentBody[half:])
		_ = c.Close()
	default:
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, len(silentBody))
		silentAt("after-head")
		fmt.Fprint(c, silentBody[:half])
		silentAt("length")
		fmt.Fprint(c, silentBody[half:])
	}
}

// Guards against requests at a router that end without the whole answer of a server that
// is silent for a while, at any moment, beside a change of the configuration.
func TestRequestsAtSilentServerEndWholeBesideChanges(t *testing.T) {
	t.Parallel()
	classes := func(progress time.Duration) []*apiv1.Change {
		return []*apiv1.Change{
			catalog.ClassChange(class.Class{Name: "read", Answer: 10 * time.Second, MayWait: true, MaxWait: 10 * time.Second, MayRunTwice: true, ProgressTimeout: progress}),
			catalog.ClassChange(class.Class{Name: "once", Answer: 10 * time.Second, MayWait: true, MaxWait: 10 * time.Second, ProgressTimeout: progress}),
		}
	}
	base := func(drop ...int) (out []*apiv1.Change) {
		for i, c := range configuration() {
			if !slices.Contains(drop, i) {
				out = append(out, c)
			}
		}
		return out
	}
	whole := append(base(), classes(0)...)
	for name, changes := range map[string][]*apiv1.Change{
		"nothing":                      whole,
		"the classes are removed":      base(0, 1, 2),
		"a shorter progress timeout":   append(base(), classes(100*time.Millisecond)...),
		"the workspaces are removed":   append(base(3, 4), classes(0)...),
		"the key is replaced":          append(append(base(3), classes(0)...), catalog.WorkspaceChange(workspace.Workspace{Name: "w", KeyHashes: [][]byte{workspace.HashKey("other")}})),
		"a smaller quota":              append(append(base(3), classes(0)...), catalog.WorkspaceChange(workspace.Workspace{Name: "w", KeyHashes: [][]byte{workspace.HashKey(workspaceKey)}, RequestsPerSecond: 0.001})),
		"the credential is removed":    append(base(5), classes(0)...),
		"the data centre is out":       append(whole, catalog.DataCentreChange(datacentre.DataCentre{Name: "north", Out: true})),
		"the whole catalog is emptied": nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := newTestRouter(t, nil)
			tr.store.ApplySnapshot(2, whole)
			type answer struct {
				name string
				resp *http.Response
				body string
			}
			requests := 2 * len(silentMoments)
			answers := make(chan answer, requests)
			var arrived atomic.Int64 // requests whose server has fallen silent, or that have ended
			server := newRawServer(t, func(c net.Conn, r *http.Request) {
				answerSilently(c, r, func() { arrived.Add(1); time.Sleep(serverSilence) })
			})
			for i := range requests { // each at a server of its own
				tr.announceRawServer(t, fmt.Sprintf("s%d", i), server, backend.Abilities{})
			}
			for _, class := range []string{"read", "once"} {
				for _, m := range silentMoments {
					go func() {
						resp, body := tryDo(tr.request(t, http.MethodPost, "/services/p/"+m, class, "{}"))
						arrived.Add(1)
						answers <- answer{class + " " + m, resp, body}
					}()
				}
			}
			tr.waitFor(t, "silent servers", func() bool { return arrived.Load() >= int64(requests) })
			tr.store.ApplySnapshot(3, changes)
			for range requests {
				a := <-answers
				if a.resp == nil || a.resp.StatusCode != http.StatusOK || a.body != silentBody && a.body != silentStream {
					t.Errorf("%s: no whole answer: %v, %q", a.name, a.resp, a.body)
				}
			}
			assert.Assert(t, server.count.Load() == int64(requests), "%d runs", server.count.Load())
		})
	}
}
