package control

import (
	"bytes"
	"crypto/sha256"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

func keyOf(in *apiv1.BeginRequest) recordKey {
	return recordKey{workspace: in.GetWorkspace(), key: in.GetKey()}
}

func validBegin(in *apiv1.BeginRequest) bool {
	return class.ValidName(in.GetWorkspace()) && class.ValidName(in.GetRouter()) &&
		in.GetKey() != "" && len(in.GetKey()) <= MaxKeyBytes && len(in.GetFingerprint()) == sha256.Size
}

func begun(state apiv1.BeginState, code result.Code) *apiv1.BeginResponse {
	return &apiv1.BeginResponse{State: state, Code: uint32(code)}
}

// begin records a keyed request. Only the answer "started" allows a dispatch;
// it goes to one attempt, each time that this attempt asks.
func (m *Machine) begin(in *apiv1.BeginRequest) *apiv1.BeginResponse {
	if !validBegin(in) {
		return begun(apiv1.BeginState_BEGIN_UNSPECIFIED, result.InvalidRequest)
	}
	s := m.touch(in.GetRouter(), in.GetIncarnation())
	if s == nil {
		return begun(apiv1.BeginState_BEGIN_FULL, result.KeyTableFull)
	}
	if s.incarnation != in.GetIncarnation() || m.aborts.has(attemptOf(in)) {
		// A delayed message of a router that is gone or has given up.
		return begun(apiv1.BeginState_BEGIN_UNSPECIFIED, result.ControlUnavailable)
	}
	key := keyOf(in)
	r, ok := m.records.byKey[key]
	if ok {
		return m.beginAgain(r, in)
	}
	if m.records.full(in.GetWorkspace()) {
		return begun(apiv1.BeginState_BEGIN_FULL, result.KeyTableFull)
	}
	r = &record{key: key, fingerprint: [sha256.Size]byte(in.GetFingerprint()), owner: attemptOf(in)}
	r.owner.router = s.router
	m.records.add(r)
	m.run(r)
	return begun(apiv1.BeginState_BEGIN_STARTED, result.OK)
}

// beginAgain answers a Begin of a key that has a record.
func (m *Machine) beginAgain(r *record, in *apiv1.BeginRequest) *apiv1.BeginResponse {
	switch {
	case !bytes.Equal(r.fingerprint[:], in.GetFingerprint()):
		return begun(apiv1.BeginState_BEGIN_CONFLICT, result.KeyConflict)
	case r.owner == attemptOf(in) && !r.finished():
		m.run(r)
		return begun(apiv1.BeginState_BEGIN_STARTED, result.OK)
	case r.state == stateRunning:
		return begun(apiv1.BeginState_BEGIN_RUNNING, result.StillRunning)
	case r.state == stateDone:
		out := begun(apiv1.BeginState_BEGIN_DONE, result.StoredAnswer)
		if r.answer.truncated {
			out.Code = uint32(result.AnswerTooLarge)
		}
		out.Answer = r.answer.message()
		return out
	}
	return begun(apiv1.BeginState_BEGIN_UNKNOWN, result.OutcomeUnknown)
}

// run marks a record as running under the session of its router.
func (m *Machine) run(r *record) {
	r.state = stateRunning
	r.expires = 0
	m.sessions[r.owner.router].running[r] = struct{}{}
}

// finish stores the outcome that the owner of a record reports. A repeated
// report has no effect.
func (m *Machine) finish(in *apiv1.FinishRequest) result.Code {
	r, ok := m.records.byKey[keyOf(in.GetBegin())]
	if !ok || r.owner != attemptOf(in.GetBegin()) {
		return result.NotFound
	}
	if r.finished() {
		return result.OK
	}
	if in.GetAnswer() == nil && !in.GetUnknown() {
		return result.InvalidRequest
	}
	m.leave(r)
	r.state = stateUnknown
	if !in.GetUnknown() {
		r.state = stateDone
		m.records.store(r, answerFrom(in.GetAnswer()))
	}
	m.records.expireAt(r, m.after(m.limits.recordTTL))
	return result.OK
}

// abort withdraws an attempt that was never dispatched. The record of another
// attempt stays. The code tells the outcome of an attempt that has finished.
func (m *Machine) abort(in *apiv1.BeginRequest) result.Code {
	if !validBegin(in) {
		return result.InvalidRequest
	}
	r, ok := m.records.byKey[keyOf(in)]
	if ok && r.owner == attemptOf(in) {
		if r.state == stateDone {
			return result.StoredAnswer
		}
		if r.state == stateUnknown {
			return result.OutcomeUnknown
		}
		m.leave(r)
		m.records.remove(r)
	}
	m.aborts.add(attemptOf(in), m.after(m.limits.abortMemory))
	return result.OK
}

// leave takes a record from the running ones of its session.
func (m *Machine) leave(r *record) {
	if s, ok := m.sessions[r.owner.router]; ok && s.incarnation == r.owner.incarnation {
		delete(s.running, r)
	}
}

// session is one router incarnation that has keyed requests.
type session struct {
	router      string
	incarnation uint64
	ended       bool
	expires     int64 // ms; of an ended session, when it is forgotten
	running     map[*record]struct{}
}

// touch renews the session of a router and returns it. A greater incarnation
// ends the one before. A lesser one changes nothing. Nil means that there is
// no room.
func (m *Machine) touch(router string, incarnation uint64) *session {
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
	s.expires = m.after(m.limits.sessionTTL)
	return s
}

// endSession makes the outcome of all running records of a session unknown.
func (m *Machine) endSession(s *session) {
	for r := range s.running {
		r.state = stateLost
		m.records.expireAt(r, m.after(m.limits.recordTTL))
	}
	s.running = map[*record]struct{}{}
	s.ended = true
	s.expires = m.after(m.limits.sessionMemory)
}

func (m *Machine) endSessions() {
	for router, s := range m.sessions {
		switch {
		case s.expires > m.now:
		case s.ended:
			delete(m.sessions, router)
		default:
			m.endSession(s)
		}
	}
}
