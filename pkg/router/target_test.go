package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// Guards against a request for a plain service that runs with another path or query than
// its caller's, and against a redirect to another path.
func TestTargetReachesServicesUnchanged(t *testing.T) {
	tr := newTestRouter(t, nil)
	var arrived atomic.Pointer[http.Request]
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { arrived.Store(req) }))
	t.Cleanup(server.Close)
	resp := tr.postAnnouncement(t, backend.Announcement{Name: "s1", Kind: backend.Service, Address: server.Listener.Addr().String()}, serverKey)
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	front := httptest.NewUnstartedServer(nil)
	config, err := tr.router.cfg.newServer(tr.router.Handler(), TLSFiles{}, tr.router.log)
	assert.NilError(t, err)
	front.Config = config
	front.Start()
	t.Cleanup(front.Close)
	send := func(method, target string) int {
		arrived.Store(nil)
		c, err := net.Dial("tcp", front.Listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\n%s: order\r\n%s: w\r\nConnection: close\r\n\r\n", method, target, workspaceKey, proxy.HeaderClass, proxy.HeaderWorkspace)
		assert.NilError(t, err)
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		defer answer.Body.Close()
		return answer.StatusCode
	}
	for _, path := range []string{"/", "/x", "//place/0", "///", "/./x", "/x/../y", "//place/..", "/?", "//x?", "/x?a=1#b", "/x?a=//b", "/x#y", `/x\y`, "/é", "/%2F/%41", "/x;y=1"} {
		for _, before := range []string{"", "http://a.example"} {
			status := send("GET", before+"/services/p"+path)
			assert.Check(t, status == 200, "%s%s: status %d", before, path, status)
			sent := "nothing"
			if req := arrived.Load(); req != nil {
				sent = req.RequestURI
			}
			assert.Check(t, sent == path, "%s%s arrives as %s", before, path, sent)
		}
	}
	for _, c := range [][2]string{
		{"CONNECT", "/services/p/x"}, {"CONNECT", "a.example:80"}, {"OPTIONS", "*"}, {"GET", "/services/p//é"}, {"GET", "ftp://a.example/services/p/x"}, {"GET", "/services/p%2Fx"}, {"GET", "/services//x"},
	} {
		status := send(c[0], c[1])
		assert.Check(t, status >= 300 && status != 500 && status != 502, "%s: status %d", c, status)
		assert.Check(t, arrived.Load() == nil, "%s has reached the server", c)
	}
}
