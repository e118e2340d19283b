package dispatch

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const (
	// maxPlacementSends is the number of digests that carry a placement, to
	// tolerate lost datagrams.
	maxPlacementSends = 3
	// maxDigestPlacements bounds the placements of one digest, 20 bytes each. Sent
	// three times each at 20 digests per second, this carries 1,000 new placements
	// per second, twice what an overloaded edge host creates.
	maxDigestPlacements = 150
	// peerResyncTime is the time without digests of another edge host after which
	// its first counters are only a baseline: engines have prefilled what it sent
	// in the meantime.
	peerResyncTime = time.Second
	// loadRepeats is the number of digests that carry the load of a server after a
	// change. completeInterval is the interval between complete digests, which
	// carry the load of all servers and the usage of all workspaces.
	loadRepeats      = 2
	completeInterval = time.Second
	// usageInterval is the interval between digests that carry changed workspace
	// usage: five per second, for a shareWindow of 4 s.
	usageInterval = 200 * time.Millisecond
)

// placement records that a prompt part was sent to a server.
type placement struct {
	server    uint64
	part      Part
	sendCount int
}

// peer is the state known of another edge host, or of another data centre
// through its summaries.
type peer struct {
	name        string
	local       bool // the host belongs to this data centre
	incarnation uint64
	lastNumber  uint64
	consecutive uint32  // received datagrams with consecutive numbers
	capacity    float64 // estimated service tokens per second of all engines
	heardAt     time.Time
	nameHash    uint64
	summary     bool // it is a data centre
	expired     bool // its load no longer counts
	// synced is set by a complete digest. From then on, the counters of a server
	// or workspace that appears for the first time count from 0. Before, its first
	// counters are only a baseline.
	synced bool
	demand map[string]float64
	served map[string]float64
}

// backlogMS returns the estimated prefill time of the backlog in milliseconds.
func (s *server) backlogMS(now time.Time) uint32 {
	s.advance(now)
	return uint32(s.prefillTime(0).Milliseconds())
}

// loadTotals is the load of a server as last sent to other edge hosts.
type loadTotals struct {
	sentTokens  int64
	running     int
	failed      uint32
	silent      bool
	limitSent   int64
	limit       float64 // requests per second, as told
	limitTold   bool
	repeatsLeft int // number of further digests that carry it
}

// Digest returns the load digest of this edge host for the others, and reports
// whether it has changed content or is due.
func (d *Dispatcher) Digest(now time.Time, incarnation uint64) (*apiv1.LoadDigest, bool) {
	d.fairShare(now) // edge hosts without requests take part in the capacity estimate too
	out := &apiv1.LoadDigest{Router: d.self, DataCentre: d.dataCentre, Incarnation: incarnation, Capacity: d.shares.capacity}
	if out.Complete = now.Sub(d.lastCompleteAt) >= completeInterval; out.Complete {
		d.lastCompleteAt = now
	}
	for _, s := range d.servers {
		limit := s.toldLimit(now, func(st limitStatement) bool { return st.own })
		if s.digestDue(out.Complete, limit) {
			out.Servers = append(out.Servers, &apiv1.ServerLoad{
				Server: s.hash, PromptTokens: s.sentTokens, Running: uint32(max(s.running, 0)), KvTokens: uint32(max(s.kvTokens, 0)),
				BacklogMs: s.backlogMS(now), Failed: s.outcomeCounts.failed, Good: s.outcomeCounts.good,
				Silent: s.isFoundSilent(), LimitSent: s.limit.sent, Limit: limit,
			})
		}
	}
	d.addPlacements(out)
	d.addUsage(now, out)
	d.lastNumber += uint64(datagramCount(len(out.Servers), len(out.Placements)))
	out.Number = d.lastNumber
	return out, out.Complete || len(out.Servers) > 0 || len(out.Placements) > 0 || len(out.Uses) > 0
}

// addUsage adds the usage of workspaces that changed since the last digest with
// usage, or of all workspaces to a complete digest.
func (d *Dispatcher) addUsage(now time.Time, out *apiv1.LoadDigest) {
	if !out.Complete && now.Sub(d.lastUsageAt) < usageInterval {
		return
	}
	d.lastUsageAt = now
	for name, u := range d.shares.usage {
		if u.totalDemand > 0 && (out.Complete || u.updateSentTotals()) {
			out.Uses = append(out.Uses, &apiv1.WorkspaceUse{Workspace: name, Asked: uint64(u.totalDemand), Served: uint64(max(u.totalServed, 0))})
		}
	}
}

// updateSentTotals records the current totals as sent and reports whether they
// changed since the last call. A lost update is repaired by the next change or
// complete digest.
func (u *workspaceUsage) updateSentTotals() bool {
	sentTotals := usageTotals{u.totalDemand, u.totalServed}
	if sentTotals == u.sentTotals {
		return false
	}
	u.sentTotals = sentTotals
	return true
}

// digestDue reports whether the next digest carries the load of the server.
func (s *server) digestDue(complete bool, limit *apiv1.LimitStatement) bool {
	current := loadTotals{s.sentTokens, s.running, s.outcomeCounts.failed, s.isFoundSilent(), s.limit.sent, limit.GetPerSecond(), limit != nil && !limit.GetEnded(), s.sentLoad.repeatsLeft}
	if current != s.sentLoad {
		s.sentLoad = current
		s.sentLoad.repeatsLeft = loadRepeats
	}
	if s.sentLoad.repeatsLeft > 0 {
		s.sentLoad.repeatsLeft--
		return true
	}
	return complete && (s.running != 0 || s.sentTokens != 0 || s.sentLoad.silent || s.limit.sent != 0 || limit != nil)
}

// addPlacements adds pending placements to the digest and drops those that have
// been sent maxPlacementSends times.
func (d *Dispatcher) addPlacements(out *apiv1.LoadDigest) {
	remaining := d.pendingPlacements[:0]
	for i := range d.pendingPlacements {
		p := d.pendingPlacements[i]
		if len(out.Placements) < maxDigestPlacements {
			out.Placements = append(out.Placements, &apiv1.Placement{Server: p.server, Part: p.part.ID, Tokens: uint32(p.part.Tokens)})
			p.sendCount++
		}
		if p.sendCount < maxPlacementSends {
			remaining = append(remaining, p)
		}
	}
	d.pendingPlacements = remaining
}

// MergeDigest merges a digest of another edge host or a summary of another data
// centre. It returns false if the digest is outdated, repeated or not meant for
// this host.
func (d *Dispatcher) MergeDigest(now time.Time, m *apiv1.LoadDigest) bool {
	name, accepted := d.digestSource(m)
	if !accepted {
		return false
	}
	p := d.peers[name]
	if p.isStale(now, m) {
		return false
	}
	if p == nil || m.GetIncarnation() != p.incarnation || now.Sub(p.heardAt) > peerResyncTime {
		local := !m.GetSummary() && m.GetDataCentre() == d.dataCentre
		p = &peer{name: name, local: local, incarnation: m.GetIncarnation(), nameHash: hashOf(name), summary: m.GetSummary(), demand: map[string]float64{}, served: map[string]float64{}}
		d.peers[name] = p
		d.removePeerLoad(name)
		d.lastCompleteAt = time.Time{} // the other host may not know the load of this one
	}
	allReceived := p.recordNumber(m)
	p.capacity, p.heardAt, p.expired = m.GetCapacity(), now, false
	for _, l := range m.GetServers() {
		if s := d.serversByHash[l.GetServer()]; s != nil {
			s.applyPeerLoad(now, p, l, d.Summarises())
			d.applyPeerLimit(now, s, p, l)
			s.applyPeerBacklog(now, m, l)
		}
	}
	d.applyPlacements(now, p, m.GetPlacements())
	for _, u := range m.GetUses() {
		d.applyUsage(now, p, u)
	}
	p.synced = p.synced || m.GetComplete() && allReceived
	return true
}

// digestSource returns the name of the peer that a digest counts for, and
// whether this host accepts it. When summaries are used, edge hosts of other
// data centres count only through the summaries.
func (d *Dispatcher) digestSource(m *apiv1.LoadDigest) (name string, accepted bool) {
	otherDataCentre := m.GetDataCentre() != d.dataCentre
	if m.GetSummary() {
		return "data centre " + m.GetDataCentre(), d.Summarises() && otherDataCentre
	}
	return m.GetRouter(), m.GetRouter() != d.self && !(d.Summarises() && otherDataCentre)
}

// applyPlacements records the prompt parts that another edge host sent to
// engines.
func (d *Dispatcher) applyPlacements(now time.Time, p *peer, placements []*apiv1.Placement) {
	for _, pl := range placements {
		s := d.serversByHash[pl.GetServer()]
		if s == nil {
			continue
		}
		s.advance(now)
		part := Part{ID: pl.GetPart(), Tokens: int(pl.GetTokens())}
		d.useParts(s, []Part{part}, now.Add(s.prefillTime(0)))
		if s.cachedParts.publishDue(now, part.ID) && p.local { // the sender published it only in its own data centre
			d.addToSummary(placement{server: s.hash, part: part})
		}
	}
}

// isStale reports whether the digest is older than the last one. The clock of
// the other host may have been set back before a restart, and one digest may have a
// wrong number, so a lower incarnation or number is accepted once the peer has been
// silent for peerTimeout.
func (p *peer) isStale(now time.Time, m *apiv1.LoadDigest) bool {
	switch {
	case p == nil || now.Sub(p.heardAt) >= peerTimeout:
		return false
	case m.GetIncarnation() == p.incarnation:
		return m.GetNumber() <= p.lastNumber
	default:
		return m.GetIncarnation() < p.incarnation
	}
}

// removePeerLoad removes the load of another edge host. Engines have prefilled
// what it sent before.
func (d *Dispatcher) removePeerLoad(name string) {
	for _, s := range d.servers {
		if l := s.peers[name]; l != nil {
			s.setPeerLoad(l, 0, 0)
			s.setToldSilent(time.Time{}, l, false)
			delete(s.peers, name)
		}
	}
}

// applyPeerLoad adds what the other host has sent since its last digest.
// useOutcomes controls whether its outcomes affect the failure rate.
func (s *server) applyPeerLoad(now time.Time, from *peer, l *apiv1.ServerLoad, useOutcomes bool) {
	p := s.peers[from.name]
	if p == nil {
		p = &peerLoad{local: from.local}
		s.peers[from.name] = p
		if !from.synced {
			p.sentTokens, p.outcomeCounts, p.limitSent = l.GetPromptTokens(), outcomeCounts{l.GetFailed(), l.GetGood()}, l.GetLimitSent()
		}
	}
	if added := s.outcomeDelta(p, l); useOutcomes {
		s.applyPeerOutcomes(now, added)
	}
	if delta := l.GetPromptTokens() - p.sentTokens; delta != 0 {
		s.addTokens(now, float64(delta))
		if p.local {
			s.localPeers.sentTokens += delta
		}
	}
	p.sentTokens = l.GetPromptTokens()
	s.setPeerLoad(p, int(l.GetRunning()), int(l.GetKvTokens()))
	s.setToldSilent(now, p, l.GetSilent() && s.isEngine())
}

// outcomeDelta returns the outcomes since the last digest. A counter that
// decreased belongs to a sender that dropped the server in the meantime.
func (s *server) outcomeDelta(p *peerLoad, l *apiv1.ServerLoad) outcomeCounts {
	reported := outcomeCounts{l.GetFailed(), l.GetGood()}
	previous := p.outcomeCounts
	p.outcomeCounts = reported
	if reported.failed < previous.failed || reported.good < previous.good {
		return outcomeCounts{}
	}
	added := outcomeCounts{reported.failed - previous.failed, reported.good - previous.good}
	if p.local {
		s.localPeers.outcomeCounts.failed += added.failed
		s.localPeers.outcomeCounts.good += added.good
	}
	return added
}

// applyPeerBacklog corrects the backlog estimate of an engine. A summary is
// used only if it comes from the data centre of the engine, as others know less
// about it.
func (s *server) applyPeerBacklog(now time.Time, m *apiv1.LoadDigest, l *apiv1.ServerLoad) {
	reported := time.Duration(l.GetBacklogMs()) * time.Millisecond
	switch {
	case !s.isEngine():
	case !m.GetSummary():
		s.blendPeerBacklog(now, reported, peerBacklogGain)
	case m.GetDataCentre() == s.info.DataCentre:
		s.blendPeerBacklog(now, reported, summaryBacklogGain)
	}
}

// applyUsage adds the usage of a workspace at another edge host since its last
// digest.
func (d *Dispatcher) applyUsage(now time.Time, p *peer, m *apiv1.WorkspaceUse) {
	name := m.GetWorkspace()
	demand, served := float64(m.GetAsked()), float64(m.GetServed())
	if _, known := p.demand[name]; known || p.synced {
		u, bucket := d.shares.usageOf(name), d.shares.bucket(now)
		addedDemand, addedServed := max(demand-p.demand[name], 0), served-p.served[name]
		u.demand.add(bucket, addedDemand)
		u.served.add(bucket, addedServed)
		if p.local {
			u.localPeerDemand += addedDemand
			u.localPeerServed += addedServed
		}
	}
	p.demand[name], p.served[name] = demand, served
}

// expireSilentPeers removes the load of edge hosts that have sent no digest for
// peerTimeout.
func (d *Dispatcher) expireSilentPeers(now time.Time) {
	for name, p := range d.peers {
		if p.expired || now.Sub(p.heardAt) < peerTimeout {
			continue
		}
		p.expired = true
		for _, s := range d.servers {
			if l := s.peers[name]; l != nil {
				s.setPeerLoad(l, 0, 0)
			}
		}
	}
}
