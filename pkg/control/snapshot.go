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
	snapshotVersion = 2
	recordEstimate  = 160 // bytes of an encoded record without its answer
)

// encoder writes numbers and length-delimited messages.
type encoder struct {
	buffer bytes.Buffer
	err    error
}

func (e *encoder) number(v int64) {
	e.buffer.Write(binary.AppendUvarint(nil, uint64(v)))
}

func (e *encoder) message(m proto.Message) {
	options := protodelim.MarshalOptions{MarshalOptions: proto.MarshalOptions{Deterministic: true}}
	if _, err := options.MarshalTo(&e.buffer, m); err != nil && e.err == nil {
		e.err = err
	}
}

// decoder reads what an encoder wrote and keeps the first error.
type decoder struct {
	r   *bytes.Reader
	err error
}

func (d *decoder) number() int64 {
	if d.err != nil {
		return 0
	}
	v, err := binary.ReadUvarint(d.r)
	d.err = err
	return int64(v)
}

// count reads a number of items, which each take at least one byte.
func (d *decoder) count() int {
	n := d.number()
	if d.err == nil && (n < 0 || n > int64(d.r.Len())) {
		d.err = result.New(result.LogDamaged, "snapshot counts %d items in %d bytes", n, d.r.Len())
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

// Snapshot returns the whole state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	var e encoder
	e.buffer.Grow(m.Records()*recordEstimate + m.records.bytes + m.results.bytes)
	e.number(snapshotVersion)
	e.number(m.now)
	e.message(&apiv1.Snapshot{Revision: m.catalog.Revision(), Items: m.catalog.Items()})
	m.writeResults(&e)
	m.writeRecords(&e)
	m.writeSessions(&e)
	m.writeAborts(&e)
	m.writeFences(&e)
	return e.buffer.Bytes(), e.err
}

// Restore replaces the state by a snapshot. After an error, which carries
// LogDamaged, the state is as before.
func (m *Machine) Restore(data []byte) error {
	d := &decoder{r: bytes.NewReader(data)}
	if v := d.number(); d.err == nil && v != snapshotVersion {
		return result.New(result.LogDamaged, "snapshot of version %d is not known", v)
	}
	next := newMachine(m.limits)
	next.now = d.number()
	var c apiv1.Snapshot
	d.message(&c)
	next.catalog = catalog.Empty().With(c.GetRevision(), c.GetItems())
	next.readResults(d)
	next.readRecords(d)
	next.readSessions(d)
	next.readAborts(d)
	next.readFences(d)
	if d.err != nil {
		return result.Wrap(result.LogDamaged, d.err, "snapshot cannot be decoded")
	}
	next.records.rebuild()
	*m = *next
	return nil
}

func (m *Machine) writeResults(e *encoder) {
	e.number(int64(len(m.results.order)))
	for _, id := range m.results.order {
		r := m.results.byID[id]
		e.message(&apiv1.BeginRequest{Key: id, Fingerprint: []byte(r.fingerprint)})
		e.message(r.response)
	}
}

func (m *Machine) readResults(d *decoder) {
	for range d.count() {
		var id apiv1.BeginRequest
		response := &apiv1.SubmitResponse{}
		d.message(&id)
		d.message(response)
		m.results.keep(id.GetKey(), string(id.GetFingerprint()), response)
	}
}

func beginOf(key recordKey, owner attemptID, print []byte) *apiv1.BeginRequest {
	return &apiv1.BeginRequest{
		Workspace: key.workspace, Key: key.key, Fingerprint: print,
		Router: owner.router, Incarnation: owner.incarnation, Attempt: owner.attempt,
	}
}

func (m *Machine) writeRecords(e *encoder) {
	e.number(int64(len(m.records.byKey)))
	for _, key := range m.records.keys() {
		r := m.records.byKey[key]
		e.number(int64(r.state))
		e.number(r.expires)
		in := &apiv1.FinishRequest{Begin: beginOf(key, r.owner, r.fingerprint[:])}
		if r.state == stateDone {
			in.Answer = r.answer.message()
		}
		e.message(in)
	}
}

func (m *Machine) readRecords(d *decoder) {
	routers := map[string]string{} // one string for each
	for range d.count() {
		r := &record{state: recordState(d.number()), expires: d.number()}
		var in apiv1.FinishRequest
		d.message(&in)
		if d.err == nil && len(in.GetBegin().GetFingerprint()) != len(r.fingerprint) {
			d.err = result.New(result.LogDamaged, "record without a fingerprint")
		}
		if d.err != nil {
			return
		}
		copy(r.fingerprint[:], in.GetBegin().GetFingerprint())
		r.key, r.owner, r.answer = keyOf(in.GetBegin()), attemptOf(in.GetBegin()), answerFrom(in.GetAnswer())
		if name, ok := routers[r.owner.router]; ok {
			r.owner.router = name
		}
		routers[r.owner.router] = r.owner.router
		m.records.add(r)
	}
}

func (m *Machine) writeSessions(e *encoder) {
	e.number(int64(len(m.sessions)))
	for _, router := range slices.Sorted(maps.Keys(m.sessions)) {
		s := m.sessions[router]
		e.message(&apiv1.RenewSessionRequest{Router: router, Incarnation: s.incarnation})
		e.number(s.expires)
		ended := int64(0)
		if s.ended {
			ended = 1
		}
		e.number(ended)
	}
}

// readSessions needs the records, because each running one belongs to the
// session of its router.
func (m *Machine) readSessions(d *decoder) {
	for range d.count() {
		var in apiv1.RenewSessionRequest
		d.message(&in)
		m.sessions[in.GetRouter()] = &session{
			router: in.GetRouter(), incarnation: in.GetIncarnation(), expires: d.number(), ended: d.number() == 1,
			running: map[*record]struct{}{},
		}
	}
	for _, r := range m.records.byKey {
		if s, ok := m.sessions[r.owner.router]; ok && r.state == stateRunning {
			s.running[r] = struct{}{}
		}
	}
}

func (m *Machine) writeAborts(e *encoder) {
	e.number(int64(len(m.aborts.order)))
	for _, id := range m.aborts.order {
		e.message(beginOf(recordKey{}, id, nil))
		e.number(m.aborts.known[id])
	}
}

func (m *Machine) readAborts(d *decoder) {
	for range d.count() {
		var in apiv1.BeginRequest
		d.message(&in)
		m.aborts.add(attemptOf(&in), d.number())
	}
}
