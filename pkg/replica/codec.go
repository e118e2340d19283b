package replica

import (
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/raft"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

func toMembers(members []raft.Member) []*apiv1.RaftMember {
	out := make([]*apiv1.RaftMember, 0, len(members))
	for _, m := range members {
		out = append(out, &apiv1.RaftMember{Id: m.ID, Identity: m.Identity, Address: m.Address, Learner: m.Learner})
	}
	return out
}

func fromMembers(members []*apiv1.RaftMember) []raft.Member {
	out := make([]raft.Member, 0, len(members))
	for _, m := range members {
		out = append(out, raft.Member{ID: m.Id, Identity: m.Identity, Address: m.Address, Learner: m.Learner})
	}
	return out
}

func fromEntry(e *apiv1.RaftEntry) raft.Entry {
	return raft.Entry{
		Index: e.Index, Term: e.Term, Kind: raft.EntryKind(e.Kind), Data: e.Data, Members: fromMembers(e.Members),
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
			Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data, Members: toMembers(e.Members),
		})
	}
	if m.Snapshot.Index != 0 {
		out.Snapshot = toMeta(m.Snapshot)
	}
	return proto.Marshal(out)
}

func toMeta(m raft.SnapshotMeta) *apiv1.RaftSnapshotMeta {
	return &apiv1.RaftSnapshotMeta{Index: m.Index, Term: m.Term, Members: toMembers(m.Members)}
}

func fromMeta(m *apiv1.RaftSnapshotMeta) raft.SnapshotMeta {
	return raft.SnapshotMeta{Index: m.GetIndex(), Term: m.GetTerm(), Members: fromMembers(m.GetMembers())}
}

func decodeMessage(b []byte) (raft.Message, string, error) {
	var in apiv1.RaftMessage
	if err := proto.Unmarshal(b, &in); err != nil {
		return raft.Message{}, "", err
	}
	m := raft.Message{
		Kind: raft.MessageKind(in.Kind), From: in.From, To: in.To, FromIdentity: in.FromIdentity, ToIdentity: in.ToIdentity,
		Term: in.Term, Index: in.Index, LogTerm: in.LogTerm, Commit: in.Commit, Reject: in.Reject,
		Probe: in.Probe, Read: in.Read, Snapshot: fromMeta(in.Snapshot), Offset: in.Offset, Data: in.Data, Last: in.Last,
	}
	for _, e := range in.Entries {
		m.Entries = append(m.Entries, fromEntry(e))
	}
	return m, in.FromAddress, nil
}

// entryRecord keeps index and term in the record, where the log needs them.
func entryRecord(e raft.Entry) (wal.Record, error) {
	b, err := proto.Marshal(&apiv1.RaftEntry{Kind: uint32(e.Kind), Data: e.Data, Members: toMembers(e.Members)})
	return wal.Record{Kind: wal.KindEntry, Index: e.Index, Term: e.Term, Data: b}, err
}

func stateRecord(s raft.HardState) (wal.Record, error) {
	b, err := proto.Marshal(&apiv1.RaftState{Term: s.Term, Vote: s.Vote})
	return wal.Record{Kind: wal.KindState, Data: b}, err
}

func toSnapshot(meta raft.SnapshotMeta, data []byte) (wal.Snapshot, error) {
	b, err := proto.Marshal(toMeta(meta))
	return wal.Snapshot{Index: meta.Index, Term: meta.Term, Meta: b, Data: data}, err
}

// recovered is the content of the folder in the terms of pkg/raft.
type recovered struct {
	state   raft.HardState
	meta    raft.SnapshotMeta
	data    []byte
	entries []raft.Entry
}

// decodeRecovered refuses content that passed its checksum but does not
// parse, which a newer version of the program may have written.
func decodeRecovered(r *wal.Recovered) (recovered, error) {
	var out recovered
	var state apiv1.RaftState
	if err := proto.Unmarshal(r.State, &state); err != nil {
		return out, result.Wrap(result.LogDamaged, err, "hard state does not parse")
	}
	out.state = raft.HardState{Term: state.Term, Vote: state.Vote}
	var meta apiv1.RaftSnapshotMeta
	if err := proto.Unmarshal(r.Snapshot.Meta, &meta); err != nil {
		return out, result.Wrap(result.LogDamaged, err, "snapshot does not parse")
	}
	out.meta, out.data = fromMeta(&meta), r.Snapshot.Data
	for _, record := range r.Entries {
		var e apiv1.RaftEntry
		if err := proto.Unmarshal(record.Data, &e); err != nil {
			return out, result.Wrap(result.LogDamaged, err, "entry %d does not parse", record.Index)
		}
		e.Index, e.Term = record.Index, record.Term
		out.entries = append(out.entries, fromEntry(&e))
	}
	return out, nil
}
