package raft

// readQueue holds read requests until a majority confirms the leader.
type readQueue struct {
	last    uint64        // number of the last confirmation round
	pending []readRequest // ascending rounds
	waiting []uint64      // until an entry of the present term is committed
}

type readRequest struct {
	id    uint64
	index uint64
	round uint64
}

// ReadIndex starts a linearizable read. Ready returns its ReadState once a
// majority has confirmed that this node was still the leader after the call.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.committedInTerm() {
		// The commit index of a new leader may be behind that of its
		// predecessor until its own first entry is committed.
		n.reads.waiting = append(n.reads.waiting, id)
		return nil
	}
	n.startRead(id)
	n.broadcastHeartbeat()
	n.releaseReads()
	return nil
}

func (n *Node) startRead(id uint64) {
	n.reads.last++
	n.reads.pending = append(n.reads.pending, readRequest{id, n.log.commit, n.reads.last})
}

func (n *Node) startWaitingReads() {
	if len(n.reads.waiting) == 0 || !n.committedInTerm() {
		return
	}
	for _, id := range n.reads.waiting {
		n.startRead(id)
	}
	n.reads.waiting = nil
	n.broadcastHeartbeat()
	n.releaseReads()
}

func (n *Node) releaseReads() {
	for len(n.reads.pending) > 0 {
		r := n.reads.pending[0]
		confirmed := n.hasQuorum(func(m Member) bool {
			return n.isSelf(m) || n.progress[m.ID].readAck >= r.round
		})
		if !confirmed {
			return
		}
		n.released = append(n.released, ReadState{ID: r.id, Index: r.index})
		n.reads.pending = n.reads.pending[1:]
	}
}

func (n *Node) failReads() {
	for _, r := range n.reads.pending {
		n.released = append(n.released, ReadState{ID: r.id, Failed: true})
	}
	for _, id := range n.reads.waiting {
		n.released = append(n.released, ReadState{ID: id, Failed: true})
	}
	n.reads.pending, n.reads.waiting = nil, nil
}
