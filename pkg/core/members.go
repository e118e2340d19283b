package core

import (
	"context"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// planInterval is how often the leader checks whether the membership needs a
	// change.
	planInterval = 100 * time.Millisecond
	// voterSilenceLimit is the time without a response, five heartbeats, after which a voter
	// is replaced by an available learner. Operators may lose the next host 4 s after a lost
	// one was replaced, and the election of a new leader takes up to 2 s of these. A host
	// that is silent for less long, as in a usual pause, keeps its vote; one that comes back
	// later is promoted again when the next voter is silent.
	voterSilenceLimit = heartbeatTicks * raftTick * 5
	// responsiveLimit is the time without a response up to which a learner may become a
	// voter.
	responsiveLimit = heartbeatTicks * raftTick * 3
	// learnerSilenceLimit is the time without a response after which a learner is
	// removed. Its host then needs an empty folder to join again.
	learnerSilenceLimit = 10 * time.Minute
	// memberChangeTimeout bounds one membership change or request to join.
	memberChangeTimeout = 2 * time.Second
	// joinInterval is how often a host that belongs to no group asks to join.
	joinInterval = 400 * time.Millisecond
	// leaveTimeout bounds how long a host that shuts down keeps running for its vote to
	// be taken over.
	leaveTimeout = 2 * time.Second
	// leaveInterval is how often a host that shuts down announces it to the leader.
	leaveInterval = raftTick
)

// memberChange is one change of the consensus membership and the reason to log.
type memberChange struct {
	action replica.Action
	id     uint64
	reason string
}

// memberState is the leader's view of one member.
type memberState struct {
	id         uint64
	learner    bool
	self       bool
	silent     time.Duration // time since its last response
	caughtUp   bool          // responded to this leader, and holds what a voter needs
	leaving    bool          // shuts down
	dataCentre string        // "" if not known
}

// mayPromote reports whether the member is a learner that can take a vote now.
func (m memberState) mayPromote() bool {
	return m.learner && m.caughtUp && !m.leaving && m.silent <= responsiveLimit
}

// isOutgoing reports whether the member is a voter whose vote another one should take.
func (m memberState) isOutgoing() bool {
	return !m.learner && (m.leaving || !m.self && m.silent > voterSilenceLimit)
}

func (m memberState) outgoingReason() string {
	if m.leaving {
		return "shuts down"
	}
	return "is silent"
}

// planMembership returns the next change towards the target number of voters,
// spread over data centres and all responding. ok is false if no change is needed
// or possible. A voter is demoted only after another member has its place, so that the
// group never has fewer voters than it could.
func planMembership(members []memberState, voters int) (s memberChange, ok bool) {
	count := 0
	for _, m := range members {
		if !m.learner {
			count++
		}
	}
	outgoing, hasOutgoing := outgoingVoter(members)
	if count < voters || count == voters && hasOutgoing {
		if l, found := learnerToPromote(members); found {
			reason := "a voter is missing"
			if count == voters {
				reason = "a voter " + outgoing.outgoingReason()
			}
			return memberChange{replica.PromoteLearner, l.id, reason}, true
		}
	}
	if count > voters {
		if hasOutgoing {
			return memberChange{replica.DemoteVoter, outgoing.id, "the voter " + outgoing.outgoingReason() + " and was replaced"}, true
		}
		if m, found := voterToDemote(members); found {
			return memberChange{replica.DemoteVoter, m.id, "more voters than configured"}, true
		}
	}
	for _, m := range members {
		if m.learner && m.silent > learnerSilenceLimit {
			return memberChange{replica.RemoveMember, m.id, "the learner is silent"}, true
		}
	}
	return memberChange{}, false
}

// outgoingVoter returns the outgoing voter with the longest silence. One that shuts down
// comes after those that are silent, and this host comes last, because it ends its lead.
func outgoingVoter(members []memberState) (worst memberState, ok bool) {
	for _, m := range members {
		if !m.isOutgoing() {
			continue
		}
		if !ok || worst.self || !m.self && m.silent > worst.silent {
			worst, ok = m, true
		}
	}
	return worst, ok
}

// learnerToPromote returns a learner that may be promoted, of the data centre with the
// fewest voters that stay.
func learnerToPromote(members []memberState) (best memberState, ok bool) {
	votersByDataCentre := map[string]int{}
	for _, m := range members {
		if !m.learner && !m.isOutgoing() {
			votersByDataCentre[m.dataCentre]++
		}
	}
	for _, m := range members {
		if !m.mayPromote() {
			continue
		}
		if !ok || votersByDataCentre[m.dataCentre] < votersByDataCentre[best.dataCentre] {
			best, ok = m, true
		}
	}
	return best, ok
}

// voterToDemote returns a voter of the data centre with the most voters, but not this host.
// It waits until each voter has responded: a new leader that finishes the replacement of its
// predecessor does not know yet which voter is lost.
func voterToDemote(members []memberState) (best memberState, ok bool) {
	votersByDataCentre := map[string]int{}
	for _, m := range members {
		if m.learner {
			continue
		}
		if !m.self && (!m.caughtUp || m.silent > responsiveLimit) {
			return memberState{}, false
		}
		votersByDataCentre[m.dataCentre]++
	}
	for _, m := range members {
		if m.learner || m.self {
			continue
		}
		if !ok || votersByDataCentre[m.dataCentre] > votersByDataCentre[best.dataCentre] {
			best, ok = m, true
		}
	}
	return best, ok
}

// manageMembership applies membership changes while this host is the leader, and
// asks to join while it belongs to no group.
func (h *Host) manageMembership(ctx context.Context) {
	plan := time.NewTicker(planInterval)
	defer plan.Stop()
	join := time.NewTicker(joinInterval)
	defer join.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-join.C:
			if h.replica.Status().IsNew {
				h.requestJoin(ctx)
			}
		case <-plan.C:
			// The demotion follows the promotion at once: with one voter more, a larger
			// majority has to respond.
			for h.applyNextChange(ctx) {
			}
		}
	}
}

// applyNextChange makes one membership change if this host is the leader and a
// change is needed. It reports whether the change is committed.
func (h *Host) applyNextChange(ctx context.Context) bool {
	s := h.replica.Status()
	if s.Leader != s.ID {
		return false
	}
	next, ok := planMembership(memberStates(s, h.leaving.Load(), h.dataCentreOf), h.config.VoterCount)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	err := h.replica.ChangeMember(ctx, next.action, replica.Member{ID: next.id})
	if code, _ := result.CodeOf(err); code == result.MemberPending || code == result.NotCaughtUp {
		return false // retried after planInterval
	}
	h.log.WithFields(map[string]any{
		"action": actionNames[next.action], "member": next.id, "reason": next.reason, "error": err, "term": s.Term,
	}).Info("core membership change")
	return err == nil
}

// actionNames are the values of the log field action.
var actionNames = map[replica.Action]string{
	replica.AddLearner: "add learner", replica.PromoteLearner: "promote", replica.DemoteVoter: "demote", replica.RemoveMember: "remove",
}

// memberStates returns the members as the plan of the leader sees them. leaving is set if the
// leader itself shuts down.
func memberStates(s replica.Status, leaving bool, dataCentreOf func(address string) string) []memberState {
	out := make([]memberState, 0, len(s.Members))
	for _, m := range s.Members {
		self := m.ID == s.ID
		out = append(out, memberState{
			id: m.ID, learner: m.Learner, self: self, silent: m.Silent, caughtUp: m.CaughtUp,
			leaving: m.Leaving || self && leaving, dataCentre: dataCentreOf(m.Address),
		})
	}
	return out
}

// Leave announces that this host shuts down, until it is closed, and returns once a learner
// has taken over its vote and another host may lead. It returns without that after
// leaveTimeout, or at once if there is no learner. The host keeps its data and joins again
// when it comes back.
func (h *Host) Leave() {
	h.leaving.Store(true)
	ctx, cancel := context.WithTimeout(h.ctx, leaveTimeout)
	defer cancel()
	go h.announceLeave()
	s, err := h.replica.WaitForStatus(ctx, func(s replica.Status) bool { return hasLeft(s) || !hasLearner(s) })
	h.log.WithFields(map[string]any{"left": hasLeft(s), "leader": s.Leader, "error": err}).Info("core host leaves")
}

func (h *Host) announceLeave() {
	for h.replica.Leave(h.ctx) == nil {
		select {
		case <-h.ctx.Done():
		case <-time.After(leaveInterval):
		}
	}
}

// hasLeft reports whether the host neither votes nor leads, and that is committed.
func hasLeft(s replica.Status) bool {
	return !s.MembersPending && s.Leader != s.ID && !slices.ContainsFunc(s.Members, func(m replica.MemberStatus) bool { return m.ID == s.ID && !m.Learner })
}

func hasLearner(s replica.Status) bool {
	return slices.ContainsFunc(s.Members, func(m replica.MemberStatus) bool { return m.Learner })
}
