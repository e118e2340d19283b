package core

import (
	"context"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// planInterval is how often the leader checks whether the membership needs a
	// change.
	planInterval = 300 * time.Millisecond
	// voterSilenceLimit is the time without a response after which a voter is
	// replaced by an available learner. A restart or a usual pause is shorter.
	voterSilenceLimit = 5 * time.Second
	// learnerSilenceLimit is the time without a response after which a learner is
	// removed. Its host then needs an empty folder to join again.
	learnerSilenceLimit = 10 * time.Minute
	// memberChangeTimeout bounds one membership change or request to join.
	memberChangeTimeout = 2 * time.Second
	// joinInterval is how often a host that belongs to no group asks to join.
	joinInterval = 400 * time.Millisecond
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
	caughtUp   bool          // holds every committed entry on disk
	dataCentre string        // "" if not known
}

// planMembership returns the next change towards the target number of voters,
// spread over data centres and all responding. ok is false if no change is needed
// or possible.
func planMembership(members []memberState, voters int) (s memberChange, ok bool) {
	count := 0
	for _, m := range members {
		if !m.learner {
			count++
		}
	}
	silent, hasSilent := longestSilentVoter(members)
	if count < voters || count == voters && hasSilent {
		if l, found := learnerToPromote(members); found {
			return memberChange{replica.PromoteLearner, l.id, "a voter is missing or silent"}, true
		}
	}
	if count > voters {
		if hasSilent {
			return memberChange{replica.DemoteVoter, silent.id, "the voter is silent and was replaced"}, true
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

// longestSilentVoter returns the voter with the longest silence beyond
// voterSilenceLimit.
func longestSilentVoter(members []memberState) (memberState, bool) {
	var worst memberState
	for _, m := range members {
		if !m.learner && !m.self && m.silent > voterSilenceLimit && m.silent > worst.silent {
			worst = m
		}
	}
	return worst, worst.id != 0
}

// learnerToPromote returns a caught-up learner, of the data centre with the fewest
// responding voters.
func learnerToPromote(members []memberState) (memberState, bool) {
	votersByDataCentre := map[string]int{}
	for _, m := range members {
		if !m.learner && m.silent <= voterSilenceLimit {
			votersByDataCentre[m.dataCentre]++
		}
	}
	var best memberState
	for _, m := range members {
		if !m.learner || !m.caughtUp || m.silent > 0 {
			continue
		}
		if best.id == 0 || votersByDataCentre[m.dataCentre] < votersByDataCentre[best.dataCentre] {
			best = m
		}
	}
	return best, best.id != 0
}

// voterToDemote returns a voter of the data centre with the most voters, but not
// this host.
func voterToDemote(members []memberState) (memberState, bool) {
	votersByDataCentre := map[string]int{}
	for _, m := range members {
		if !m.learner {
			votersByDataCentre[m.dataCentre]++
		}
	}
	var best memberState
	for _, m := range members {
		if m.learner || m.self {
			continue
		}
		if best.id == 0 || votersByDataCentre[m.dataCentre] > votersByDataCentre[best.dataCentre] {
			best = m
		}
	}
	return best, best.id != 0
}

// manageMembership applies membership changes while this host is the leader, and
// asks to join while it belongs to no group.
func (h *Host) manageMembership(ctx context.Context) {
	plan := time.NewTicker(planInterval)
	defer plan.Stop()
	join := time.NewTicker(joinInterval)
	defer join.Stop()
	lastResponse := map[uint64]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-join.C:
			if h.replica.Status().IsNew {
				h.requestJoin(ctx)
			}
		case <-plan.C:
			h.applyNextChange(ctx, lastResponse)
		}
	}
}

// applyNextChange makes one membership change if this host is the leader and a
// change is needed. lastResponse holds the time of the last response by member id.
func (h *Host) applyNextChange(ctx context.Context, lastResponse map[uint64]time.Time) {
	s := h.replica.Status()
	if s.Leader != s.ID {
		clear(lastResponse)
		return
	}
	next, ok := planMembership(h.memberStates(s, lastResponse), h.config.VoterCount)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	err := h.replica.ChangeMember(ctx, next.action, replica.Member{ID: next.id})
	if code, _ := result.CodeOf(err); code == result.MemberPending || code == result.NotCaughtUp {
		return // retried after planInterval
	}
	h.log.WithFields(map[string]any{
		"action": actionNames[next.action], "member": next.id, "reason": next.reason, "error": err, "term": s.Term,
	}).Info("core membership change")
}

// actionNames are the values of the log field action.
var actionNames = map[replica.Action]string{
	replica.AddLearner: "add learner", replica.PromoteLearner: "promote", replica.DemoteVoter: "demote", replica.RemoveMember: "remove",
}

// memberStates combines the status of the replica with the times of the last
// responses, which it updates. For a new leader every member counts as having just
// responded.
func (h *Host) memberStates(s replica.Status, lastResponse map[uint64]time.Time) []memberState {
	now := time.Now()
	out := make([]memberState, 0, len(s.Members))
	for _, m := range s.Members {
		last, known := lastResponse[m.ID]
		if m.RecentlyActive || !known {
			last = now
			lastResponse[m.ID] = now
		}
		out = append(out, memberState{
			id: m.ID, learner: m.Learner, self: m.ID == s.ID, silent: now.Sub(last),
			caughtUp: m.RecentlyActive && m.Match >= s.Commit, dataCentre: h.dataCentreOf(m.Address),
		})
	}
	return out
}
