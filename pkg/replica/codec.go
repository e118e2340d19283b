package replica

import (
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/raft"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

func membersToProto(members []raft.Member) []*apiv1.RaftMember {
	out := make([]*apiv1.RaftMember, 0, len(members))
	for _, m := range members {
		out = append(out, &apiv1.RaftMember{Id: m.ID, Identity: m.Identity, Address: m.Address, Learner: m.Learner})
	}
	return out
}

func membersFromProto(members []*apiv1.RaftMember) []raft.Member {
	out := make([]raft.Member, 0, len(members))
	for _, m := range members {
		out = append(out, raft.Member{ID: m.Id, Identity: m.Identity, Address: m.Address, Learner: m.Learner})
	}
	return out
}

func entryFromProto(e *apiv1.RaftEntry) raft.Entry {
	return raft.Entry{
		Index: e.Index, Term: e.Term, Kind: raft.EntryKind(e.Kind), Data: e.Data, Members: membersFromProto(e.Members),
	}
}

func encodeMessage(m raft.Message, fromAddress string) ([]byte, error) {
	out := &apiv1.RaftMessage{
		Kind: uint32(m.Kind), From: m.From, To: m.To, FromIdentity: m.FromIdentity, ToIdentity: m.ToIdentity,
		Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Reject: m.Reject,
		Probe: m.Probe, Read: m.Read, Offset: m.Offset, Data: m.Data, Last: m.Last, FromAddress: fromAddress,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &apiv1.RaftEntry{
			Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data, Members: membersToProto(e.Members),
		})
	}
	if m.Snapshot.Index != 0 {
		out.Snapshot = snapshotMetaToProto(m.Snapshot)
	}
	return proto.Marshal(out)
}

func snapshotMetaToProto(m raft.SnapshotMeta) *apiv1.RaftSnapshotMeta {
	return &apiv1.RaftSnapshotMeta{Index: m.Index, Term: m.Term, Members: membersToProto(m.Members)}
}

func snapshotMetaFromProto(m *apiv1.RaftSnapshotMeta) raft.SnapshotMeta {
	return raft.SnapshotMeta{Index: m.GetIndex(), Term: m.GetTerm(), Members: membersFromProto(m.GetMembers())}
}

func decodeMessage(b []byte) (raft.Message, string, error) {
	var in apiv1.RaftMessage
	if err := proto.Unmarshal(b, &in); err != nil {
		return raft.Message{}, "", err
	}
	m := raft.Message{
		Kind: raft.MessageKind(in.Kind), From: in.From, To: in.To, FromIdentity: in.FromIdentity, ToIdentity: in.ToIdentity,
		Term: in.Term, Index: in.Index, LogTerm: in.LogTerm, Commit: in.Commit, Reject: in.Reject,
		Probe: in.Probe, Read: in.Read, Snapshot: snapshotMetaFromProto(in.Snapshot), Offset: in.Offset, Data: in.Data, Last: in.Last,
	}
	for _, e := range in.Entries {
		m.Entries = append(m.Entries, entryFromProto(e))
	}
	return m, in.FromAddress, nil
}

// encodeEntry encodes an entry for the log. Index and Term are stored in the
// record itself, because pkg/wal needs them.
func encodeEntry(e raft.Entry) (wal.Record, error) {
	b, err := proto.Marshal(&apiv1.RaftEntry{Kind: uint32(e.Kind), Data: e.Data, Members: membersToProto(e.Members)})
	return wal.Record{Kind: wal.KindEntry, Index: e.Index, Term: e.Term, Data: b}, err
}

func encodeHardState(s raft.HardState) (wal.Record, error) {
	b, err := proto.Marshal(&apiv1.RaftState{Term: s.Term, Vote: s.Vote})
	return wal.Record{Kind: wal.KindHardState, Data: b}, err
}

func encodeSnapshot(meta raft.SnapshotMeta, data []byte) (wal.Snapshot, error) {
	b, err := proto.Marshal(snapshotMetaToProto(meta))
	return wal.Snapshot{Index: meta.Index, Term: meta.Term, Meta: b, Data: data}, err
}

// recovered is the durable state of the data folder, decoded for pkg/raft.
type recovered struct {
	state   raft.HardState
	meta    raft.SnapshotMeta
	data    []byte
	entries []raft.Entry
}

// decodeRecovered decodes the recovered content. It returns LogDamaged for
// content that has a valid checksum but cannot be decoded; a newer version of the
// program may have written it.
func decodeRecovered(r *wal.Recovered) (recovered, error) {
	var out recovered
	var state apiv1.RaftState
	if err := proto.Unmarshal(r.State, &state); err != nil {
		return out, result.Wrap(result.LogDamaged, err, "hard state cannot be decoded")
	}
	out.state = raft.HardState{Term: state.Term, Vote: state.Vote}
	var meta apiv1.RaftSnapshotMeta
	if err := proto.Unmarshal(r.Snapshot.Meta, &meta); err != nil {
		return out, result.Wrap(result.LogDamaged, err, "snapshot metadata cannot be decoded")
	}
	out.meta, out.data = snapshotMetaFromProto(&meta), r.Snapshot.Data
	for _, record := range r.Entries {
		var e apiv1.RaftEntry
		if err := proto.Unmarshal(record.Data, &e); err != nil {
			return out, result.Wrap(result.LogDamaged, err, "log entry %d cannot be decoded", record.Index)
		}
		e.Index, e.Term = record.Index, record.Term
		out.entries = append(out.entries, entryFromProto(&e))
	}
	return out, nil
}
