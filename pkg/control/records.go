package control

import (
	"cmp"
	"crypto/sha256"
	"slices"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const commonContentType = "application/json"

type recordKey struct{ workspace, key string }

// attemptID names one attempt of one router incarnation.
type attemptID struct {
	router      string
	incarnation uint64
	attempt     uint64
}

func attemptOf(in *apiv1.BeginRequest) attemptID {
	return attemptID{in.GetRouter(), in.GetIncarnation(), in.GetAttempt()}
}

type recordState uint8

const (
	stateRunning recordState = 1
	stateDone    recordState = 2
	// stateLost is a request whose router session ended: it may have run.
	// Its router can still finish or abort it.
	stateLost recordState = 3
	// stateUnknown is a request whose router reported an unknown outcome.
	stateUnknown recordState = 4
)

// record is one keyed request. The table may hold 200,000, so names are shared
// with the table and the sessions, and the answer is no message.
type record struct {
	key         recordKey
	fingerprint [sha256.Size]byte
	owner       attemptID
	state       recordState
	answer      answer // of stateDone
	expires     int64  // ms, 0 while running
}

// answer is a stored answer.
type answer struct {
	status      int32
	truncated   bool
	contentType string
	body        []byte
}

func answerFrom(m *apiv1.StoredAnswer) answer {
	contentType := m.GetContentType()
	if contentType == commonContentType {
		contentType = commonContentType // one string for all records
	}
	return answer{status: m.GetStatus(), truncated: m.GetTruncated(), contentType: contentType, body: m.GetBody()}
}

func (a answer) message() *apiv1.StoredAnswer {
	return &apiv1.StoredAnswer{Status: a.status, Truncated: a.truncated, ContentType: a.contentType, Body: a.body}
}

// finished reports whether the router has reported the outcome.
func (r *record) finished() bool { return r.state == stateDone || r.state == stateUnknown }

// usage is what one workspace keeps in the table.
type usage struct {
	name           string
	records, bytes int
}

// records is the table of keyed requests. Records leave it only by expiry or
// by an abort, never to make room.
type records struct {
	limits      limits
	byKey       map[recordKey]*record
	byWorkspace map[string]*usage
	bytes       int // of all stored answers
	// expiries is in the order of time, because all records live equally
	// long. An entry is void when its record has another time.
	expiries []expiry
}

type expiry struct {
	record *record
	at     int64 // ms
}

func newRecords(l limits) records {
	return records{limits: l, byKey: map[recordKey]*record{}, byWorkspace: map[string]*usage{}}
}

// usageOf returns the usage of a workspace, an empty one if it has none.
func (t *records) usageOf(workspace string) *usage {
	if u, ok := t.byWorkspace[workspace]; ok {
		return u
	}
	return &usage{name: workspace}
}

// full reports whether there is no room for a new record of the workspace.
func (t *records) full(workspace string) bool {
	return len(t.byKey) >= t.limits.records || t.usageOf(workspace).records >= t.limits.workspaceRecords
}

func (t *records) add(r *record) {
	u := t.usageOf(r.key.workspace)
	t.byWorkspace[u.name] = u
	r.key.workspace = u.name
	u.records++
	t.byKey[r.key] = r
	t.count(u, len(r.answer.body))
}

func (t *records) remove(r *record) {
	u := t.byWorkspace[r.key.workspace]
	t.count(u, -len(r.answer.body))
	delete(t.byKey, r.key)
	u.records--
	if u.records == 0 {
		delete(t.byWorkspace, u.name)
	}
}

func (t *records) count(u *usage, bytes int) {
	u.bytes += bytes
	t.bytes += bytes
}

// store keeps the answer of a record, without its body when there is no room.
func (t *records) store(r *record, a answer) {
	u := t.byWorkspace[r.key.workspace]
	size := len(a.body)
	room := size <= MaxAnswerBytes && t.bytes+size <= t.limits.answers && u.bytes+size <= t.limits.workspaceAnswers
	if !room || a.truncated {
		a.body, a.truncated = nil, true
	}
	if len(a.contentType) > maxContentType {
		a.contentType = ""
	}
	r.answer = a
	t.count(u, len(a.body))
}

// expireAt lets a record that is not running live until a time.
func (t *records) expireAt(r *record, at int64) {
	r.expires = at
	t.expiries = append(t.expiries, expiry{record: r, at: at})
}

func (t *records) expire(now int64) {
	for len(t.expiries) > 0 && t.expiries[0].at <= now {
		e := t.expiries[0]
		t.expiries = t.expiries[1:]
		if t.byKey[e.record.key] == e.record && e.record.expires == e.at {
			t.remove(e.record)
		}
	}
}

// keys returns the keys in an order that is the same on every host.
func (t *records) keys() []recordKey {
	out := make([]recordKey, 0, len(t.byKey))
	for k := range t.byKey {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b recordKey) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.key, b.key))
	})
	return out
}

// rebuild restores the order of expiry after a snapshot.
func (t *records) rebuild() {
	t.expiries = nil
	for _, r := range t.byKey {
		if r.expires != 0 {
			t.expiries = append(t.expiries, expiry{record: r, at: r.expires})
		}
	}
	slices.SortFunc(t.expiries, func(a, b expiry) int { return cmp.Compare(a.at, b.at) })
}

// aborts remembers aborted attempts, oldest first. Beyond the limit the oldest
// goes: its delayed Begin could then hold the key until the session ends, but
// nothing would be dispatched for it.
type aborts struct {
	limit int
	known map[attemptID]int64 // time of expiry, ms
	order []attemptID
}

func newAborts(limit int) aborts {
	return aborts{limit: limit, known: map[attemptID]int64{}}
}

func (a *aborts) has(id attemptID) bool {
	_, ok := a.known[id]
	return ok
}

func (a *aborts) add(id attemptID, expires int64) {
	if a.has(id) {
		return
	}
	a.known[id] = expires
	a.order = append(a.order, id)
	if len(a.order) > a.limit {
		a.drop()
	}
}

func (a *aborts) drop() {
	delete(a.known, a.order[0])
	a.order = a.order[1:]
}

func (a *aborts) expire(now int64) {
	for len(a.order) > 0 && a.known[a.order[0]] <= now {
		a.drop()
	}
}
