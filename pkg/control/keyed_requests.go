package control

import (
	"bytes"
	"crypto/sha256"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

func recordKeyOf(in *apiv1.BeginRequest) recordKey {
	return recordKey{workspace: in.GetWorkspace(), key: in.GetKey()}
}

func isValidBegin(in *apiv1.BeginRequest) bool {
	return class.ValidName(in.GetWorkspace()) && class.ValidName(in.GetRouter()) &&
		in.GetKey() != "" && len(in.GetKey()) <= MaxKeyBytes && len(in.GetFingerprint()) == sha256.Size
}

func beginResponse(state apiv1.BeginState, code result.Code) *apiv1.BeginResponse {
	return &apiv1.BeginResponse{State: state, Code: uint32(code)}
}

// begin creates the record of a keyed request. Only BEGIN_STARTED permits a
// dispatch. One attempt alone gets it, and gets it again when it repeats the
// call.
func (m *StateMachine) begin(in *apiv1.BeginRequest) *apiv1.BeginResponse {
	if !isValidBegin(in) {
		return beginResponse(apiv1.BeginState_BEGIN_UNSPECIFIED, result.InvalidRequest)
	}
	s := m.renewSession(in.GetRouter(), in.GetIncarnation())
	if s == nil {
		return beginResponse(apiv1.BeginState_BEGIN_FULL, result.KeyTableFull)
	}
	if s.incarnation != in.GetIncarnation() || m.abortedAttempts.contains(attemptIDOf(in)) {
		// A delayed call of an older incarnation or of an aborted attempt.
		return beginResponse(apiv1.BeginState_BEGIN_UNSPECIFIED, result.ControlUnavailable)
	}
	key := recordKeyOf(in)
	r, ok := m.records.byKey[key]
	if ok {
		return m.beginExisting(r, in)
	}
	if m.records.isFull(in.GetWorkspace()) {
		return beginResponse(apiv1.BeginState_BEGIN_FULL, result.KeyTableFull)
	}
	r = &record{key: key, fingerprint: [sha256.Size]byte(in.GetFingerprint()), owner: attemptIDOf(in)}
	r.owner.router = s.router
	m.records.add(r)
	m.markRunning(r)
	return beginResponse(apiv1.BeginState_BEGIN_STARTED, result.OK)
}

// beginExisting answers a Begin whose key already has a record.
func (m *StateMachine) beginExisting(r *record, in *apiv1.BeginRequest) *apiv1.BeginResponse {
	switch {
	case !bytes.Equal(r.fingerprint[:], in.GetFingerprint()):
		return beginResponse(apiv1.BeginState_BEGIN_CONFLICT, result.KeyConflict)
	case r.owner == attemptIDOf(in) && !r.isFinished():
		m.markRunning(r)
		return beginResponse(apiv1.BeginState_BEGIN_STARTED, result.OK)
	case r.state == stateRunning:
		return beginResponse(apiv1.BeginState_BEGIN_RUNNING, result.StillRunning)
	case r.state == stateDone:
		out := beginResponse(apiv1.BeginState_BEGIN_DONE, result.StoredAnswer)
		if r.answer.truncated {
			out.Code = uint32(result.AnswerTooLarge)
		}
		out.Answer = r.answer.message()
		return out
	}
	return beginResponse(apiv1.BeginState_BEGIN_UNKNOWN, result.OutcomeUnknown)
}

// markRunning marks a record as running and adds it to the session of its
// router.
func (m *StateMachine) markRunning(r *record) {
	r.state = stateRunning
	r.expiresAt = 0
	m.sessions[r.owner.router].running[r] = struct{}{}
}

// finish stores the outcome that the owner of a record reports. Repeated
// reports have no effect.
func (m *StateMachine) finish(in *apiv1.FinishRequest) result.Code {
	r, ok := m.records.byKey[recordKeyOf(in.GetBegin())]
	if !ok || r.owner != attemptIDOf(in.GetBegin()) {
		return result.NotFound
	}
	if r.isFinished() {
		return result.OK
	}
	if in.GetAnswer() == nil && !in.GetUnknown() {
		return result.InvalidRequest
	}
	m.removeFromSession(r)
	r.state = stateUnknown
	if !in.GetUnknown() {
		r.state = stateDone
		m.records.storeAnswer(r, answerFromMessage(in.GetAnswer()))
	}
	m.records.scheduleExpiry(r, m.timeAfter(m.limits.recordTTL))
	return result.OK
}

// abort removes the record of an attempt that was never dispatched. Records of
// other attempts are kept. For a finished attempt the code gives its outcome.
func (m *StateMachine) abort(in *apiv1.BeginRequest) result.Code {
	if !isValidBegin(in) {
		return result.InvalidRequest
	}
	r, ok := m.records.byKey[recordKeyOf(in)]
	if ok && r.owner == attemptIDOf(in) {
		if r.state == stateDone {
			return result.StoredAnswer
		}
		if r.state == stateUnknown {
			return result.OutcomeUnknown
		}
		m.removeFromSession(r)
		m.records.remove(r)
	}
	m.abortedAttempts.add(attemptIDOf(in), m.timeAfter(m.limits.abortTTL))
	return result.OK
}

// removeFromSession removes a record from the running records of its session.
func (m *StateMachine) removeFromSession(r *record) {
	if s, ok := m.sessions[r.owner.router]; ok && s.incarnation == r.owner.incarnation {
		delete(s.running, r)
	}
}

// session tracks one incarnation of a router that has keyed requests.
type session struct {
	router      string
	incarnation uint64
	ended       bool
	expiresAt   int64 // ms; for an ended session, when it is deleted
	running     map[*record]struct{}
}

// renewSession renews the session of a router and returns it. A greater
// incarnation ends the previous session; a smaller one changes nothing. It
// returns nil if the session table is full.
func (m *StateMachine) renewSession(router string, incarnation uint64) *session {
	s, ok := m.sessions[router]
	if !ok && len(m.sessions) >= m.limits.sessions {
		return nil
	}
	if ok && incarnation < s.incarnation {
		return s
	}
	if !ok || incarnation > s.incarnation {
		if ok {
			m.endSession(s)
		}
		s = &session{router: router, incarnation: incarnation, running: map[*record]struct{}{}}
		m.sessions[router] = s
	}
	s.ended = false
	s.expiresAt = m.timeAfter(m.limits.sessionTTL)
	return s
}

// endSession ends a session. The outcome of its running records becomes
// unknown.
func (m *StateMachine) endSession(s *session) {
	for r := range s.running {
		r.state = stateSessionEnded
		m.records.scheduleExpiry(r, m.timeAfter(m.limits.recordTTL))
	}
	s.running = map[*record]struct{}{}
	s.ended = true
	s.expiresAt = m.timeAfter(m.limits.endedSessionTTL)
}

func (m *StateMachine) expireSessions() {
	for router, s := range m.sessions {
		switch {
		case s.expiresAt > m.now:
		case s.ended:
			delete(m.sessions, router)
		default:
			m.endSession(s)
		}
	}
}
