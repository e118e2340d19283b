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

// oracle is the machine in its simplest form: plain lists that are scanned
// whole, no queues, no counters, no snapshots.
type oracle struct {
	limits   limits
	now      int64
	revision uint64
	items    map[string]*apiv1.Change
	results  []oracleResult
	records  []*oracleRecord
	sessions map[string]*oracleSession
	aborts   []oracleAbort
	fences   []*oracleFence
	floor    uint64
}

type oracleResult struct {
	id       string
	in       *apiv1.SubmitRequest
	response *apiv1.SubmitResponse
}

type oracleRecord struct {
	begin   *apiv1.BeginRequest
	state   apiv1.BeginState
	lost    bool // unknown because the session ended
	answer  *apiv1.StoredAnswer
	expires int64 // 0 while running
}

type oracleSession struct {
	incarnation uint64
	ended       bool
	expires     int64
}

type oracleAbort struct {
	id      attemptID
	expires int64
}

func newOracle(l limits) *oracle {
	return &oracle{limits: l, items: map[string]*apiv1.Change{}, sessions: map[string]*oracleSession{}}
}

func itemID(ch *apiv1.Change) string {
	kind, name := catalog.Key(ch)
	return kind.String() + " " + name
}

func (o *oracle) after(d time.Duration) int64 { return o.now + d.Milliseconds() }

func (o *oracle) step(to int64) {
	if to > o.now {
		o.now = min(to, o.now+o.limits.step.Milliseconds())
	}
	o.records = slices.DeleteFunc(o.records, func(r *oracleRecord) bool { return r.expires != 0 && r.expires <= o.now })
	o.aborts = slices.DeleteFunc(o.aborts, func(a oracleAbort) bool { return a.expires <= o.now })
}

func (o *oracle) end() {
	for router, s := range o.sessions {
		if s.expires > o.now {
			continue
		}
		if s.ended {
			delete(o.sessions, router)
			continue
		}
		o.lose(router, s.incarnation)
		s.ended, s.expires = true, o.after(o.limits.sessionMemory)
	}
}

func (o *oracle) lose(router string, incarnation uint64) {
	for _, r := range o.records {
		if r.begin.GetRouter() == router && r.begin.GetIncarnation() == incarnation && r.state == apiv1.BeginState_BEGIN_RUNNING {
			r.state, r.lost, r.expires = apiv1.BeginState_BEGIN_UNKNOWN, true, o.after(o.limits.recordTTL)
		}
	}
}

func (o *oracle) touch(router string, incarnation uint64) *oracleSession {
	s, ok := o.sessions[router]
	if !ok && len(o.sessions) >= o.limits.sessions {
		return nil
	}
	if ok && s.incarnation > incarnation {
		return s
	}
	if ok && s.incarnation < incarnation {
		o.lose(router, s.incarnation)
	}
	s = &oracleSession{incarnation: incarnation, expires: o.after(o.limits.sessionTTL)}
	o.sessions[router] = s
	return s
}

func (o *oracle) find(in *apiv1.BeginRequest) *oracleRecord {
	for _, r := range o.records {
		if r.begin.GetWorkspace() == in.GetWorkspace() && r.begin.GetKey() == in.GetKey() {
			return r
		}
	}
	return nil
}

func (o *oracle) aborted(id attemptID) bool {
	return slices.ContainsFunc(o.aborts, func(a oracleAbort) bool { return a.id == id })
}

func (o *oracle) begin(in *apiv1.BeginRequest) (apiv1.BeginState, result.Code) {
	s := o.touch(in.GetRouter(), in.GetIncarnation())
	if s == nil {
		return apiv1.BeginState_BEGIN_FULL, result.KeyTableFull
	}
	if s.incarnation != in.GetIncarnation() || o.aborted(attemptOf(in)) {
		return apiv1.BeginState_BEGIN_UNSPECIFIED, result.ControlUnavailable
	}
	r := o.find(in)
	if r == nil {
		of := 0
		for _, other := range o.records {
			if other.begin.GetWorkspace() == in.GetWorkspace() {
				of++
			}
		}
		if len(o.records) >= o.limits.records || of >= o.limits.workspaceRecords {
			return apiv1.BeginState_BEGIN_FULL, result.KeyTableFull
		}
		o.records = append(o.records, &oracleRecord{begin: in, state: apiv1.BeginState_BEGIN_RUNNING})
		return apiv1.BeginState_BEGIN_STARTED, result.OK
	}
	switch {
	case string(r.begin.GetFingerprint()) != string(in.GetFingerprint()):
		return apiv1.BeginState_BEGIN_CONFLICT, result.KeyConflict
	case attemptOf(r.begin) == attemptOf(in) && (r.state == apiv1.BeginState_BEGIN_RUNNING || r.lost):
		r.state, r.lost, r.expires = apiv1.BeginState_BEGIN_RUNNING, false, 0
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
	r := o.find(in.GetBegin())
	if r == nil || attemptOf(r.begin) != attemptOf(in.GetBegin()) {
		return result.NotFound
	}
	if r.state == apiv1.BeginState_BEGIN_DONE || (r.state == apiv1.BeginState_BEGIN_UNKNOWN && !r.lost) {
		return result.OK
	}
	r.lost, r.expires = false, o.after(o.limits.recordTTL)
	if in.GetUnknown() {
		r.state = apiv1.BeginState_BEGIN_UNKNOWN
		return result.OK
	}
	r.state = apiv1.BeginState_BEGIN_DONE
	all, own := len(in.GetAnswer().GetBody()), len(in.GetAnswer().GetBody())
	for _, other := range o.records {
		all += len(other.answer.GetBody())
		if other.begin.GetWorkspace() == r.begin.GetWorkspace() {
			own += len(other.answer.GetBody())
		}
	}
	r.answer = proto.CloneOf(in.GetAnswer())
	if all > o.limits.answers || own > o.limits.workspaceAnswers {
		r.answer.Body, r.answer.Truncated = nil, true
	}
	return result.OK
}

func (o *oracle) abort(in *apiv1.BeginRequest) result.Code {
	r := o.find(in)
	if r != nil && attemptOf(r.begin) == attemptOf(in) {
		switch {
		case r.state == apiv1.BeginState_BEGIN_DONE:
			return result.StoredAnswer
		case r.state == apiv1.BeginState_BEGIN_UNKNOWN && !r.lost:
			return result.OutcomeUnknown
		}
		o.records = slices.DeleteFunc(o.records, func(x *oracleRecord) bool { return x == r })
	}
	if !o.aborted(attemptOf(in)) {
		o.aborts = append(o.aborts, oracleAbort{attemptOf(in), o.after(o.limits.abortMemory)})
	}
	if len(o.aborts) > o.limits.aborts {
		o.aborts = o.aborts[1:]
	}
	return result.OK
}

// submit returns the code and revision of a command of a valid operator.
func (o *oracle) submit(in *apiv1.SubmitRequest) *apiv1.SubmitResponse {
	for _, r := range o.results {
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
	code := o.decide(in)
	out := &apiv1.SubmitResponse{Code: uint32(code), Revision: o.revision}
	o.results = append(o.results, oracleResult{in.GetCommandId(), in, out})
	if len(o.results) > o.limits.results {
		o.results = o.results[1:]
	}
	return out
}

func (o *oracle) decide(in *apiv1.SubmitRequest) result.Code {
	if in.GetExpectedRevision() != 0 && in.GetExpectedRevision() != o.revision {
		return result.RevisionConflict
	}
	ch := in.GetChanges()[0]
	_, has := o.items[itemID(ch)]
	if ch.GetDelete() && !has {
		return result.NotFound
	}
	o.revision++
	o.items[itemID(ch)] = ch
	if ch.GetDelete() {
		delete(o.items, itemID(ch))
	}
	return result.OK
}

// fence is the record of one server with the time of its last change.
type oracleFence struct {
	record  orders.Record
	changed int64
}

func (o *oracle) fence(server string) *oracleFence {
	for _, f := range o.fences {
		if f.record.Server == server {
			return f
		}
	}
	return nil
}

func (o *oracle) presentFence(server string) orders.Record {
	if f := o.fence(server); f != nil {
		return f.record
	}
	return orders.Record{Server: server, Number: o.floor}
}

func (o *oracle) acquire(observed, next orders.Record) result.Code {
	if o.presentFence(observed.Server) != observed {
		return result.FenceStale
	}
	f := o.fence(observed.Server)
	if f == nil && len(o.fences) == o.limits.fences {
		// The least recently changed one is first; of equal ones the first name.
		slices.SortFunc(o.fences, func(a, b *oracleFence) int {
			return cmp.Or(cmp.Compare(a.changed, b.changed), cmp.Compare(a.record.Server, b.record.Server))
		})
		if o.now-o.fences[0].changed < o.limits.fenceMemory.Milliseconds() {
			return result.QueueFull
		}
		o.floor = max(o.floor, o.fences[0].record.Number)
		o.fences = o.fences[1:]
	}
	if f == nil {
		f = &oracleFence{}
		o.fences = append(o.fences, f)
	}
	f.record, f.changed = next, o.now
	return result.OK
}
