package replica

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/raft"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// bootstrapRetryInterval is the pause between two attempts to bootstrap a group.
const bootstrapRetryInterval = 500 * time.Millisecond

// ChangeMember adds, changes or removes one member. AddLearner uses ID and
// Address; the host at Address must have a new data folder. PromoteLearner,
// DemoteVoter and RemoveMember use only ID. A change that is already in force
// succeeds, except that RemoveMember returns NotFound for an ID that is not a
// member. Errors carry NotLeader, NoQuorum, MemberPending, NotCaughtUp,
// NotFound, InvalidCommand or DiskFull.
func (r *Replica) ChangeMember(ctx context.Context, a Action, m Member) error {
	if a == AddLearner && m.Identity == 0 {
		identity, err := r.fetchLearnerIdentity(ctx, m)
		if err != nil {
			return err
		}
		m.Identity = identity
	}
	p := &proposal{done: make(chan outcome, 1)}
	if err := r.runOnWorker(ctx, func() { r.worker.changeMember(a, m, p) }); err != nil {
		return err
	}
	return r.awaitOutcome(ctx, p.done, errOutcomeUnknown).err
}

// Leave announces to the leader that this host shuts down, see raft.Node.Leave. It does
// not wait for an effect.
func (r *Replica) Leave(ctx context.Context) error {
	return r.runOnWorker(ctx, func() { r.worker.node.Leave() })
}

// fetchLearnerIdentity requests the identity of the host at m.Address. It returns
// InvalidCommand for a data folder that belongs to another group, because its
// entries would conflict with committed ones.
func (r *Replica) fetchLearnerIdentity(ctx context.Context, m Member) (uint64, error) {
	response, err := r.transport.identify(ctx, m.Address)
	if err != nil {
		return 0, result.Wrap(result.InvalidCommand, err, "no response from a control host at %s", m.Address)
	}
	if response.Id != m.ID {
		return 0, result.New(result.InvalidCommand, "the host at %s has id %d, expected %d", m.Address, response.Id, m.ID)
	}
	if !response.IsNew && !r.isMember(m.ID, response.Identity) {
		return 0, result.New(result.InvalidCommand, "the data folder of the host at %s belongs to a group: empty it first", m.Address)
	}
	return response.Identity, nil
}

func (r *Replica) isMember(id, identity uint64) bool {
	return slices.ContainsFunc(r.Status().Members, func(m MemberStatus) bool {
		return m.ID == id && m.Identity == identity
	})
}

func (w *worker) changeMember(a Action, m Member, p *proposal) {
	if err := w.checkAcceptsProposals(); err != nil {
		p.done <- outcome{err: err}
		return
	}
	if w.isInForce(a, m) {
		p.done <- outcome{}
		return
	}
	kinds := map[Action]raft.MembershipChange{AddLearner: raft.AddLearner, PromoteLearner: raft.PromoteLearner, RemoveMember: raft.RemoveMember, DemoteVoter: raft.DemoteVoter}
	index, term, err := w.node.ProposeMembershipChange(kinds[a], m)
	if err != nil {
		p.done <- outcome{err: w.membershipError(err, m)}
		return
	}
	p.term = term
	w.pendingProposals[index] = p
}

// isInForce reports whether the latest membership already contains the change, so
// that a repeated command succeeds. Its entry may still be uncommitted; the next
// change then returns MemberPending.
func (w *worker) isInForce(a Action, m Member) bool {
	i := slices.IndexFunc(w.node.Status().Members, func(o Member) bool { return o.ID == m.ID })
	if i < 0 {
		return false
	}
	present := w.node.Status().Members[i]
	switch a {
	case AddLearner:
		return present.Identity == m.Identity
	case PromoteLearner:
		return !present.Learner
	case DemoteVoter:
		return present.Learner
	}
	return false
}

// membershipError converts an error of pkg/raft to a result code.
func (w *worker) membershipError(err error, m Member) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return w.errNotLeader()
	case errors.Is(err, raft.ErrChangePending):
		return result.Wrap(result.MemberPending, err, "member %d was not changed", m.ID)
	case errors.Is(err, raft.ErrNotCaughtUp):
		return result.Wrap(result.NotCaughtUp, err, "member %d was not promoted", m.ID)
	case errors.Is(err, raft.ErrNotMember):
		return result.Wrap(result.NotFound, err, "member %d", m.ID)
	}
	return result.Wrap(result.InvalidCommand, err, "member %d", m.ID)
}

// isSingleMemberBootstrap reports whether this host bootstraps a group of which
// it is the only member.
func (r *Replica) isSingleMemberBootstrap() bool {
	b := r.config.Bootstrap
	return r.worker.node.IsNew() && len(b) == 1 && b[0].ID == r.config.ID
}

// bootstrap starts to bootstrap a new group if this host has the lowest ID of the
// listed members. The group is created only if every listed member reports that
// its data folder is new, so a host with a wiped disk cannot create a second
// group.
func (r *Replica) bootstrap() {
	if !r.Status().IsNew || len(r.config.Bootstrap) == 0 {
		return
	}
	members := slices.Clone(r.config.Bootstrap)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	if members[0].ID != r.config.ID {
		return
	}
	go r.found(members)
}

// found retries until the group is bootstrapped, a listed member already belongs
// to a group, or the replica stops.
func (r *Replica) found(members []Member) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-r.stop:
		case <-ctx.Done():
		}
		cancel()
	}()
	for ctx.Err() == nil && r.Status().IsNew {
		ready, retry := r.identifyMembers(ctx, members)
		if ready {
			_ = r.foundOnWorker(ctx, members) // fails when the replica stops only
		}
		if !ready && !retry {
			r.logger.Warn("a listed member already belongs to a group: add this host with a membership change")
			return
		}
		select {
		case <-ctx.Done():
		case <-r.done:
			return
		case <-time.After(bootstrapRetryInterval):
		}
	}
}

// foundOnWorker lets the worker found a group of these members. The worker keeps its own
// list: found goes on with this one if the entry is not durable before its next try.
func (r *Replica) foundOnWorker(ctx context.Context, members []Member) error {
	founders := slices.Clone(members)
	return r.runOnWorker(ctx, func() { r.worker.found(founders) })
}

// identifyMembers sets the identities of the members. It returns ready if every
// data folder is new, and retry if a member did not respond or has another ID.
func (r *Replica) identifyMembers(ctx context.Context, members []Member) (ready, retry bool) {
	for i := range members {
		if members[i].ID == r.config.ID {
			members[i].Identity = r.Status().Identity
			continue
		}
		response, err := r.transport.identify(ctx, members[i].Address)
		if err != nil || response.Id != members[i].ID {
			return false, true
		}
		if !response.IsNew {
			return false, false
		}
		members[i].Identity = response.Identity
	}
	return true, false
}

// found makes the bootstrap entry durable, restarts the node with it and starts
// an election.
func (w *worker) found(members []Member) {
	if !w.node.IsNew() {
		return
	}
	d := recovered{state: raft.HardState{Term: 1}, entries: []raft.Entry{raft.BootstrapEntry(members)}}
	if err := w.persistReady(raft.Ready{State: &d.state, Entries: d.entries}); err != nil {
		w.logger.WithError(err).Error("the group cannot be bootstrapped")
		return
	}
	w.node = raft.New(nodeConfig(&w.config, w.identity, d))
	w.node.Campaign()
	w.logger.Infof("bootstrapped a group of %d members", len(members))
}
