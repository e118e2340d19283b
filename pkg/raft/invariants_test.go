package raft

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sumOf chains the content of an entry to everything before it.
func sumOf(before uint64, e Entry) uint64 {
	d := xxhash.New()
	for _, v := range []uint64{before, e.Index, e.Term, uint64(e.Kind)} {
		d.Write([]byte{byte(v), byte(v >> 8), byte(v >> 16), byte(v >> 24), byte(v >> 32), byte(v >> 40), byte(v >> 48), byte(v >> 56)})
	}
	d.Write(e.Data)
	return d.Sum64()
}

// checkNode checks election safety, log matching and leader completeness.
func (s *sim) checkNode(h *host) {
	n := h.node
	s.checkLogMatching(n)
	if n.role != Leader {
		return
	}
	owner, seen := s.leaders[n.state.Term]
	if seen && owner != n.cfg.Identity {
		s.fail("term %d has the leaders %d and %d", n.state.Term, owner, n.cfg.Identity)
	}
	if seen {
		return
	}
	s.leaders[n.state.Term] = n.cfg.Identity
	for i := n.log.base; i < uint64(len(s.committed)); i++ {
		if !n.log.matches(i+1, s.committed[i].Term) {
			s.fail("leader %d of term %d misses the committed entry %d", n.cfg.ID, n.state.Term, i+1)
			return
		}
	}
}

// checkLogMatching: equal index and term mean equal content and an equal
// entry before it.
func (s *sim) checkLogMatching(n *Node) {
	previous := n.log.baseTerm
	for _, e := range n.log.entries {
		key := [2]uint64{e.Index, e.Term}
		sum := sumOf(previous, e)
		if old, ok := s.known[key]; ok && old != sum {
			s.fail("two entries with index %d and term %d differ", e.Index, e.Term)
		}
		s.known[key] = sum
		previous = e.Term
	}
}

// checkCommitted: every host applies the same entry at an index.
func (s *sim) checkCommitted(h *host, e Entry) {
	if e.Index != h.index+1 {
		s.fail("host %d applies %d after %d", h.id, e.Index, h.index)
		return
	}
	if e.Index > uint64(len(s.committed)) {
		s.committed = append(s.committed, e)
		return
	}
	if c := s.committed[e.Index-1]; c.Term != e.Term || !slices.Equal(c.Data, e.Data) {
		s.fail("host %d applies another entry at %d (term %d, before it was term %d)", h.id, e.Index, e.Term, c.Term)
	}
}

// checkApplied compares a restored machine with the commands up to its index.
func (s *sim) checkApplied(h *host) {
	var want []uint64
	for _, e := range s.committed[:min(h.index, uint64(len(s.committed)))] {
		if e.Kind == EntryCommand {
			want = append(want, commandOf(e))
		}
	}
	if !slices.Equal(want, h.applied) {
		s.fail("host %d has another state at %d than the log", h.id, h.index)
	}
}

// checkSize: messages are bounded, except for one large entry.
func (s *sim) checkSize(m Message) {
	size := 0
	for _, e := range m.Entries {
		size += entryBytes(e)
	}
	if len(m.Entries) > 1 && size > simMessageBytes {
		s.fail("message with %d bytes", size)
	}
}

func commandOf(e Entry) uint64 {
	v := uint64(0)
	for i, b := range e.Data {
		v |= uint64(b) << (8 * i)
	}
	return v
}
