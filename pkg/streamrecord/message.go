package streamrecord

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

const (
	// MaxRecordsPerMessage bounds the records of a message that are used.
	MaxRecordsPerMessage = 1024
	// MaxQueriesPerMessage bounds the queries of a message that are used.
	MaxQueriesPerMessage = 1024
	// MaxPlaceBytes bounds the place of a query.
	MaxPlaceBytes = 1024
)

// Query asks which release began a stream.
type Query struct {
	Number  uint64 // repeated in the answer
	Key     Key
	Service string // of the stream if there is no record, "" if not known
	Place   string // of the route that leads to Service, see routing.Route.Place; "" if not stated
}

// Answer answers the query of that number.
type Answer struct {
	Number  uint64
	State   State
	Release release.ID // release.Unknown unless State is Recorded or Sole
}

// News is a decoded message of an edge host.
type News struct {
	Number  uint64
	Records []Record
	Queries []Query
	Dropped int // records and queries that are not valid or beyond the bounds
}

// DecodeNews converts a message of an edge host. It drops and counts the records and
// queries that are not valid, and those beyond the bounds.
func DecodeNews(now time.Time, m *apiv1.StreamNews) News {
	n := News{Number: m.GetNumber()}
	for _, r := range m.GetRecords() {
		record, ok := decodeRecord(now, r)
		if !ok || len(n.Records) == MaxRecordsPerMessage {
			n.Dropped++
			continue
		}
		n.Records = append(n.Records, record)
	}
	for _, q := range m.GetQueries() {
		query, ok := decodeQuery(q)
		if !ok || len(n.Queries) == MaxQueriesPerMessage {
			n.Dropped++
			continue
		}
		n.Queries = append(n.Queries, query)
	}
	return n
}

// decodeRecord returns false if the key has another length or the record has expired.
func decodeRecord(now time.Time, m *apiv1.StreamRecord) (Record, bool) {
	if len(m.GetKey()) != keyBytes || m.GetTtlMs() == 0 {
		return Record{}, false
	}
	ttl := min(time.Duration(m.GetTtlMs())*time.Millisecond, MaxTTL)
	return Record{Key: Key(m.GetKey()), Release: release.ID(m.GetRelease()), Expires: now.Add(ttl), Process: Process(m.GetProcess())}, true
}

func decodeQuery(m *apiv1.StreamQuery) (Query, bool) {
	if len(m.GetKey()) != keyBytes || !registry.ValidName(m.GetService()) || len(m.GetPlace()) > MaxPlaceBytes {
		return Query{}, false
	}
	return Query{Number: m.GetNumber(), Key: Key(m.GetKey()), Service: m.GetService(), Place: m.GetPlace()}, true
}

// ToProto returns the record to send to another host. It carries the remaining
// lifetime instead of a time, because clocks differ. The lifetime is rounded up, so that
// a live record is never sent as an expired one.
func (r Record) ToProto(now time.Time) *apiv1.StreamRecord {
	ttl := min(max(r.Expires.Sub(now), 0), MaxTTL)
	ms := (ttl + time.Millisecond - 1) / time.Millisecond
	return &apiv1.StreamRecord{Key: r.Key[:], Release: uint64(r.Release), TtlMs: uint32(ms), Process: uint64(r.Process)}
}

// ToProto returns the query to send to a core host.
func (q Query) ToProto() *apiv1.StreamQuery {
	return &apiv1.StreamQuery{Number: q.Number, Key: q.Key[:], Service: q.Service, Place: q.Place}
}

// ToProto returns the answer to send to an edge host.
func (a Answer) ToProto() *apiv1.StreamAnswer {
	return &apiv1.StreamAnswer{Number: a.Number, State: uint32(a.State), Release: uint64(a.Release)}
}

// DecodeAnswer converts an answer of a core host. A state that is not valid becomes
// Unconfirmed, and one that needs a release but has none becomes Conflict or Unknown.
func DecodeAnswer(m *apiv1.StreamAnswer) Answer {
	a := Answer{Number: m.GetNumber(), State: State(m.GetState()), Release: release.ID(m.GetRelease())}
	switch {
	case a.State > Unconfirmed:
		a.State = Unconfirmed
	case a.State == Recorded && a.Release == release.Unknown:
		a.State = Conflict
	case a.State == Sole && a.Release == release.Unknown:
		a.State = Unknown
	}
	if a.State != Recorded && a.State != Sole {
		a.Release = release.Unknown
	}
	return a
}
