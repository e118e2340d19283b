package router

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// testTerm is the term of verdicts that tests make.
const testTerm = 15 * time.Second

// wholeSuspect returns the suspect of a request to a service that the test
// workspace sends.
func wholeSuspect(method, path, body string) uint64 {
	return quarantine.RequestSuspect(quarantine.Fingerprint("w", method, "", path, []byte(body)))
}

// convict quarantines a suspect at a router as if another one had decided it some
// time ago.
func (tr *testRouter) convict(suspect uint64, age time.Duration, companions ...uint64) {
	tr.mergeVerdict(quarantine.Verdict{Suspect: suspect, Generation: 1, Since: time.Now().Add(-age), Companions: companions})
}

// mergeVerdict makes the router learn a quarantine of testTerm.
func (tr *testRouter) mergeVerdict(v quarantine.Verdict) {
	v.State, v.Term, v.Losses, v.Hosts = quarantine.Quarantined, testTerm, 3, 1
	tr.router.quarantine.mu.Lock()
	defer tr.router.quarantine.mu.Unlock()
	tr.router.quarantine.tracker.Merge(time.Now(), quarantine.Message{Verdicts: []quarantine.Verdict{v}}, true)
}

func (tr *testRouter) stateOf(suspect uint64) string {
	for _, s := range tr.router.Quarantine() {
		if s.Suspect == quarantine.FormatSuspect(suspect) {
			return s.State
		}
	}
	return ""
}

// Guards against a slot that stays occupied, or a key that cannot be used again,
// when the verdict comes while the request waits for a slot: three keyed requests
// wait behind two that run.
func TestRefusalBeforeDispatchReturnsTheSlot(t *testing.T) {
	records := &fakeRecords{finishes: make(chan *apiv1.FinishRequest, 8), begin: func() (*apiv1.BeginResponse, error) {
		return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_STARTED}, nil
	}}
	tr := newTestRouter(t, func(_ *Config, p *Dependencies) { p.Records = records })
	goOn := make(chan struct{})
	s := newRawServer(t, func(c net.Conn, r *http.Request) { <-goOn; respondOK(c, r) })
	tr.announceRawServer(t, "s1", s, backend.Abilities{})
	answers := make(chan string, 8)
	send := func(path, key string) {
		req := tr.request(t, http.MethodPost, path, "order", "{}", proxy.HeaderIdempotencyKey, key)
		go func() { _, body := tryDo(req); answers <- body }()
	}
	send("/services/p/a", "k1")
	send("/services/p/b", "k2")
	tr.waitFor(t, "two requests run", func() bool { return s.count.Load() == 2 })
	const waiting = 3
	for i := range waiting {
		send("/services/p/deadly", fmt.Sprint("deadly-", i))
	}
	tr.waitFor(t, "three requests wait", func() bool { n, _ := tr.router.askTable.counts(); return n == waiting })
	tr.convict(wholeSuspect(http.MethodPost, "/services/p/deadly", "{}"), 0)
	close(goOn)
	refused := 0
	for range waiting + 2 {
		if body := <-answers; strings.Contains(body, "request_quarantined") {
			refused++
			assert.Assert(t, strings.Contains(body, `"executed":"no"`), body)
		}
	}
	assert.Equal(t, refused, waiting)
	assert.Equal(t, s.count.Load(), int64(2), "a refused request reached the server")
	tr.waitFor(t, "no slot is occupied", func() bool {
		n, held := tr.router.askTable.counts()
		view := tr.router.Status().Shards[0]
		return n+held+view.Waiting+view.Grants == 0
	})
	tr.waitFor(t, "the keys can be used again", func() bool { return records.aborts.Load() >= waiting })
	tr.waitFor(t, "the records of the two requests", func() bool { return len(records.finishes) >= 2 }) // follow the answers
	assert.Equal(t, len(records.finishes), 2)
}

// Guards against a keyed request whose answer is stored being refused: no server
// runs it again.
func TestStoredAnswerIsGivenDuringQuarantine(t *testing.T) {
	records := &fakeRecords{begin: func() (*apiv1.BeginResponse, error) {
		return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_DONE, Answer: &apiv1.StoredAnswer{Status: 201, Body: []byte("first")}}, nil
	}}
	tr := newTestRouter(t, func(_ *Config, p *Dependencies) { p.Records = records })
	tr.announceRawServer(t, "s1", newRawServer(t, respondOK), backend.Abilities{})
	tr.convict(wholeSuspect(http.MethodPost, "/services/p/x", "{}"), 0)
	expectRefusal(t, tr.request(t, http.MethodPost, "/services/p/x", "order", "{}"), result.RequestQuarantined)
	resp, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", "order", "{}", proxy.HeaderIdempotencyKey, "k1"))
	assert.Equal(t, resp.StatusCode, 201, body)
	assert.Equal(t, body, "first")
}

// Guards against a refusal that claims that a request has not run although an
// earlier attempt may have run it. The verdict comes during the first attempt.
func TestRefusalAfterAttemptDoesNotClaimNotExecuted(t *testing.T) {
	for name, fail := range map[string]func(net.Conn, *http.Request){
		"lost": resetConn,
		"error": func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTestRouter(t, nil)
			var count atomic.Int64
			for i := range 2 {
				s := newRawServer(t, func(c net.Conn, r *http.Request) {
					count.Add(1)
					tr.convict(wholeSuspect(http.MethodPost, "/services/p/x", "{}"), 0)
					fail(c, r)
				})
				tr.announceRawServer(t, fmt.Sprint("s", i), s, backend.Abilities{})
			}
			resp, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", "chat", "{}"))
			assert.Assert(t, resp.Header.Get(headerExecuted) != string(result.ExecutedNo), body)
			assert.Equal(t, count.Load(), int64(1), "a request in quarantine was sent again")
		})
	}
}

// Guards against a request that was lost with its server ending the next one too,
// although a part of it was lost before and was not answered since. A request with
// another part goes on to the second server.
func TestSuspectedRequestIsNotSentAgain(t *testing.T) {
	tr := newTestRouter(t, nil)
	var count atomic.Int64
	for i := range 2 {
		s := newRawServer(t, func(c net.Conn, r *http.Request) { count.Add(1); resetConn(c, r) })
		tr.announceRawServer(t, fmt.Sprint("s", i), s, backend.Abilities{})
	}
	const suspected, other = `{"item":7}`, `{"item":8}`
	part := quarantine.PartSuspect(quarantine.Fingerprint("", "", "p", "", []byte(suspected)))
	tr.router.quarantine.mu.Lock()
	now := time.Now()
	tr.router.quarantine.tracker.AddLoss(now, quarantine.Loss{Server: quarantine.Server{Hash: 1}, At: now, Parts: []uint64{part}, Lost: 1})
	tr.router.quarantine.mu.Unlock()
	expectRefusal(t, tr.request(t, http.MethodPost, "/services/p/x", "chat", suspected), result.StreamBroken)
	assert.Equal(t, count.Load(), int64(1))
	for i := range 2 { // the first server is usable again
		resp := tr.postAnnouncement(t, backend.Announcement{Name: fmt.Sprint("s", i), Address: tr.addressOf(fmt.Sprint("s", i)), Kind: backend.Service, Abilities: backend.Abilities{RepeatsID: true}}, serverKey)
		assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	}
	expectRefusal(t, tr.request(t, http.MethodPost, "/services/p/x", "chat", other), result.StreamBroken)
	assert.Equal(t, count.Load(), int64(3))
}

func (tr *testRouter) addressOf(server string) string {
	a, _ := tr.router.servers.liveAnnouncement(time.Now(), server)
	return a.Address
}

// Guards against a verdict on a sound request that never ends: its term has passed,
// and a caller polls with it at both routers.
func TestFalseVerdictEndsByItself(t *testing.T) {
	t.Parallel()
	p, _ := newRecordingPair(t)
	newCrashFleet(t, p.callers[0], 2, backend.Service, func(*http.Request, string) bool { return false })
	p.awaitPool(t)
	suspect := wholeSuspect(http.MethodGet, "/services/p/popular", "")
	for _, tr := range p.callers {
		tr.convict(suspect, 0)
		expectRefusal(t, tr.request(t, http.MethodGet, "/services/p/popular", "chat", ""), result.RequestQuarantined)
		assert.Equal(t, tr.router.Quarantine()[0].Request, `GET /services/p/popular of workspace "w"`)
	}
	for _, tr := range p.callers { // a refusal within the rest of this term would need a fast machine
		tr.mergeVerdict(quarantine.Verdict{Suspect: suspect, Generation: 2, Since: time.Now().Add(time.Second - testTerm)})
	}
	served := [2]bool{}
	p.callers[0].waitFor(t, "both routers serve the request", func() bool {
		for i, tr := range p.callers {
			resp, _ := tryDo(tr.request(t, http.MethodGet, "/services/p/popular", "chat", ""))
			served[i] = resp != nil && resp.StatusCode == http.StatusOK
		}
		return served == [2]bool{true, true}
	})
	for _, tr := range p.callers {
		assert.Equal(t, tr.stateOf(suspect), "released")
	}
	p.callers[0].waitFor(t, "the record of the trial", func() bool {
		trials := 0
		for _, tr := range p.callers {
			tr.router.decisionLog.mu.Lock()
			for _, d := range tr.router.decisionLog.byID {
				assert.Equal(t, d.Fingerprint, quarantine.FormatSuspect(suspect))
				if d.Trial {
					trials++
				}
			}
			tr.router.decisionLog.mu.Unlock()
		}
		return trials > 0
	})
}

// Guards against routers that missed a verdict, or started after it, sending a
// request that others refuse, and against a release that holds at one router only.
func TestVerdictsAndReleasesReachEveryRouter(t *testing.T) {
	t.Parallel()
	p, _ := newRecordingPair(t)
	f := newCrashFleet(t, p.callers[0], 2, backend.Service, func(*http.Request, string) bool { return false })
	p.awaitPool(t)
	const path = "/services/p/suspected"
	suspect := wholeSuspect(http.MethodGet, path, "")
	p.callers[0].convict(suspect, 0) // learned, so no news: only the complete list has it
	await := func(tr *testRouter, state string) {
		tr.waitFor(t, state, func() bool { return tr.stateOf(suspect) == state })
	}
	await(p.callers[1], "quarantined")
	p.exchanges[1].Close()
	id := p.routers[1].self
	id.Incarnation++
	p.start(t, 1, id)
	p.connect()
	await(p.callers[1], "quarantined")

	release := func(tr *testRouter, suspect, operator string) (int, string) {
		req, err := http.NewRequest(http.MethodDelete, tr.admin.URL+quarantinePath+"/"+suspect, nil)
		assert.NilError(t, err)
		req.Header.Set(headerOperator, operator)
		req.Header.Set("Authorization", "Bearer "+operatorKey)
		resp, body := do(t, req)
		return resp.StatusCode, body
	}
	for _, tc := range []struct {
		suspect, operator string
		status            int
	}{
		{quarantine.FormatSuspect(suspect), "stranger", http.StatusForbidden}, {"x", "op", http.StatusBadRequest},
		{"77", "op", http.StatusNotFound}, {quarantine.FormatSuspect(suspect), "op", http.StatusOK},
	} {
		status, body := release(p.callers[1], tc.suspect, tc.operator)
		assert.Equal(t, status, tc.status, body)
	}
	for _, tr := range p.callers {
		await(tr, "released")
		resp, body := do(t, tr.request(t, http.MethodGet, path, "chat", ""))
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	}
	resp, body := do(t, mustRequest(t, p.callers[0].admin.URL+quarantinePath))
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	var listed []quarantine.Status
	assert.NilError(t, json.Unmarshal([]byte(body), &listed))
	assert.Assert(t, len(listed) == 1 && listed[0].Suspect == quarantine.FormatSuspect(suspect) && listed[0].State == "released", body)
	assert.Equal(t, f.crashCount(), 0)
}

func mustRequest(t *testing.T, url string) *http.Request {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(t, err)
	return req
}

// Guards against a message that is too large or contradicts itself being merged in
// part, or taking the other messages of its batch along.
func TestOversizedNewsAreRejectedAlone(t *testing.T) {
	tr := newTestRouter(t, nil)
	from := pool.RouterID{Name: "rt-2", DataCentre: "south"}
	news := func(n *apiv1.QuarantineNews) *apiv1.Envelope {
		return &apiv1.Envelope{Item: &apiv1.Envelope_Quarantine{Quarantine: n}}
	}
	verdict := func(suspect uint64) *apiv1.QuarantineVerdict {
		return &apiv1.QuarantineVerdict{Suspect: suspect, Generation: 1, State: uint32(quarantine.Quarantined), TermMs: testTerm.Milliseconds()}
	}
	var many []*apiv1.QuarantineVerdict
	for i := range quarantine.MaxVerdictsPerMessage + 1 {
		many = append(many, verdict(uint64(i+1)))
	}
	crowd := verdict(1)
	crowd.Companions = make([]uint64, quarantine.MaxCompanions+1)
	bad := []*apiv1.QuarantineNews{
		{Verdicts: many},
		{Verdicts: []*apiv1.QuarantineVerdict{verdict(1), crowd}},
		{Verdicts: []*apiv1.QuarantineVerdict{verdict(1)}, Losses: make([]*apiv1.ServerLoss, quarantine.MaxLossesPerMessage+1)},
		{Verdicts: []*apiv1.QuarantineVerdict{verdict(1)}, Losses: []*apiv1.ServerLoss{{Parts: make([]uint64, quarantine.MaxPartsPerMessage+1)}}},
		{Verdicts: []*apiv1.QuarantineVerdict{verdict(1)}, Losses: []*apiv1.ServerLoss{{Requests: []uint64{1, 2}, SentBeforeMs: []uint32{1}}}},
		{Verdicts: []*apiv1.QuarantineVerdict{verdict(1)}, Cleared: make([]*apiv1.ClearedSuspect, quarantine.MaxClearedPerMessage+1)},
		{Verdicts: []*apiv1.QuarantineVerdict{{Suspect: 1, Generation: 1, State: 9}}},
	}
	var batch []*apiv1.Envelope
	for _, n := range bad {
		batch = append(batch, news(n))
	}
	batch = append(batch, news(nil), news(&apiv1.QuarantineNews{Verdicts: []*apiv1.QuarantineVerdict{verdict(77)}}))
	tr.router.HandleMessages(from, batch)
	listed := tr.router.Quarantine()
	assert.Equal(t, len(listed), 1)
	assert.Equal(t, listed[0].Suspect, "4d")
	_, metrics := do(t, mustRequest(t, tr.admin.URL+"/metrics"))
	var counts map[string]map[string]float64
	assert.NilError(t, json.Unmarshal([]byte(metrics), &counts))
	assert.Equal(t, int(counts["quarantine.news_rejected"]["count"]), len(bad))
}
