package controlhost

import (
	"context"

	"jackdawtrack.example/jackdawtrack/pkg/control"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
)

// replicaLog implements control.Log with a replica.
type replicaLog struct{ replica *replica.Replica }

func (l replicaLog) Propose(ctx context.Context, command []byte) (any, error) {
	return l.replica.Propose(ctx, command)
}

func (l replicaLog) ReadBarrier(ctx context.Context) error { return l.replica.ReadBarrier(ctx) }

func (l replicaLog) ChangeMember(ctx context.Context, change control.MemberChange) error {
	member := replica.Member{ID: change.ID, Address: change.Address}
	return l.replica.ChangeMember(ctx, replica.Action(change.Action), member)
}

func (l replicaLog) Status() control.LogStatus {
	s := l.replica.Status()
	out := control.LogStatus{
		ID: s.ID, Leader: s.Leader, LeaderAddress: s.LeaderAddress, Term: s.Term,
		Commit: s.Commit, Applied: s.Applied, DiskFull: s.DiskFull,
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, control.LogMember{ID: m.ID, Address: m.Address, Voter: !m.Learner, Match: m.Match})
	}
	return out
}
