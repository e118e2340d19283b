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

const foundingRetry = 500 * time.Millisecond

// ChangeMember changes the membership by one member. For AddLearner, ID and
// Address are used; the host at Address must have a new folder. For Promote,
// Demote and Remove, only ID is used. A change that is in force already succeeds.
// Errors carry NotLeader, NoQuorum, MemberPending, NotCaughtUp, NotFound,
// InvalidCommand or DiskFull.
func (r *Replica) ChangeMember(ctx context.Context, a Action, m Member) error {
	if a == AddLearner && m.Identity == 0 {
		identity, err := r.newIdentityOf(ctx, m)
		if err != nil {
			return err
		}
		m.Identity = identity
	}
	p := &proposal{done: make(chan outcome, 1)}
	if err := r.call(ctx, func() { r.worker.changeMember(a, m, p) }); err != nil {
		return err
	}
	return r.await(ctx, p.done, errUnknown).err
}

// newIdentityOf asks the host for its identity. A folder of another group
// must not join: its entries would contradict committed ones.
func (r *Replica) newIdentityOf(ctx context.Context, m Member) (uint64, error) {
	answer, err := r.transport.identify(ctx, m.Address)
	if err != nil {
		return 0, result.Wrap(result.InvalidCommand, err, "no control host answers at %s", m.Address)
	}
	if answer.Id != m.ID {
		return 0, result.New(result.InvalidCommand, "the host at %s has the id %d, not %d", m.Address, answer.Id, m.ID)
	}
	if !answer.IsNew && !r.isMember(m.ID, answer.Identity) {
		return 0, result.New(result.InvalidCommand, "the data folder of the host at %s was in use: empty it first", m.Address)
	}
	return answer.Identity, nil
}

func (r *Replica) isMember(id, identity uint64) bool {
	return slices.ContainsFunc(r.Status().Members, func(m MemberStatus) bool {
		return m.ID == id && m.Identity == identity
	})
}

func (w *worker) changeMember(a Action, m Member, p *proposal) {
	if err := w.refusal(); err != nil {
		p.done <- outcome{err: err}
		return
	}
	if w.inForce(a, m) {
		p.done <- outcome{}
		return
	}
	kinds := map[Action]raft.ChangeKind{AddLearner: raft.AddLearner, Promote: raft.Promote, Remove: raft.Remove, Demote: raft.Demote}
	index, term, err := w.node.ProposeMembership(kinds[a], m)
	if err != nil {
		p.done <- outcome{err: w.memberError(err, m)}
		return
	}
	p.term = term
	w.pending[index] = p
}

// inForce makes a repeated command succeed. The entry may still be
// uncommitted; the next change then gets MemberPending.
func (w *worker) inForce(a Action, m Member) bool {
	i := slices.IndexFunc(w.node.Status().Members, func(o Member) bool { return o.ID == m.ID })
	if i < 0 {
		return false
	}
	present := w.node.Status().Members[i]
	switch a {
	case AddLearner:
		return present.Identity == m.Identity
	case Promote:
		return !present.Learner
	case Demote:
		return present.Learner
	}
	return false
}

func (w *worker) memberError(err error, m Member) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return w.notLeader()
	case errors.Is(err, raft.ErrPending):
		return result.Wrap(result.MemberPending, err, "member %d is not changed", m.ID)
	case errors.Is(err, raft.ErrNotCaughtUp):
		return result.Wrap(result.NotCaughtUp, err, "member %d is not promoted", m.ID)
	case errors.Is(err, raft.ErrNotMember):
		return result.Wrap(result.NotFound, err, "member %d", m.ID)
	}
	return result.Wrap(result.InvalidCommand, err, "member %d", m.ID)
}

// isAlone tells that this host founds a group of one.
func (r *Replica) isAlone() bool {
	b := r.config.Bootstrap
	return r.worker.node.IsNew() && len(b) == 1 && b[0].ID == r.config.ID
}

// bootstrap founds a new group. Only the member with the lowest ID founds, and
// only when every listed member tells that its folder is new; a founder with
// a wiped disk therefore cannot found a second group.
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
		ready, retry := r.askMembers(ctx, members)
		if ready {
			r.call(ctx, func() { r.worker.found(members) })
		}
		if !ready && !retry {
			r.logger.Warn("a listed member belongs to a group already: add this host with a membership change")
			return
		}
		select {
		case <-ctx.Done():
		case <-r.done:
			return
		case <-time.After(foundingRetry):
		}
	}
}

// askMembers fills in the identities. It is ready when every folder is new.
func (r *Replica) askMembers(ctx context.Context, members []Member) (ready, retry bool) {
	for i := range members {
		if members[i].ID == r.config.ID {
			members[i].Identity = r.Status().Identity
			continue
		}
		answer, err := r.transport.identify(ctx, members[i].Address)
		if err != nil || answer.Id != members[i].ID {
			return false, true
		}
		if !answer.IsNew {
			return false, false
		}
		members[i].Identity = answer.Identity
	}
	return true, false
}

// found writes the first entry and restarts the node with it.
func (w *worker) found(members []Member) {
	if !w.node.IsNew() {
		return
	}
	d := recovered{state: raft.HardState{Term: 1}, entries: []raft.Entry{raft.FoundingEntry(members)}}
	if err := w.persist(raft.Ready{State: &d.state, Entries: d.entries}); err != nil {
		w.logger.WithError(err).Error("the group cannot be founded")
		return
	}
	w.node = raft.New(nodeConfig(&w.config, w.identity, d))
	w.node.Campaign()
	w.logger.Infof("founded a group of %d members", len(members))
}
