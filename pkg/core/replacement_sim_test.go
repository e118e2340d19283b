package core

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/raft"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
)

// Timing of the simulation. A message takes one step; a packet that the network loses delays
// its connection until TCP sends it again.
const (
	simStep           = 10 * time.Millisecond
	simRetransmission = 200 * time.Millisecond
	simCalmChanges    = 500 * time.Millisecond // between two changes of the configuration
)

// simHost is a core host: a consensus node, and whether it shuts down.
type simHost struct {
	node     *raft.Node
	identity uint64
	phase    time.Duration // of its ticks
	leaving  bool
}

// replacementSim simulates the membership of a core in virtual time: consensus nodes, the
// plan of the leader, and connections that stall when a packet is lost.
type replacementSim struct {
	rng            *rand.Rand
	voters         int
	lossRate       float64
	changeInterval time.Duration // between two changes of the configuration

	now          time.Duration
	hosts        map[uint64]*simHost
	links        map[[2]uint64][]simMessage // by sender and receiver, in the order of arrival
	lastID       uint64
	lastIdentity uint64
	lastChange   uint64
	committed    map[uint64]uint64 // change by index, 0 for entries of the consensus itself
	lastIndex    uint64            // highest committed index
	changed      bool              // the leader has just changed the membership and plans again
	violation    error
}

// simMessage is a message on its way.
type simMessage struct {
	raft.Message
	arrival time.Duration
}

func newReplacementSim(seed uint64, hosts, voters int) *replacementSim {
	s := &replacementSim{
		rng: rand.New(rand.NewPCG(seed, 7)), voters: voters, changeInterval: simCalmChanges,
		hosts: map[uint64]*simHost{}, links: map[[2]uint64][]simMessage{}, committed: map[uint64]uint64{},
	}
	var founders []raft.Member
	for range min(hosts, 3) {
		s.lastID, s.lastIdentity = s.lastID+1, s.lastIdentity+1
		founders = append(founders, raft.Member{ID: s.lastID, Identity: s.lastIdentity, Address: fmt.Sprint(s.lastID)})
	}
	for i, m := range founders {
		var entries []raft.Entry
		if i == 0 {
			entries = []raft.Entry{raft.BootstrapEntry(founders)}
		}
		s.start(m.ID, m.Identity, entries)
	}
	for range hosts - len(founders) {
		s.startNew()
	}
	return s
}

func (s *replacementSim) start(id, identity uint64, entries []raft.Entry) {
	state := raft.HardState{Term: uint64(len(entries))}
	phase := time.Duration(s.rng.IntN(int(raftTick/simStep))) * simStep
	s.hosts[id] = &simHost{identity: identity, phase: phase, node: raft.New(raft.Config{
		ID: id, Identity: identity, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, MaxInflightAppends: 16,
		Rand: s.rng.IntN, State: state, Entries: entries,
	})}
}

// startNew starts a host at a new address with an empty disk.
func (s *replacementSim) startNew() {
	s.lastID++
	s.startEmpty(s.lastID)
}

func (s *replacementSim) startEmpty(id uint64) {
	s.lastIdentity++
	s.start(id, s.lastIdentity, nil)
}

// lose ends a host with its disk. What it sent and did not arrive is lost.
func (s *replacementSim) lose(id uint64) {
	delete(s.hosts, id)
	for pair := range s.links {
		if pair[0] == id || pair[1] == id {
			delete(s.links, pair)
		}
	}
}

func (s *replacementSim) ids() []uint64 {
	var out []uint64
	for id := range s.hosts {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// leader returns the leader of the highest term, 0 if there is none.
func (s *replacementSim) leader() uint64 {
	best, term := uint64(0), uint64(0)
	for id, h := range s.hosts {
		if st := h.node.Status(); st.Role == raft.Leader && st.State.Term > term {
			best, term = id, st.State.Term
		}
	}
	return best
}

// run advances the time.
func (s *replacementSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		s.deliver()
		for _, id := range s.ids() {
			h := s.hosts[id]
			if (s.now+h.phase)%raftTick == 0 {
				h.node.Tick()
			}
			if s.now%leaveInterval == 0 && h.leaving {
				h.node.Leave()
			}
			s.process(id)
		}
		if s.now%joinInterval == 0 {
			s.join()
		}
		if l := s.hosts[s.leader()]; l != nil && s.now%s.changeInterval == 0 {
			s.lastChange++
			_, _, _ = l.node.Propose(binary.BigEndian.AppendUint64(nil, s.lastChange))
		}
		if s.now%planInterval == 0 || s.changed {
			s.changed = s.plan()
		}
	}
}

// deliver hands over the messages that have arrived.
func (s *replacementSim) deliver() {
	pairs := make([][2]uint64, 0, len(s.links))
	for pair := range s.links {
		pairs = append(pairs, pair)
	}
	slices.SortFunc(pairs, func(a, b [2]uint64) int { return slices.Compare(a[:], b[:]) })
	for _, pair := range pairs {
		for len(s.links[pair]) > 0 && s.links[pair][0].arrival <= s.now {
			m := s.links[pair][0].Message
			s.links[pair] = s.links[pair][1:]
			if h := s.hosts[pair[1]]; h != nil {
				h.node.Step(m)
			}
		}
	}
}

// process does the pending work of a node; its disk takes no time.
func (s *replacementSim) process(id uint64) {
	n := s.hosts[id].node
	for r := n.Ready(); !r.IsEmpty(); r = n.Ready() {
		for _, m := range r.Messages {
			s.send(id, m)
		}
		for _, e := range r.CommittedEntries {
			s.checkCommitted(e)
		}
		n.Advance()
	}
}

// send queues a message behind those of its connection. Its packet may get lost, and so may
// each repetition.
func (s *replacementSim) send(from uint64, m raft.Message) {
	if s.hosts[m.To] == nil {
		return
	}
	pair := [2]uint64{from, m.To}
	arrival := s.now + simStep
	if queue := s.links[pair]; len(queue) > 0 {
		arrival = max(arrival, queue[len(queue)-1].arrival)
	}
	for wait := simRetransmission; s.rng.Float64() < s.lossRate; wait *= 2 {
		arrival += wait
	}
	s.links[pair] = append(s.links[pair], simMessage{m, arrival})
}

// checkCommitted checks that all hosts commit the same entry at an index.
func (s *replacementSim) checkCommitted(e raft.Entry) {
	change := uint64(0)
	if e.Kind == raft.EntryCommand {
		change = binary.BigEndian.Uint64(e.Data)
	}
	if known, ok := s.committed[e.Index]; ok && known != change && s.violation == nil {
		s.violation = fmt.Errorf("index %d has change %d, %d was committed", e.Index, change, known)
	}
	s.committed[e.Index] = change
	s.lastIndex = max(s.lastIndex, e.Index)
}

// join lets the leader add the hosts that belong to no group.
func (s *replacementSim) join() {
	l := s.hosts[s.leader()]
	if l == nil {
		return
	}
	for _, id := range s.ids() {
		if h := s.hosts[id]; h.node.IsNew() {
			_, _, _ = l.node.ProposeMembershipChange(raft.AddLearner, raft.Member{ID: id, Identity: h.identity, Address: fmt.Sprint(id)})
			s.process(s.leader())
		}
	}
}

// plan lets the leader make the next change, as Host.applyNextChange does, and reports whether
// it has one.
func (s *replacementSim) plan() bool {
	id := s.leader()
	if id == 0 {
		return false
	}
	next, ok := planMembership(s.memberStates(id), s.voters)
	if !ok {
		return false
	}
	kinds := map[replica.Action]raft.MembershipChange{replica.PromoteLearner: raft.PromoteLearner, replica.DemoteVoter: raft.DemoteVoter, replica.RemoveMember: raft.RemoveMember}
	_, _, _ = s.hosts[id].node.ProposeMembershipChange(kinds[next.action], raft.Member{ID: next.id})
	s.process(id)
	return true
}

// memberStates returns the members as the leader sees them, each in a data centre of its own.
func (s *replacementSim) memberStates(leader uint64) []memberState {
	return memberStates(s.status(leader), s.hosts[leader].leaving, func(address string) string { return address })
}

func (s *replacementSim) status(id uint64) replica.Status {
	from := s.hosts[id].node.Status()
	out := replica.Status{ID: id, Leader: from.Leader, MembersPending: from.MembersPending}
	for _, m := range from.Members {
		p := from.Progress[m.ID]
		out.Members = append(out.Members, replica.MemberStatus{
			Member: m, Match: p.Match, Silent: time.Duration(p.SilentTicks) * raftTick, CaughtUp: p.CaughtUp, Leaving: p.Leaving,
		})
	}
	return out
}

// hasLeft reports whether the host neither votes nor leads, as Host.Leave sees it.
func (s *replacementSim) hasLeft(id uint64) bool {
	return hasLeft(s.status(id))
}

// commitsWithin reports whether a leader commits a change that is proposed now, in time.
func (s *replacementSim) commitsWithin(d time.Duration) bool {
	first := s.lastChange
	for end := s.now + d; s.now < end; s.run(simStep) {
		if s.committed[s.lastIndex] > first+1 {
			return true
		}
	}
	return false
}
