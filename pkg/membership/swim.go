package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// Config of one member.
type Config struct {
	Self  Member   // name, data centre, role, incarnation and addresses
	Seeds []string // gossip addresses of members to join through
	Key   []byte   // shared key, empty: datagrams are not authenticated
	Seed  uint64   // of the random choices
}

// Swim is the membership state machine of one router. It is not safe for
// concurrent use.
type Swim struct {
	cfg    Config
	random *rand.Rand
	self   *entry
	table  map[string]*entry // all members, with self
	live   []*entry          // without self, in order of names
	dead   []*entry          // dead, not left, in order of names

	updates  map[string]int // transmissions left, by member name
	pending  [][]string     // names by transmissions left; other counts in updates make them stale
	claims   []claim
	out      []Packet
	changes  uint64   // number of changes of the member list
	taken    uint64   // changes at the last TakeChanged
	whole    uint64   // digest of the table, valid if parts is set
	parts    []uint32 // digests of its parts, nil after a change
	sequence uint64
	order    []*entry // members still to probe in this round
	probe    probe
	relays   map[uint64]relay

	lastTick   time.Time
	budget     float64   // bytes of updates that may be sent now
	nextEnd    time.Time // earliest end of a suspicion
	nextProbe  time.Time
	nextGossip time.Time
	nextDead   time.Time
	nextSeed   time.Time
	nextSync   time.Time
	syncWith   string // name of the member of a running exchange
	selfSent   time.Time
}

// NewSwim returns a member that knows itself alone.
func NewSwim(cfg Config, now time.Time) *Swim {
	s := &Swim{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		table: map[string]*entry{}, updates: map[string]int{}, relays: map[uint64]relay{},
		lastTick: now, budget: updateBurst, nextSeed: now, nextDead: now, nextGossip: now, nextSync: now,
	}
	s.self = &entry{Member: cfg.Self}
	s.self.Status, s.self.Since = Alive, now
	s.table[s.self.Name] = s.self
	s.nextProbe = now.Add(time.Duration(s.random.Int64N(int64(ProbeInterval))))
	s.queue(s.self)
	return s
}

// Tick runs the timers that are due. Call it at least each 50 ms.
func (s *Swim) Tick(now time.Time) []Packet {
	s.budget = min(updateBurst, s.budget+updateRate*now.Sub(s.lastTick).Seconds())
	s.forgiveStall(now)
	s.endSuspicions(now)
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(ProbeInterval)
		s.endProbe(now)
		s.checkClaims(now)
		s.remindSuspects(now)
		s.startProbe(now)
	}
	s.probeIndirectly(now)
	s.probeDead(now)
	s.probeSeed(now)
	s.continueSync(now)
	s.gossip(now)
	return s.take()
}

// Receive handles one datagram. Datagrams that are damaged or not
// authenticated are dropped.
func (s *Swim) Receive(now time.Time, from string, data []byte) []Packet {
	p, err := decode(s.cfg.Key, data)
	if err != nil || p.From == s.self.Name && p.FromIncarnation == s.self.Incarnation {
		return nil
	}
	before := s.changes
	for _, r := range p.Records {
		s.merge(now, r)
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
		s.receiveSyncAnswer(now, from, p, s.changes != before)
	}
	return s.take()
}

// Members returns all members of the last KnownFor in order of names, with
// this router itself, and with those that died or left.
func (s *Swim) Members() []Member {
	all := make([]Member, 0, len(s.table))
	for _, e := range s.table {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return compareNames(a.Name, b.Name) })
	return all
}

// Self returns the record of this router. Its incarnation rises when another
// process has used the name with a higher one.
func (s *Swim) Self() Member { return s.self.Member }

// TakeChanged reports whether Members changed since the last call.
func (s *Swim) TakeChanged() bool {
	changed := s.changes != s.taken
	s.taken = s.changes
	return changed
}

// SetDraining tells all members whether this router takes new work.
func (s *Swim) SetDraining(draining bool) {
	if s.self.Draining == draining {
		return
	}
	s.self.Draining = draining
	s.self.version++
	s.touch()
	s.queue(s.self)
}

// Leave tells all members that this router ends. Tick must run for LeaveTime
// after it.
func (s *Swim) Leave(now time.Time) {
	if s.self.Status == Left {
		return
	}
	s.self.Status, s.self.Since = Left, now
	s.self.version++
	s.touch()
	s.queue(s.self)
	s.nextGossip = now
}

// LeaveTime is how long a leaving member passes on that it left.
const LeaveTime = 4 * gossipInterval

func (s *Swim) take() []Packet {
	out := s.out
	s.out = nil
	return out
}

// forgiveStall moves the deadlines when this process was stopped, because it
// could not receive what others sent meanwhile.
func (s *Swim) forgiveStall(now time.Time) {
	gap := now.Sub(s.lastTick)
	s.lastTick = now
	if gap < stallLimit {
		return
	}
	s.probe = probe{}
	for _, e := range s.live {
		if e.Status == Suspect {
			e.deadline = e.deadline.Add(gap)
		}
	}
}

// suspicionTime returns how long a suspect has to refute.
func (s *Swim) suspicionTime() time.Duration {
	scale := max(1, math.Log10(float64(len(s.live)+1)))
	return time.Duration(float64(suspicionBase) * scale)
}

func (s *Swim) endSuspicions(now time.Time) {
	if now.Before(s.nextEnd) {
		return
	}
	s.nextEnd = now.Add(KnownFor)
	for _, e := range slices.Clone(s.live) {
		switch {
		case e.Status != Suspect:
		case !now.Before(e.deadline):
			s.setStatus(now, e, Dead)
		case e.deadline.Before(s.nextEnd):
			s.nextEnd = e.deadline
		}
	}
}

func (s *Swim) forgetOld(now time.Time) {
	for name, e := range s.table {
		if !e.Live() && e != s.self && now.Sub(e.Since) >= KnownFor {
			delete(s.table, name)
			delete(s.updates, name)
			s.touch()
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
