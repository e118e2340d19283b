package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/losses"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// completeNewsInterval is how often all verdicts are sent, for routers that
	// missed earlier messages.
	completeNewsInterval = time.Second
	// suspensionGap is the time between two reconciliations from which this router
	// counts as suspended. What it observes next may have happened before.
	suspensionGap = time.Second
	// quarantineLogRate and quarantineLogBurst bound the log lines on refused
	// requests and on rejected news.
	quarantineLogRate  = 20
	quarantineLogBurst = 50
)

// quarantineState holds what this router knows about requests that crash servers.
type quarantineState struct {
	mu          sync.Mutex // no other lock is taken while it is held
	tracker     *quarantine.Tracker
	refused     quarantine.Descriptions
	exchangedAt time.Time // last exchange of news, zero before the first

	losses     losses.Collector
	logLimiter *rate.Limiter
	connected  atomic.Bool // a router has connected since the last complete news

	completeAt time.Time // last complete news, used by the goroutine of Run only
}

func newQuarantineState(self string) *quarantineState {
	return &quarantineState{tracker: quarantine.New(xxhash.Sum64String(self)), logLimiter: rate.NewLimiter(quarantineLogRate, quarantineLogBurst)}
}

// refuseQuarantined returns the refusal of a request that crashes servers, nil if
// the request may run.
func (r *Router) refuseQuarantined(q *request) *result.Error {
	if q.isTrial {
		return nil
	}
	r.quarantine.mu.Lock()
	action, suspect := r.quarantine.tracker.Check(time.Now(), q.suspects)
	r.quarantine.mu.Unlock()
	if action != quarantine.Refuse {
		return nil
	}
	return r.quarantineError(q, suspect)
}

// beginAttempt decides for the last time before an attempt, which may be the trial
// of a suspect. It returns the refusal of a request that may not run.
func (r *Router) beginAttempt(q *request) *result.Error {
	if q.isTrial {
		return nil
	}
	r.quarantine.mu.Lock()
	action, suspect := r.quarantine.tracker.Begin(time.Now(), q.suspects)
	r.quarantine.mu.Unlock()
	switch action {
	case quarantine.Refuse:
		return r.quarantineError(q, suspect)
	case quarantine.Trial:
		q.isTrial, q.decision.Trial = true, true
	}
	return nil
}

// quarantineError counts and logs a refusal, and returns it.
func (r *Router) quarantineError(q *request, suspect uint64) *result.Error {
	r.counters.quarantined.Inc(1)
	if r.quarantine.logLimiter.Allow() {
		r.log.WithFields(logrus.Fields{
			"id": q.id, "workspace": q.workspace.Name, "class": q.class.Name, "pool": q.poolName, "suspect": quarantine.FormatSuspect(suspect),
			"fingerprint": q.decision.Fingerprint,
		}).Info("request refused: servers crashed on it")
	}
	if quarantine.IsRequest(suspect) {
		r.quarantine.mu.Lock()
		r.quarantine.refused.Add(suspect, q.req.Method, "", q.req.URL.RequestURI(), q.workspace.Name)
		r.quarantine.mu.Unlock()
		return result.New(result.RequestQuarantined, "backend servers crashed on this request (fingerprint %s)", quarantine.FormatSuspect(suspect))
	}
	return result.New(result.PartQuarantined, "backend servers crashed on part %s of the request", quarantine.FormatSuspect(suspect))
}

// suspectedAgain reports whether a request that was lost with its server shares a
// suspect with an earlier such loss. It is not sent to another server then.
func (r *Router) suspectedAgain(q *request, lost bool) bool {
	if !lost {
		return false
	}
	r.quarantine.mu.Lock()
	defer r.quarantine.mu.Unlock()
	return r.quarantine.tracker.SuspectsAgain(time.Now(), q.suspects)
}

// reportAnswerBegan clears a request whose answer began and went on, and with
// allParts the parts of its content: a server may reject a request before it reads
// the content.
func (r *Router) reportAnswerBegan(q *request, at time.Time, allParts bool) {
	suspects := q.suspects
	if !allParts {
		suspects = suspects[len(suspects)-1:]
	}
	now := time.Now()
	r.quarantine.mu.Lock()
	defer r.quarantine.mu.Unlock()
	r.quarantine.detectSuspension(now)
	r.quarantine.tracker.AnswerBegan(now, q.dispatchedAt, at, suspects)
}

// detectSuspension tells the tracker that this router did not run for a while. It must
// be called with mu held before an observation, which may come before the next exchange.
func (s *quarantineState) detectSuspension(now time.Time) {
	if !s.exchangedAt.IsZero() && now.Sub(s.exchangedAt) > suspensionGap {
		s.tracker.MarkSuspended(now)
	}
}

// exchangeQuarantine evaluates the evidence and sends its news to all live routers.
// It must be called by the goroutine of Run only.
func (r *Router) exchangeQuarantine(now time.Time) {
	s := r.quarantine
	live := r.ownership.LiveRouters()
	complete := s.connected.Swap(false) || now.Sub(s.completeAt) >= completeNewsInterval
	if complete {
		s.completeAt = now
	}
	s.mu.Lock()
	s.detectSuspension(now)
	s.exchangedAt = now
	s.tracker.SetHosts(routerHashes(live))
	changes := s.tracker.Poll(now)
	news := s.tracker.Message(now, complete)
	s.mu.Unlock()
	r.recordChanges(changes)
	if news.Empty() {
		return
	}
	e := &apiv1.Envelope{Item: &apiv1.Envelope_Quarantine{Quarantine: news.ToProto(now)}}
	for _, m := range live {
		r.send(m.Name, e)
	}
}

func routerHashes(routers []pool.RouterID) []uint64 {
	out := make([]uint64, 0, len(routers))
	for _, m := range routers {
		out = append(out, xxhash.Sum64String(m.Name))
	}
	return out
}

// receiveQuarantineNews merges the news of another router. Each router sends its
// own to all others, so they are not passed on.
func (r *Router) receiveQuarantineNews(from pool.RouterID, m *apiv1.QuarantineNews) {
	if err := quarantine.ValidateNews(m); err != nil {
		metrics.GetOrRegisterCounter("quarantine.news_rejected", r.metrics).Inc(1)
		if r.quarantine.logLimiter.Allow() {
			r.log.WithError(err).WithField("router", from.Name).Warn("news on requests that crash servers rejected")
		}
		return
	}
	now := time.Now()
	r.quarantine.mu.Lock()
	r.quarantine.tracker.Merge(now, quarantine.MessageFromProto(now, m), true)
	changes := r.quarantine.tracker.Poll(now)
	r.quarantine.mu.Unlock()
	r.recordChanges(changes)
}

// recordChanges logs and counts verdicts that changed.
func (r *Router) recordChanges(changes []quarantine.Change) {
	if len(changes) == 0 {
		return
	}
	r.quarantine.mu.Lock()
	active, known, suspects := r.quarantine.tracker.Counts()
	r.quarantine.mu.Unlock()
	metrics.GetOrRegisterGauge("quarantine.suspects", r.metrics).Update(int64(active))
	for _, c := range changes {
		metrics.GetOrRegisterCounter("quarantine.verdicts."+c.State.String(), r.metrics).Inc(1)
		r.log.WithFields(logrus.Fields{
			"kind": quarantine.KindOf(c.Suspect), "suspect": quarantine.FormatSuspect(c.Suspect), "state": c.State.String(), "generation": c.Generation,
			"reason": c.Reason, "local": c.Local, "age_ms": time.Since(c.Since).Milliseconds(), "term_ms": c.Term.Milliseconds(),
			"losses": c.Losses, "hosts": c.Hosts, "companions": quarantine.FormatList(c.Companions), "known_losses": known, "suspects": suspects,
		}).Warn("quarantine verdict changed")
	}
}
