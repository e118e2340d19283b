package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// Config configures a member.
type Config struct {
	Self       Member   // name, data centre, role, incarnation and addresses
	Seeds      []string // gossip addresses of members to join through
	Key        []byte   // shared key; if empty, datagrams are not authenticated
	RandomSeed uint64   // seed of the random choices
}

// Swim is the state machine of the membership protocol of one router. It is not
// safe for concurrent use.
type Swim struct {
	cfg    Config
	random *rand.Rand
	self   *entry
	table  map[string]*entry // all members with self, by name
	live   []*entry          // alive and suspect members without self, sorted by name
	dead   []*entry          // dead members without those that left, sorted by name

	transmitsLeft       map[string]int // remaining transmissions of queued updates, by member name
	updateQueues        [][]string     // member names by remaining transmissions; stale if transmitsLeft has another count
	deadClaims          []deadClaim
	outgoing            []Packet
	changeCount         uint64   // number of changes of the table
	reportedChangeCount uint64   // changeCount at the last PollChanged
	tableDigest         uint64   // valid if bucketDigests is set
	bucketDigests       []uint32 // nil after a change of the table
	sequence            uint64
	probeOrder          []*entry // members still to be probed in this round
	probe               probe
	relays              map[uint64]relay

	lastTick         time.Time
	updateBudget     float64   // token bucket, in bytes
	nextSuspicionEnd time.Time // no suspicion times out before
	nextProbe        time.Time
	nextGossip       time.Time
	nextDeadProbe    time.Time
	nextSeedProbe    time.Time
	nextSync         time.Time
	syncPartner      string // name of the member to request the next page from, "" if none
	lastSelfUpdate   time.Time
	invalid          string // why the last invalid record was dropped
}

// NewSwim returns a member that knows no other member.
func NewSwim(cfg Config, now time.Time) *Swim {
	s := &Swim{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.RandomSeed, cfg.Self.Incarnation)),
		table: map[string]*entry{}, transmitsLeft: map[string]int{}, relays: map[uint64]relay{},
		lastTick: now, updateBudget: updateBurstBytes, nextSeedProbe: now, nextDeadProbe: now, nextGossip: now, nextSync: now,
	}
	s.self = &entry{Member: cfg.Self}
	s.self.Status, s.self.StatusSince = Alive, now
	s.table[s.self.Name] = s.self
	s.nextProbe = now.Add(time.Duration(s.random.Int64N(int64(ProbeInterval))))
	s.queueUpdate(s.self)
	return s
}

// Tick runs the timers that are due and returns the datagrams to send. Call it at
// least every 50 ms.
func (s *Swim) Tick(now time.Time) []Packet {
	s.updateBudget = min(updateBurstBytes, s.updateBudget+updateBytesPerSecond*now.Sub(s.lastTick).Seconds())
	s.extendSuspicionsAfterStall(now)
	s.expireSuspicions(now)
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(ProbeInterval)
		s.endProbe(now)
		s.checkDeadClaims(now)
		s.remindSuspects(now)
		s.startProbe(now)
	}
	s.probeIndirectly(now)
	s.probeDead(now)
	s.probeSeed(now)
	s.continueSync(now)
	s.sendGossip(now)
	return s.takeOutgoing()
}

// Receive handles one datagram and returns the datagrams to send. A datagram that
// cannot be decoded or authenticated is dropped.
func (s *Swim) Receive(now time.Time, from string, data []byte) []Packet {
	p, err := decode(s.cfg.Key, data)
	if err != nil || p.From == s.self.Name && p.FromIncarnation == s.self.Incarnation {
		return nil
	}
	if !isValidHeader(p) {
		s.invalid = fmt.Sprintf("invalid sender %.64q or target %.64q", p.From, p.Target)
		return nil
	}
	before := s.changeCount
	for _, r := range p.Records {
		if reason := invalidRecord(r); reason != "" {
			s.invalid = reason
			continue
		}
		s.mergeRecord(now, r)
	}
	switch p.Kind {
	case apiv1.SwimKind_SWIM_PING:
		s.receivePing(now, from, p)
	case apiv1.SwimKind_SWIM_ACK:
		s.receiveAck(now, from, p)
	case apiv1.SwimKind_SWIM_PING_REQUEST:
		s.receivePingRequest(now, from, p)
	case apiv1.SwimKind_SWIM_SYNC:
		s.receiveSync(now, from, p)
	case apiv1.SwimKind_SWIM_SYNC_ANSWER:
		s.receiveSyncAnswer(now, from, p, s.changeCount != before)
	}
	return s.takeOutgoing()
}

// TakeInvalid returns why the last invalid record since the last call was dropped, ""
// if there was none.
func (s *Swim) TakeInvalid() string {
	reason := s.invalid
	s.invalid = ""
	return reason
}

// Members returns all members in the table, sorted by name: this router, the live
// members, and those that died or left within DeadMemberRetention.
func (s *Swim) Members() []Member {
	all := make([]Member, 0, len(s.table))
	for _, e := range s.table {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return compareNames(a.Name, b.Name) })
	return all
}

// Self returns the record of this router. Its incarnation rises if another process
// has used the name with a higher one.
func (s *Swim) Self() Member { return s.self.Member }

// PollChanged reports whether Members has changed since the last call.
func (s *Swim) PollChanged() bool {
	changed := s.changeCount != s.reportedChangeCount
	s.reportedChangeCount = s.changeCount
	return changed
}

// SetDraining announces to all members whether this router is draining, that is,
// accepts no new work.
func (s *Swim) SetDraining(draining bool) {
	if s.self.Draining == draining {
		return
	}
	s.self.Draining = draining
	s.self.version++
	s.markChanged()
	s.queueUpdate(s.self)
}

// Leave announces to all members that this router shuts down. Tick must be called
// for LeavePropagationTime after it.
func (s *Swim) Leave(now time.Time) {
	if s.self.Status == Left {
		return
	}
	s.self.Status, s.self.StatusSince = Left, now
	s.self.version++
	s.markChanged()
	s.queueUpdate(s.self)
	s.nextGossip = now
}

// LeavePropagationTime is how long a leaving member goes on sending the update
// that it left.
const LeavePropagationTime = 4 * gossipInterval

// takeOutgoing returns and clears the queued datagrams.
func (s *Swim) takeOutgoing() []Packet {
	outgoing := s.outgoing
	s.outgoing = nil
	return outgoing
}

// extendSuspicionsAfterStall discards the current probe and extends the suspicions
// if this process was stopped, because it could not receive acks and refutations
// meanwhile.
func (s *Swim) extendSuspicionsAfterStall(now time.Time) {
	gap := now.Sub(s.lastTick)
	s.lastTick = now
	if gap < stallThreshold {
		return
	}
	s.probe = probe{}
	for _, e := range s.live {
		if e.Status == Suspect {
			e.suspicionDeadline = e.suspicionDeadline.Add(gap)
		}
	}
}

// suspicionTimeout returns the time within which a suspect must refute.
func (s *Swim) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(s.live)+1)))
	return time.Duration(float64(suspicionTimeoutBase) * scale)
}

// expireSuspicions declares suspects dead whose suspicion timed out.
func (s *Swim) expireSuspicions(now time.Time) {
	if now.Before(s.nextSuspicionEnd) {
		return
	}
	s.nextSuspicionEnd = now.Add(DeadMemberRetention)
	for _, e := range slices.Clone(s.live) {
		switch {
		case e.Status != Suspect:
		case !now.Before(e.suspicionDeadline):
			s.setStatus(now, e, Dead)
		case e.suspicionDeadline.Before(s.nextSuspicionEnd):
			s.nextSuspicionEnd = e.suspicionDeadline
		}
	}
}

// removeExpired removes members that have been dead or left for
// DeadMemberRetention.
func (s *Swim) removeExpired(now time.Time) {
	for name, e := range s.table {
		if !e.IsLive() && e != s.self && now.Sub(e.StatusSince) >= DeadMemberRetention {
			delete(s.table, name)
			delete(s.transmitsLeft, name)
			s.markChanged()
		}
	}
	s.dead = slices.DeleteFunc(s.dead, func(e *entry) bool { return s.table[e.Name] != e })
}

func compareNames(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
