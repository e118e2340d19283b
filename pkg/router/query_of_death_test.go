package router

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

// Guards against requests whose content crashes servers reaching one server after
// the other.
func TestContentThatCrashesServersReachesFew(t *testing.T) {
	const servers, requests, crashes, late = 6, 20, 5, 3
	tr := newTestRouter(t, nil)
	var arrived atomic.Int64
	var names []string
	var all []*rawServer
	for i := range servers {
		s := newRawServer(t, func(c net.Conn, r *http.Request) {
			if strings.Contains(r.URL.Path, "deadly") {
				arrived.Add(1)
				resetConn(c, r)
				return
			}
			respondOK(c, r)
		})
		names, all = append(names, fmt.Sprintf("s%d", i)), append(all, s)
	}
	for i := range requests {
		for j, s := range all { // a server that ended is back under a new boot id
			resp := tr.postAnnouncement(t, backend.Announcement{
				Name: names[j], Address: s.addr, Kind: backend.Service, BootID: uint64(i + 1), Slots: 4, Abilities: backend.Abilities{RepeatsID: true},
			}, serverKey)
			assert.Equal(t, resp.StatusCode, http.StatusNoContent)
		}
		_, _ = tryDo(tr.request(t, http.MethodPost, fmt.Sprintf("/services/p/deadly/%d", i), "chat", "{}"))
	}
	assert.Assert(t, arrived.Load() <= crashes+late, "%d requests with the content reached servers", arrived.Load())
}
