package dispatch

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const (
	// meshLimit is the number of edge hosts up to which all of them exchange
	// digests. In larger fleets, edge hosts exchange digests within their data
	// centre, and one of them sends summaries to each other data centre. The
	// traffic of a host then grows with its data centre, not with the fleet.
	meshLimit = 48
	// designatedHostTimeout is the silence of an edge host, several digests long,
	// after which another one of its data centre takes over its summaries.
	designatedHostTimeout = 500 * time.Millisecond
	// maxSummaryPlacements bounds the placements pending for the next summary. An
	// overloaded data centre creates 400 between two summaries.
	maxSummaryPlacements = 1000
)

// summaryState holds the state for sending summaries of this data centre.
type summaryState struct {
	pendingPlacements []placement
	lastCompleteAt    time.Time
	lastNumber        uint64
	designatedSince   map[string]uint64 // per data centre, when this host became its designated host, in Unix nanoseconds
}

// Summary is the load of this data centre for another one.
type Summary struct {
	DataCentre string // data centre that it is sent to
	Digest     *apiv1.LoadDigest
}

// Summarises reports whether data centres exchange summaries instead of digests
// of single edge hosts, as large fleets do.
func (d *Dispatcher) Summarises() bool { return d.edges > meshLimit && len(d.localEdges) < d.edges }

// addToSummary adds a placement to the next summary.
func (d *Dispatcher) addToSummary(p placement) {
	if d.Summarises() && len(d.summaryState.pendingPlacements) < maxSummaryPlacements {
		d.summaryState.pendingPlacements = append(d.summaryState.pendingPlacements, p)
	}
}

// isDesignatedFor reports whether this host sends the summaries to the given
// data centre. Among the active edge hosts, the one with the highest hash for
// that data centre does.
func (d *Dispatcher) isDesignatedFor(now time.Time, dataCentre uint64) bool {
	ownWeight := mixHash(d.selfHash, dataCentre)
	for _, name := range d.localEdges {
		p := d.peers[name]
		if p != nil && now.Sub(p.heardAt) < designatedHostTimeout && mixHash(hashOf(name), dataCentre) > ownWeight {
			return false
		}
	}
	return true
}

// Summaries returns the summaries that this host sends to other data centres.
// Every host collects placements, so that it can take over as designated host.
func (d *Dispatcher) Summaries(now time.Time, dataCentres []string) []Summary {
	pendingPlacements := d.summaryState.pendingPlacements
	d.summaryState.pendingPlacements = nil
	var designatedFor []string
	newlyDesignated := false
	for _, name := range dataCentres {
		if !d.isDesignatedFor(now, hashOf(name)) {
			delete(d.summaryState.designatedSince, name)
			continue
		}
		designatedFor = append(designatedFor, name)
		newlyDesignated = newlyDesignated || d.summaryState.designatedSince[name] == 0
	}
	if len(designatedFor) == 0 {
		return nil
	}
	m := d.buildSummary(now, newlyDesignated, pendingPlacements)
	out := make([]Summary, 0, len(designatedFor))
	for _, name := range designatedFor {
		out = append(out, Summary{name, d.summaryState.forDataCentre(now, name, m)})
	}
	return out
}

// forDataCentre returns the summary for a data centre. Its incarnation is the
// time when this host became the designated host, so that the receiver does not
// compare the counters with those of an earlier designated host.
func (s *summaryState) forDataCentre(now time.Time, dataCentre string, m *apiv1.LoadDigest) *apiv1.LoadDigest {
	if s.designatedSince == nil {
		s.designatedSince = map[string]uint64{}
	}
	if s.designatedSince[dataCentre] == 0 {
		s.designatedSince[dataCentre] = uint64(now.UnixNano())
	}
	return &apiv1.LoadDigest{
		Summary: true, Relay: true, DataCentre: m.DataCentre, Incarnation: s.designatedSince[dataCentre], Number: m.Number, Complete: m.Complete,
		Capacity: m.Capacity, Servers: m.Servers, Placements: m.Placements, Uses: m.Uses,
	}
}

// buildSummary returns the changes at the edge hosts of this data centre since
// the last summary, or all load if complete.
func (d *Dispatcher) buildSummary(now time.Time, complete bool, placements []placement) *apiv1.LoadDigest {
	m := &apiv1.LoadDigest{DataCentre: d.dataCentre, Capacity: d.shares.capacity}
	if m.Complete = complete || now.Sub(d.summaryState.lastCompleteAt) >= completeInterval; m.Complete {
		d.summaryState.lastCompleteAt = now
	}
	for _, s := range d.servers {
		isLocal := s.info.DataCentre == d.dataCentre
		current := loadTotals{sentTokens: s.sentTokens + s.localPeers.sentTokens, running: s.running + s.localPeers.running, failed: s.outcomeCounts.failed + s.localPeers.outcomeCounts.failed, silent: s.isSilentHere(now), limitSent: s.limit.sent + s.localPeers.limitSent}
		limit := s.toldLimit(now, func(st limitStatement) bool { return st.local })
		current.limit, current.limitTold = limit.GetPerSecond(), limit != nil && !limit.GetEnded()
		changed := current != s.lastSummarised
		if s.lastSummarised = current; !changed && !(m.Complete && (current != loadTotals{} || isLocal)) {
			continue
		}
		m.Servers = append(m.Servers, &apiv1.ServerLoad{
			Server: s.hash, PromptTokens: current.sentTokens, Running: uint32(max(current.running, 0)), KvTokens: uint32(max(s.kvTokens+s.localPeers.kvTokens, 0)),
			BacklogMs: s.backlogMS(now), Failed: current.failed, Good: s.outcomeCounts.good + s.localPeers.outcomeCounts.good,
			Silent: current.silent, LimitSent: current.limitSent, Limit: limit,
		})
	}
	for _, p := range placements {
		m.Placements = append(m.Placements, &apiv1.Placement{Server: p.server, Part: p.part.ID, Tokens: uint32(p.part.Tokens)})
	}
	for name, u := range d.shares.usage {
		current := usageTotals{u.totalDemand + u.localPeerDemand, u.totalServed + u.localPeerServed}
		changed := current != u.lastSummarised
		if u.lastSummarised = current; changed || m.Complete && current.demand > 0 {
			m.Uses = append(m.Uses, &apiv1.WorkspaceUse{Workspace: name, Asked: uint64(current.demand), Served: uint64(max(current.served, 0))})
		}
	}
	d.summaryState.lastNumber += uint64(datagramCount(len(m.Servers), len(m.Placements)))
	m.Number = d.summaryState.lastNumber
	return m
}
