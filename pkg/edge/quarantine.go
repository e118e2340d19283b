package edge

import (
	"iter"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/losses"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	reasonPartQuarantined    dispatch.Reason = "a prompt part is quarantined"
	reasonRequestQuarantined dispatch.Reason = "the request is quarantined"
	// verdictReportDelay is the age from which a host reports a verdict of another
	// one to the core hosts, in case that one could not.
	verdictReportDelay = 3 * time.Second
	// maxReportedVerdicts bounds the verdicts of one heartbeat.
	maxReportedVerdicts = 16
)

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

func hashNames(names iter.Seq[string]) []uint64 {
	var out []uint64
	for name := range names {
		out = append(out, hashName(name))
	}
	return out
}

// parts returns the suspects that are prompt parts.
func (x *proxiedRequest) parts() []uint64 { return x.suspects[:len(x.suspects)-1] }

// fingerprint returns the suspect that stands for the request itself.
func (x *proxiedRequest) fingerprint() uint64 { return x.suspects[len(x.suspects)-1] }

// refuseQuarantined refuses a request that is quarantined, or has a quarantined part,
// and reports whether it did.
func (x *proxiedRequest) refuseQuarantined() bool {
	if x.isTrial {
		return false
	}
	x.s.mu.Lock()
	action, suspect := x.s.quarantine.Check(time.Now(), x.suspects)
	x.s.mu.Unlock()
	if action != quarantine.Refuse {
		return false
	}
	x.respondQuarantined(suspect)
	return true
}

// dropQuarantined refuses a request that got a server while it was quarantined, and
// returns the server's place.
func (x *proxiedRequest) dropQuarantined() bool {
	if !x.refuseQuarantined() {
		return false
	}
	x.s.recordOutcome(x.dispatchReq, dispatch.NotSent)
	return true
}

// mayBeSent decides for the last time before an attempt, which may be a trial. It
// responds to the request if it may not be sent.
func (x *proxiedRequest) mayBeSent() bool {
	if x.isTrial {
		return true
	}
	x.s.mu.Lock()
	action, suspect := x.s.quarantine.Begin(time.Now(), x.suspects)
	x.s.mu.Unlock()
	switch action {
	case quarantine.Refuse:
		x.s.recordOutcome(x.dispatchReq, dispatch.NotSent)
		x.respondQuarantined(suspect)
		return false
	case quarantine.Trial:
		x.isTrial = true
	}
	return true
}

// respondQuarantined sends the final response to a request that has the quarantined
// suspect. An earlier attempt may have run, and then the response says so.
func (x *proxiedRequest) respondQuarantined(suspect uint64) {
	metrics.GetOrRegisterCounter("edge.quarantine.refused", x.s.metrics.registry).Inc(1)
	refusal := result.New(result.PartQuarantined, "backend servers crashed on part %x of the prompt", suspect)
	x.decision.Action, x.decision.Reason = dispatch.Refuse, reasonPartQuarantined
	if quarantine.IsRequest(suspect) {
		refusal = result.New(result.RequestQuarantined, "backend servers crashed on this request (fingerprint %x)", suspect)
		x.decision.Reason = reasonRequestQuarantined
		x.s.mu.Lock()
		x.s.quarantinedRequests.Add(suspect, x.in.Method, x.in.Host, x.in.Target, x.dispatchReq.Workspace)
		x.s.mu.Unlock()
	}
	if x.mayHaveRun || x.headSent {
		x.respondFailed(attemptResult{outcome: dispatch.ConnectionLost, err: x.lastError})
		return
	}
	x.respondError(refusal)
}

// suspectedAgain reports whether a request that was lost with its server before its
// answer began was lost before, or shares a part with a request that was. It is not
// sent to another server then.
func (x *proxiedRequest) suspectedAgain(a attemptResult) bool {
	if a.outcome != dispatch.ConnectionLost || x.answerBegan() {
		return false
	}
	return x.s.suspectsAgain(x.suspects)
}

// suspectsAgain reports whether requests with one of the suspects were lost before.
func (s *Server) suspectsAgain(suspects []uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.SuspectsAgain(time.Now(), suspects)
}

// answerBegan reports whether the server of the current attempt began the answer
// and went on with it.
func (x *proxiedRequest) answerBegan() bool {
	return x.sseParser.count > x.eventsBefore && time.Since(x.firstEventAt) > beginTime
}

// reportAnswerBegan clears the request, once, and with allParts the parts of its
// prompt: a server may reject a request before it reads the prompt.
func (x *proxiedRequest) reportAnswerBegan(at time.Time, allParts bool) {
	if x.beganReported {
		return
	}
	x.beganReported = true
	suspects := x.suspects
	if !allParts {
		suspects = suspects[len(suspects)-1:]
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.s.quarantine.AnswerBegan(time.Now(), x.attemptStartedAt, at, suspects)
}

// addLoss adds a confirmed loss to the evidence. The caller must hold mu.
func (s *Server) addLoss(now time.Time, l *losses.Loss) {
	metrics.GetOrRegisterCounter("edge.servers_ended", s.metrics.registry).Inc(1)
	s.quarantine.AddLoss(now, l.Evidence(quarantine.Server{Hash: hashName(l.ID), StartMS: l.StartMS}))
}

// recordChanges logs and counts verdicts that changed. The caller must not hold mu.
func (s *Server) recordChanges(changes []quarantine.Change) {
	if len(changes) == 0 {
		return
	}
	s.mu.Lock()
	active, losses, suspects := s.quarantine.Counts()
	s.mu.Unlock()
	metrics.GetOrRegisterGauge("edge.quarantine.suspects", s.metrics.registry).Update(int64(active))
	for _, c := range changes {
		metrics.GetOrRegisterCounter("edge.quarantine.verdicts."+c.State.String(), s.metrics.registry).Inc(1)
		s.log.WithFields(logrus.Fields{
			"kind": quarantine.KindOf(c.Suspect), "suspect": strconv.FormatUint(c.Suspect, 16), "state": c.State.String(), "generation": c.Generation, "reason": c.Reason, "local": c.Local,
			"age_ms": time.Since(c.Since).Milliseconds(), "term_ms": c.Term.Milliseconds(), "losses": c.Losses, "hosts": c.Hosts, "companions": quarantine.FormatList(c.Companions),
			"known_losses": losses, "suspects": suspects,
		}).Warn("quarantine verdict changed")
	}
}

// Quarantine returns the verdicts on prompt parts and requests, ordered by suspect.
func (s *Server) Quarantine() []quarantine.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.quarantine.List()
	s.quarantinedRequests.Complete(out)
	return out
}

// Release ends the quarantine of a prompt part or request in the whole fleet. It
// returns false if it is not quarantined.
func (s *Server) Release(suspect uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Release(time.Now(), suspect)
}

// Heartbeat implements feed.Reporter: it returns the verdicts that the core hosts
// have not stored yet.
func (s *Server) Heartbeat() *apiv1.FleetWatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, m := time.Now(), &apiv1.FleetWatcher{}
	for _, e := range s.quarantine.List() {
		if e.Generation > s.storedVerdicts[e.Suspect] && (e.Local || now.Sub(e.Since) > verdictReportDelay) && len(m.Verdicts) < maxReportedVerdicts {
			m.Verdicts = append(m.Verdicts, e.Verdict.ToProto(now))
		}
	}
	return m
}

// mergeStoredVerdicts merges the verdicts of a core host. The caller must hold mu.
func (s *Server) mergeStoredVerdicts(now time.Time, stored []*apiv1.QuarantineVerdict) {
	if len(stored) == 0 {
		return
	}
	clear(s.storedVerdicts)
	verdicts := make([]quarantine.Verdict, 0, len(stored))
	for _, m := range stored {
		s.storedVerdicts[m.GetSuspect()] = m.GetGeneration()
		verdicts = append(verdicts, quarantine.VerdictFromProto(now, m))
	}
	s.quarantine.MergeVerdicts(now, verdicts)
}
