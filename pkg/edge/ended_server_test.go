package edge

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/losses"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
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

// Guards against a server that gets no requests because a stream could not go on there: it is
// up, and only its process is another one.
func TestServerWithAnotherProcessStaysInUse(t *testing.T) {
	v := dispatch.Decision{Server: "first", Address: "10.0.0.1:80", StartMS: 5, Release: v1}
	for name, fail := range map[string]func(x *proxiedRequest){
		"request": func(x *proxiedRequest) {
			a := x.finishAttempt(v, x.classifySendError(t.Context(), proxy.ErrOtherProcess, func() bool { return false }))
			assert.Equal(t, a.outcome, dispatch.NotSent)
			assert.Equal(t, a.sent, false)
		},
		"reservation": func(x *proxiedRequest) {
			x.s.recordOtherProcess(v, proxy.ErrOtherProcess)
			assert.Equal(t, x.recordNoReservation(reserveOutcome(proxy.ErrOtherProcess, false, false)), false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			x, now := newStreamTestOf(5), time.Now()
			x.s.dispatcher.SetServers(now, []dispatch.ServerInfo{{ID: "first", Service: "s", Address: v.Address, DataCentre: "z", Slots: 9, StartMS: 5, Release: v1, Ready: true, Heard: now}})
			send := func(id release.ID) dispatch.Action {
				r := &dispatch.Request{ID: "r", Workspace: "w", Service: "s", Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute), Release: id}
				return x.s.dispatcher.Admit(now, r).Action
			}
			x.dispatchReq = &dispatch.Request{ID: "id", Workspace: "w", Service: "s", Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute), Release: v1}
			x.decision = x.s.dispatcher.Admit(now, x.dispatchReq)
			assert.Equal(t, x.decision.Action, dispatch.Send)
			fail(x)
			assert.Equal(t, x.s.metrics.otherProcess.Count(), int64(1))
			assert.Equal(t, send(release.Unknown), dispatch.Send, "a new stream")
			assert.Assert(t, send(v1) != dispatch.Send, "another stream that goes on")
		})
	}
}
