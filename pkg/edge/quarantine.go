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
	reasonQuarantined dispatch.Reason = "a prompt part is quarantined"
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

// refuseQuarantined refuses a request with a quarantined part and reports whether
// it did.
func (x *proxiedRequest) refuseQuarantined() bool {
	if len(x.sharedParts) == 0 || x.isTrial {
		return false
	}
	x.s.mu.Lock()
	action, part := x.s.quarantine.Check(time.Now(), x.sharedParts)
	x.s.mu.Unlock()
	if action != quarantine.Refuse {
		return false
	}
	x.respondQuarantined(part)
	return true
}

// dropQuarantined refuses a request that got a server while one of its parts was
// quarantined, and returns the server's place.
func (x *proxiedRequest) dropQuarantined() bool {
	if !x.refuseQuarantined() {
		return false
	}
	x.s.recordOutcome(x.dispatchReq, dispatch.NotSent)
	return true
}

// mayBeSent decides for the last time before an attempt, which may be the trial of
// a quarantined part. It responds to the request if it may not be sent.
func (x *proxiedRequest) mayBeSent() bool {
	if len(x.sharedParts) == 0 || x.isTrial {
		return true
	}
	x.s.mu.Lock()
	action, part := x.s.quarantine.Begin(time.Now(), x.sharedParts)
	x.s.mu.Unlock()
	switch action {
	case quarantine.Refuse:
		x.s.recordOutcome(x.dispatchReq, dispatch.NotSent)
		x.respondQuarantined(part)
		return false
	case quarantine.Trial:
		x.isTrial = true
	}
	return true
}

// respondQuarantined sends the final response to a request with a quarantined
// part. An earlier attempt may have run, and then the response says so.
func (x *proxiedRequest) respondQuarantined(part uint64) {
	metrics.GetOrRegisterCounter("edge.quarantine.refused", x.s.metrics.registry).Inc(1)
	x.decision.Action, x.decision.Reason = dispatch.Refuse, reasonQuarantined
	if x.mayHaveRun || x.headSent {
		x.respondFailed(attemptResult{outcome: dispatch.ConnectionLost, err: x.lastError})
		return
	}
	x.respondError(result.New(result.PartQuarantined, "backend servers crashed on part %x of the prompt", part))
}

// suspectedAgain reports whether a request that was lost with its server before
// its answer began shares a part with an earlier such loss. It is not sent to
// another server then.
func (x *proxiedRequest) suspectedAgain(a attemptResult) bool {
	if a.outcome != dispatch.ConnectionLost || len(x.sharedParts) == 0 || x.answerBegan() {
		return false
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.s.quarantine.SuspectsAgain(time.Now(), x.sharedParts)
}

// answerBegan reports whether the server of the current attempt began the answer
// and went on with it.
func (x *proxiedRequest) answerBegan() bool {
	return x.sseParser.count > x.eventsBefore && time.Since(x.firstEventAt) > beginTime
}

// reportAnswerBegan clears the parts of the prompt, once for each request.
func (x *proxiedRequest) reportAnswerBegan(at time.Time) {
	if x.beganReported || len(x.sharedParts) == 0 {
		return
	}
	x.beganReported = true
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.s.quarantine.AnswerBegan(time.Now(), at, x.sharedParts)
}

// addLoss adds a confirmed loss to the evidence. The caller must hold mu.
func (s *Server) addLoss(now time.Time, l *losses.Loss) {
	metrics.GetOrRegisterCounter("edge.servers_ended", s.metrics.registry).Inc(1)
	s.quarantine.AddLoss(now, l.Evidence(quarantine.Server{Hash: hashName(l.ID), StartMS: l.StartMS}))
}

// recordChanges logs and counts verdicts that changed.
func (s *Server) recordChanges(changes []quarantine.Change) {
	if len(changes) == 0 {
		return
	}
	s.mu.Lock()
	active, losses, suspects := s.quarantine.Counts()
	s.mu.Unlock()
	metrics.GetOrRegisterGauge("edge.quarantine.parts", s.metrics.registry).Update(int64(active))
	for _, c := range changes {
		metrics.GetOrRegisterCounter("edge.quarantine.verdicts."+c.State.String(), s.metrics.registry).Inc(1)
		s.log.WithFields(logrus.Fields{
			"prompt_part": strconv.FormatUint(c.Suspect, 16), "state": c.State.String(), "generation": c.Generation, "reason": c.Reason, "local": c.Local,
			"age_ms": time.Since(c.Since).Milliseconds(), "term_ms": c.Term.Milliseconds(), "losses": c.Losses, "hosts": c.Hosts, "companions": hexIDs(c.Companions),
			"known_losses": losses, "suspects": suspects,
		}).Warn("verdict on a prompt part changed")
	}
}

// Quarantine returns the verdicts on prompt parts, ordered by part.
func (s *Server) Quarantine() []quarantine.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.List()
}

// ReleasePart ends the quarantine of a part in the whole fleet. It returns false
// if the part is not quarantined.
func (s *Server) ReleasePart(part uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Release(time.Now(), part)
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
