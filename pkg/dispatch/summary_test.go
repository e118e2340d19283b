package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testDataCentres        = 5
	testHostsPerDataCentre = 10
)

// summaryFleet is a fleet whose data centres exchange summaries. Hosts that are
// down neither send nor receive.
type summaryFleet struct {
	hosts     [testDataCentres][]*Dispatcher
	down      map[string]bool
	delivered int // summaries between data centres
}

func newSummaryFleet() *summaryFleet {
	f := &summaryFleet{down: map[string]bool{}}
	var infos []ServerInfo
	for c := range testDataCentres {
		infos = append(infos, engineInfo(c, fmt.Sprint("dc-", c)))
	}
	for c := range testDataCentres {
		var names []string
		for h := range testHostsPerDataCentre {
			names = append(names, fmt.Sprintf("edge-%d-%d", c, h))
		}
		for _, name := range names {
			d := New(name, fmt.Sprint("dc-", c), start)
			d.SetServiceRate(testTokensPerSecond)
			d.SetEdgeHosts(append([]string{}, names...), testDataCentres*testHostsPerDataCentre)
			d.SetServers(start, infos)
			f.hosts[c] = append(f.hosts[c], d)
		}
	}
	return f
}

// exchangeDigests exchanges digests between the hosts of each data centre.
func (f *summaryFleet) exchangeDigests(now time.Time) {
	for _, hosts := range f.hosts {
		for _, from := range hosts {
			if f.down[from.self] {
				continue
			}
			m := nextDigest(from, now)
			for _, to := range hosts {
				if !f.down[to.self] {
					to.MergeDigest(now, m)
				}
			}
		}
	}
}

// exchangeSummaries exchanges summaries between data centres, except for
// dropped ones. Each one is delivered twice.
func (f *summaryFleet) exchangeSummaries(now time.Time, drop func() bool) {
	var names []string
	for c := range testDataCentres {
		names = append(names, fmt.Sprint("dc-", c))
	}
	for c, hosts := range f.hosts {
		for _, from := range hosts {
			if f.down[from.self] {
				continue
			}
			for _, s := range from.Summaries(now, names) {
				if s.DataCentre == fmt.Sprint("dc-", c) || drop() {
					continue
				}
				f.delivered++
				for to := range testDataCentres {
					for _, d := range f.hosts[to] {
						if s.DataCentre == d.dataCentre && !f.down[d.self] {
							d.MergeDigest(now, s.Digest)
							d.MergeDigest(now, s.Digest) // duplicate over another path
						}
					}
				}
			}
		}
	}
}

func noLoss() bool { return false }

func (f *summaryFleet) exchangeAll(now time.Time, drop func() bool) {
	for range 4 {
		f.exchangeDigests(now)
		now = now.Add(50 * time.Millisecond)
	}
	f.exchangeSummaries(now, drop)
}

// Guards against load of other data centres that is missing, counted twice or
// kept after it ended, and against one summary per pair of hosts.
func TestSummariesCarryDataCentreLoad(t *testing.T) {
	f := newSummaryFleet()
	now := start
	f.exchangeAll(now, noLoss)
	now = now.Add(200 * time.Millisecond)
	f.exchangeAll(now, noLoss)
	f.delivered = 0
	part := Part{ID: 7, Tokens: 3000}
	var requests []*Request
	for _, from := range f.hosts[0][:3] {
		r := newRequest(now, "w", 4000, time.Second, part)
		r.ExcludedServers = []string{"engine-0", "engine-1", "engine-2", "engine-3"}
		assert.Equal(t, from.Admit(now, r).Server, "engine-4")
		requests = append(requests, r)
	}
	now = now.Add(200 * time.Millisecond)
	f.exchangeAll(now, noLoss)
	assert.Equal(t, f.delivered, testDataCentres*(testDataCentres-1))
	for c := range testDataCentres {
		for _, d := range f.hosts[c] {
			running, _ := d.servers["engine-4"].load()
			assert.Equal(t, running, 3, "at %s", d.self)
			cachedParts, _ := d.servers["engine-4"].cachedParts.prefixTokens(now, []Part{part})
			assert.Equal(t, cachedParts, part.Tokens, "at %s", d.self)
			assert.Equal(t, d.shares.usageOf("w").demand.sum, 3*serviceTokens(requests[0]), "at %s", d.self)
			assert.Equal(t, d.shares.usageOf("w").served.sum, 3*serviceTokens(requests[0]), "at %s", d.self)
		}
	}
	for i, from := range f.hosts[0][:3] {
		from.RecordOutcome(now, requests[i], Completed)
	}
	now = now.Add(200 * time.Millisecond)
	f.exchangeAll(now, func() bool { return true }) // all summaries are lost
	now = now.Add(1100 * time.Millisecond)          // the next complete summary repairs the loss
	f.exchangeAll(now, noLoss)
	for c := range testDataCentres {
		for _, d := range f.hosts[c] {
			running, _ := d.servers["engine-4"].load()
			assert.Equal(t, running, 0, "at %s", d.self)
		}
	}
}

// Guards against a data centre without summaries after its designated host
// failed, and against counting its finished work again when another host takes
// over.
func TestDesignatedHostFailover(t *testing.T) {
	f := newSummaryFleet()
	now := start
	served := func() float64 { return f.hosts[1][0].shares.usageOf("w").served.sum }
	for range 5 {
		r := newRequest(now, "w", 1000, time.Second)
		f.hosts[0][5].Admit(now, r)
		f.hosts[0][5].RecordOutcome(now, r, Completed)
		f.exchangeAll(now, noLoss)
		now = now.Add(200 * time.Millisecond)
	}
	before := served()
	assert.Assert(t, before > 0)
	for _, d := range f.hosts[0] {
		if d.isDesignatedFor(now, hashOf("dc-1")) {
			f.down[d.self] = true
		}
	}
	assert.Equal(t, len(f.down), 1)
	for range 4 { // designatedHostTimeout and one interval
		f.exchangeAll(now, noLoss)
		now = now.Add(200 * time.Millisecond)
	}
	assert.Equal(t, served(), before)
	last := f.hosts[1][0].peers["data centre dc-0"].heardAt
	assert.Assert(t, now.Sub(last) <= 400*time.Millisecond, "last summary %s ago", now.Sub(last))
	var alive *Dispatcher
	for _, d := range f.hosts[0] {
		if !f.down[d.self] {
			alive = d
		}
	}
	alive.Admit(now, newRequest(now, "w", 1000, time.Second))
	f.exchangeAll(now, noLoss)
	assert.Assert(t, served() > before, "new work is counted")
}

// Guards against counting hosts twice, by their own digests and by the summary
// of their data centre.
func TestDigestsOfOtherDataCentresAreIgnored(t *testing.T) {
	f := newSummaryFleet()
	a, b := f.hosts[0][0], f.hosts[1][0]
	assert.Assert(t, !b.MergeDigest(start, nextDigest(a, start)))
	assert.Assert(t, f.hosts[0][1].MergeDigest(start, nextDigest(a, start.Add(time.Second))))
	fleet := newFleet(2, 1) // a small fleet uses digests, not summaries
	s := a.Summaries(start, []string{"a"})
	if len(s) > 0 {
		assert.Assert(t, !fleet[0].MergeDigest(start, s[0].Digest))
	}
	assert.Assert(t, fleet[0].MergeDigest(start, nextDigest(fleet[1], start)))
}
