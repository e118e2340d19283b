package replica

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/raft"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

// snapshotDataIdleTimeout is how long the data of a sent snapshot stays in memory
// after its last use.
const snapshotDataIdleTimeout = 10 * time.Second

// snapshotRetryInterval is how often a snapshot that found no space is tried again.
const snapshotRetryInterval = 5 * time.Second

// processReady does the pending work of the node until there is none, takes a
// snapshot if one is due and publishes the status.
func (w *worker) processReady() error {
	for {
		rd := w.node.Ready()
		if rd.IsEmpty() {
			break
		}
		err := w.persistReady(rd)
		if code, _ := result.CodeOf(err); code == result.DiskFull {
			w.handleDiskFull(err)
			continue
		}
		if err != nil {
			return err
		}
		w.send(rd.Messages)
		if err := w.applyReady(rd); err != nil {
			return err
		}
		w.node.Advance()
		w.updateRole()
	}
	w.updateRole()
	err := w.maybeSnapshot()
	w.publishStatus()
	return err
}

// persistReady makes Snapshot, Entries and State of rd durable with one log sync.
func (w *worker) persistReady(rd raft.Ready) error {
	if rd.Snapshot != nil {
		s, err := encodeSnapshot(rd.Snapshot.Meta, rd.Snapshot.Data)
		if err != nil {
			return err
		}
		if err := w.log.SaveSnapshot(s); err != nil {
			return err
		}
		w.log.Append(wal.Record{Kind: wal.KindReset, Index: s.Index, Term: s.Term})
	}
	for _, e := range rd.Entries {
		record, err := encodeEntry(e)
		if err != nil {
			return err
		}
		w.log.Append(record)
	}
	if rd.State != nil {
		record, err := encodeHardState(*rd.State)
		if err != nil {
			return err
		}
		w.log.Append(record)
	}
	if rd.Snapshot == nil && len(rd.Entries) == 0 && rd.State == nil {
		return nil
	}
	return w.sync()
}

func (w *worker) sync() error {
	start := time.Now()
	if err := w.log.Sync(); err != nil {
		return err
	}
	w.metrics.sync.UpdateSince(start)
	w.endDiskFull()
	return nil
}

// endDiskFull records that a write succeeded.
func (w *worker) endDiskFull() {
	if !w.diskFull {
		return
	}
	w.diskFull = false
	w.metrics.diskFull.Update(0)
	w.logger.Infof("the disk has space again, the first write failed %s ago", time.Since(w.diskFullSince).Round(time.Millisecond))
}

// probeFullDisk writes the hard state again if the last write failed for lack of space,
// at most each diskProbeInterval. Without it, a host that has nothing else to write
// would not notice that its disk has space again. All work of the node must be done, so
// that its state is the durable one.
func (w *worker) probeFullDisk() error {
	if !w.diskFull || time.Since(w.lastDiskProbe) < diskProbeInterval {
		return nil
	}
	w.lastDiskProbe = time.Now()
	record, err := encodeHardState(w.node.Status().State)
	if err != nil {
		return err
	}
	w.log.Append(record)
	err = w.sync()
	if code, _ := result.CodeOf(err); code == result.DiskFull {
		return nil
	}
	return err
}

// handleDiskFull rolls the node back and rejects the commands whose entries are in no
// log. The outcome of other pending commands is unknown, because this host steps down
// and their entries may be in the log of other members, or in its own after a power
// failure.
func (w *worker) handleDiskFull(cause error) {
	if !w.diskFull {
		w.logger.WithError(cause).Error("the disk is full, new commands are rejected")
		w.diskFull, w.diskFullSince = true, time.Now()
		w.metrics.diskFull.Update(1)
	}
	w.metrics.fullWrites.Inc(1)
	w.lastDiskProbe = time.Now()
	w.node.Rollback()
	last := w.node.Status().LastIndex
	for index, p := range w.pendingProposals {
		if index > last && !wal.MayBeWritten(cause) {
			delete(w.pendingProposals, index)
			p.done <- outcome{err: result.Wrap(result.DiskFull, cause, "the command was not accepted")}
		}
	}
	w.failPendingProposals(cause)
	w.failReads()
	w.updateRole()
}

func (w *worker) send(messages []raft.Message) {
	for _, m := range messages {
		if m.Kind == raft.MsgSnapshotChunk && !w.fillSnapshotChunk(&m) {
			continue
		}
		address := w.addressOf(m)
		if address == "" {
			continue
		}
		b, err := encodeMessage(m, w.replyAddress(m))
		if err != nil {
			w.logger.WithError(err).Error("raft message cannot be encoded")
			continue
		}
		w.transport.send(address, &apiv1.RaftEnvelope{From: m.From, To: m.To, Message: b})
	}
}

// addressOf returns the address of the recipient of m, "" if unknown. The latest
// membership takes precedence. A new member responds to a leader that its own
// membership does not list yet, at the address that came with the message.
func (w *worker) addressOf(m raft.Message) string {
	for _, member := range w.node.Members() {
		if member.ID == m.To && member.Identity == m.ToIdentity {
			return member.Address
		}
	}
	return w.senderAddresses[m.ToIdentity]
}

// replyAddress returns the address to send with m, to which the recipient
// responds. Heartbeat responses carry none, because a leader knows the addresses
// of its members. Heartbeats carry it: if the first append was lost, a new member
// knows the leader only from a heartbeat.
func (w *worker) replyAddress(m raft.Message) string {
	if m.Kind == raft.MsgHeartbeatResponse {
		return ""
	}
	return w.config.Address
}

// fillSnapshotChunk adds the data to a snapshot chunk. It returns false if the
// snapshot cannot be read.
func (w *worker) fillSnapshotChunk(m *raft.Message) bool {
	if w.cachedSnapshotIndex != m.Snapshot.Index {
		s, err := w.log.ReadSnapshot(m.Snapshot.Index)
		if err != nil {
			w.logger.WithError(err).Warnf("snapshot %d cannot be read", m.Snapshot.Index)
			return false
		}
		w.cachedSnapshotIndex, w.cachedSnapshotData = s.Index, s.Data
		w.logger.Infof("sending snapshot %d to member %d", s.Index, m.To)
	}
	w.cachedSnapshotLastUse = time.Now()
	raft.FillSnapshotChunk(m, w.cachedSnapshotData)
	return true
}

// releaseIdleSnapshotData frees the cached snapshot after
// snapshotDataIdleTimeout without use.
func (w *worker) releaseIdleSnapshotData() {
	if w.cachedSnapshotData != nil && time.Since(w.cachedSnapshotLastUse) > snapshotDataIdleTimeout {
		w.cachedSnapshotIndex, w.cachedSnapshotData = 0, nil
	}
}

// applyReady restores a received snapshot, applies committed entries and completes
// reads.
func (w *worker) applyReady(rd raft.Ready) error {
	if rd.Snapshot != nil {
		if err := w.restoreSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range rd.CommittedEntries {
		var value any
		if e.Kind == raft.EntryCommand {
			value = w.machine.Apply(e.Index, e.Data)
		}
		w.appliedIndex = e.Index
		w.completeProposal(e, value)
	}
	w.metrics.commits.Mark(int64(len(rd.CommittedEntries)))
	w.completeReads(rd.ReadStates)
	return nil
}

// restoreSnapshot replaces the state machine by a received snapshot, which is
// durable already, and compacts the log.
func (w *worker) restoreSnapshot(s *raft.Snapshot) error {
	if err := w.machine.Restore(s.Data); err != nil {
		return result.Wrap(result.LogDamaged, err, "snapshot %d of another member cannot be restored", s.Meta.Index)
	}
	w.appliedIndex, w.snapshotIndex = s.Meta.Index, s.Meta.Index
	w.writtenAtSnapshot, w.snapshotRefusedAt = w.log.WrittenBytes(), time.Time{}
	w.metrics.restored.Inc(1)
	w.logger.Infof("restored snapshot %d of another member", s.Meta.Index)
	return w.log.Compact(s.Meta.Index)
}

// completeProposal passes the result of an applied entry to its proposer. If the
// entry at this index has another term than the proposed one, the outcome is
// unknown.
func (w *worker) completeProposal(e raft.Entry, value any) {
	p := w.pendingProposals[e.Index]
	if p == nil {
		return
	}
	delete(w.pendingProposals, e.Index)
	if p.term != e.Term {
		p.done <- outcome{err: errOutcomeUnknown(nil)}
		return
	}
	p.done <- outcome{value: value}
}

func (w *worker) completeReads(states []raft.ReadState) {
	for _, s := range states {
		readers := w.readsByID[s.ID]
		delete(w.readsByID, s.ID)
		if s.Failed {
			for _, done := range readers {
				done <- outcome{err: result.New(result.NoQuorum, "the leader changed during the read")}
			}
			continue
		}
		w.confirmedReads = append(w.confirmedReads, confirmedRead{s.Index, readers})
	}
	for len(w.confirmedReads) > 0 && w.confirmedReads[0].index <= w.appliedIndex {
		for _, done := range w.confirmedReads[0].readers {
			done <- outcome{}
		}
		w.confirmedReads = w.confirmedReads[1:]
	}
}

// updateRole records and logs role changes. When this host stops being the
// leader, pending commands fail with an unknown outcome, because the next leader
// may or may not have them in its log.
func (w *worker) updateRole() {
	s := w.node.Status()
	if s.Role == w.role && s.State.Term == w.term {
		return
	}
	if w.role == raft.Leader {
		w.failPendingProposals(nil)
	}
	switch {
	case s.Role == raft.Leader:
		w.metrics.elections.Inc(1)
		w.logger.Infof("became leader in term %d", s.State.Term)
	case w.role == raft.Leader:
		w.logger.Infof("stepped down as leader in term %d", s.State.Term)
	}
	w.role, w.term = s.Role, s.State.Term
}

// maybeSnapshot takes a snapshot and compacts the log when the log has grown by
// SnapshotThresholdBytes. If the disk is full, the log is kept and the next attempt comes
// after snapshotRetryInterval. If the state machine returns an error, it comes after the
// same growth.
func (w *worker) maybeSnapshot() error {
	isDue := w.log.WrittenBytes()-w.writtenAtSnapshot >= w.config.SnapshotThresholdBytes
	if !w.snapshotRefusedAt.IsZero() {
		isDue = time.Since(w.snapshotRefusedAt) >= snapshotRetryInterval
	}
	if !isDue || w.appliedIndex <= w.snapshotIndex {
		return nil
	}
	w.writtenAtSnapshot, w.snapshotRefusedAt = w.log.WrittenBytes(), time.Time{}
	data, err := w.machine.Snapshot()
	if err != nil {
		w.logger.WithError(err).Error("the state machine failed to take a snapshot")
		return nil
	}
	s, err := encodeSnapshot(w.node.SnapshotMeta(w.appliedIndex), data)
	if err != nil {
		return err
	}
	err = w.log.SaveSnapshot(s)
	if code, _ := result.CodeOf(err); code == result.DiskFull {
		w.metrics.fullSnaps.Inc(1)
		w.snapshotRefusedAt = time.Now()
		w.logger.WithError(err).Error("the disk is full, the snapshot was not written")
		return nil
	}
	if err != nil {
		return err
	}
	// Keep the entries since the previous snapshot in memory, so that a member
	// that lags slightly does not need the snapshot.
	w.node.Compact(w.appliedIndex, w.snapshotIndex)
	w.snapshotIndex = w.appliedIndex
	w.metrics.snapshots.Inc(1)
	return w.log.Compact(w.appliedIndex)
}

func (w *worker) publishStatus() {
	s := w.node.Status()
	out := Status{
		ID: w.config.ID, Identity: w.identity, IsNew: w.node.IsNew(), Role: s.Role.String(),
		Leader: s.Leader, LeaderAddress: w.leaderAddress(s), Term: s.State.Term,
		Commit: s.Commit, Applied: w.appliedIndex, LastIndex: s.LastIndex, SnapshotIndex: w.snapshotIndex,
		DiskFull: w.diskFull, MembersPending: s.MembersPending,
	}
	for _, m := range s.Members {
		p := s.Progress[m.ID]
		out.Members = append(out.Members, MemberStatus{
			Member: m, Match: p.Match, Silent: time.Duration(p.SilentTicks) * w.config.Tick, CaughtUp: p.CaughtUp, Leaving: p.Leaving,
		})
	}
	w.metrics.term.Update(int64(out.Term))
	w.metrics.appliedIndex.Update(int64(out.Applied))
	w.setStatus(out)
}
