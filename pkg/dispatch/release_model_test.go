package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// releaseModel drives a dispatcher at random and checks each decision against the list
// of announced servers.
type releaseModel struct {
	d       *Dispatcher
	plain   bool
	now     time.Time
	infos   []ServerInfo
	sent    []*Request
	waiting []*Request
}

var modelReleases = []release.ID{release.Unknown, v1, v2, release.Of("models", "v3")}

// announce replaces the servers: each may leave, return, or come back with another
// version under its id, with or without another start time.
func (m *releaseModel) announce(t *rapid.T) {
	m.infos = nil
	for i := range 5 {
		if rapid.IntRange(0, 4).Draw(t, "known") == 0 {
			continue
		}
		info := infosOf(m.plain, slices.Repeat([]release.ID{v1}, i+1)...)[i]
		info.Release = rapid.SampledFrom(modelReleases).Draw(t, "release")
		info.Recorded = rapid.Bool().Draw(t, "recorded")
		info.Ready = rapid.IntRange(0, 3).Draw(t, "ready") > 0
		info.StartMS = rapid.Int64Range(1, 3).Draw(t, "start")
		info.Slots, info.Heard = rapid.IntRange(1, 4).Draw(t, "slots"), m.now
		m.infos = append(m.infos, info)
	}
	m.d.SetServers(m.now, m.infos)
}

// readyOf returns how many announced servers of the release are ready.
func (m *releaseModel) readyOf(id release.ID) (n int) {
	for _, info := range m.infos {
		if info.Ready && (id == release.Unknown || info.Release == id) {
			n++
		}
	}
	return n
}

// check fails the test if the decision breaks the constraint of the request.
func (m *releaseModel) check(t *rapid.T, r *Request, v Decision) {
	constrained := r.Release != release.Unknown
	switch {
	case v.Action == Send:
		m.checkServer(t, r, v)
		m.checkFetch(t, v)
	case constrained && m.readyOf(r.Release) == 0 && (v.Action != Refuse || v.Reason != ReasonReleaseGone):
		t.Fatalf("release %s is gone, but decision is %d, %s", r.Release, v.Action, v.Reason)
	case v.Action == Refuse && v.Reason == ReasonReleaseGone && (!constrained || m.readyOf(r.Release) > 0):
		t.Fatalf("release %s is not gone", r.Release)
	case v.Action == Refuse && v.Reason == ReasonReleaseFull && !constrained:
		t.Fatal("request needs no release")
	case v.Action == Refuse && constrained && !slices.Contains([]Reason{ReasonReleaseGone, ReasonReleaseFull, ReasonOverShare}, v.Reason):
		t.Fatalf("request that needs release %s is refused: %s", r.Release, v.Reason)
	}
}

func (m *releaseModel) checkServer(t *rapid.T, r *Request, v Decision) {
	i := slices.IndexFunc(m.infos, func(info ServerInfo) bool { return info.ID == v.Server })
	if i < 0 || !m.infos[i].Ready || slices.Contains(r.ExcludedServers, v.Server) {
		t.Fatalf("sent to server %s, known %+v", v.Server, m.infos)
	}
	info := m.infos[i]
	if info.Release != v.Release || r.Release != release.Unknown && info.Release != r.Release || r.RecordedOnly && !info.Recorded {
		t.Fatalf("request for release %s, recorded only %t, sent to %+v as %s", r.Release, r.RecordedOnly, info, v.Release)
	}
}

// checkFetch fails the test if the server would fetch from one of another release.
func (m *releaseModel) checkFetch(t *rapid.T, v Decision) {
	for _, info := range m.infos {
		if info.Address == v.FetchFrom && (info.Release != v.Release || v.Release == release.Unknown) {
			t.Fatalf("server of release %s fetches from %+v", v.Release, info)
		}
	}
}

func (m *releaseModel) decided(t *rapid.T, r *Request, v Decision) {
	m.check(t, r, v)
	switch v.Action {
	case Send:
		m.d.ConfirmReservation(m.now, r)
		m.sent = append(m.sent, r)
	case Wait:
		m.waiting = append(m.waiting, r)
	}
}

func (m *releaseModel) admit(t *rapid.T) {
	r := newRequest(m.now, "w", rapid.IntRange(1, 9000).Draw(t, "prompt"), time.Second, Part{ID: rapid.Uint64Range(1, 2).Draw(t, "part"), Tokens: 900})
	r.PromptTokens += 900
	r.Release = rapid.SampledFrom(modelReleases).Draw(t, "needed release")
	r.RecordedOnly = rapid.Bool().Draw(t, "recorded only")
	m.decided(t, r, m.d.Admit(m.now, r))
}

func (m *releaseModel) poll(t *rapid.T) {
	for _, q := range m.d.Poll(m.now) {
		m.waiting = slices.DeleteFunc(m.waiting, func(r *Request) bool { return r == q.Request })
		m.decided(t, q.Request, q.Decision)
	}
	for _, r := range m.waiting {
		if r.Release != release.Unknown && m.readyOf(r.Release) == 0 {
			t.Fatalf("request waits for release %s, which is gone", r.Release)
		}
	}
}

// takeSent removes a random request from those that were sent, nil if there is none.
func (m *releaseModel) takeSent(t *rapid.T) *Request {
	if len(m.sent) == 0 {
		return nil
	}
	i := rapid.IntRange(0, len(m.sent)-1).Draw(t, "request")
	r := m.sent[i]
	m.sent = slices.Delete(m.sent, i, i+1)
	return r
}

func (m *releaseModel) end(t *rapid.T) {
	r := m.takeSent(t)
	if r == nil {
		return
	}
	server := r.server.info.ID
	if rapid.Bool().Draw(t, "begins") { // a server fetches only what another one has prefilled
		m.d.RecordEvent(m.now, r)
	}
	o := rapid.SampledFrom([]Outcome{Completed, ConnectionLost, ConnectFailed, NotExecuted, Misdirected}).Draw(t, "outcome")
	m.d.RecordOutcome(m.now, r, o)
	if o != Completed {
		m.decided(t, r, m.d.Retry(m.now, r, server))
	}
}

func (m *releaseModel) hedge(t *rapid.T) {
	r := m.takeSent(t)
	if r == nil {
		return
	}
	m.sent = append(m.sent, r)
	if second, v := m.d.Hedge(m.now, r, r.server.info.ID); second != nil {
		m.decided(t, second, v)
	}
}

func (m *releaseModel) cancel(*rapid.T) {
	if len(m.waiting) > 0 {
		m.d.Cancel(m.waiting[0])
		m.waiting = m.waiting[1:]
	}
}

// Guards against a decision for a server of another release than the one that began the
// stream, and against a wait for a release that no server is left to serve, in any order
// of announcements, requests and failures.
func TestDecisionsKeepToReleases(t *testing.T) {
	for _, plain := range []bool{false, true} {
		t.Run(fmt.Sprintf("plain=%t", plain), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := &releaseModel{d: New("edge", "a", start), plain: plain, now: start}
				t.Repeat(map[string]func(*rapid.T){
					"announce": m.announce, "admit": m.admit, "poll": m.poll, "end": m.end, "hedge": m.hedge, "cancel": m.cancel,
					"wait": func(t *rapid.T) {
						m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
					},
				})
			})
		})
	}
}
