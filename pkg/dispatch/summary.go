package dispatch

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const (
	// meshHosts is the number of edge hosts up to which each tells each other
	// one. Beyond it hosts of one data centre tell each other, and one of them
	// tells each other data centre the sums: what a host sends and takes then
	// grows with its data centre, not with the fleet.
	meshHosts = 48
	// speakerSilence is the silence of an edge host after which another one of
	// its data centre speaks for it: several digests.
	speakerSilence = 500 * time.Millisecond
	// maxRelayed bounds the placements that wait for a summary. A data centre
	// with a flood makes 400 in the time between two.
	maxRelayed = 1000
)

// relays is what this host needs to speak for its data centre.
type relays struct {
	placed     []placement
	completeAt time.Time
	number     uint64
	since      map[string]uint64 // when it began to speak to a data centre, Unix nanoseconds
}

// Summary is the state of this data centre for another one.
type Summary struct {
	DataCentre string // that it is for
	Digest     *apiv1.LoadDigest
}

// Summarises reports whether the fleet has so many edge hosts that data centres
// tell each other sums.
func (d *Dispatcher) Summarises() bool { return d.edges > meshHosts && len(d.neighbours) < d.edges }

// relay notes a placement for the next summary.
func (d *Dispatcher) relay(p placement) {
	if d.Summarises() && len(d.relays.placed) < maxRelayed {
		d.relays.placed = append(d.relays.placed, p)
	}
}

// speaksTo reports whether this host tells the other data centre about its own:
// the one that hashing prefers among those that are heard.
func (d *Dispatcher) speaksTo(now time.Time, dataCentre uint64) bool {
	own := mix(d.hash, dataCentre)
	for _, name := range d.neighbours {
		p := d.peers[name]
		if p != nil && now.Sub(p.at) < speakerSilence && mix(hashOf(name), dataCentre) > own {
			return false
		}
	}
	return true
}

// Summaries returns what this host tells other data centres now. Each host
// keeps the placements of its data centre for the time when it has to speak.
func (d *Dispatcher) Summaries(now time.Time, dataCentres []string) []Summary {
	placed := d.relays.placed
	d.relays.placed = nil
	var speaks []string
	fresh := false
	for _, name := range dataCentres {
		if !d.speaksTo(now, hashOf(name)) {
			delete(d.relays.since, name)
			continue
		}
		speaks = append(speaks, name)
		fresh = fresh || d.relays.since[name] == 0
	}
	if len(speaks) == 0 {
		return nil
	}
	m := d.summary(now, fresh, placed)
	out := make([]Summary, 0, len(speaks))
	for _, name := range speaks {
		out = append(out, Summary{name, d.relays.addressed(now, name, m)})
	}
	return out
}

// addressed returns the summary with the time since when this host speaks to
// the data centre: what a speaker before it counted then starts anew.
func (r *relays) addressed(now time.Time, dataCentre string, m *apiv1.LoadDigest) *apiv1.LoadDigest {
	if r.since == nil {
		r.since = map[string]uint64{}
	}
	if r.since[dataCentre] == 0 {
		r.since[dataCentre] = uint64(now.UnixNano())
	}
	return &apiv1.LoadDigest{
		Summary: true, Relay: true, DataCentre: m.DataCentre, Incarnation: r.since[dataCentre], Number: m.Number, Complete: m.Complete,
		Capacity: m.Capacity, Servers: m.Servers, Placements: m.Placements, Uses: m.Uses,
	}
}

// summary sums up what has changed at the edge hosts of this data centre.
func (d *Dispatcher) summary(now time.Time, complete bool, placed []placement) *apiv1.LoadDigest {
	m := &apiv1.LoadDigest{DataCentre: d.dataCentre, Capacity: d.shares.capacity}
	if m.Complete = complete || now.Sub(d.relays.completeAt) >= completeInterval; m.Complete {
		d.relays.completeAt = now
	}
	for _, s := range d.servers {
		own := s.info.DataCentre == d.dataCentre
		all := loadMark{tokens: s.tokens + s.near.tokens, running: s.running + s.near.running, failed: s.ends.failed + s.near.ends.failed}
		changed := all != s.nearTold
		if s.nearTold = all; !changed && !(m.Complete && (all != loadMark{} || own)) {
			continue
		}
		m.Servers = append(m.Servers, &apiv1.ServerLoad{
			Server: s.hash, PromptTokens: all.tokens, Running: uint32(max(all.running, 0)), KvTokens: uint32(max(s.kv+s.near.kv, 0)),
			BacklogMs: s.backlogMS(now), Failed: all.failed, Good: s.ends.good + s.near.ends.good,
		})
	}
	for _, p := range placed {
		m.Placements = append(m.Placements, &apiv1.Placement{Server: p.server, Part: p.part.ID, Tokens: uint32(p.part.Tokens)})
	}
	for name, u := range d.shares.uses {
		all := useMark{u.totalAsked + u.nearAsked, u.totalServed + u.nearServed}
		changed := all != u.nearTold
		if u.nearTold = all; changed || m.Complete && all.asked > 0 {
			m.Uses = append(m.Uses, &apiv1.WorkspaceUse{Workspace: name, Asked: uint64(all.asked), Served: uint64(max(all.served, 0))})
		}
	}
	d.relays.number += uint64(parts(len(m.Servers), len(m.Placements)))
	m.Number = d.relays.number
	return m
}
