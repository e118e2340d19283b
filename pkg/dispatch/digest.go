package dispatch

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const (
	// placementRepeats is in how many digests a placement is sent, so that a
	// lost datagram costs nothing.
	placementRepeats = 3
	// maxPlacements bounds the placements of one digest, 20 bytes each. Three
	// repeats then carry 1,000 new placements a second at 20 digests a second,
	// twice what an edge host with a flood makes.
	maxPlacements = 150
	// resyncGap is the silence of another edge host after which its counters
	// only set where counting starts again: what it sent meanwhile has been
	// read by the engines.
	resyncGap = time.Second
	// loadRepeats is in how many digests the load of a server is sent after a
	// change, and completeInterval how often those of all servers and
	// workspaces are sent.
	loadRepeats      = 2
	completeInterval = time.Second
	// usesInterval is how often the use of workspaces is sent if it changed:
	// five times a second against a window of 4 s.
	usesInterval = 200 * time.Millisecond
)

// placement is a prompt part that this host has sent to a server.
type placement struct {
	server uint64
	part   Part
	sent   int
}

// peer is what is known of another edge host.
type peer struct {
	name        string
	local       bool // an edge host of this data centre
	incarnation uint64
	number      uint64
	run         uint32  // digests that came without a gap in their numbers
	capacity    float64 // service tokens per second that it shares out
	at          time.Time
	dropped     bool // its load does not count any more
	// complete is set after a complete digest: a server or workspace that was
	// not named before is new to the other host. Before, its counter only sets
	// where counting starts.
	complete bool
	asked    map[string]float64
	served   map[string]float64
}

// backlogMS is the believed backlog for a digest.
func (s *server) backlogMS(now time.Time) uint32 {
	s.advance(now)
	return uint32(s.wait(0).Milliseconds())
}

// loadMark is the load of a server as it was sent last.
type loadMark struct {
	tokens  int64
	running int
	failed  uint32
	left    int // digests that still repeat it
}

// Digest returns what the other edge hosts have to know of this one, and
// whether anything in it is new to them.
func (d *Dispatcher) Digest(now time.Time, incarnation uint64) (*apiv1.LoadDigest, bool) {
	d.level(now) // a host without requests agrees on the capacity as well
	out := &apiv1.LoadDigest{Router: d.self, DataCentre: d.dataCentre, Incarnation: incarnation, Capacity: d.shares.capacity}
	if out.Complete = now.Sub(d.completeAt) >= completeInterval; out.Complete {
		d.completeAt = now
	}
	for _, s := range d.servers {
		if s.due(out.Complete) {
			out.Servers = append(out.Servers, &apiv1.ServerLoad{
				Server: s.hash, PromptTokens: s.tokens, Running: uint32(max(s.running, 0)), KvTokens: uint32(max(s.kv, 0)),
				BacklogMs: s.backlogMS(now), Failed: s.ends.failed, Good: s.ends.good,
			})
		}
	}
	d.addPlacements(out)
	d.addUses(now, out)
	d.number += uint64(parts(len(out.Servers), len(out.Placements)))
	out.Number = d.number
	return out, out.Complete || len(out.Servers) > 0 || len(out.Placements) > 0 || len(out.Uses) > 0
}

// addUses adds the workspaces that asked or were served since the last digest
// with uses, or all of them.
func (d *Dispatcher) addUses(now time.Time, out *apiv1.LoadDigest) {
	if !out.Complete && now.Sub(d.usesAt) < usesInterval {
		return
	}
	d.usesAt = now
	for name, u := range d.shares.uses {
		if u.totalAsked > 0 && (out.Complete || u.changed()) {
			out.Uses = append(out.Uses, &apiv1.WorkspaceUse{Workspace: name, Asked: uint64(u.totalAsked), Served: uint64(max(u.totalServed, 0))})
		}
	}
}

// changed reports whether the totals have changed since the last call. The
// next change or complete digest makes up for a lost one.
func (u *use) changed() bool {
	told := useMark{u.totalAsked, u.totalServed}
	if told == u.told {
		return false
	}
	u.told = told
	return true
}

// due reports whether the next digest carries the load of the server.
func (s *server) due(complete bool) bool {
	if s.tokens != s.told.tokens || s.running != s.told.running || s.ends.failed != s.told.failed {
		s.told = loadMark{s.tokens, s.running, s.ends.failed, loadRepeats}
	}
	if s.told.left > 0 {
		s.told.left--
		return true
	}
	return complete && (s.running != 0 || s.tokens != 0)
}

func (d *Dispatcher) addPlacements(out *apiv1.LoadDigest) {
	kept := d.placed[:0]
	for i := range d.placed {
		p := d.placed[i]
		if len(out.Placements) < maxPlacements {
			out.Placements = append(out.Placements, &apiv1.Placement{Server: p.server, Part: p.part.ID, Tokens: uint32(p.part.Tokens)})
			p.sent++
		}
		if p.sent < placementRepeats {
			kept = append(kept, p)
		}
	}
	d.placed = kept
}

// Take merges the digest of another edge host or the summary of another data
// centre. It reports false for one that is old, repeated or not meant for this
// host.
func (d *Dispatcher) Take(now time.Time, m *apiv1.LoadDigest) bool {
	name, wanted := d.sender(m)
	if !wanted {
		return false
	}
	p := d.peers[name]
	if p.hasNewer(now, m) {
		return false
	}
	if p == nil || m.GetIncarnation() != p.incarnation || now.Sub(p.at) > resyncGap {
		local := !m.GetSummary() && m.GetDataCentre() == d.dataCentre
		p = &peer{name: name, local: local, incarnation: m.GetIncarnation(), asked: map[string]float64{}, served: map[string]float64{}}
		d.peers[name] = p
		d.forgetPeer(name)
	}
	whole := p.follows(m)
	p.capacity, p.at, p.dropped = m.GetCapacity(), now, false
	for _, l := range m.GetServers() {
		if s := d.byHash[l.GetServer()]; s != nil {
			s.takeLoad(now, p, l, d.Summarises())
			s.takeBacklog(now, m, l)
		}
	}
	d.takePlacements(now, p, m.GetPlacements())
	for _, u := range m.GetUses() {
		d.takeUse(now, p, u)
	}
	p.complete = p.complete || m.GetComplete() && whole
	return true
}

// sender returns the name under which the sender of a digest counts, and
// whether this host takes it: with summaries, hosts of other data centres count
// through those alone.
func (d *Dispatcher) sender(m *apiv1.LoadDigest) (name string, wanted bool) {
	elsewhere := m.GetDataCentre() != d.dataCentre
	if m.GetSummary() {
		return "data centre " + m.GetDataCentre(), d.Summarises() && elsewhere
	}
	return m.GetRouter(), m.GetRouter() != d.self && !(d.Summarises() && elsewhere)
}

func (d *Dispatcher) takePlacements(now time.Time, p *peer, all []*apiv1.Placement) {
	for _, pl := range all {
		s := d.byHash[pl.GetServer()]
		if s == nil {
			continue
		}
		s.advance(now)
		part := Part{ID: pl.GetPart(), Tokens: int(pl.GetTokens())}
		s.kept.use([]Part{part}, now.Add(s.wait(0)), s.keptCapacity())
		if s.kept.tell(now, part.ID) && p.local { // the sender has told all of its data centre
			d.relay(placement{server: s.hash, part: part})
		}
	}
}

// hasNewer reports whether the digest is older than one that came before. The
// clock of the other host may have been set back before it restarted, so an
// earlier start counts as a new one when the known one has been silent.
func (p *peer) hasNewer(now time.Time, m *apiv1.LoadDigest) bool {
	switch {
	case p == nil:
		return false
	case m.GetIncarnation() == p.incarnation:
		return m.GetNumber() <= p.number
	default:
		return m.GetIncarnation() < p.incarnation && now.Sub(p.at) < peerSilence
	}
}

// forgetPeer drops the loads of another edge host. What it sent before has
// been read by the engines.
func (d *Dispatcher) forgetPeer(name string) {
	for _, s := range d.servers {
		if l := s.peers[name]; l != nil {
			s.setPeer(l, 0, 0)
			delete(s.peers, name)
		}
	}
}

// takeLoad adds what the other host has sent since its last digest. learns says
// whether its outcomes count here.
func (s *server) takeLoad(now time.Time, from *peer, l *apiv1.ServerLoad, learns bool) {
	p := s.peers[from.name]
	if p == nil {
		p = &peerLoad{local: from.local}
		s.peers[from.name] = p
		if !from.complete {
			p.tokens, p.ends = l.GetPromptTokens(), ends{l.GetFailed(), l.GetGood()}
		}
	}
	if more := s.newEnds(p, l); learns {
		s.takeEnds(now, more)
	}
	if delta := l.GetPromptTokens() - p.tokens; delta != 0 {
		s.add(now, float64(delta))
		if p.local {
			s.near.tokens += delta
		}
	}
	p.tokens = l.GetPromptTokens()
	s.setPeer(p, int(l.GetRunning()), int(l.GetKvTokens()))
}

// newEnds returns the outcomes since the last digest. A count that fell is one
// of a sender that dropped the server meanwhile.
func (s *server) newEnds(p *peerLoad, l *apiv1.ServerLoad) ends {
	told := ends{l.GetFailed(), l.GetGood()}
	before := p.ends
	p.ends = told
	if told.failed < before.failed || told.good < before.good {
		return ends{}
	}
	more := ends{told.failed - before.failed, told.good - before.good}
	if p.local {
		s.near.ends.failed += more.failed
		s.near.ends.good += more.good
	}
	return more
}

// takeBacklog moves the belief about an engine. Of engines elsewhere a data
// centre knows less than theirs does.
func (s *server) takeBacklog(now time.Time, m *apiv1.LoadDigest, l *apiv1.ServerLoad) {
	told := time.Duration(l.GetBacklogMs()) * time.Millisecond
	switch {
	case !s.model():
	case !m.GetSummary():
		s.agree(now, told, agreeBacklog)
	case m.GetDataCentre() == s.info.DataCentre:
		s.agree(now, told, agreeSummary)
	}
}

func (d *Dispatcher) takeUse(now time.Time, p *peer, m *apiv1.WorkspaceUse) {
	name := m.GetWorkspace()
	asked, served := float64(m.GetAsked()), float64(m.GetServed())
	if _, known := p.asked[name]; known || p.complete {
		u, bucket := d.shares.of(name), d.shares.bucket(now)
		moreAsked, moreServed := max(asked-p.asked[name], 0), served-p.served[name]
		u.asked.add(bucket, moreAsked)
		u.served.add(bucket, moreServed)
		if p.local {
			u.nearAsked += moreAsked
			u.nearServed += moreServed
		}
	}
	p.asked[name], p.served[name] = asked, served
}

// dropSilentPeers takes the load of edge hosts out that have not been heard.
func (d *Dispatcher) dropSilentPeers(now time.Time) {
	for name, p := range d.peers {
		if p.dropped || now.Sub(p.at) < peerSilence {
			continue
		}
		p.dropped = true
		for _, s := range d.servers {
			if l := s.peers[name]; l != nil {
				s.setPeer(l, 0, 0)
			}
		}
	}
}
