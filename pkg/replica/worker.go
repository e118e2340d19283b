package replica

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/raft"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

const (
	maxBatchProposals  = 1024 // proposals in one write
	maxBatchBytes      = 4 << 20
	maxSenderAddresses = 64 // cached addresses of message senders
	// diskProbeInterval is how often a host whose disk is full tries a write.
	diskProbeInterval = 500 * time.Millisecond
)

// worker holds the state that only the worker goroutine uses.
type worker struct {
	*Replica
	log     *wal.Log
	node    *raft.Node
	machine StateMachine

	identity         uint64
	pendingProposals map[uint64]*proposal // by index of the entry
	readers          []chan outcome       // reads for the next ReadIndex call
	readsByID        map[uint64][]chan outcome
	lastReadID       uint64
	confirmedReads   []confirmedRead
	senderAddresses  map[uint64]string // of message senders, by identity

	appliedIndex          uint64
	role                  raft.Role
	term                  uint64
	diskFull              bool
	diskFullSince         time.Time
	lastDiskProbe         time.Time // last write that failed or probed a full disk
	writtenAtSnapshot     int64     // WrittenBytes of the log at the last attempt of a snapshot
	snapshotRefusedAt     time.Time // when the last attempt found no space, zero if it did not
	cachedSnapshotIndex   uint64
	cachedSnapshotData    []byte // of the snapshot being sent
	cachedSnapshotLastUse time.Time
	snapshotIndex         uint64
}

// confirmedRead is a read that a majority has confirmed and that waits until the
// state machine has applied index.
type confirmedRead struct {
	index   uint64
	readers []chan outcome
}

// recoverNode initialises the worker with the state machine and the Raft node
// restored from the durable content of the data folder.
func (w *worker) recoverNode(r *Replica, log *wal.Log, durable *wal.Recovered, m StateMachine) error {
	d, err := decodeRecovered(durable)
	if err != nil {
		return err
	}
	if d.meta.Index > 0 {
		if err := m.Restore(d.data); err != nil {
			return result.Wrap(result.LogDamaged, err, "snapshot %d cannot be restored", d.meta.Index)
		}
	}
	*w = worker{
		Replica: r, log: log, machine: m, identity: durable.Identity,
		node:             raft.New(nodeConfig(&r.config, durable.Identity, d)),
		pendingProposals: make(map[uint64]*proposal), readsByID: make(map[uint64][]chan outcome), senderAddresses: make(map[uint64]string),
		appliedIndex: d.meta.Index, snapshotIndex: d.meta.Index,
	}
	if durable.TornTailBytes > 0 {
		r.logger.Warnf("removed a torn write of %d bytes from the end of the log", durable.TornTailBytes)
	}
	r.logger.Infof("opened the log: %d entries after snapshot %d, term %d", len(d.entries), d.meta.Index, d.state.Term)
	if w.node.IsOnlyVoter() {
		w.node.Campaign()
	}
	return nil
}

// runEventLoop handles events until the replica is closed or a write fails
// permanently.
func (w *worker) runEventLoop() error {
	ticker := time.NewTicker(w.config.Tick)
	defer ticker.Stop()
	if err := w.processReady(); err != nil {
		return err
	}
	for {
		select {
		case <-w.stop:
			return nil
		case <-ticker.C:
			if err := w.probeFullDisk(); err != nil {
				return err
			}
			w.node.Tick()
			w.releaseIdleSnapshotData()
		case m := <-w.inbox:
			w.stepMessage(m)
		case p := <-w.proposals:
			w.proposeBatch(p)
		case f := <-w.workerCalls:
			f()
		}
		w.drainQueues()
		if err := w.processReady(); err != nil {
			return err
		}
	}
}

// drainQueues handles the messages and calls that arrived during the last write,
// so that one sync covers them all.
func (w *worker) drainQueues() {
	for range receiveQueueSize {
		select {
		case m := <-w.inbox:
			w.stepMessage(m)
			continue
		default:
		}
		break
	}
	for {
		select {
		case f := <-w.workerCalls:
			f()
			continue
		default:
		}
		break
	}
	w.startReadRound()
}

// stepMessage passes a received message to the node and caches the sender's address.
func (w *worker) stepMessage(m receivedMessage) {
	from := m.message.FromIdentity
	if m.address != "" && w.senderAddresses[from] != m.address {
		if len(w.senderAddresses) >= maxSenderAddresses {
			clear(w.senderAddresses)
		}
		w.senderAddresses[from] = m.address
	}
	w.node.Step(m.message)
}

// proposeBatch proposes the first proposal together with those queued behind it,
// up to maxBatchProposals and about maxBatchBytes.
func (w *worker) proposeBatch(first *proposal) {
	batch := []*proposal{first}
	bytes := len(first.command)
	for len(batch) < maxBatchProposals && bytes < maxBatchBytes {
		select {
		case p := <-w.proposals:
			batch = append(batch, p)
			bytes += len(p.command)
			continue
		default:
		}
		break
	}
	if err := w.checkAcceptsProposals(); err != nil {
		for _, p := range batch {
			p.done <- outcome{err: err}
		}
		return
	}
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.command
	}
	index, term, err := w.node.Propose(commands...)
	for i, p := range batch {
		if err != nil {
			p.done <- outcome{err: w.errNotLeader()}
			continue
		}
		p.term = term
		w.pendingProposals[index+uint64(i)] = p
	}
	w.metrics.batch.Update(int64(len(batch)))
}

// checkAcceptsProposals returns an error if this host is not the leader or too many
// proposals are pending. It returns DiskFull only if no leader is known, because
// another one may accept the command.
func (w *worker) checkAcceptsProposals() error {
	s := w.node.Status()
	switch {
	case s.Role == raft.Leader && len(w.pendingProposals) > maxPendingProposals:
		return result.New(result.NoQuorum, "%d commands are pending, the command was not accepted", len(w.pendingProposals))
	case s.Role == raft.Leader:
		return nil
	case w.diskFull && s.Leader == 0:
		return result.New(result.DiskFull, "the disk of the data folder is full, the command was not accepted")
	}
	return w.errNotLeader()
}

func (w *worker) errNotLeader() error {
	s := w.node.Status()
	return errNotLeader(s.Leader, w.leaderAddress(s))
}

func (w *worker) leaderAddress(s raft.Status) string {
	for _, m := range s.Members {
		if m.ID == s.Leader {
			return m.Address
		}
	}
	return ""
}

// failWaitingCallers fails the queued and pending proposals and reads when the
// worker ends.
func (w *worker) failWaitingCallers(cause error) {
	for {
		select {
		case p := <-w.proposals:
			p.done <- outcome{err: errStopping}
			continue
		default:
		}
		break
	}
	w.failPendingProposals(cause)
	w.failReads()
}

// failPendingProposals fails all pending proposals with an unknown outcome.
func (w *worker) failPendingProposals(cause error) {
	for index, p := range w.pendingProposals {
		delete(w.pendingProposals, index)
		p.done <- outcome{err: errOutcomeUnknown(cause)}
	}
}

// failReads fails all reads that are not served yet.
func (w *worker) failReads() {
	failed := outcome{err: result.New(result.NoQuorum, "the read was not confirmed by a majority")}
	waiting := w.readers
	for _, readers := range w.readsByID {
		waiting = append(waiting, readers...)
	}
	for _, u := range w.confirmedReads {
		waiting = append(waiting, u.readers...)
	}
	for _, done := range waiting {
		done <- failed
	}
	w.readers, w.confirmedReads = nil, nil
	clear(w.readsByID)
}

func (w *worker) queueReader(done chan outcome) { w.readers = append(w.readers, done) }

// startReadRound starts one ReadIndex request for all waiting reads.
func (w *worker) startReadRound() {
	if len(w.readers) == 0 {
		return
	}
	w.lastReadID++
	readers := w.readers
	w.readers = nil
	if err := w.node.ReadIndex(w.lastReadID); err != nil {
		for _, done := range readers {
			done <- outcome{err: w.errNotLeader()}
		}
		return
	}
	w.readsByID[w.lastReadID] = readers
}
