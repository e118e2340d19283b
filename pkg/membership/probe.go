package membership

import (
	"slices"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// probe is the probe of the current probe interval.
type probe struct {
	target       *entry // nil if there is no probe
	sequence     uint64
	started      time.Time
	indirectSent bool // the indirect probes were sent
	acked        bool
}

// relay is a ping that this member sends on behalf of another one (ping-req).
type relay struct {
	requester string // address
	sequence  uint64 // of the probe of the requester
	expires   time.Time
}

// newPacket returns a packet from this member with the table digest.
func (s *Swim) newPacket(kind apiv1.SwimKind, sequence uint64) *apiv1.SwimPacket {
	tableDigest, _ := s.digests()
	return &apiv1.SwimPacket{
		Kind: kind, From: s.self.Name, FromIncarnation: s.self.Incarnation, Sequence: sequence, Digest: tableDigest,
	}
}

func (s *Swim) nextSequence() uint64 {
	s.sequence++
	return s.sequence
}

// startProbe pings the next member of the round. A round visits each live member
// once in random order, which bounds the time until a member is probed.
func (s *Swim) startProbe(now time.Time) {
	if s.self.Status == Left {
		return
	}
	for len(s.probeOrder) == 0 || !s.probeOrder[0].IsLive() || s.table[s.probeOrder[0].Name] != s.probeOrder[0] {
		if len(s.probeOrder) > 0 {
			s.probeOrder = s.probeOrder[1:]
			continue
		}
		if len(s.live) == 0 {
			return
		}
		s.probeOrder = slices.Clone(s.live)
		s.random.Shuffle(len(s.probeOrder), func(i, j int) { s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i] })
	}
	target := s.probeOrder[0]
	s.probeOrder = s.probeOrder[1:]
	s.probe = probe{target: target, sequence: s.nextSequence(), started: now}
	s.ping(target, s.probe.sequence)
}

// ping sends a ping. It includes the record of a target that is not alive, so that
// the target can refute it.
func (s *Swim) ping(target *entry, sequence uint64) {
	p := s.newPacket(apiv1.SwimKind_SWIM_PING, sequence)
	p.Target = target.Name
	if target.Status != Alive {
		p.Records = append(p.Records, shortRecord(target))
	}
	s.send(target.GossipAddress, p)
}

// endProbe starts a suspicion of the target of the last interval if no direct or
// indirect ack arrived.
func (s *Swim) endProbe(now time.Time) {
	p := s.probe
	s.probe = probe{}
	if p.target == nil || p.acked || p.target.Status != Alive || s.table[p.target.Name] != p.target {
		return
	}
	s.suspect(now, p.target)
}

// suspect starts a suspicion and informs the member with a ping.
func (s *Swim) suspect(now time.Time, e *entry) {
	s.setStatus(now, e, Suspect)
	e.notifySuspect = true
	s.ping(e, s.nextSequence())
}

// remindSuspects pings suspects again: those that this router suspected first, and
// all of them shortly before their suspicion times out, because the refutation may
// have been lost on its way to this router.
func (s *Swim) remindSuspects(now time.Time) {
	for _, e := range s.live {
		if e.Status == Suspect && (e.notifySuspect || e.suspicionDeadline.Sub(now) <= reminderLeadTime) {
			s.ping(e, s.nextSequence())
		}
	}
}

// probeIndirectly asks random members to ping the target if no ack arrived within
// probeTimeout.
func (s *Swim) probeIndirectly(now time.Time) {
	p := &s.probe
	if p.target == nil || p.acked || p.indirectSent || now.Sub(p.started) < probeTimeout {
		return
	}
	p.indirectSent = true
	for _, helper := range s.randomMembers(indirectProbeCount, p.target) {
		request := s.newPacket(apiv1.SwimKind_SWIM_PING_REQUEST, p.sequence)
		request.Target, request.TargetAddress = p.target.Name, p.target.GossipAddress
		s.send(helper.GossipAddress, request)
	}
}

// randomMembers returns up to count random live members without the excluded one.
func (s *Swim) randomMembers(count int, excluded *entry) []*entry {
	var chosen []*entry
	for _, i := range s.random.Perm(len(s.live)) {
		if e := s.live[i]; e != excluded && len(chosen) < count {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// probeDead pings one dead member, so that a healed partition is detected without
// seeds. It also removes expired members and relays.
func (s *Swim) probeDead(now time.Time) {
	if now.Before(s.nextDeadProbe) {
		return
	}
	s.nextDeadProbe = now.Add(deadProbeInterval)
	s.removeExpired(now)
	if len(s.dead) > 0 {
		s.ping(s.dead[s.random.IntN(len(s.dead))], s.nextSequence())
	}
	for sequence, r := range s.relays {
		if now.After(r.expires) {
			delete(s.relays, sequence)
		}
	}
}

// probeSeed pings one seed address at which there is no known live member.
func (s *Swim) probeSeed(now time.Time) {
	if now.Before(s.nextSeedProbe) || s.self.Status == Left {
		return
	}
	s.nextSeedProbe = now.Add(seedProbeInterval)
	if len(s.live) == 0 {
		s.nextSeedProbe = now.Add(joinProbeInterval)
	}
	missing := slices.DeleteFunc(slices.Clone(s.cfg.Seeds), func(seed string) bool {
		return seed == s.self.GossipAddress ||
			slices.ContainsFunc(s.live, func(e *entry) bool { return e.GossipAddress == seed })
	})
	if len(missing) == 0 {
		return
	}
	p := s.newPacket(apiv1.SwimKind_SWIM_PING, s.nextSequence())
	p.Records = append(p.Records, fullRecord(now, s.self))
	s.send(missing[s.random.IntN(len(missing))], p)
}

// receivePing acks a ping that is meant for this member.
func (s *Swim) receivePing(now time.Time, from string, p *apiv1.SwimPacket) {
	if p.Target != "" && p.Target != s.self.Name {
		return // the address belonged to another member before
	}
	s.sendAck(from, p.Sequence, p)
	s.compareDigest(now, p)
}

// sendAck acks a ping. If the sender is unknown to this router, not alive, or listed
// with an older incarnation, the ack includes that record, so that the sender can
// refute it. A sender that suspects this router receives the present record of this
// router even if that was sent before, because the refutation may have been lost.
func (s *Swim) sendAck(to string, sequence uint64, ping *apiv1.SwimPacket) {
	a := s.newPacket(apiv1.SwimKind_SWIM_ACK, sequence)
	sender, known := s.table[ping.From]
	switch {
	case !known:
		a.Records = append(a.Records, &apiv1.MemberRecord{Name: ping.From, Status: apiv1.MemberStatus_MEMBER_STATUS_DEAD})
	case sender.Status != Alive || sender.Incarnation < ping.FromIncarnation:
		a.Records = append(a.Records, shortRecord(sender))
	}
	for _, r := range ping.Records {
		if r.Name == s.self.Name && Status(r.Status) != Alive {
			a.Records = append(a.Records, shortRecord(s.self))
		}
	}
	if ping.Target == "" {
		a.Records = append(a.Records, fullRecord(s.self.StatusSince, s.self)) // the ping of a seed address: the sender joins
	}
	s.send(to, a)
}

// receiveAck records the ack of the current probe, or forwards the ack of a relayed
// ping to its requester.
func (s *Swim) receiveAck(now time.Time, _ string, p *apiv1.SwimPacket) {
	if r, ok := s.relays[p.Sequence]; ok {
		delete(s.relays, p.Sequence)
		forward := s.newPacket(apiv1.SwimKind_SWIM_ACK, r.sequence)
		forward.Target = p.From
		s.send(r.requester, forward)
		return
	}
	t := s.probe.target
	if t != nil && p.Sequence == s.probe.sequence && (p.From == t.Name || p.Target == t.Name) {
		s.probe.acked = true
	}
	s.compareDigest(now, p)
}

// receivePingRequest pings the target on behalf of another member. receiveAck
// forwards the ack.
func (s *Swim) receivePingRequest(now time.Time, from string, p *apiv1.SwimPacket) {
	sequence := s.nextSequence()
	s.relays[sequence] = relay{requester: from, sequence: p.Sequence, expires: now.Add(ProbeInterval)}
	ping := s.newPacket(apiv1.SwimKind_SWIM_PING, sequence)
	ping.Target = p.Target
	s.send(p.TargetAddress, ping)
}
