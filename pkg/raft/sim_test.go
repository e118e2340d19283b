package raft

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

const (
	simElectionTicks = 4
	simMessageBytes  = 40 // one entry, so that a crash often comes between two
	simChunkBytes    = SnapshotChunkBytes - 1
)

// host is one simulated host: a node, its disk and its machine.
type host struct {
	id       uint64
	identity uint64
	node     *Node // nil while it is down
	noSpace  bool  // the disk refuses writes
	paused   bool  // no time passes and no message arrives (SIGSTOP)

	// Durable content.
	state    HardState
	snapshot SnapshotMeta
	data     []byte
	entries  []Entry

	applied []uint64 // commands in order; volatile
	index   uint64   // last applied entry
}

// sim is a group of hosts, a network and the oracle of the safety rules.
type sim struct {
	rng       *rand.Rand
	hosts     map[uint64]*host
	ids       []uint64
	net       []Message
	cut       map[[2]uint64]bool
	identity  uint64
	command   uint64
	openReads map[uint64]uint64 // read id to the least index it must have
	readID    uint64
	counts

	leaders   map[uint64]uint64 // term to identity
	known     map[[2]uint64]uint64
	committed []Entry // [i] has index i+1, applied by any host
	fault     error
}

func newSim(size int, seed uint64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), hosts: map[uint64]*host{}, cut: map[[2]uint64]bool{},
		openReads: map[uint64]uint64{}, leaders: map[uint64]uint64{}, known: map[[2]uint64]uint64{},
	}
	var members []Member
	for id := uint64(1); id <= uint64(size); id++ {
		members = append(members, Member{ID: id, Identity: s.newIdentity(), Address: fmt.Sprint(id)})
		s.ids = append(s.ids, id)
	}
	for _, m := range members {
		h := &host{id: m.ID, identity: m.Identity}
		if m.ID == 1 {
			h.state, h.entries = HardState{Term: 1}, []Entry{FoundingEntry(members)}
		}
		s.hosts[m.ID] = h
		s.start(h)
	}
	return s
}

func (s *sim) newIdentity() uint64 { s.identity++; return 1000 + s.identity }

func (s *sim) start(h *host) {
	h.index, h.applied = h.snapshot.Index, decodeList(h.data)
	h.node = New(Config{
		ID: h.id, Identity: h.identity, ElectionTicks: simElectionTicks, HeartbeatTicks: 1,
		MaxMessageBytes: simMessageBytes, MaxInflight: 3, Rand: s.rng.IntN,
		State: h.state, Snapshot: h.snapshot, Entries: slices.Clone(h.entries),
	})
}

// crash stops a host; everything that was not synced is lost.
func (s *sim) crash(h *host) { h.node = nil; s.crashes++ }

// wipe gives the host an empty disk with a new identity.
func (s *sim) wipe(h *host) {
	s.wipes++
	*h = host{id: h.id, identity: s.newIdentity()}
	s.start(h)
}

func encodeList(list []uint64) []byte {
	var b []byte
	for _, v := range list {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	// The filler makes small snapshots take several chunks.
	return append(b, make([]byte, simChunkBytes)...)
}

func decodeList(b []byte) []uint64 {
	var list []uint64
	for ; len(b) >= 8+simChunkBytes; b = b[8:] {
		list = append(list, binary.LittleEndian.Uint64(b))
	}
	return list
}

// counts tells how much of each event happened.
type counts struct {
	runs, steps, terms, committed, reads, wipes, installs, memberships, rollbacks, crashes int
}

func (c *counts) add(s *sim) {
	c.runs++
	c.steps += s.steps
	c.terms += len(s.leaders)
	c.committed += len(s.committed)
	c.reads += s.counts.reads
	c.wipes += s.wipes
	c.installs += s.installs
	c.rollbacks += s.rollbacks
	c.crashes += s.crashes
	for _, e := range s.committed {
		if e.Kind == EntryMembership {
			c.memberships++
		}
	}
}

// stopAt is the step of the ready loop after which a host crashes.
type stopAt int

const (
	runAll stopAt = iota
	beforeSync
	afterSync
	afterSend
)

// ready does the work of a node; stop injects a power failure in between.
func (s *sim) ready(h *host, stop stopAt) {
	for h.node != nil {
		r := h.node.Ready()
		s.checkNode(h)
		if r.Empty() {
			return
		}
		writes := r.State != nil || r.Snapshot != nil || len(r.Entries) > 0
		if writes && h.noSpace {
			s.rollbacks++
			h.node.Rollback()
			continue
		}
		if stop == beforeSync {
			s.crash(h)
			return
		}
		s.persist(h, r)
		if stop == afterSync {
			s.crash(h)
			return
		}
		s.send(h, r)
		if stop == afterSend {
			s.crash(h)
			return
		}
		s.apply(h, r)
		h.node.Advance()
	}
}

func (s *sim) persist(h *host, r Ready) {
	if r.Snapshot != nil {
		h.snapshot, h.data, h.entries = r.Snapshot.Meta, r.Snapshot.Data, nil
	}
	if r.State != nil {
		h.state = *r.State
	}
	for _, e := range r.Entries {
		h.entries = append(h.entries[:e.Index-h.snapshot.Index-1:e.Index-h.snapshot.Index-1], e)
	}
}

func (s *sim) send(h *host, r Ready) {
	for _, m := range r.Messages {
		s.checkSize(m)
		if m.Kind == MsgSnapshotChunk {
			if m.Snapshot.Index != h.snapshot.Index {
				s.fail("chunk of snapshot %d, the disk has %d", m.Snapshot.Index, h.snapshot.Index)
			}
			FillChunk(&m, h.data)
		}
		s.net = append(s.net, m)
	}
}

func (s *sim) apply(h *host, r Ready) {
	if r.Snapshot != nil {
		s.installs++
		h.index, h.applied = r.Snapshot.Meta.Index, decodeList(r.Snapshot.Data)
		s.checkApplied(h)
	}
	for _, e := range r.Committed {
		s.checkCommitted(h, e)
		h.index = e.Index
		if e.Kind == EntryCommand {
			h.applied = append(h.applied, binary.LittleEndian.Uint64(e.Data))
		}
	}
	for _, read := range r.Reads {
		if want, ok := s.openReads[read.ID]; ok && !read.Failed {
			s.counts.reads++
			if read.Index < want {
				s.fail("read %d released at %d, but %d was committed before it", read.ID, read.Index, want)
			}
		}
		delete(s.openReads, read.ID)
	}
}

// compact takes a snapshot of everything applied.
func (s *sim) compact(h *host) {
	if h.node == nil || h.noSpace || h.index <= h.snapshot.Index {
		return
	}
	meta := h.node.SnapshotMeta(h.index)
	h.entries = slices.Clone(h.entries[h.index-h.snapshot.Index:])
	h.snapshot, h.data = meta, encodeList(h.applied)
	h.node.Compact(h.index, h.index-uint64(s.rng.IntN(3)))
}

// deliver hands over message i of the network unless the link is cut.
func (s *sim) deliver(i int, keep bool) {
	m := s.net[i]
	if !keep {
		s.net = slices.Delete(s.net, i, i+1)
	}
	h := s.hosts[m.To]
	if h == nil || h.node == nil || h.paused || s.cut[[2]uint64{m.From, m.To}] {
		return
	}
	h.node.Step(m)
}

func (s *sim) propose(h *host) {
	s.command++
	h.node.Propose(binary.LittleEndian.AppendUint64(nil, s.command))
}

func (s *sim) read(h *host) {
	s.readID++
	s.openReads[s.readID] = uint64(len(s.committed))
	if h.node.ReadIndex(s.readID) != nil {
		delete(s.openReads, s.readID)
	}
}

// settle repairs all faults and runs the group until it is quiet.
func (s *sim) settle(rounds int) {
	clear(s.cut)
	for _, id := range s.ids {
		h := s.hosts[id]
		h.noSpace, h.paused = false, false
		if h.node == nil {
			s.start(h)
		}
	}
	s.run(rounds)
}

// run ticks every host and delivers every message in order, once per round.
func (s *sim) run(rounds int) {
	for range rounds {
		for _, id := range s.ids {
			if h := s.hosts[id]; h.node != nil && !h.paused {
				h.node.Tick()
				s.ready(h, runAll)
			}
		}
		for n := len(s.net); n > 0; n-- {
			to := s.net[0].To
			s.deliver(0, false)
			s.ready(s.hosts[to], runAll)
		}
	}
}

func (s *sim) leader() *host {
	var best *host
	for _, id := range s.ids {
		h := s.hosts[id]
		if h.node != nil && h.node.role == Leader && (best == nil || h.node.state.Term > best.node.state.Term) {
			best = h
		}
	}
	return best
}

func (s *sim) fail(format string, args ...any) {
	if s.fault == nil {
		s.fault = fmt.Errorf(format, args...)
	}
}

func (s *sim) describe() string {
	var b strings.Builder
	for _, id := range s.ids {
		h := s.hosts[id]
		fmt.Fprintf(&b, "host %d identity %d snapshot %d", id, h.identity, h.snapshot.Index)
		if h.node != nil {
			n := h.node
			fmt.Fprintf(&b, " %v %+v log %d to %d commit %d members %v", n.role, n.state, n.log.base, n.log.last(), n.log.commit, n.log.members())
		}
		b.WriteString("\n")
	}
	return b.String()
}
