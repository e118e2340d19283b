package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testCentres = 5
	testHosts   = 10 // of each data centre
)

// centres is a fleet in which data centres tell each other summaries. Hosts
// that are down neither send nor take.
type centres struct {
	hosts   [testCentres][]*Dispatcher
	down    map[string]bool
	carried int // summaries between data centres
}

func newCentres() *centres {
	f := &centres{down: map[string]bool{}}
	var infos []ServerInfo
	for c := range testCentres {
		infos = append(infos, engineInfo(c, fmt.Sprint("dc-", c)))
	}
	for c := range testCentres {
		var names []string
		for h := range testHosts {
			names = append(names, fmt.Sprintf("edge-%d-%d", c, h))
		}
		for _, name := range names {
			d := New(name, fmt.Sprint("dc-", c), start)
			d.SetRate(testRate)
			d.SetEdges(append([]string{}, names...), testCentres*testHosts)
			d.SetServers(start, infos)
			f.hosts[c] = append(f.hosts[c], d)
		}
	}
	return f
}

// digests has each host tell its data centre.
func (f *centres) digests(now time.Time) {
	for _, hosts := range f.hosts {
		for _, from := range hosts {
			if f.down[from.self] {
				continue
			}
			m := digest(from, now)
			for _, to := range hosts {
				if !f.down[to.self] {
					to.Take(now, m)
				}
			}
		}
	}
}

// summaries has each data centre tell the others, lost ones left out.
func (f *centres) summaries(now time.Time, lost func() bool) {
	var names []string
	for c := range testCentres {
		names = append(names, fmt.Sprint("dc-", c))
	}
	for c, hosts := range f.hosts {
		for _, from := range hosts {
			if f.down[from.self] {
				continue
			}
			for _, s := range from.Summaries(now, names) {
				if s.DataCentre == fmt.Sprint("dc-", c) || lost() {
					continue
				}
				f.carried++
				for to := range testCentres {
					for _, d := range f.hosts[to] {
						if s.DataCentre == d.dataCentre && !f.down[d.self] {
							d.Take(now, s.Digest)
							d.Take(now, s.Digest) // by another way
						}
					}
				}
			}
		}
	}
}

func never() bool { return false }

func (f *centres) tick(now time.Time, lost func() bool) {
	for range 4 {
		f.digests(now)
		now = now.Add(50 * time.Millisecond)
	}
	f.summaries(now, lost)
}

// Guards against load of other data centres that is not seen, counted twice or
// kept after its end, and against one summary for each pair of hosts.
func TestSummariesTellTheLoadOfADataCentre(t *testing.T) {
	f := newCentres()
	now := start
	f.tick(now, never)
	now = now.Add(200 * time.Millisecond)
	f.tick(now, never)
	f.carried = 0
	part := Part{ID: 7, Tokens: 3000}
	var requests []*Request
	for _, from := range f.hosts[0][:3] {
		r := request(now, "w", 4000, time.Second, part)
		r.Avoid = []string{"engine-0", "engine-1", "engine-2", "engine-3"}
		assert.Equal(t, from.Offer(now, r).Server, "engine-4")
		requests = append(requests, r)
	}
	now = now.Add(200 * time.Millisecond)
	f.tick(now, never)
	assert.Equal(t, f.carried, testCentres*(testCentres-1))
	for c := range testCentres {
		for _, d := range f.hosts[c] {
			running, _ := d.servers["engine-4"].load()
			assert.Equal(t, running, 3, "at %s", d.self)
			kept, _ := d.servers["engine-4"].kept.cached(now, []Part{part})
			assert.Equal(t, kept, part.Tokens, "at %s", d.self)
			assert.Equal(t, d.shares.of("w").asked.sum, 3*cost(requests[0]), "at %s", d.self)
			assert.Equal(t, d.shares.of("w").served.sum, 3*cost(requests[0]), "at %s", d.self)
		}
	}
	for i, from := range f.hosts[0][:3] {
		from.Ended(now, requests[i], Whole)
	}
	now = now.Add(200 * time.Millisecond)
	f.tick(now, func() bool { return true }) // lost
	now = now.Add(1100 * time.Millisecond)   // the complete summary makes up for it
	f.tick(now, never)
	for c := range testCentres {
		for _, d := range f.hosts[c] {
			running, _ := d.servers["engine-4"].load()
			assert.Equal(t, running, 0, "at %s", d.self)
		}
	}
}

// Guards against a data centre that is not heard after its speaker died, and
// against its work, long done, that counts anew when another host speaks.
func TestAnotherHostSpeaksForASilentOne(t *testing.T) {
	f := newCentres()
	now := start
	served := func() float64 { return f.hosts[1][0].shares.of("w").served.sum }
	for range 5 {
		r := request(now, "w", 1000, time.Second)
		f.hosts[0][5].Offer(now, r)
		f.hosts[0][5].Ended(now, r, Whole)
		f.tick(now, never)
		now = now.Add(200 * time.Millisecond)
	}
	before := served()
	assert.Assert(t, before > 0)
	for _, d := range f.hosts[0] {
		if d.speaksTo(now, hashOf("dc-1")) {
			f.down[d.self] = true
		}
	}
	assert.Equal(t, len(f.down), 1)
	for range 4 { // speakerSilence and one interval
		f.tick(now, never)
		now = now.Add(200 * time.Millisecond)
	}
	assert.Equal(t, served(), before)
	last := f.hosts[1][0].peers["data centre dc-0"].at
	assert.Assert(t, now.Sub(last) <= 400*time.Millisecond, "heard %s ago", now.Sub(last))
	var alive *Dispatcher
	for _, d := range f.hosts[0] {
		if !f.down[d.self] {
			alive = d
		}
	}
	alive.Offer(now, request(now, "w", 1000, time.Second))
	f.tick(now, never)
	assert.Assert(t, served() > before, "new work counts")
}

// Guards against hosts that count twice, by their own digests and by the
// summary of their data centre.
func TestDigestsOfOtherDataCentresAreLeftOut(t *testing.T) {
	f := newCentres()
	a, b := f.hosts[0][0], f.hosts[1][0]
	assert.Assert(t, !b.Take(start, digest(a, start)))
	assert.Assert(t, f.hosts[0][1].Take(start, digest(a, start.Add(time.Second))))
	fleet := newFleet(2, 1) // few hosts take digests, no summaries
	s := a.Summaries(start, []string{"a"})
	if len(s) > 0 {
		assert.Assert(t, !fleet[0].Take(start, s[0].Digest))
	}
	assert.Assert(t, fleet[0].Take(start, digest(fleet[1], start)))
}
