package raft

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// entryChecksum returns a checksum of an entry and the term of the entry before
// it.
func entryChecksum(previousTerm uint64, e Entry) uint64 {
	d := xxhash.New()
	for _, v := range []uint64{previousTerm, e.Index, e.Term, uint64(e.Kind)} {
		d.Write([]byte{byte(v), byte(v >> 8), byte(v >> 16), byte(v >> 24), byte(v >> 32), byte(v >> 40), byte(v >> 48), byte(v >> 56)})
	}
	d.Write(e.Data)
	return d.Sum64()
}

// checkSafety checks election safety, log matching and leader completeness (Raft
// paper, figure 3).
func (s *sim) checkSafety(h *host) {
	n := h.node
	if s.checks++; s.logCheckInterval == 0 || s.checks%s.logCheckInterval == 0 {
		s.checkLogMatching(n)
	}
	if n.role != Leader {
		return
	}
	owner, seen := s.leaders[n.hardState.Term]
	if seen && owner != n.cfg.Identity {
		s.recordViolation("term %d has two leaders: identities %d and %d", n.hardState.Term, owner, n.cfg.Identity)
	}
	if seen {
		return
	}
	s.leaders[n.hardState.Term] = n.cfg.Identity
	for i := n.log.compactedIndex; i < uint64(len(s.committed)); i++ {
		if !n.log.matchesTerm(i+1, s.committed[i].Term) {
			s.recordViolation("leader %d of term %d lacks committed entry %d", n.cfg.ID, n.hardState.Term, i+1)
			return
		}
	}
}

// checkLogMatching checks that entries with the same index and term have the same
// content and the same preceding entry.
func (s *sim) checkLogMatching(n *Node) {
	previousTerm := n.log.compactedTerm
	for _, e := range n.log.entries {
		key := [2]uint64{e.Index, e.Term}
		checksum := entryChecksum(previousTerm, e)
		if old, ok := s.entryChecksums[key]; ok && old != checksum {
			s.recordViolation("entries with index %d and term %d differ", e.Index, e.Term)
		}
		s.entryChecksums[key] = checksum
		previousTerm = e.Term
	}
}

// checkCommitted checks that a host applies entries without a gap and the same
// entry at an index as every other host.
func (s *sim) checkCommitted(h *host, e Entry) {
	if e.Index != h.appliedIndex+1 {
		s.recordViolation("host %d applies entry %d after entry %d", h.id, e.Index, h.appliedIndex)
		return
	}
	if e.Index > uint64(len(s.committed)) {
		s.committed = append(s.committed, e)
		return
	}
	if c := s.committed[e.Index-1]; c.Term != e.Term || !slices.Equal(c.Data, e.Data) {
		s.recordViolation("host %d applies a different entry at index %d (term %d, another host: term %d)", h.id, e.Index, e.Term, c.Term)
	}
}

// checkRestoredState compares a restored state machine with the committed commands up
// to its index.
func (s *sim) checkRestoredState(h *host) {
	var want []uint64
	for _, e := range s.committed[:min(h.appliedIndex, uint64(len(s.committed)))] {
		if e.Kind == EntryCommand {
			want = append(want, decodeCommand(e))
		}
	}
	if !slices.Equal(want, h.applied) {
		s.recordViolation("state of host %d at index %d differs from the log", h.id, h.appliedIndex)
	}
}

// checkMessageSize checks the size limit of messages, which only a single entry may
// exceed.
func (s *sim) checkMessageSize(m Message) {
	size := 0
	for _, e := range m.Entries {
		size += approxEntryBytes(e)
	}
	if len(m.Entries) > 1 && size > simMessageBytes {
		s.recordViolation("message size %d bytes", size)
	}
}

func decodeCommand(e Entry) uint64 {
	v := uint64(0)
	for i, b := range e.Data {
		v |= uint64(b) << (8 * i)
	}
	return v
}
