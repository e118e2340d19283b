package membership

import (
	"slices"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// probe is the probe of the present interval.
type probe struct {
	target   *entry // nil: none
	sequence uint64
	started  time.Time
	indirect bool // indirect probes are sent
	acked    bool
}

// relay is an indirect probe that this member makes for another one.
type relay struct {
	requester string // address
	sequence  uint64 // of the requester
	expires   time.Time
}

func (s *Swim) newPacket(kind apiv1.SwimKind, sequence uint64) *apiv1.SwimPacket {
	whole, _ := s.digests()
	return &apiv1.SwimPacket{
		Kind: kind, From: s.self.Name, FromIncarnation: s.self.Incarnation, Sequence: sequence, Digest: whole,
	}
}

func (s *Swim) nextSequence() uint64 {
	s.sequence++
	return s.sequence
}

// startProbe pings the next member of the round. A round visits each live
// member once in random order, which bounds the time to the first probe.
func (s *Swim) startProbe(now time.Time) {
	if s.self.Status == Left {
		return
	}
	for len(s.order) == 0 || !s.order[0].Live() || s.table[s.order[0].Name] != s.order[0] {
		if len(s.order) > 0 {
			s.order = s.order[1:]
			continue
		}
		if len(s.live) == 0 {
			return
		}
		s.order = slices.Clone(s.live)
		s.random.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	}
	target := s.order[0]
	s.order = s.order[1:]
	s.probe = probe{target: target, sequence: s.nextSequence(), started: now}
	s.ping(target, s.probe.sequence)
}

// ping sends a ping that tells the target what is believed of it, so that it
// can refute.
func (s *Swim) ping(target *entry, sequence uint64) {
	p := s.newPacket(apiv1.SwimKind_SWIM_PING, sequence)
	p.Target = target.Name
	if target.Status != Alive {
		p.Records = append(p.Records, shortRecord(target))
	}
	s.send(target.GossipAddress, p)
}

// endProbe suspects the target of the last interval if nothing came back.
func (s *Swim) endProbe(now time.Time) {
	p := s.probe
	s.probe = probe{}
	if p.target == nil || p.acked || p.target.Status != Alive || s.table[p.target.Name] != p.target {
		return
	}
	s.suspect(now, p.target)
}

// suspect starts a suspicion and tells the member.
func (s *Swim) suspect(now time.Time, e *entry) {
	s.setStatus(now, e, Suspect)
	e.notify = true
	s.ping(e, s.nextSequence())
}

// remindSuspects tells suspected members of the suspicion: those that this
// node suspected first, and all of them before their time ends, because the
// refutation may have been lost on its way to this node.
func (s *Swim) remindSuspects(now time.Time) {
	for _, e := range s.live {
		if e.Status == Suspect && (e.notify || e.deadline.Sub(now) <= reminderTime) {
			s.ping(e, s.nextSequence())
		}
	}
}

func (s *Swim) probeIndirectly(now time.Time) {
	p := &s.probe
	if p.target == nil || p.acked || p.indirect || now.Sub(p.started) < probeTimeout {
		return
	}
	p.indirect = true
	for _, helper := range s.pick(indirectProbes, p.target) {
		request := s.newPacket(apiv1.SwimKind_SWIM_PING_REQUEST, p.sequence)
		request.Target, request.TargetAddress = p.target.Name, p.target.GossipAddress
		s.send(helper.GossipAddress, request)
	}
}

// pick returns up to count random live members other than the excluded one.
func (s *Swim) pick(count int, except *entry) []*entry {
	var chosen []*entry
	for _, i := range s.random.Perm(len(s.live)) {
		if e := s.live[i]; e != except && len(chosen) < count {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// probeDead pings one dead member, so that a healed partition is noticed
// without seeds.
func (s *Swim) probeDead(now time.Time) {
	if now.Before(s.nextDead) {
		return
	}
	s.nextDead = now.Add(deadProbeInterval)
	s.forgetOld(now)
	if len(s.dead) > 0 {
		s.ping(s.dead[s.random.IntN(len(s.dead))], s.nextSequence())
	}
	for sequence, r := range s.relays {
		if now.After(r.expires) {
			delete(s.relays, sequence)
		}
	}
}

// probeSeed pings one seed address at which no live member is known.
func (s *Swim) probeSeed(now time.Time) {
	if now.Before(s.nextSeed) || s.self.Status == Left {
		return
	}
	s.nextSeed = now.Add(seedInterval)
	if len(s.live) == 0 {
		s.nextSeed = now.Add(seedFirstInterval)
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

func (s *Swim) receivePing(now time.Time, from string, p *apiv1.SwimPacket) {
	if p.Target != "" && p.Target != s.self.Name {
		return // the address belonged to another member
	}
	s.ack(from, p.Sequence, p)
	s.compare(now, p)
}

// ack answers a ping and tells the sender what is believed of it. A sender
// that suspects this router gets its present record even if it was sent
// before, because that refutation may have been lost.
func (s *Swim) ack(to string, sequence uint64, ping *apiv1.SwimPacket) {
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
		a.Records = append(a.Records, fullRecord(s.self.Since, s.self)) // the sender joins
	}
	s.send(to, a)
}

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
	s.compare(now, p)
}

// receivePingRequest pings the target for another member and passes its
// answer on.
func (s *Swim) receivePingRequest(now time.Time, from string, p *apiv1.SwimPacket) {
	sequence := s.nextSequence()
	s.relays[sequence] = relay{requester: from, sequence: p.Sequence, expires: now.Add(ProbeInterval)}
	ping := s.newPacket(apiv1.SwimKind_SWIM_PING, sequence)
	ping.Target = p.Target
	s.send(p.TargetAddress, ping)
}
