package replica

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

// Replica is one member of the group.
type Replica struct {
	config  Config
	machine Machine

	mu      sync.Mutex // guards the fields below
	log     *wal.Log
	applied uint64
}

// Open recovers the folder and starts the member.
func Open(c Config, m Machine) (*Replica, error) {
	if err := c.setDefaults(); err != nil {
		return nil, err
	}
	log, recovered, err := wal.Open(c.Folder, wal.Options{FS: c.FS, SegmentBytes: c.SegmentBytes})
	if err != nil {
		return nil, err
	}
	r := &Replica{config: c, machine: m, log: log}
	for _, e := range recovered.Entries {
		m.Apply(e.Index, e.Data)
		r.applied = e.Index
	}
	return r, nil
}

// Propose replicates a command and returns what Apply returned for it. Errors
// carry NotLeader, NoQuorum, DiskFull, TooLarge or SyncFailed. After NoQuorum
// the command may still be committed.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, errUnknown(err)
	}
	r.log.Append(wal.Record{Kind: wal.KindEntry, Index: r.applied + 1, Term: 1, Data: command})
	if err := r.log.Sync(); err != nil {
		return nil, err
	}
	r.applied++
	return r.machine.Apply(r.applied, command), nil
}

// ReadBarrier returns after this host has applied every command that was
// committed before the call. Errors carry NotLeader or NoQuorum.
func (r *Replica) ReadBarrier(ctx context.Context) error { return nil }

// ChangeMember changes the membership by one member. Errors carry NotLeader,
// NoQuorum, MemberPending, NotCaughtUp, NotFound or InvalidCommand.
func (r *Replica) ChangeMember(ctx context.Context, a Action, m Member) error {
	return result.New(result.InvalidCommand, "membership changes are not supported yet")
}

// Status describes this host and its view of the group.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, address := r.config.ID, r.config.Address
	return Status{
		ID: id, Identity: r.log.Identity(), Role: "leader", Leader: id, LeaderAddress: address, Term: 1,
		Commit: r.applied, Applied: r.applied, LastIndex: r.applied,
		Members: []MemberStatus{{Member: Member{ID: id, Address: address}, Match: r.applied}},
	}
}

// Register adds the services for the other members to the server.
func (r *Replica) Register(s *grpc.Server) {}

// Done is closed when the replica has stopped; Err then tells why.
func (r *Replica) Done() <-chan struct{} { return nil }

// Err returns nil after Close, otherwise the error that stopped the replica.
func (r *Replica) Err() error { return nil }

// Close stops the member and releases its folder.
func (r *Replica) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Close()
}
