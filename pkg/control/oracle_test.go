package control

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/orders"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// oracle is a reference model of the state machine: plain lists that are
// scanned in full, without queues, counters or snapshots.
type oracle struct {
	limits           limits
	now              int64
	revision         uint64
	items            map[string]*apiv1.Change
	commandResults   []oracleResult
	records          []*oracleRecord
	sessions         map[string]*oracleSession
	abortedAttempts  []oracleAbort
	fences           []*oracleFence
	maxEvictedNumber uint64
}

type oracleResult struct {
	id       string
	in       *apiv1.SubmitRequest
	response *apiv1.SubmitResponse
}

type oracleRecord struct {
	begin        *apiv1.BeginRequest
	state        apiv1.BeginState
	sessionEnded bool // outcome unknown because the session ended
	answer       *apiv1.StoredAnswer
	expiresAt    int64 // ms, 0 while running
}

type oracleSession struct {
	incarnation uint64
	ended       bool
	expiresAt   int64
}

type oracleAbort struct {
	id        attemptID
	expiresAt int64
}

func newOracle(l limits) *oracle {
	return &oracle{limits: l, items: map[string]*apiv1.Change{}, sessions: map[string]*oracleSession{}}
}

func itemKey(ch *apiv1.Change) string {
	kind, name := catalog.ItemKey(ch)
	return kind.String() + " " + name
}

func (o *oracle) timeAfter(d time.Duration) int64 { return o.now + d.Milliseconds() }

func (o *oracle) advance(timestamp int64) {
	if timestamp > o.now {
		o.now = min(timestamp, o.now+o.limits.advance.Milliseconds())
	}
	o.records = slices.DeleteFunc(o.records, func(r *oracleRecord) bool { return r.expiresAt != 0 && r.expiresAt <= o.now })
	o.abortedAttempts = slices.DeleteFunc(o.abortedAttempts, func(a oracleAbort) bool { return a.expiresAt <= o.now })
}

func (o *oracle) expireSessions() {
	for router, s := range o.sessions {
		if s.expiresAt > o.now {
			continue
		}
		if s.ended {
			delete(o.sessions, router)
			continue
		}
		o.endSession(router, s.incarnation)
		s.ended, s.expiresAt = true, o.timeAfter(o.limits.endedSessionTTL)
	}
}

func (o *oracle) endSession(router string, incarnation uint64) {
	for _, r := range o.records {
		if r.begin.GetRouter() == router && r.begin.GetIncarnation() == incarnation && r.state == apiv1.BeginState_BEGIN_RUNNING {
			r.state, r.sessionEnded, r.expiresAt = apiv1.BeginState_BEGIN_UNKNOWN, true, o.timeAfter(o.limits.recordTTL)
		}
	}
}

func (o *oracle) renewSession(router string, incarnation uint64) *oracleSession {
	s, ok := o.sessions[router]
	if !ok && len(o.sessions) >= o.limits.sessions {
		return nil
	}
	if ok && s.incarnation > incarnation {
		return s
	}
	if ok && s.incarnation < incarnation {
		o.endSession(router, s.incarnation)
	}
	s = &oracleSession{incarnation: incarnation, expiresAt: o.timeAfter(o.limits.sessionTTL)}
	o.sessions[router] = s
	return s
}

func (o *oracle) findRecord(in *apiv1.BeginRequest) *oracleRecord {
	for _, r := range o.records {
		if r.begin.GetWorkspace() == in.GetWorkspace() && r.begin.GetKey() == in.GetKey() {
			return r
		}
	}
	return nil
}

func (o *oracle) isAborted(id attemptID) bool {
	return slices.ContainsFunc(o.abortedAttempts, func(a oracleAbort) bool { return a.id == id })
}

func (o *oracle) begin(in *apiv1.BeginRequest) (apiv1.BeginState, result.Code) {
	s := o.renewSession(in.GetRouter(), in.GetIncarnation())
	if s == nil {
		return apiv1.BeginState_BEGIN_FULL, result.KeyTableFull
	}
	if s.incarnation != in.GetIncarnation() || o.isAborted(attemptIDOf(in)) {
		return apiv1.BeginState_BEGIN_UNSPECIFIED, result.ControlUnavailable
	}
	r := o.findRecord(in)
	if r == nil {
		inWorkspace := 0
		for _, other := range o.records {
			if other.begin.GetWorkspace() == in.GetWorkspace() {
				inWorkspace++
			}
		}
		if len(o.records) >= o.limits.records || inWorkspace >= o.limits.workspaceRecords {
			return apiv1.BeginState_BEGIN_FULL, result.KeyTableFull
		}
		o.records = append(o.records, &oracleRecord{begin: in, state: apiv1.BeginState_BEGIN_RUNNING})
		return apiv1.BeginState_BEGIN_STARTED, result.OK
	}
	switch {
	case string(r.begin.GetFingerprint()) != string(in.GetFingerprint()):
		return apiv1.BeginState_BEGIN_CONFLICT, result.KeyConflict
	case attemptIDOf(r.begin) == attemptIDOf(in) && (r.state == apiv1.BeginState_BEGIN_RUNNING || r.sessionEnded):
		r.state, r.sessionEnded, r.expiresAt = apiv1.BeginState_BEGIN_RUNNING, false, 0
		return apiv1.BeginState_BEGIN_STARTED, result.OK
	case r.state == apiv1.BeginState_BEGIN_RUNNING:
		return r.state, result.StillRunning
	case r.state == apiv1.BeginState_BEGIN_UNKNOWN:
		return r.state, result.OutcomeUnknown
	case r.answer.GetTruncated():
		return r.state, result.AnswerTooLarge
	}
	return r.state, result.StoredAnswer
}

func (o *oracle) finish(in *apiv1.FinishRequest) result.Code {
	r := o.findRecord(in.GetBegin())
	if r == nil || attemptIDOf(r.begin) != attemptIDOf(in.GetBegin()) {
		return result.NotFound
	}
	if r.state == apiv1.BeginState_BEGIN_DONE || (r.state == apiv1.BeginState_BEGIN_UNKNOWN && !r.sessionEnded) {
		return result.OK
	}
	r.sessionEnded, r.expiresAt = false, o.timeAfter(o.limits.recordTTL)
	if in.GetUnknown() {
		r.state = apiv1.BeginState_BEGIN_UNKNOWN
		return result.OK
	}
	r.state = apiv1.BeginState_BEGIN_DONE
	totalBytes, workspaceBytes := len(in.GetAnswer().GetBody()), len(in.GetAnswer().GetBody())
	for _, other := range o.records {
		totalBytes += len(other.answer.GetBody())
		if other.begin.GetWorkspace() == r.begin.GetWorkspace() {
			workspaceBytes += len(other.answer.GetBody())
		}
	}
	r.answer = proto.CloneOf(in.GetAnswer())
	if totalBytes > o.limits.answerBytes || workspaceBytes > o.limits.workspaceAnswerBytes {
		r.answer.Body, r.answer.Truncated = nil, true
	}
	return result.OK
}

func (o *oracle) abort(in *apiv1.BeginRequest) result.Code {
	r := o.findRecord(in)
	if r != nil && attemptIDOf(r.begin) == attemptIDOf(in) {
		switch {
		case r.state == apiv1.BeginState_BEGIN_DONE:
			return result.StoredAnswer
		case r.state == apiv1.BeginState_BEGIN_UNKNOWN && !r.sessionEnded:
			return result.OutcomeUnknown
		}
		o.records = slices.DeleteFunc(o.records, func(x *oracleRecord) bool { return x == r })
	}
	if !o.isAborted(attemptIDOf(in)) {
		o.abortedAttempts = append(o.abortedAttempts, oracleAbort{attemptIDOf(in), o.timeAfter(o.limits.abortTTL)})
	}
	if len(o.abortedAttempts) > o.limits.abortedAttempts {
		o.abortedAttempts = o.abortedAttempts[1:]
	}
	return result.OK
}

// submit returns the expected code and revision for a command of a valid
// operator.
func (o *oracle) submit(in *apiv1.SubmitRequest) *apiv1.SubmitResponse {
	for _, r := range o.commandResults {
		if r.id != in.GetCommandId() {
			continue
		}
		if !proto.Equal(r.in, in) {
			return &apiv1.SubmitResponse{Code: uint32(result.CommandReused)}
		}
		out := proto.CloneOf(r.response)
		out.RepeatedCommand = true
		return out
	}
	code := o.applyChange(in)
	out := &apiv1.SubmitResponse{Code: uint32(code), Revision: o.revision}
	o.commandResults = append(o.commandResults, oracleResult{in.GetCommandId(), in, out})
	if len(o.commandResults) > o.limits.commandResults {
		o.commandResults = o.commandResults[1:]
	}
	return out
}

func (o *oracle) applyChange(in *apiv1.SubmitRequest) result.Code {
	if in.GetExpectedRevision() != 0 && in.GetExpectedRevision() != o.revision {
		return result.RevisionConflict
	}
	ch := in.GetChanges()[0]
	_, exists := o.items[itemKey(ch)]
	if ch.GetDelete() && !exists {
		return result.NotFound
	}
	o.revision++
	o.items[itemKey(ch)] = ch
	if ch.GetDelete() {
		delete(o.items, itemKey(ch))
	}
	return result.OK
}

// oracleFence is the lease record of one server and the time of its last
// change.
type oracleFence struct {
	record    orders.LeaseRecord
	changedAt int64
}

func (o *oracle) findFence(server string) *oracleFence {
	for _, f := range o.fences {
		if f.record.Server == server {
			return f
		}
	}
	return nil
}

func (o *oracle) currentFence(server string) orders.LeaseRecord {
	if f := o.findFence(server); f != nil {
		return f.record
	}
	return orders.LeaseRecord{Server: server, Number: o.maxEvictedNumber}
}

func (o *oracle) acquireFence(observed, next orders.LeaseRecord) result.Code {
	if o.currentFence(observed.Server) != observed {
		return result.FenceStale
	}
	f := o.findFence(observed.Server)
	if f == nil && len(o.fences) == o.limits.fences {
		// Sort the least recently changed record first, equal times by name.
		slices.SortFunc(o.fences, func(a, b *oracleFence) int {
			return cmp.Or(cmp.Compare(a.changedAt, b.changedAt), cmp.Compare(a.record.Server, b.record.Server))
		})
		if o.now-o.fences[0].changedAt < o.limits.fenceTTL.Milliseconds() {
			return result.QueueFull
		}
		o.maxEvictedNumber = max(o.maxEvictedNumber, o.fences[0].record.Number)
		o.fences = o.fences[1:]
	}
	if f == nil {
		f = &oracleFence{}
		o.fences = append(o.fences, f)
	}
	f.record, f.changedAt = next, o.now
	return result.OK
}
