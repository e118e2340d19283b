package core

import (
	"context"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// planInterval is how often the leader considers the membership.
	planInterval = 300 * time.Millisecond
	// voterSilence is the silence after which a voter is replaced by a learner
	// that is there: longer than a restart or an ordinary freeze.
	voterSilence = 5 * time.Second
	// learnerSilence is the silence after which a learner is removed. Its host
	// then needs an empty folder to come back.
	learnerSilence = 10 * time.Minute
	// changeTimeout bounds one membership change.
	changeTimeout = 2 * time.Second
	// joinInterval is how often a host outside the group asks to join.
	joinInterval = 400 * time.Millisecond
)

// step is one membership change.
type step struct {
	action replica.Action
	id     uint64
	reason string
}

// member is what the leader knows of one member for planning.
type member struct {
	id      uint64
	learner bool
	self    bool
	silent  time.Duration // since its last answer
	caught  bool          // holds every committed entry on disk
	place   string        // data centre, "" if not known
}

// planMembership returns the next change towards the wanted number of voters,
// spread over data centres, all of them alive. ok is false when there is none.
func planMembership(members []member, voters int) (s step, ok bool) {
	count := 0
	for _, m := range members {
		if !m.learner {
			count++
		}
	}
	silent, hasSilent := silentVoter(members)
	if count < voters || count == voters && hasSilent {
		if l, found := bestLearner(members); found {
			return step{replica.Promote, l.id, "a voter is missing"}, true
		}
	}
	if count > voters {
		if hasSilent {
			return step{replica.Demote, silent.id, "the voter is silent and replaced"}, true
		}
		if m, found := spareVoter(members); found {
			return step{replica.Demote, m.id, "more voters than needed"}, true
		}
	}
	for _, m := range members {
		if m.learner && m.silent > learnerSilence {
			return step{replica.Remove, m.id, "the learner is silent"}, true
		}
	}
	return step{}, false
}

func silentVoter(members []member) (member, bool) {
	var worst member
	for _, m := range members {
		if !m.learner && !m.self && m.silent > voterSilence && m.silent > worst.silent {
			worst = m
		}
	}
	return worst, worst.id != 0
}

// bestLearner prefers the data centre with the fewest live voters.
func bestLearner(members []member) (member, bool) {
	votersIn := map[string]int{}
	for _, m := range members {
		if !m.learner && m.silent <= voterSilence {
			votersIn[m.place]++
		}
	}
	var best member
	for _, m := range members {
		if !m.learner || !m.caught || m.silent > 0 {
			continue
		}
		if best.id == 0 || votersIn[m.place] < votersIn[best.place] {
			best = m
		}
	}
	return best, best.id != 0
}

// spareVoter returns a voter of the data centre with the most voters.
func spareVoter(members []member) (member, bool) {
	votersIn := map[string]int{}
	for _, m := range members {
		if !m.learner {
			votersIn[m.place]++
		}
	}
	var best member
	for _, m := range members {
		if m.learner || m.self {
			continue
		}
		if best.id == 0 || votersIn[m.place] > votersIn[best.place] {
			best = m
		}
	}
	return best, best.id != 0
}

// manage keeps the membership while this host leads, and asks to join while
// it belongs to no group.
func (h *Host) manage(ctx context.Context) {
	plan := time.NewTicker(planInterval)
	defer plan.Stop()
	join := time.NewTicker(joinInterval)
	defer join.Stop()
	answered := map[uint64]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-join.C:
			if h.replica.Status().IsNew {
				h.askToJoin(ctx)
			}
		case <-plan.C:
			h.planOnce(ctx, answered)
		}
	}
}

func (h *Host) planOnce(ctx context.Context, answered map[uint64]time.Time) {
	s := h.replica.Status()
	if s.Leader != s.ID {
		clear(answered)
		return
	}
	next, ok := planMembership(h.planned(s, answered), h.config.Voters)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := h.replica.ChangeMember(ctx, next.action, replica.Member{ID: next.id})
	if code, _ := result.CodeOf(err); code == result.MemberPending || code == result.NotCaughtUp {
		return // tried again with the next plan
	}
	h.log.WithFields(map[string]any{
		"action": actionNames[next.action], "member": next.id, "reason": next.reason, "error": err, "term": s.Term,
	}).Info("the membership of the core was changed")
}

var actionNames = map[replica.Action]string{
	replica.AddLearner: "add learner", replica.Promote: "promote", replica.Demote: "demote", replica.Remove: "remove",
}

// planned joins the status with the times of the last answers. A leader that
// has just begun gives every member the benefit of the doubt.
func (h *Host) planned(s replica.Status, answered map[uint64]time.Time) []member {
	now := time.Now()
	out := make([]member, 0, len(s.Members))
	for _, m := range s.Members {
		last, known := answered[m.ID]
		if m.Answers || !known {
			last = now
			answered[m.ID] = now
		}
		out = append(out, member{
			id: m.ID, learner: m.Learner, self: m.ID == s.ID, silent: now.Sub(last),
			caught: m.Answers && m.Match >= s.Commit, place: h.placeOf(m.Address),
		})
	}
	return out
}
