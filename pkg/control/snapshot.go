package control

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	snapshotVersion      = 2
	estimatedRecordBytes = 160 // encoded record without its answer
)

// encoder writes unsigned varints and length-delimited messages.
type encoder struct {
	buffer bytes.Buffer
	err    error
}

func (e *encoder) uvarint(v int64) {
	e.buffer.Write(binary.AppendUvarint(nil, uint64(v)))
}

func (e *encoder) message(m proto.Message) {
	options := protodelim.MarshalOptions{MarshalOptions: proto.MarshalOptions{Deterministic: true}}
	if _, err := options.MarshalTo(&e.buffer, m); err != nil && e.err == nil {
		e.err = err
	}
}

// decoder reads the output of an encoder and keeps the first error.
type decoder struct {
	r   *bytes.Reader
	err error
}

func (d *decoder) uvarint() int64 {
	if d.err != nil {
		return 0
	}
	v, err := binary.ReadUvarint(d.r)
	d.err = err
	return int64(v)
}

// itemCount reads a number of items and checks it against the remaining bytes:
// each item takes at least one.
func (d *decoder) itemCount() int {
	n := d.uvarint()
	if d.err == nil && (n < 0 || n > int64(d.r.Len())) {
		d.err = result.New(result.LogDamaged, "snapshot declares %d items in the remaining %d bytes", n, d.r.Len())
	}
	if d.err != nil {
		return 0
	}
	return int(n)
}

func (d *decoder) message(m proto.Message) {
	if d.err != nil {
		return
	}
	const unlimited = -1
	d.err = protodelim.UnmarshalOptions{MaxSize: unlimited}.UnmarshalFrom(d.r, m)
}

// Snapshot returns the encoded state. Equal states give equal bytes.
func (m *StateMachine) Snapshot() ([]byte, error) {
	var e encoder
	e.buffer.Grow(m.RecordCount()*estimatedRecordBytes + m.records.bytes + m.commandResults.bytes)
	e.uvarint(snapshotVersion)
	e.uvarint(m.now)
	e.message(&apiv1.Snapshot{Revision: m.catalog.Revision(), Items: m.catalog.Items()})
	m.writeResults(&e)
	m.writeRecords(&e)
	m.writeSessions(&e)
	m.writeAborts(&e)
	m.writeFences(&e)
	return e.buffer.Bytes(), e.err
}

// Restore replaces the state with a snapshot. On an error, which has the code
// LogDamaged, the state is unchanged.
func (m *StateMachine) Restore(data []byte) error {
	d := &decoder{r: bytes.NewReader(data)}
	if v := d.uvarint(); d.err == nil && v != snapshotVersion {
		return result.New(result.LogDamaged, "unsupported snapshot version %d", v)
	}
	next := newStateMachine(m.limits)
	next.now = d.uvarint()
	var c apiv1.Snapshot
	d.message(&c)
	next.catalog = catalog.Empty().WithChanges(c.GetRevision(), c.GetItems())
	next.readResults(d)
	next.readRecords(d)
	next.readSessions(d)
	next.readAborts(d)
	next.readFences(d)
	if d.err != nil {
		return result.Wrap(result.LogDamaged, d.err, "snapshot cannot be decoded")
	}
	next.records.rebuildExpiryQueue()
	*m = *next
	return nil
}

func (m *StateMachine) writeResults(e *encoder) {
	e.uvarint(int64(len(m.commandResults.order)))
	for _, id := range m.commandResults.order {
		r := m.commandResults.byID[id]
		e.message(&apiv1.BeginRequest{Key: id, Fingerprint: []byte(r.fingerprint)})
		e.message(r.response)
	}
}

func (m *StateMachine) readResults(d *decoder) {
	for range d.itemCount() {
		var id apiv1.BeginRequest
		response := &apiv1.SubmitResponse{}
		d.message(&id)
		d.message(response)
		m.commandResults.add(id.GetKey(), string(id.GetFingerprint()), response)
	}
}

func beginRequestOf(key recordKey, owner attemptID, hash []byte) *apiv1.BeginRequest {
	return &apiv1.BeginRequest{
		Workspace: key.workspace, Key: key.key, Fingerprint: hash,
		Router: owner.router, Incarnation: owner.incarnation, Attempt: owner.attempt,
	}
}

func (m *StateMachine) writeRecords(e *encoder) {
	e.uvarint(int64(len(m.records.byKey)))
	for _, key := range m.records.sortedKeys() {
		r := m.records.byKey[key]
		e.uvarint(int64(r.state))
		e.uvarint(r.expiresAt)
		in := &apiv1.FinishRequest{Begin: beginRequestOf(key, r.owner, r.fingerprint[:])}
		if r.state == stateDone {
			in.Answer = r.answer.message()
		}
		e.message(in)
	}
}

func (m *StateMachine) readRecords(d *decoder) {
	routerNames := map[string]string{} // one shared string per router
	for range d.itemCount() {
		r := &record{state: recordState(d.uvarint()), expiresAt: d.uvarint()}
		var in apiv1.FinishRequest
		d.message(&in)
		if d.err == nil && len(in.GetBegin().GetFingerprint()) != len(r.fingerprint) {
			d.err = result.New(result.LogDamaged, "snapshot record has an invalid fingerprint")
		}
		if d.err != nil {
			return
		}
		copy(r.fingerprint[:], in.GetBegin().GetFingerprint())
		r.key, r.owner, r.answer = recordKeyOf(in.GetBegin()), attemptIDOf(in.GetBegin()), answerFromMessage(in.GetAnswer())
		if name, ok := routerNames[r.owner.router]; ok {
			r.owner.router = name
		}
		routerNames[r.owner.router] = r.owner.router
		m.records.add(r)
	}
}

func (m *StateMachine) writeSessions(e *encoder) {
	e.uvarint(int64(len(m.sessions)))
	for _, router := range slices.Sorted(maps.Keys(m.sessions)) {
		s := m.sessions[router]
		e.message(&apiv1.RenewSessionRequest{Router: router, Incarnation: s.incarnation})
		e.uvarint(s.expiresAt)
		ended := int64(0)
		if s.ended {
			ended = 1
		}
		e.uvarint(ended)
	}
}

// readSessions must run after readRecords, because it assigns each running
// record to the session of its router.
func (m *StateMachine) readSessions(d *decoder) {
	for range d.itemCount() {
		var in apiv1.RenewSessionRequest
		d.message(&in)
		m.sessions[in.GetRouter()] = &session{
			router: in.GetRouter(), incarnation: in.GetIncarnation(), expiresAt: d.uvarint(), ended: d.uvarint() == 1,
			running: map[*record]struct{}{},
		}
	}
	for _, r := range m.records.byKey {
		if s, ok := m.sessions[r.owner.router]; ok && r.state == stateRunning {
			s.running[r] = struct{}{}
		}
	}
}

func (m *StateMachine) writeAborts(e *encoder) {
	e.uvarint(int64(len(m.abortedAttempts.order)))
	for _, id := range m.abortedAttempts.order {
		e.message(beginRequestOf(recordKey{}, id, nil))
		e.uvarint(m.abortedAttempts.expiresAt[id])
	}
}

func (m *StateMachine) readAborts(d *decoder) {
	for range d.itemCount() {
		var in apiv1.BeginRequest
		d.message(&in)
		m.abortedAttempts.add(attemptIDOf(&in), d.uvarint())
	}
}
