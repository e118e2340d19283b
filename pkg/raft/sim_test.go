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
	simMessageBytes  = 40 // fits one entry, so that crashes often fall between two entries
	simChunkBytes    = MaxSnapshotChunkBytes - 1
)

// host is one simulated host: a node, its disk and its state machine.
type host struct {
	id       uint64
	identity uint64
	node     *Node // nil while the host is down
	diskFull bool  // writes fail
	// stateFits lets a full disk take writes without entries and snapshots.
	stateFits bool
	paused    bool // no ticks and no messages, as after SIGSTOP

	// Durable state.
	hardState    HardState
	snapshot     SnapshotMeta
	snapshotData []byte
	entries      []Entry

	applied      []uint64 // applied commands in order; volatile
	appliedIndex uint64   // index of the last applied entry; volatile
}

// sim simulates a group of hosts and their network, and records violations of the
// safety properties.
type sim struct {
	rng            *rand.Rand
	hosts          map[uint64]*host
	hostIDs        []uint64
	network        []Message
	blockedLinks   map[[2]uint64]bool // by sender and recipient ID
	lastIdentity   uint64
	lastCommand    uint64
	minReadIndexes map[uint64]uint64 // by read ID: lowest index that the read may return
	lastReadID     uint64
	// logCheckInterval makes only each such check of a host compare its whole log, 0 for
	// every check.
	logCheckInterval, checks int
	eventCounts

	leaders        map[uint64]uint64    // identity of the leader by term
	entryChecksums map[[2]uint64]uint64 // by index and term
	committed      []Entry              // committed[i] has index i+1; applied by at least one host
	violation      error
}

func newSim(size int, seed uint64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), hosts: map[uint64]*host{}, blockedLinks: map[[2]uint64]bool{},
		minReadIndexes: map[uint64]uint64{}, leaders: map[uint64]uint64{}, entryChecksums: map[[2]uint64]uint64{},
	}
	var members []Member
	for id := uint64(1); id <= uint64(size); id++ {
		members = append(members, Member{ID: id, Identity: s.newIdentity(), Address: fmt.Sprint(id)})
		s.hostIDs = append(s.hostIDs, id)
	}
	for _, m := range members {
		h := &host{id: m.ID, identity: m.Identity}
		if m.ID == 1 {
			h.hardState, h.entries = HardState{Term: 1}, []Entry{BootstrapEntry(members)}
		}
		s.hosts[m.ID] = h
		s.startHost(h)
	}
	return s
}

func (s *sim) newIdentity() uint64 { s.lastIdentity++; return 1000 + s.lastIdentity }

func (s *sim) startHost(h *host) {
	h.appliedIndex, h.applied = h.snapshot.Index, decodeCommands(h.snapshotData)
	h.node = New(Config{
		ID: h.id, Identity: h.identity, ElectionTicks: simElectionTicks, HeartbeatTicks: 1,
		MaxMessageBytes: simMessageBytes, MaxInflightAppends: 3, Rand: s.rng.IntN,
		State: h.hardState, Snapshot: h.snapshot, Entries: slices.Clone(h.entries),
	})
}

// crashHost stops a host and loses its volatile state.
func (s *sim) crashHost(h *host) { h.node = nil; s.crashes++ }

// wipe gives the host an empty disk with a new identity.
func (s *sim) wipe(h *host) {
	s.wipes++
	*h = host{id: h.id, identity: s.newIdentity()}
	s.startHost(h)
}

func encodeCommands(list []uint64) []byte {
	var b []byte
	for _, v := range list {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	// The padding makes small snapshots take several chunks.
	return append(b, make([]byte, simChunkBytes)...)
}

func decodeCommands(b []byte) []uint64 {
	var list []uint64
	for ; len(b) >= 8+simChunkBytes; b = b[8:] {
		list = append(list, binary.LittleEndian.Uint64(b))
	}
	return list
}

// eventCounts counts the events of one or more runs.
type eventCounts struct {
	runs, steps, terms, committed, reads, wipes, installs, memberships, rollbacks, crashes int
}

func (c *eventCounts) add(s *sim) {
	c.runs++
	c.steps += s.steps
	c.terms += len(s.leaders)
	c.committed += len(s.committed)
	c.reads += s.eventCounts.reads
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

// crashPoint is the step of processReady at which a host crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSync
	afterSync
	afterSend
)

// processReady does the pending work of a node; crashAt injects a power failure.
func (s *sim) processReady(h *host, crashAt crashPoint) {
	for h.node != nil {
		r := h.node.Ready()
		s.checkSafety(h)
		if r.IsEmpty() {
			return
		}
		writes := r.State != nil || r.Snapshot != nil || len(r.Entries) > 0
		if writes && h.diskFull && !(h.stateFits && r.Snapshot == nil && len(r.Entries) == 0) {
			s.rollbacks++
			h.node.Rollback()
			continue
		}
		if crashAt == beforeSync {
			s.crashHost(h)
			return
		}
		s.persist(h, r)
		if crashAt == afterSync {
			s.crashHost(h)
			return
		}
		s.send(h, r)
		if crashAt == afterSend {
			s.crashHost(h)
			return
		}
		s.apply(h, r)
		h.node.Advance()
	}
}

func (s *sim) persist(h *host, r Ready) {
	if r.Snapshot != nil {
		h.snapshot, h.snapshotData, h.entries = r.Snapshot.Meta, r.Snapshot.Data, nil
	}
	if r.State != nil {
		h.hardState = *r.State
	}
	for _, e := range r.Entries {
		h.entries = append(h.entries[:e.Index-h.snapshot.Index-1:e.Index-h.snapshot.Index-1], e)
	}
}

func (s *sim) send(h *host, r Ready) {
	for _, m := range r.Messages {
		s.checkMessageSize(m)
		if m.Kind == MsgSnapshotChunk {
			if m.Snapshot.Index != h.snapshot.Index {
				s.recordViolation("chunk of snapshot %d, but the disk holds snapshot %d", m.Snapshot.Index, h.snapshot.Index)
			}
			FillSnapshotChunk(&m, h.snapshotData)
		}
		s.network = append(s.network, m)
	}
}

func (s *sim) apply(h *host, r Ready) {
	if r.Snapshot != nil {
		s.installs++
		h.appliedIndex, h.applied = r.Snapshot.Meta.Index, decodeCommands(r.Snapshot.Data)
		s.checkRestoredState(h)
	}
	for _, e := range r.CommittedEntries {
		s.checkCommitted(h, e)
		h.appliedIndex = e.Index
		if e.Kind == EntryCommand {
			h.applied = append(h.applied, binary.LittleEndian.Uint64(e.Data))
		}
	}
	for _, read := range r.ReadStates {
		if want, ok := s.minReadIndexes[read.ID]; ok && !read.Failed {
			s.eventCounts.reads++
			if read.Index < want {
				s.recordViolation("read %d returned index %d, but %d was committed before it started", read.ID, read.Index, want)
			}
		}
		delete(s.minReadIndexes, read.ID)
	}
}

// compact takes a snapshot at the applied index and compacts the log.
func (s *sim) compact(h *host) {
	if h.node == nil || h.diskFull || h.appliedIndex <= h.snapshot.Index {
		return
	}
	meta := h.node.SnapshotMeta(h.appliedIndex)
	h.entries = slices.Clone(h.entries[h.appliedIndex-h.snapshot.Index:])
	h.snapshot, h.snapshotData = meta, encodeCommands(h.applied)
	h.node.Compact(h.appliedIndex, h.appliedIndex-uint64(s.rng.IntN(3)))
}

// deliver delivers message i of the network unless its link is blocked or the
// host is down or paused. The message stays in the network if keep is set.
func (s *sim) deliver(i int, keep bool) {
	m := s.network[i]
	if !keep {
		s.network = slices.Delete(s.network, i, i+1)
	}
	h := s.hosts[m.To]
	if h == nil || h.node == nil || h.paused || s.blockedLinks[[2]uint64{m.From, m.To}] {
		return
	}
	h.node.Step(m)
}

func (s *sim) propose(h *host) {
	s.lastCommand++
	h.node.Propose(binary.LittleEndian.AppendUint64(nil, s.lastCommand))
}

func (s *sim) read(h *host) {
	s.lastReadID++
	s.minReadIndexes[s.lastReadID] = uint64(len(s.committed))
	if h.node.ReadIndex(s.lastReadID) != nil {
		delete(s.minReadIndexes, s.lastReadID)
	}
}

// healAndRun ends all faults, restarts crashed hosts and runs the group for the
// given rounds.
func (s *sim) healAndRun(rounds int) {
	clear(s.blockedLinks)
	for _, id := range s.hostIDs {
		h := s.hosts[id]
		h.diskFull, h.paused = false, false
		if h.node == nil {
			s.startHost(h)
		}
	}
	s.runRounds(rounds)
}

// runRounds ticks every host and delivers every queued message in order, once per
// round.
func (s *sim) runRounds(rounds int) {
	for range rounds {
		for _, id := range s.hostIDs {
			if h := s.hosts[id]; h.node != nil && !h.paused {
				h.node.Tick()
				s.processReady(h, noCrash)
			}
		}
		for n := len(s.network); n > 0; n-- {
			to := s.network[0].To
			s.deliver(0, false)
			s.processReady(s.hosts[to], noCrash)
		}
	}
}

// leader returns the leader of the highest term, nil if there is none.
func (s *sim) leader() *host {
	var best *host
	for _, id := range s.hostIDs {
		h := s.hosts[id]
		if h.node != nil && h.node.role == Leader && (best == nil || h.node.hardState.Term > best.node.hardState.Term) {
			best = h
		}
	}
	return best
}

// recordViolation records the first violation of a safety property.
func (s *sim) recordViolation(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

func (s *sim) describe() string {
	var b strings.Builder
	for _, id := range s.hostIDs {
		h := s.hosts[id]
		fmt.Fprintf(&b, "host %d identity %d snapshot %d", id, h.identity, h.snapshot.Index)
		if h.node != nil {
			n := h.node
			fmt.Fprintf(&b, " %v %+v log %d to %d commit %d members %v", n.role, n.hardState, n.log.compactedIndex, n.log.last(), n.log.commitIndex, n.log.members())
		}
		b.WriteString("\n")
	}
	return b.String()
}
