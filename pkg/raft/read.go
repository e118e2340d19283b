package raft

// readQueue holds the ReadIndex requests that a majority has not confirmed yet.
type readQueue struct {
	lastRound          uint64        // number of the last confirmation round
	awaitingQuorum     []readRequest // in ascending order of rounds
	awaitingTermCommit []uint64      // request IDs that wait for the first commit of the current term
}

type readRequest struct {
	id    uint64
	index uint64
	round uint64
}

// ReadIndex starts a linearizable read. Ready returns a ReadState with this id
// once a majority has confirmed that this node was still the leader after the
// call. It returns ErrNotLeader on other nodes.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.hasCommittedInTerm() {
		// Until its first entry is committed, the commit index of a new leader
		// may be lower than that of its predecessor.
		n.reads.awaitingTermCommit = append(n.reads.awaitingTermCommit, id)
		return nil
	}
	n.startReadRound(id)
	n.broadcastHeartbeat()
	n.completeConfirmedReads()
	return nil
}

// startReadRound starts a confirmation round for a read at the commit index.
func (n *Node) startReadRound(id uint64) {
	n.reads.lastRound++
	n.reads.awaitingQuorum = append(n.reads.awaitingQuorum, readRequest{id, n.log.commitIndex, n.reads.lastRound})
}

// startDeferredReads starts the reads that waited for the first commit of the
// current term.
func (n *Node) startDeferredReads() {
	if len(n.reads.awaitingTermCommit) == 0 || !n.hasCommittedInTerm() {
		return
	}
	for _, id := range n.reads.awaitingTermCommit {
		n.startReadRound(id)
	}
	n.reads.awaitingTermCommit = nil
	n.broadcastHeartbeat()
	n.completeConfirmedReads()
}

// completeConfirmedReads completes the reads whose round a majority has
// acknowledged.
func (n *Node) completeConfirmedReads() {
	for len(n.reads.awaitingQuorum) > 0 {
		r := n.reads.awaitingQuorum[0]
		confirmed := n.hasQuorum(func(m Member) bool {
			return n.isSelf(m) || n.progress[m.ID].acknowledgedReadRound >= r.round
		})
		if !confirmed {
			return
		}
		n.completedReads = append(n.completedReads, ReadState{ID: r.id, Index: r.index})
		n.reads.awaitingQuorum = n.reads.awaitingQuorum[1:]
	}
}

func (n *Node) failReads() {
	for _, r := range n.reads.awaitingQuorum {
		n.completedReads = append(n.completedReads, ReadState{ID: r.id, Failed: true})
	}
	for _, id := range n.reads.awaitingTermCommit {
		n.completedReads = append(n.completedReads, ReadState{ID: id, Failed: true})
	}
	n.reads.awaitingQuorum, n.reads.awaitingTermCommit = nil, nil
}
