package dispatch

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// testStart is the start time of the engines of newFleet in Unix milliseconds.
var testStart = engineInfo(0, "a").StartMS

// newLimitedHosts returns hosts with one engine, of which the first one got an answer with the
// limit a second after the start.
func newLimitedHosts(n int, perSecond float64) (hosts []*Dispatcher, now time.Time) {
	hosts = newFleet(n, 1)
	now = start.Add(time.Second)
	hosts[0].RecordLimit(now, "engine-0", testStart, start, perSecond, true)
	return hosts, now
}

// sendAll returns the number of requests that a host sends within the time.
func sendAll(d *Dispatcher, from time.Time, span time.Duration) (sent []*Request) {
	for now := from; now.Before(from.Add(span)); now = now.Add(5 * time.Millisecond) {
		r := newRequest(now, "w", 10, time.Second)
		if v := d.Admit(now, r); v.Action == Send {
			sent = append(sent, r)
		} else {
			d.Cancel(r)
		}
	}
	return sent
}

// Guards against tokens that are lost with requests that never reached the server.
func TestUnsentRequestsReturnTheirTokens(t *testing.T) {
	for _, o := range []Outcome{NotSent, ConnectTimeout, NoSlot} {
		hosts, now := newLimitedHosts(1, 4)
		d := hosts[0]
		l := &d.servers["engine-0"].limit
		now = now.Add(10 * time.Second)
		r := newRequest(now, "w", 10, time.Second)
		assert.Equal(t, d.Admit(now, r).Action, Send)
		tokens, own, sent := l.tokens, l.ownTokens, l.sent
		assert.Equal(t, sent, int64(1))
		d.RecordOutcome(now, r, o)
		assert.Assert(t, l.tokens == tokens+1 && l.ownTokens == own+1 && l.sent == 0, "%v: %+v", o, *l)
	}
	hosts, now := newLimitedHosts(1, 4)
	d := hosts[0]
	sent := sendAll(d, now.Add(10*time.Second), time.Millisecond)
	assert.Equal(t, len(sent), 1)
	d.RecordOutcome(now.Add(10*time.Second), sent[0], ServerError)
	assert.Equal(t, d.servers["engine-0"].limit.sent, int64(1))
}

// Guards against the limit of an earlier process of a server, also as told by hosts that have
// not heard of the new one.
func TestNewProcessStartsWithoutLimit(t *testing.T) {
	hosts, now := newLimitedHosts(2, 1)
	hosts[1].MergeDigest(now, nextDigest(hosts[0], now))
	assert.Assert(t, len(sendAll(hosts[1], now, 2*time.Second)) <= 5)
	info := engineInfo(0, "a")
	info.StartMS = testStart + 1
	now = now.Add(2 * time.Second)
	hosts[1].SetServers(now, []ServerInfo{info})
	old := nextDigest(hosts[0], now)
	assert.Assert(t, old.GetServers()[0].GetLimit() != nil)
	hosts[1].MergeDigest(now, old)
	hosts[1].RecordLimit(now, "engine-0", testStart, now, 1, true) // an answer of the old process
	assert.Equal(t, hosts[1].servers["engine-0"].limit.rate(now), noLimit)
	news := hosts[1].TakeLimitNews(now)
	assert.DeepEqual(t, news.Changes, []LimitChange{{"engine-0", noLimit, 1}, {"engine-0", 1, noLimit}})
	assert.Assert(t, news.Held > 0 && news.Limited == 0, "%+v", news)
}

// Guards against a host that learns a limit only with its own first answer.
func TestHostsLearnLimitsFromDigestsAndSummaries(t *testing.T) {
	hosts, now := newLimitedHosts(2, 3)
	assert.Assert(t, hosts[1].MergeDigest(now, nextDigest(hosts[0], now)))
	assert.Equal(t, hosts[1].servers["engine-0"].limit.rate(now), 3.0)
	assert.Assert(t, nextDigest(hosts[1], now).GetServers() == nil, "what a host was told is not its own news")

	local, remote := New("l", "a", start), New("r", "b", start)
	for _, d := range []*Dispatcher{local, remote} {
		d.SetEdgeHosts([]string{d.self}, meshLimit+1)
		d.SetServers(start, []ServerInfo{engineInfo(0, "a")})
	}
	local.RecordLimit(now, "engine-0", testStart, start, 3, true)
	for _, s := range local.Summaries(now, []string{"b"}) {
		remote.MergeDigest(now, s.Digest)
	}
	assert.Equal(t, remote.servers["engine-0"].limit.rate(now), 3.0)
}

// Guards against an answer that was made before the limit was stated and ends it.
func TestEarlierAnswerDoesNotEndTheLimit(t *testing.T) {
	hosts, now := newLimitedHosts(1, 3)
	d := hosts[0]
	later := now.Add(5 * time.Second)
	for range 5 {
		d.RecordLimit(later, "engine-0", testStart, now.Add(-time.Millisecond), 0, false)
	}
	assert.Equal(t, d.servers["engine-0"].limit.rate(later), 3.0)
	d.RecordLimit(later, "engine-0", testStart, now.Add(time.Millisecond), 0, false)
	assert.Equal(t, d.servers["engine-0"].limit.rate(later), noLimit)
}

// Guards against values in digests that are no limits.
func TestOddLimitsInDigestsAreIgnored(t *testing.T) {
	for _, perSecond := range []float64{math.NaN(), -1, math.Inf(-1), math.Inf(1), 1e300} {
		hosts, now := newLimitedHosts(2, 3)
		m := nextDigest(hosts[0], now)
		m.GetServers()[0].Limit = &apiv1.LimitStatement{PerSecond: perSecond, BornMs: testStart}
		hosts[1].MergeDigest(now, m)
		assert.Equal(t, hosts[1].servers["engine-0"].limit.rate(now), noLimit, "%v", perSecond)
	}
}

// Guards against reservation calls beside the limit.
func TestNoSlotIsReservedUnderALimit(t *testing.T) {
	hosts, now := newLimitedHosts(1, 4)
	d := hosts[0]
	s := d.servers["engine-0"]
	s.info.SupportsReservation, s.peerRunning = true, s.info.Slots-1
	assert.Assert(t, !d.needsReservation(now, s))
	s.limit.reset()
	assert.Assert(t, d.needsReservation(now, s))
}

// Guards against a debt that is forgotten: what others sent at once delays the next requests.
func TestRequestsOfOthersAreADebt(t *testing.T) {
	hosts, now := newLimitedHosts(2, 4)
	hosts[1].MergeDigest(now, nextDigest(hosts[0], now))
	hosts[0].servers["engine-0"].limit.sent += 8
	hosts[1].MergeDigest(now, nextDigest(hosts[0], now))
	assert.Equal(t, hosts[1].servers["engine-0"].limit.tokens, -8.0)
	assert.Assert(t, len(sendAll(hosts[1], now, 2*time.Second)) == 0, "the limit allows 8 requests in this time")
}

// Guards against engines with a limit that hide engines without one which are idle.
func TestLimitedEnginesCountForWhatTheyServe(t *testing.T) {
	full, idle := 2*targetPressure, time.Duration(0)
	engines := func(limited float64) []enginePressure {
		return []enginePressure{{full, limited}, {idle, noLimit}, {full, limited}}
	}
	assert.Equal(t, medianPressure(engines(100), 3000), idle)
	assert.Equal(t, medianPressure(engines(900), 3000), full)
	assert.Equal(t, medianPressure(engines(noLimit), 3000), full)
	assert.Equal(t, medianPressure(engines(100), 0), full)
	assert.Equal(t, medianPressure(nil, 3000), idle)
}

// Guards against a host without requests whose estimate of the capacity is near 0 and lowers
// tells the others so.
func TestCapacityIsNotLimitedWithoutKnownCosts(t *testing.T) {
	var e limitedEngines
	assert.Equal(t, e.add(5, 0), noLimit)
	assert.Equal(t, e.capacity(1000), 1000.0)
	assert.Equal(t, e.add(5, 10), 50.0)
	assert.Equal(t, e.capacity(1000), 500+50*limitedCapacityFactor)
}

// Guards against second attempts and retries that go beside the tokens.
func TestSecondAttemptsAndRetriesTakeTokens(t *testing.T) {
	d := newFleet(1, 2)[0]
	now := start.Add(time.Second)
	for _, id := range []string{"engine-0", "engine-1"} {
		d.RecordLimit(now, id, testStart, start, 8, true)
	}
	now = now.Add(5 * time.Second)
	r := newRequest(now, "w", 10, time.Second)
	first := d.Admit(now, r).Server
	other := &d.servers[otherEngine(first)].limit
	second, v := d.Hedge(now, r, first)
	assert.Assert(t, second != nil && v.Server == otherEngine(first))
	assert.Equal(t, other.sent, int64(1))
	before := other.tokens
	d.RecordOutcome(now, second, NotSent)
	assert.Assert(t, other.sent == 0 && other.tokens == before+1)
	d.RecordOutcome(now, r, ConnectionLost)
	assert.Equal(t, d.Retry(now, r, first).Server, otherEngine(first))
	assert.Assert(t, other.sent == 1 && other.tokens == before)
}
