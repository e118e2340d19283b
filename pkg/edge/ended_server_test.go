package edge

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/losses"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Guards against the release of a server process that is believed after the host has found
// the process ended, whatever showed it: a lost request, a caller that left, or an attempt
// that was refused a connection.
func TestEndOfAProcessIsRecordedHoweverItIsFound(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	v := dispatch.Decision{Server: "first", Address: address, StartMS: 5, Release: v1}
	for name, find := range map[string]func(x *proxiedRequest){
		"lost request": func(x *proxiedRequest) {
			x.s.checkLoss(x.s.losses.Add(time.Now(), processOf(v), losses.Request{}))
		},
		"caller left": func(x *proxiedRequest) {
			x.s.left.Add(time.Now(), processOf(v), losses.Request{})
			x.s.checkLeft(processOf(v))
		},
		"refused connection": func(x *proxiedRequest) {
			_, err := net.Dial("tcp", address)
			x.finishAttempt(v, x.classifySendError(t.Context(), err, func() bool { return false }))
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newStreamTestOf(5)
			x.s.ctx, x.s.quarantine = context.Background(), quarantine.New(1)
			x.s.dispatcher.SetServers(time.Now(), []dispatch.ServerInfo{{ID: "first", Service: "s", Address: address, StartMS: 5, Release: v1, Ready: true, Heard: time.Now()}})
			releaseOf := func(v dispatch.Decision) release.ID {
				x.s.mu.Lock()
				defer x.s.mu.Unlock()
				return x.s.releaseOnArrival(v)
			}
			assert.Equal(t, releaseOf(v), v1)
			find(x)
			assert.Equal(t, releaseOf(v), release.Unknown)
			assert.Equal(t, releaseOf(dispatch.Decision{Server: "first", StartMS: 6, Release: v1}), v1, "of another process")
		})
	}
}
