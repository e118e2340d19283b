package membership

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// recordOverhead is the most bytes that tag and length add to a record.
const recordOverhead = 3

// leastGossip is the budget below which a datagram of updates is not worth its
// header.
const leastGossip = 200 // bytes

// queue has the present record of a member passed on.
func (s *Swim) queue(e *entry) {
	rounds := math.Ceil(math.Log10(float64(len(s.live) + 2)))
	left := retransmitFactor * int(rounds)
	s.updates[e.Name] = left
	for len(s.pending) <= left {
		s.pending = append(s.pending, nil)
	}
	s.pending[left] = append(s.pending[left], e.Name)
}

// gossip sends updates to random members, so that they spread faster than the
// probes alone would carry them.
func (s *Swim) gossip(now time.Time) {
	if now.Before(s.nextGossip) || len(s.updates) == 0 || s.budget < leastGossip {
		return
	}
	s.nextGossip = now.Add(gossipInterval)
	for _, e := range s.pick(gossipFanOut, nil) {
		if len(s.updates) > 0 {
			s.send(e.GossipAddress, s.newPacket(apiv1.SwimKind_SWIM_GOSSIP, 0))
		}
	}
}

// send fills the packet with updates up to the size of a datagram.
func (s *Swim) send(to string, p *apiv1.SwimPacket) {
	if p.Kind != apiv1.SwimKind_SWIM_SYNC && p.Kind != apiv1.SwimKind_SWIM_SYNC_ANSWER {
		s.carryUpdates(p)
	}
	s.out = append(s.out, Packet{To: to, Data: encode(s.cfg.Key, p)})
}

func (s *Swim) room(p *apiv1.SwimPacket) int {
	return MaxPacketBytes - tagBytes - proto.Size(p)
}

// carryUpdates adds the updates that were passed on least often so far.
func (s *Swim) carryUpdates(p *apiv1.SwimPacket) {
	if len(s.updates) == 0 {
		return
	}
	room := min(s.room(p), int(s.budget))
	granted := room
	var sent []string
	full := false
	for left := len(s.pending) - 1; left > 0 && !full; left-- {
		names := s.pending[left]
		for len(names) > 0 {
			name := names[0]
			if s.updates[name] != left {
				names = names[1:] // queued anew since
				continue
			}
			r := s.updateRecord(s.table[name])
			size := proto.Size(r) + recordOverhead
			if size > room {
				full = true
				break
			}
			room -= size
			p.Records = append(p.Records, r)
			sent = append(sent, name)
			s.updates[name] = -left // not twice in one datagram
			names = names[1:]
		}
		s.pending[left] = names
	}
	for _, name := range sent {
		s.countDown(name)
	}
	s.budget -= float64(granted - room)
}

func (s *Swim) countDown(name string) {
	left := -s.updates[name] - 1
	if left == 0 {
		delete(s.updates, name)
		return
	}
	s.updates[name] = left
	s.pending[left] = append(s.pending[left], name)
}

// updateRecord returns the full record of a member that others may not know,
// and the short one of a member that only changed.
func (s *Swim) updateRecord(e *entry) *apiv1.MemberRecord {
	if e.version == 0 && e.Status == Alive {
		return fullRecord(e.Since, e)
	}
	return shortRecord(e)
}

// compare starts an exchange of tables when those of the sender and of this
// router differ.
func (s *Swim) compare(now time.Time, p *apiv1.SwimPacket) {
	whole, _ := s.digests()
	sender, ok := s.table[p.From]
	if p.Digest == whole || !ok || !sender.Live() || now.Before(s.nextSync) {
		return
	}
	s.startSync(now, sender)
}

func (s *Swim) startSync(now time.Time, with *entry) {
	s.nextSync = now.Add(syncInterval)
	s.syncWith = ""
	p := s.newPacket(apiv1.SwimKind_SWIM_SYNC, s.nextSequence())
	_, p.Buckets = s.digests()
	s.send(with.GossipAddress, p)
}

// continueSync asks for the next page while an exchange brings news.
func (s *Swim) continueSync(now time.Time) {
	if s.syncWith == "" || now.Before(s.nextSync) {
		return
	}
	e, ok := s.table[s.syncWith]
	s.syncWith = ""
	if ok && e.Live() {
		s.startSync(now, e)
	}
}

// receiveSync answers with one page of the parts that differ.
func (s *Swim) receiveSync(now time.Time, from string, p *apiv1.SwimPacket) {
	a := s.newPacket(apiv1.SwimKind_SWIM_SYNC_ANSWER, p.Sequence)
	_, a.Buckets = s.digests()
	s.addPage(now, a, p.Buckets, a.Buckets)
	s.send(from, a)
}

// receiveSyncAnswer returns one page of what the other side lacks and goes on
// while the tables differ and the exchange brings news.
func (s *Swim) receiveSyncAnswer(now time.Time, from string, p *apiv1.SwimPacket, news bool) {
	if len(p.Buckets) == 0 {
		return // the page in return
	}
	back := s.newPacket(apiv1.SwimKind_SWIM_SYNC_ANSWER, p.Sequence)
	_, own := s.digests()
	s.addPage(now, back, p.Buckets, own)
	if len(back.Records) == 0 {
		return
	}
	s.send(from, back)
	if news {
		s.syncWith, s.nextSync = p.From, now.Add(syncNextPage)
	}
}

// addPage adds the records of the parts that differ, from a random part on,
// until the datagram is full.
func (s *Swim) addPage(now time.Time, p *apiv1.SwimPacket, theirs, own []uint32) {
	if len(theirs) != len(own) {
		return
	}
	byBucket := make([][]*entry, bucketCount)
	for _, e := range s.table {
		i := bucketOf(e.Name)
		if theirs[i] != own[i] {
			byBucket[i] = append(byBucket[i], e)
		}
	}
	room := s.room(p)
	start := s.random.IntN(bucketCount)
	for i := range bucketCount {
		part := byBucket[(start+i)%bucketCount]
		slices.SortFunc(part, func(a, b *entry) int { return compareNames(a.Name, b.Name) })
		for _, e := range part {
			r := fullRecord(now, e)
			size := proto.Size(r) + recordOverhead
			if size > room {
				return
			}
			room -= size
			p.Records = append(p.Records, r)
		}
	}
}
