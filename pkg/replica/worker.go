package replica

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/raft"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

const (
	maxBatch      = 1024 // proposals in one write
	maxBatchBytes = 4 << 20
	maxAddresses  = 64 // remembered senders that are not members
)

// worker holds the state that only the worker goroutine uses.
type worker struct {
	*Replica
	log     *wal.Log
	node    *raft.Node
	machine Machine

	identity  uint64
	pending   map[uint64]*proposal // by index of the entry
	readers   []chan outcome       // not yet given to the node
	reading   map[uint64][]chan outcome
	readID    uint64
	unapplied []appliedWait
	addresses map[uint64]string // of senders, by identity

	applied       uint64
	role          raft.Role
	term          uint64
	diskFull      bool
	snapshotAt    int64 // written bytes at the last snapshot
	chunkIndex    uint64
	chunkData     []byte // of the snapshot that is being sent
	chunkUsed     time.Time
	snapshotIndex uint64
}

// appliedWait is a confirmed read that waits for the machine.
type appliedWait struct {
	index   uint64
	readers []chan outcome
}

func (w *worker) open(r *Replica, log *wal.Log, found *wal.Recovered, m Machine) error {
	d, err := decodeRecovered(found)
	if err != nil {
		return err
	}
	if d.meta.Index > 0 {
		if err := m.Restore(d.data); err != nil {
			return result.Wrap(result.LogDamaged, err, "snapshot %d cannot be restored", d.meta.Index)
		}
	}
	*w = worker{
		Replica: r, log: log, machine: m, identity: found.Identity,
		node:    raft.New(nodeConfig(&r.config, found.Identity, d)),
		pending: make(map[uint64]*proposal), reading: make(map[uint64][]chan outcome), addresses: make(map[uint64]string),
		applied: d.meta.Index, snapshotIndex: d.meta.Index,
	}
	if found.TornTail > 0 {
		r.logger.Warnf("cut %d bytes of an unfinished write off the log", found.TornTail)
	}
	r.logger.Infof("opened the log with %d entries after snapshot %d, term %d", len(d.entries), d.meta.Index, d.state.Term)
	if w.node.IsOnlyVoter() {
		w.node.Campaign()
	}
	return nil
}

// loop handles events until the replica is closed or its disk fails.
func (w *worker) loop() error {
	ticker := time.NewTicker(w.config.Tick)
	defer ticker.Stop()
	if err := w.process(); err != nil {
		return err
	}
	for {
		select {
		case <-w.stop:
			return nil
		case <-ticker.C:
			w.node.Tick()
			w.dropChunk()
		case m := <-w.inbox:
			w.step(m)
		case p := <-w.proposals:
			w.propose(p)
		case f := <-w.calls:
			f()
		}
		w.drain()
		if err := w.process(); err != nil {
			return err
		}
	}
}

// drain takes what arrived during the last write, so that one sync covers it
// all.
func (w *worker) drain() {
	for range queueReceived {
		select {
		case m := <-w.inbox:
			w.step(m)
			continue
		default:
		}
		break
	}
	for {
		select {
		case f := <-w.calls:
			f()
			continue
		default:
		}
		break
	}
	w.startRead()
}

func (w *worker) step(m received) {
	from := m.message.FromIdentity
	if m.address != "" && w.addresses[from] != m.address {
		if len(w.addresses) >= maxAddresses {
			clear(w.addresses)
		}
		w.addresses[from] = m.address
	}
	w.node.Step(m.message)
}

// propose gives the first proposal and all that wait behind it to the node.
func (w *worker) propose(first *proposal) {
	batch := []*proposal{first}
	bytes := len(first.command)
	for len(batch) < maxBatch && bytes < maxBatchBytes {
		select {
		case p := <-w.proposals:
			batch = append(batch, p)
			bytes += len(p.command)
			continue
		default:
		}
		break
	}
	if err := w.refusal(); err != nil {
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
			p.done <- outcome{err: w.notLeader()}
			continue
		}
		p.term = term
		w.pending[index+uint64(i)] = p
	}
	w.metrics.batch.Update(int64(len(batch)))
}

func (w *worker) refusal() error {
	s := w.node.Status()
	switch {
	case w.diskFull:
		return result.New(result.DiskFull, "the disk of the data folder is full; the command was not accepted")
	case s.Role != raft.Leader:
		return w.notLeader()
	case len(w.pending) > maxPending:
		return result.New(result.NoQuorum, "%d commands wait for a majority; the command was not accepted", len(w.pending))
	}
	return nil
}

func (w *worker) notLeader() error {
	s := w.node.Status()
	return notLeader(s.Leader, w.leaderAddress(s))
}

func (w *worker) leaderAddress(s raft.Status) string {
	for _, m := range s.Members {
		if m.ID == s.Leader {
			return m.Address
		}
	}
	return ""
}

// failAll answers everyone who waits when the worker ends.
func (w *worker) failAll(cause error) {
	for {
		select {
		case p := <-w.proposals:
			p.done <- outcome{err: errClosed}
			continue
		default:
		}
		break
	}
	w.failPending(cause)
	w.failReads()
}

func (w *worker) failPending(cause error) {
	for index, p := range w.pending {
		delete(w.pending, index)
		p.done <- outcome{err: errUnknown(cause)}
	}
}

func (w *worker) failReads() {
	failed := outcome{err: result.New(result.NoQuorum, "the read was not confirmed by a majority")}
	waiting := w.readers
	for _, readers := range w.reading {
		waiting = append(waiting, readers...)
	}
	for _, u := range w.unapplied {
		waiting = append(waiting, u.readers...)
	}
	for _, done := range waiting {
		done <- failed
	}
	w.readers, w.unapplied = nil, nil
	clear(w.reading)
}

func (w *worker) addReader(done chan outcome) { w.readers = append(w.readers, done) }

// startRead starts one confirmation round for all readers that wait.
func (w *worker) startRead() {
	if len(w.readers) == 0 {
		return
	}
	w.readID++
	readers := w.readers
	w.readers = nil
	if err := w.node.ReadIndex(w.readID); err != nil {
		for _, done := range readers {
			done <- outcome{err: w.notLeader()}
		}
		return
	}
	w.reading[w.readID] = readers
}
