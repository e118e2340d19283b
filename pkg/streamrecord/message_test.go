package streamrecord

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Guards against records and queries that change on their way between hosts.
func TestMessagesKeepTheirContent(t *testing.T) {
	k := KeyOf("w", "r", "id")
	r := Record{Key: k, Release: 5, Expires: start.Add(1500 * time.Microsecond), Process: ProcessOf("server", 1_700_000_000_000)}
	q := Query{Number: 9, Key: k, Service: "s", Place: "h/a/"}
	later := start.Add(time.Hour)
	n := DecodeNews(later, &apiv1.StreamNews{Number: 3, Records: []*apiv1.StreamRecord{r.ToProto(start)}, Queries: []*apiv1.StreamQuery{q.ToProto()}})
	assert.DeepEqual(t, n, News{
		Number: 3, Records: []Record{{Key: k, Release: 5, Expires: later.Add(2 * time.Millisecond), Process: r.Process}}, Queries: []Query{q},
	})
	assert.Equal(t, r.ToProto(r.Expires).GetTtlMs(), uint32(0))
	a := Answer{Number: 9, State: Sole, Release: 5}
	assert.Equal(t, DecodeAnswer(a.ToProto()), a)
}

// Guards against an answer that names a release which nothing proves.
func TestOddAnswersProveNothing(t *testing.T) {
	for _, c := range []struct {
		state   uint32
		release uint64
		want    Answer
	}{
		{math.MaxUint32, 5, Answer{State: Unconfirmed}},
		{uint32(Recorded), 0, Answer{State: Conflict}},
		{uint32(Sole), 0, Answer{State: Unknown}},
		{uint32(Conflict), 5, Answer{State: Conflict}},
		{uint32(Unknown), 5, Answer{State: Unknown}},
		{uint32(Recorded), 5, Answer{State: Recorded, Release: 5}},
	} {
		assert.Equal(t, DecodeAnswer(&apiv1.StreamAnswer{State: c.state, Release: c.release}), c.want)
	}
}

// Guards against a message of another host, whatever it holds, that stores a record for
// longer than MaxTTL or with a key of another length, or that is used beyond the bounds.
func FuzzDecodeNews(f *testing.F) {
	key := make([]byte, keyBytes)
	many := &apiv1.StreamNews{}
	for range MaxRecordsPerMessage + 1 {
		many.Records = append(many.Records, &apiv1.StreamRecord{Key: key, Release: 1, TtlMs: 1})
		many.Queries = append(many.Queries, &apiv1.StreamQuery{Key: key})
	}
	for _, m := range []*apiv1.StreamNews{
		{},
		many,
		{Number: math.MaxUint64, Records: []*apiv1.StreamRecord{{}, {Key: key}, {Key: key, TtlMs: math.MaxUint32}, {Key: append(key, 0), TtlMs: 1}, {Key: key[1:], TtlMs: 1}}},
		{Queries: []*apiv1.StreamQuery{{}, {Key: key, Service: strings.Repeat("s", 1000)}, {Key: key, Service: "\x00"}, {Key: key, Service: "s", Place: strings.Repeat("p", MaxPlaceBytes+1)}, {Key: key, Service: "s", Number: math.MaxUint64}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &apiv1.StreamNews{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		n := DecodeNews(start, m)
		if len(n.Records) > MaxRecordsPerMessage || len(n.Queries) > MaxQueriesPerMessage {
			t.Fatalf("%d records and %d queries are used", len(n.Records), len(n.Queries))
		}
		if total := len(m.GetRecords()) + len(m.GetQueries()); len(n.Records)+len(n.Queries)+n.Dropped != total {
			t.Fatalf("%d of %d are counted", len(n.Records)+len(n.Queries)+n.Dropped, total)
		}
		table := New(MaxRecordsPerMessage)
		for _, r := range n.Records {
			if ttl := r.Expires.Sub(start); ttl <= 0 || ttl > MaxTTL {
				t.Fatalf("lifetime %s", ttl)
			}
			table.Put(start, r)
		}
		for _, r := range table.Live(start) {
			if back := DecodeNews(start, &apiv1.StreamNews{Records: []*apiv1.StreamRecord{r.ToProto(start)}}); len(back.Records) != 1 || back.Records[0] != r {
				t.Fatalf("%v is passed on as %v", r, back.Records)
			}
		}
		for _, q := range n.Queries {
			if back := DecodeNews(start, &apiv1.StreamNews{Queries: []*apiv1.StreamQuery{q.ToProto()}}); len(back.Queries) != 1 || back.Queries[0] != q {
				t.Fatalf("%v is passed on as %v", q, back.Queries)
			}
		}
		if id, state := table.Get(start.Add(MaxTTL), Key{}); id != release.Unknown || state != Unknown {
			t.Fatalf("a record outlives MaxTTL: %s", state)
		}
	})
}

// BenchmarkMessage encodes and decodes a full message of records and reports the bytes
// of a record in it.
func BenchmarkMessage(b *testing.B) {
	m := &apiv1.StreamNews{Number: 1 << 20}
	for n := range MaxRecordsPerMessage {
		r := Record{Key: KeyOf("workspace", "route", strconv.Itoa(n)), Release: release.Of("service", "v1"), Expires: start.Add(MaxTTL), Process: ProcessOf("server", 1_700_000_000_000)}
		m.Records = append(m.Records, r.ToProto(start))
	}
	for b.Loop() {
		data, err := proto.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		back := &apiv1.StreamNews{}
		if err := proto.Unmarshal(data, back); err != nil {
			b.Fatal(err)
		}
		if n := DecodeNews(start, back); n.Dropped != 0 {
			b.Fatalf("%d records dropped", n.Dropped)
		}
	}
	b.ReportMetric(float64(proto.Size(m))/MaxRecordsPerMessage, "B/record")
}
