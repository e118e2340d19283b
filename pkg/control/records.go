package control

import (
	"cmp"
	"crypto/sha256"
	"slices"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const jsonContentType = "application/json"

type recordKey struct{ workspace, key string }

// attemptID identifies one attempt of one router incarnation.
type attemptID struct {
	router      string
	incarnation uint64
	attempt     uint64
}

func attemptIDOf(in *apiv1.BeginRequest) attemptID {
	return attemptID{in.GetRouter(), in.GetIncarnation(), in.GetAttempt()}
}

type recordState uint8

const (
	stateRunning recordState = 1
	stateDone    recordState = 2
	// stateSessionEnded marks a request whose router session ended; it may have
	// run. The router can still finish or abort it.
	stateSessionEnded recordState = 3
	// stateUnknown marks a request whose router reported an unknown outcome.
	stateUnknown recordState = 4
)

// record is the record of one keyed request. There may be 200,000 of them, so
// that workspace and router names are shared with the usage table and the
// sessions, and the answer is not kept as a protobuf message.
type record struct {
	key         recordKey
	fingerprint [sha256.Size]byte
	owner       attemptID
	state       recordState
	answer      answer // set in stateDone
	expiresAt   int64  // ms, 0 while running
}

// answer is the stored answer of a finished request.
type answer struct {
	status      int32
	truncated   bool
	contentType string
	body        []byte
}

func answerFromMessage(m *apiv1.StoredAnswer) answer {
	contentType := m.GetContentType()
	if contentType == jsonContentType {
		contentType = jsonContentType // share one string among all records
	}
	return answer{status: m.GetStatus(), truncated: m.GetTruncated(), contentType: contentType, body: m.GetBody()}
}

func (a answer) message() *apiv1.StoredAnswer {
	return &apiv1.StoredAnswer{Status: a.status, Truncated: a.truncated, ContentType: a.contentType, Body: a.body}
}

// isFinished reports whether the router has reported an outcome.
func (r *record) isFinished() bool { return r.state == stateDone || r.state == stateUnknown }

// workspaceUsage counts the records and stored answer bytes of one workspace.
type workspaceUsage struct {
	name           string
	records, bytes int
}

// records is the table of keyed requests. Records are removed only when they
// expire or are aborted, never to make room.
type records struct {
	limits      limits
	byKey       map[recordKey]*record
	byWorkspace map[string]*workspaceUsage
	bytes       int // of all stored answers
	// expiryQueue is ordered by time, because all records have the same TTL. An
	// entry is stale if its record has another expiry time.
	expiryQueue []expiry
}

type expiry struct {
	record *record
	at     int64 // ms
}

func newRecords(l limits) records {
	return records{limits: l, byKey: map[recordKey]*record{}, byWorkspace: map[string]*workspaceUsage{}}
}

// usageOf returns the usage of a workspace, or an empty one if there is none.
func (t *records) usageOf(workspace string) *workspaceUsage {
	if u, ok := t.byWorkspace[workspace]; ok {
		return u
	}
	return &workspaceUsage{name: workspace}
}

// isFull reports whether the table has no room for a new record of the
// workspace.
func (t *records) isFull(workspace string) bool {
	return len(t.byKey) >= t.limits.records || t.usageOf(workspace).records >= t.limits.workspaceRecords
}

func (t *records) add(r *record) {
	u := t.usageOf(r.key.workspace)
	t.byWorkspace[u.name] = u
	r.key.workspace = u.name
	u.records++
	t.byKey[r.key] = r
	t.addAnswerBytes(u, len(r.answer.body))
}

func (t *records) remove(r *record) {
	u := t.byWorkspace[r.key.workspace]
	t.addAnswerBytes(u, -len(r.answer.body))
	delete(t.byKey, r.key)
	u.records--
	if u.records == 0 {
		delete(t.byWorkspace, u.name)
	}
}

func (t *records) addAnswerBytes(u *workspaceUsage, bytes int) {
	u.bytes += bytes
	t.bytes += bytes
}

// storeAnswer stores the answer of a record, without its body if it exceeds a
// limit.
func (t *records) storeAnswer(r *record, a answer) {
	u := t.byWorkspace[r.key.workspace]
	size := len(a.body)
	fits := size <= MaxAnswerBytes && t.bytes+size <= t.limits.answerBytes && u.bytes+size <= t.limits.workspaceAnswerBytes
	if !fits || a.truncated {
		a.body, a.truncated = nil, true
	}
	if len(a.contentType) > maxContentTypeBytes {
		a.contentType = ""
	}
	r.answer = a
	t.addAnswerBytes(u, len(a.body))
}

// scheduleExpiry sets the expiry time of a record that is not running, in ms.
func (t *records) scheduleExpiry(r *record, at int64) {
	r.expiresAt = at
	t.expiryQueue = append(t.expiryQueue, expiry{record: r, at: at})
}

func (t *records) removeExpired(now int64) {
	for len(t.expiryQueue) > 0 && t.expiryQueue[0].at <= now {
		e := t.expiryQueue[0]
		t.expiryQueue = t.expiryQueue[1:]
		if t.byKey[e.record.key] == e.record && e.record.expiresAt == e.at {
			t.remove(e.record)
		}
	}
}

// sortedKeys returns all keys in an order that is the same on every host.
func (t *records) sortedKeys() []recordKey {
	out := make([]recordKey, 0, len(t.byKey))
	for k := range t.byKey {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b recordKey) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.key, b.key))
	})
	return out
}

// rebuildExpiryQueue rebuilds the queue after a restore.
func (t *records) rebuildExpiryQueue() {
	t.expiryQueue = nil
	for _, r := range t.byKey {
		if r.expiresAt != 0 {
			t.expiryQueue = append(t.expiryQueue, expiry{record: r, at: r.expiresAt})
		}
	}
	slices.SortFunc(t.expiryQueue, func(a, b expiry) int { return cmp.Compare(a.at, b.at) })
}

// abortedAttempts holds aborted attempts, oldest first. Beyond the limit the
// oldest is evicted: its delayed Begin could then hold the key until the
// session ends, but nothing would be dispatched for it.
type abortedAttempts struct {
	limit     int
	expiresAt map[attemptID]int64 // ms
	order     []attemptID
}

func newAbortedAttempts(limit int) abortedAttempts {
	return abortedAttempts{limit: limit, expiresAt: map[attemptID]int64{}}
}

func (a *abortedAttempts) contains(id attemptID) bool {
	_, ok := a.expiresAt[id]
	return ok
}

func (a *abortedAttempts) add(id attemptID, expires int64) {
	if a.contains(id) {
		return
	}
	a.expiresAt[id] = expires
	a.order = append(a.order, id)
	if len(a.order) > a.limit {
		a.removeOldest()
	}
}

func (a *abortedAttempts) removeOldest() {
	delete(a.expiresAt, a.order[0])
	a.order = a.order[1:]
}

func (a *abortedAttempts) removeExpired(now int64) {
	for len(a.order) > 0 && a.expiresAt[a.order[0]] <= now {
		a.removeOldest()
	}
}
