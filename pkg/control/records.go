package control

import (
	"cmp"
	"slices"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

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

// record is one keyed request.
type record struct {
	fingerprint string
	owner       attemptID
	state       recordState
	answer      *apiv1.StoredAnswer // of stateDone
	expires     int64               // ms, 0 while running
}

// finished reports whether the router has reported the outcome.
func (r *record) finished() bool { return r.state == stateDone || r.state == stateUnknown }

// usage is what one workspace keeps in the table.
type usage struct{ records, bytes int }

// records is the table of keyed requests. Records leave it only by expiry or
// by an abort, never to make room.
type records struct {
	limits      limits
	byKey       map[recordKey]*record
	byWorkspace map[string]usage
	bytes       int // of all stored answers
	// expiries is in the order of time, because all records live equally
	// long. An entry is void when its record has another time.
	expiries []expiry
}

type expiry struct {
	key recordKey
	at  int64 // ms
}

func newRecords(l limits) records {
	return records{limits: l, byKey: map[recordKey]*record{}, byWorkspace: map[string]usage{}}
}

// full reports whether there is no room for a new record of the workspace.
func (t *records) full(workspace string) bool {
	return len(t.byKey) >= t.limits.records || t.byWorkspace[workspace].records >= t.limits.workspaceRecords
}

func (t *records) add(key recordKey, r *record) {
	t.byKey[key] = r
	t.count(key.workspace, 1, answerSize(r))
}

func (t *records) remove(key recordKey) {
	t.count(key.workspace, -1, -answerSize(t.byKey[key]))
	delete(t.byKey, key)
}

func (t *records) count(workspace string, records, bytes int) {
	u := t.byWorkspace[workspace]
	u.records += records
	u.bytes += bytes
	t.bytes += bytes
	if u.records == 0 {
		delete(t.byWorkspace, workspace)
		return
	}
	t.byWorkspace[workspace] = u
}

func answerSize(r *record) int { return len(r.answer.GetBody()) }

// store keeps the answer of a record, without its body when there is no room.
func (t *records) store(key recordKey, r *record, answer *apiv1.StoredAnswer) {
	size := len(answer.GetBody())
	room := size <= MaxAnswerBytes && t.bytes+size <= t.limits.answers &&
		t.byWorkspace[key.workspace].bytes+size <= t.limits.workspaceAnswers
	if !room || answer.GetTruncated() {
		answer = &apiv1.StoredAnswer{Status: answer.GetStatus(), ContentType: answer.GetContentType(), Truncated: true}
		size = 0
	}
	r.answer = answer
	t.count(key.workspace, 0, size)
}

// expireAt lets a record that is not running live until a time.
func (t *records) expireAt(key recordKey, r *record, at int64) {
	r.expires = at
	t.expiries = append(t.expiries, expiry{key: key, at: at})
}

func (t *records) expire(now int64) {
	for len(t.expiries) > 0 && t.expiries[0].at <= now {
		e := t.expiries[0]
		t.expiries = t.expiries[1:]
		if r, ok := t.byKey[e.key]; ok && r.expires == e.at {
			t.remove(e.key)
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
	for k, r := range t.byKey {
		if r.expires != 0 {
			t.expiries = append(t.expiries, expiry{key: k, at: r.expires})
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
