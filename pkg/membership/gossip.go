package membership

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// recordOverheadBytes is the maximum size of the protobuf tag and length of a
// record.
const recordOverheadBytes = 3

// minGossipBytes is the update budget below which no gossip datagram is sent,
// because its header would cost too much.
const minGossipBytes = 200

// queueUpdate queues the present record of a member, to be sent
// retransmitFactor*ceil(log10(n)) times.
func (s *Swim) queueUpdate(e *entry) {
	logMembers := math.Ceil(math.Log10(float64(len(s.live) + 2)))
	remaining := retransmitFactor * int(logMembers)
	s.transmitsLeft[e.Name] = remaining
	for len(s.updateQueues) <= remaining {
		s.updateQueues = append(s.updateQueues, nil)
	}
	s.updateQueues[remaining] = append(s.updateQueues[remaining], e.Name)
}

// sendGossip sends updates to random members, so that they spread faster than
// piggybacked on probes alone.
func (s *Swim) sendGossip(now time.Time) {
	if now.Before(s.nextGossip) || len(s.transmitsLeft) == 0 || s.updateBudget < minGossipBytes {
		return
	}
	s.nextGossip = now.Add(gossipInterval)
	for _, e := range s.randomMembers(gossipFanOut, nil) {
		if len(s.transmitsLeft) > 0 {
			s.send(e.GossipAddress, s.newPacket(apiv1.SwimKind_SWIM_GOSSIP, 0))
		}
	}
}

// send queues a datagram. It piggybacks updates, up to MaxPacketBytes, on packets
// that are not part of an exchange of tables.
func (s *Swim) send(to string, p *apiv1.SwimPacket) {
	if p.Kind != apiv1.SwimKind_SWIM_SYNC && p.Kind != apiv1.SwimKind_SWIM_SYNC_ANSWER {
		s.piggybackUpdates(p)
	}
	s.outgoing = append(s.outgoing, Packet{To: to, Data: encode(s.cfg.Key, p)})
}

// freeBytes returns the space for records that is left in the datagram.
func (s *Swim) freeBytes(p *apiv1.SwimPacket) int {
	return MaxPacketBytes - authTagBytes - proto.Size(p)
}

// piggybackUpdates adds updates within the update budget, those with the fewest
// transmissions first.
func (s *Swim) piggybackUpdates(p *apiv1.SwimPacket) {
	if len(s.transmitsLeft) == 0 {
		return
	}
	freeBytes := min(s.freeBytes(p), int(s.updateBudget))
	budgetedBytes := freeBytes
	var sent []string
	full := false
	for remaining := len(s.updateQueues) - 1; remaining > 0 && !full; remaining-- {
		names := s.updateQueues[remaining]
		for len(names) > 0 {
			name := names[0]
			if s.transmitsLeft[name] != remaining {
				names = names[1:] // stale, the update was queued again
				continue
			}
			r := s.updateRecord(s.table[name])
			size := proto.Size(r) + recordOverheadBytes
			if size > freeBytes {
				full = true
				break
			}
			freeBytes -= size
			p.Records = append(p.Records, r)
			sent = append(sent, name)
			s.transmitsLeft[name] = -remaining // negative: already in this datagram
			names = names[1:]
		}
		s.updateQueues[remaining] = names
	}
	for _, name := range sent {
		s.decrementTransmits(name)
	}
	s.updateBudget -= float64(budgetedBytes - freeBytes)
}

// decrementTransmits counts one transmission of an update and queues it again, or
// removes it after the last one.
func (s *Swim) decrementTransmits(name string) {
	remaining := -s.transmitsLeft[name] - 1
	if remaining == 0 {
		delete(s.transmitsLeft, name)
		return
	}
	s.transmitsLeft[name] = remaining
	s.updateQueues[remaining] = append(s.updateQueues[remaining], name)
}

// updateRecord returns the full record of a member that others may not know yet,
// otherwise the short record.
func (s *Swim) updateRecord(e *entry) *apiv1.MemberRecord {
	if e.version == 0 && e.Status == Alive {
		return fullRecord(e.StatusSince, e)
	}
	return shortRecord(e)
}

// compareDigest starts an exchange of tables if the table digest of the sender
// differs from that of this member.
func (s *Swim) compareDigest(now time.Time, p *apiv1.SwimPacket) {
	tableDigest, _ := s.digests()
	sender, ok := s.table[p.From]
	if p.Digest == tableDigest || !ok || !sender.IsLive() || now.Before(s.nextSync) {
		return
	}
	s.startSync(now, sender)
}

// startSync sends the bucket digests to a member, which replies with the records
// of the buckets that differ.
func (s *Swim) startSync(now time.Time, partner *entry) {
	s.nextSync = now.Add(syncInterval)
	s.syncPartner = ""
	p := s.newPacket(apiv1.SwimKind_SWIM_SYNC, s.nextSequence())
	_, p.Buckets = s.digests()
	s.send(partner.GossipAddress, p)
}

// continueSync requests the next page if the last one changed the table.
func (s *Swim) continueSync(now time.Time) {
	if s.syncPartner == "" || now.Before(s.nextSync) {
		return
	}
	e, ok := s.table[s.syncPartner]
	s.syncPartner = ""
	if ok && e.IsLive() {
		s.startSync(now, e)
	}
}

// receiveSync replies with one page of the buckets that differ.
func (s *Swim) receiveSync(now time.Time, from string, p *apiv1.SwimPacket) {
	a := s.newPacket(apiv1.SwimKind_SWIM_SYNC_ANSWER, p.Sequence)
	_, a.Buckets = s.digests()
	s.addPage(now, a, p.Buckets, a.Buckets)
	s.send(from, a)
}

// receiveSyncAnswer sends one page of the buckets that differ in return. If the
// received page changed the table, it schedules a request for the next page.
func (s *Swim) receiveSyncAnswer(now time.Time, from string, p *apiv1.SwimPacket, changed bool) {
	if len(p.Buckets) == 0 {
		return // the page in return, which ends the exchange
	}
	reply := s.newPacket(apiv1.SwimKind_SWIM_SYNC_ANSWER, p.Sequence)
	_, local := s.digests()
	s.addPage(now, reply, p.Buckets, local)
	if len(reply.Records) == 0 {
		return
	}
	s.send(from, reply)
	if changed {
		s.syncPartner, s.nextSync = p.From, now.Add(syncPageInterval)
	}
}

// addPage adds the records of the buckets whose remote and local digests differ,
// starting at a random bucket, until the datagram is full.
func (s *Swim) addPage(now time.Time, p *apiv1.SwimPacket, remote, local []uint32) {
	if len(remote) != len(local) {
		return
	}
	byBucket := make([][]*entry, bucketCount)
	for _, e := range s.table {
		i := bucketOf(e.Name)
		if remote[i] != local[i] {
			byBucket[i] = append(byBucket[i], e)
		}
	}
	freeBytes := s.freeBytes(p)
	start := s.random.IntN(bucketCount)
	for i := range bucketCount {
		bucket := byBucket[(start+i)%bucketCount]
		slices.SortFunc(bucket, func(a, b *entry) int { return compareNames(a.Name, b.Name) })
		for _, e := range bucket {
			r := fullRecord(now, e)
			size := proto.Size(r) + recordOverheadBytes
			if size > freeBytes {
				return
			}
			freeBytes -= size
			p.Records = append(p.Records, r)
		}
	}
}
