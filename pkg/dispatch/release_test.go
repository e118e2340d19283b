package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

var v1, v2 = release.Of("models", "v1"), release.Of("models", "v2")

// newFleetOf returns the dispatcher of a host with one server for each of the releases,
// in this order: engines, or plain servers with one slot.
func newFleetOf(plain bool, releases ...release.ID) *Dispatcher {
	d := New("edge", "a", start)
	d.SetServers(start, infosOf(plain, releases...))
	return d
}

func infosOf(plain bool, releases ...release.ID) []ServerInfo {
	var infos []ServerInfo
	for i, id := range releases {
		info := engineInfo(i, "a")
		info.Release, info.Recorded = id, true
		if plain {
			info.Slots, info.KVTokens, info.FetchTokensPerSecond = 1, 0, 0
		}
		infos = append(infos, info)
	}
	return infos
}

// otherServers returns n servers of another service, which bound the decisions of a Poll.
func otherServers(n int) []ServerInfo {
	var infos []ServerInfo
	for i := range n {
		infos = append(infos, ServerInfo{ID: fmt.Sprintf("other-%d", i), Service: "other", Slots: 1, Ready: true, Heard: start})
	}
	return infos
}

// fill sends requests until the server has no room, and returns the last one.
func fill(t *testing.T, d *Dispatcher, id string) *Request {
	var last *Request
	for range 1000 {
		r := newRequest(start, "w", 3000, time.Second)
		r.Release = d.servers[id].info.Release // other requests leave places of a scarce release
		for other := range d.servers {
			if other != id {
				r.ExcludedServers = append(r.ExcludedServers, other)
			}
		}
		if d.Admit(start, r).Action != Send {
			d.Cancel(r)
			return last
		}
		last = r
	}
	t.Fatal("the server has no limit")
	return nil
}

// Guards against a stream that goes on at a server of another release than the one that
// began it, and against one that waits for a release that no server is left to serve.
func TestStreamGoesOnAtItsReleaseOnly(t *testing.T) {
	for _, c := range []struct {
		name     string
		releases []release.ID
		prepare  func(t *testing.T, d *Dispatcher)
		action   Action
		reason   Reason
	}{
		{"free", []release.ID{v2, v1, v2}, nil, Send, ReasonSent},
		{"other releases idle", []release.ID{v2, v1, v2}, func(_ *testing.T, d *Dispatcher) {
			r := newRequest(start, "w", 500, time.Second)
			r.Release = v1
			d.Admit(start, r)
		}, Send, ReasonSent},
		{"full", []release.ID{v2, v1, v2}, func(t *testing.T, d *Dispatcher) { fill(t, d, "engine-1") }, Wait, ""},
		{"down", []release.ID{v2, v1, v2}, func(t *testing.T, d *Dispatcher) {
			d.RecordOutcome(start, fill(t, d, "engine-1"), ConnectFailed)
		}, Refuse, ReasonReleaseFull},
		{"backs off for long", []release.ID{v2, v1, v2}, func(_ *testing.T, d *Dispatcher) {
			d.BackOff(start, "engine-1", time.Minute)
		}, Refuse, ReasonReleaseFull},
		{"cold", []release.ID{v2, v1, v2}, func(_ *testing.T, d *Dispatcher) {
			infos := infosOf(!d.servers["engine-0"].isEngine(), v2, v1, v2)
			infos[1].ColdUntil, infos[1].ColdRequestsPerSecond = start.Add(time.Second), 1
			d.SetServers(start, infos)
			r := newRequest(start, "w", 500, time.Second)
			r.Release = v1
			d.Admit(start, r)
		}, Wait, ""},
		{"shuts down", []release.ID{v2, v1, v2}, func(_ *testing.T, d *Dispatcher) {
			infos := infosOf(!d.servers["engine-0"].isEngine(), v2, v1, v2)
			infos[1].Ready = false
			d.SetServers(start, infos)
		}, Refuse, ReasonReleaseGone},
		{"came back with another version", []release.ID{v2, v1, v2}, func(_ *testing.T, d *Dispatcher) {
			d.SetServers(start, infosOf(!d.servers["engine-0"].isEngine(), v2, v2, v2))
		}, Refuse, ReasonReleaseGone},
		{"other releases only", []release.ID{v2, v2}, nil, Refuse, ReasonReleaseGone},
		{"no version stated", []release.ID{release.Unknown, release.Unknown}, nil, Refuse, ReasonReleaseGone},
		{"no server", nil, nil, Refuse, ReasonReleaseGone},
	} {
		for _, plain := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s,plain=%t", c.name, plain), func(t *testing.T) {
				d := newFleetOf(plain, c.releases...)
				if c.prepare != nil {
					c.prepare(t, d)
				}
				r := newRequest(start, "w", 6000, time.Second)
				r.Release = v1
				v := d.Admit(start, r)
				assert.Equal(t, v.Action, c.action, "%s", v.Reason)
				assert.Equal(t, v.Reason, c.reason)
				if v.Action == Send {
					assert.Equal(t, v.Server, "engine-1")
					assert.Equal(t, v.Release, v1)
				}
			})
		}
	}
}

// Guards against a stream that goes on at another release because its server broke, or
// was silent, while it was sent.
func TestSecondServerIsOfTheSameRelease(t *testing.T) {
	for _, plain := range []bool{false, true} {
		d := newFleetOf(plain, v2, v1, v2, v1)
		for _, again := range []struct {
			name string
			next func(r *Request, running string) (*Request, Decision)
		}{
			{"retry", func(r *Request, running string) (*Request, Decision) {
				d.RecordOutcome(start, r, ConnectionLost)
				return r, d.Retry(start, r, running)
			}},
			{"hedge", func(r *Request, running string) (*Request, Decision) { return d.Hedge(start, r, running) }},
		} {
			t.Run(fmt.Sprintf("%s,plain=%t", again.name, plain), func(t *testing.T) {
				r := newRequest(start, "w", 500, time.Second)
				r.Release = v1
				first := d.Admit(start, r)
				assert.Equal(t, first.Action, Send)
				r2, second := again.next(r, first.Server)
				assert.Equal(t, second.Action, Send)
				assert.Equal(t, second.Release, v1)
				assert.Assert(t, second.Server != first.Server)
				_, third := again.next(r2, second.Server)
				assert.Assert(t, third.Action != Send)
				if again.name == "retry" {
					assert.Equal(t, third.Reason, ReasonReleaseFull)
				}
			})
		}
	}
}

// Guards against a retried stream that is refused without naming that its release left.
func TestRetryAfterTheReleaseLeft(t *testing.T) {
	d := newFleetOf(false, v2, v1)
	r := newRequest(start, "w", 500, time.Second)
	r.Release = v1
	v := d.Admit(start, r)
	assert.Equal(t, v.Action, Send)
	d.SetServers(start, infosOf(false, v2, v2))
	d.RecordOutcome(start, r, ConnectionLost)
	v = d.Retry(start, r, v.Server)
	assert.Equal(t, v.Action, Refuse)
	assert.Equal(t, v.Reason, ReasonReleaseGone)
}

// Guards against a workspace beyond its share whose stream waits for a release that is
// gone, and against a refusal that blames the release for the share.
func TestShareOfAStreamThatNeedsARelease(t *testing.T) {
	for _, c := range []struct {
		releases []release.ID
		mayWait  bool
		class    Class
		reason   Reason
	}{
		{[]release.ID{v1, v2}, true, OverShare, ReasonOverShare},
		{[]release.ID{v2, v2}, false, OnTime, ReasonReleaseGone},
	} {
		d := newFleetOf(false, c.releases...)
		d.SetServiceRate(1000)
		for i := range 40 { // two workspaces ask for more than there is
			d.Admit(start, newRequest(start, string(rune('v'+i%2)), 6000, time.Second))
		}
		now := start.Add(shareInterval)
		d.Poll(now)
		r := newRequest(now, "w", 6000, time.Second)
		r.Release = v1
		v := d.Admit(now, r)
		assert.Equal(t, v.Class, c.class)
		assert.Assert(t, v.Action == Refuse || v.Action == Wait && c.mayWait)
		for now = now.Add(time.Second); v.Action == Wait; {
			for _, q := range d.Poll(now) {
				if q.Request == r {
					v = q.Decision
				}
			}
		}
		assert.Equal(t, v.Reason, c.reason)
	}
}

// Guards against queued streams that wait for their deadline although the last server of
// their release has left, when others are ahead of them in the queue.
func TestQueuedStreamsOfAReleaseThatLeftAreRefusedAtOnce(t *testing.T) {
	const queued = 3 * minPollDecisions
	d := newFleetOf(true, v1, v2)
	for _, id := range []string{"engine-0", "engine-1"} {
		fill(t, d, id)
	}
	for i := range 2 * queued {
		r := newRequest(start, "w", 0, time.Minute)
		if i >= queued {
			r.Release = v1
		}
		assert.Equal(t, d.Admit(start, r).Action, Wait)
	}
	infos := infosOf(true, v1, v2)
	infos[0].Ready = false
	d.SetServers(start, append(infos, otherServers(maxPollEvaluations)...))
	decided := d.Poll(start)
	for _, q := range decided {
		assert.Equal(t, q.Request.Release, v1)
		assert.Equal(t, q.Decision.Reason, ReasonReleaseGone)
	}
	assert.Equal(t, len(decided), queued)
}

// Guards against a stream that begins at a release that the fleet has not recorded: a
// caller that takes it up finds no record of what began it.
func TestNewStreamBeginsAtRecordedReleases(t *testing.T) {
	for _, plain := range []bool{false, true} {
		infos := infosOf(plain, v1, v2)
		infos[0].Recorded = false
		d := newFleetOf(plain)
		d.SetServers(start, infos)
		for range 2 {
			r := newRequest(start, "w", 500, time.Second)
			r.RecordedOnly = true
			assert.Equal(t, d.Admit(start, r).Release, v2)
		}
		r := newRequest(start, "w", 500, time.Second)
		r.RecordedOnly, r.ExcludedServers = true, nil
		assert.Equal(t, d.Retry(start, r, "engine-1").Reason, ReasonNoServer)
		assert.Equal(t, d.Admit(start, newRequest(start, "w", 500, time.Second)).Server, "engine-0", "other requests may use it")
	}
}

// Guards against refusing new streams of a service whose first release is about to be
// recorded, and against a wait without end for that.
func TestNewStreamWaitsForTheRecordOfARelease(t *testing.T) {
	for _, plain := range []bool{false, true} {
		infos := infosOf(plain, v1)
		infos[0].Recorded = false
		d := newFleetOf(plain)
		d.SetServers(start, infos)
		var requests []*Request
		for range 2 {
			r := newRequest(start, "w", 500, time.Second)
			r.RecordedOnly = true
			assert.Equal(t, d.Admit(start, r).Action, Wait)
			requests = append(requests, r)
		}
		d.Cancel(requests[1])
		infos[0].Recorded = true
		d.SetServers(start, infos)
		decided := d.Poll(start.Add(20 * time.Millisecond))
		assert.Equal(t, len(decided), 1)
		assert.Equal(t, decided[0].Decision.Action, Send)
		infos[0].Recorded = false
		d.SetServers(start, infos)
		r := newRequest(start, "w", 500, time.Second)
		r.RecordedOnly = true
		assert.Equal(t, d.Admit(start, r).Action, Wait)
		decided = d.Poll(start.Add(maxLateWait))
		assert.Equal(t, len(decided), 1)
		assert.Equal(t, decided[0].Decision.Reason, ReasonNotRecorded)
	}
}

// Guards against a request for the only release of a service that is refused while its
// servers start, although a new request waits for them, and against one that goes to a
// release which joined while it waited.
func TestRequestOfTheSoleReleaseWaitsAsNewOnesDo(t *testing.T) {
	for _, plain := range []bool{false, true} {
		infos := infosOf(plain, v1)
		infos[0].Ready = false
		d := New("edge", "a", start)
		d.SetServers(start, infos)
		for _, other := range []ServerInfo{{}, infosOf(plain, v1, v2)[1]} {
			if other.ID != "" {
				d.SetServers(start, append(infos, other))
			}
			r, bound := newRequest(start, "w", 10, time.Second), newRequest(start, "w", 10, time.Second)
			bound.Release, bound.SoleRelease = v1, true
			v, got := d.Admit(start, r), d.Admit(start, bound)
			if other.ID == "" {
				assert.Check(t, got.Action == v.Action && got.Reason == v.Reason, "plain %t: %d %s, a new request %d %s", plain, got.Action, got.Reason, v.Action, v.Reason)
				continue
			}
			assert.Check(t, v.Action == Send && v.Release == v2, "plain %t", plain)
			assert.Check(t, got.Action == Refuse && got.Reason == ReasonReleaseGone, "plain %t: %d %s", plain, got.Action, got.Reason)
		}
	}
}
